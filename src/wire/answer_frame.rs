use {
    crate::codes::ResultCode,
    serde::{Deserialize, Serialize},
};

/// One frame of a sidecar's answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AnswerFrame {
    /// The sidecar has not started the request and never will.
    NotRun(ResultCode),
    /// The head of the upstream's answer.
    Head {
        request_id: String, // must equal the request's
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
    },
    /// A part of the answer's body.
    Chunk(Vec<u8>),
    /// The answer is complete.
    End {
        length: u64, // bytes in all chunks
        crc: u32,    // CRC-32 of all chunks
    },
    /// The upstream failed; the request may have run.
    Failed(ResultCode),
}
