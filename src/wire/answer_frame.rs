use {
    crate::codes::ResultCode,
    serde::{Deserialize, Serialize},
};

/// What a sidecar sends back for one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AnswerFrame {
    /// It has not started the request and never will.
    NotRun(ResultCode),
    /// The upstream answers.
    Head {
        request_id: String, // must be the request's own
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
    },
    Chunk(Vec<u8>),
    /// The answer is whole.
    End {
        length: u64, // of all chunks
        crc: u32,    // CRC-32 of all chunks
    },
    /// The upstream failed; the request may have run.
    Failed(ResultCode),
}
