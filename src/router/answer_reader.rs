use {
    crate::{
        codes::{Ran, ResultCode},
        policy::{AnswerEvent, RouterExchange},
        wire::{AnswerFrame, is_event_stream, read_frame},
    },
    quinn::RecvStream,
};

/// Status and headers of an upstream's answer.
pub struct AnswerHead {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl AnswerHead {
    /// Whether the body is a server-sent event stream, to be forwarded as it arrives.
    pub fn is_event_stream(&self) -> bool {
        self.header("content-type").is_some_and(is_event_stream)
    }

    /// Whether the body has a content coding, such as compression.
    pub fn is_encoded(&self) -> bool {
        self.header("content-encoding")
            .is_some_and(|value| !value.eq_ignore_ascii_case(b"identity"))
    }

    /// The body's length in bytes, if the upstream declared it.
    pub fn declared_length(&self) -> Option<u64> {
        let value = self.header("content-length")?;
        std::str::from_utf8(value).ok()?.parse().ok()
    }

    fn header(
        &self,
        name: &str,
    ) -> Option<&[u8]> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }
}

/// Reads one answer from a sidecar; checks that it is complete and belongs to the request.
pub struct AnswerReader {
    recv: RecvStream,
    request_id: String,
    state: RouterExchange,
    length: u64, // bytes in the chunks read so far
    crc: crc32fast::Hasher,
}

impl AnswerReader {
    /// Reads the answer to a request that has been sent.
    pub fn new(
        recv: RecvStream,
        request_id: &str,
    ) -> Self {
        Self {
            recv,
            request_id: request_id.to_owned(),
            state: RouterExchange::Unsent.after(AnswerEvent::Sending),
            length: 0,
            crc: crc32fast::Hasher::new(),
        }
    }

    /// Waits for the answer's head. The error is the state in which the attempt ended.
    pub async fn read_head(&mut self) -> Result<AnswerHead, RouterExchange> {
        let head = match self.next_frame().await {
            Some(AnswerFrame::Head {
                request_id,
                status,
                headers,
            }) if request_id == self.request_id => AnswerHead { status, headers },
            other => return Err(self.fail(other)),
        };
        self.state = self.state.after(AnswerEvent::Begun);
        Ok(head)
    }

    /// The next chunk of the body, or `None` once the body is complete. The error is the
    /// state in which the attempt ended.
    pub async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, RouterExchange> {
        match self.next_frame().await {
            Some(AnswerFrame::Chunk(chunk)) => {
                self.length += chunk.len() as u64;
                self.crc.update(&chunk);
                Ok(Some(chunk))
            }
            Some(AnswerFrame::End { length, crc }) if self.is_complete(length, crc) => {
                self.state = self.state.after(AnswerEvent::Whole);
                Ok(None)
            }
            other => Err(self.fail(other)),
        }
    }

    /// Ends the attempt with `code`, for an answer that cannot be forwarded.
    pub fn abort(
        &mut self,
        code: ResultCode,
    ) -> RouterExchange {
        self.state = self.state.after(AnswerEvent::Failed(code));
        self.state
    }

    async fn next_frame(&mut self) -> Option<AnswerFrame> {
        match read_frame(&mut self.recv).await {
            Ok(frame) => frame,
            Err(error) => {
                log::info!(
                    code = error.code.number(), request_id = self.request_id.as_str();
                    "answer not read to its end: {error}"
                );
                None
            }
        }
    }

    fn is_complete(
        &self,
        length: u64,
        crc: u32,
    ) -> bool {
        length == self.length && crc == self.crc.clone().finalize()
    }

    fn fail(
        &mut self,
        frame: Option<AnswerFrame>,
    ) -> RouterExchange {
        let event = match frame {
            None => AnswerEvent::Lost,
            Some(AnswerFrame::NotRun(code)) => AnswerEvent::NotRun(code),
            Some(AnswerFrame::Failed(code)) => AnswerEvent::Failed(code),
            Some(_) => AnswerEvent::Mismatch,
        };
        if !matches!(event, AnswerEvent::NotRun(_)) {
            log::info!(request_id = self.request_id.as_str(); "no whole answer: {event:?}");
        }
        self.state = self.state.after(event);
        self.state
    }
}

/// The outcome reported to the caller for an attempt that ended in this state.
pub fn outcome(state: RouterExchange) -> (Ran, ResultCode) {
    match state {
        RouterExchange::Ended(ran, code) => (ran, code),
        _ => (Ran::Unknown, ResultCode::OutcomeUnknown),
    }
}
