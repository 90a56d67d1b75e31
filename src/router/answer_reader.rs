use {
    crate::{
        codes::{Ran, ResultCode},
        policy::{AnswerEvent, RouterExchange},
        wire::{AnswerFrame, read_frame},
    },
    quinn::RecvStream,
};

/// The head of an upstream's answer.
pub struct AnswerHead {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl AnswerHead {
    /// Whether the body is a stream of events, to be passed on as they come.
    pub fn is_event_stream(&self) -> bool {
        self.header("content-type")
            .is_some_and(|value| value.starts_with(b"text/event-stream"))
    }

    /// The length of the body, where the upstream declared it.
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

/// Reads one answer from a sidecar and checks that it is whole and the
/// request's own.
pub struct AnswerReader {
    recv: RecvStream,
    request_id: String,
    state: RouterExchange,
    length: u64, // of the chunks so far
    crc: crc32fast::Hasher,
}

impl AnswerReader {
    /// The answer to a request that has been sent.
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

    /// Waits for the answer to begin; otherwise the state says what is known.
    pub async fn head(&mut self) -> Result<AnswerHead, RouterExchange> {
        let head = match self.frame().await {
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

    /// The next piece of the body, none once it is whole.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, RouterExchange> {
        match self.frame().await {
            Some(AnswerFrame::Chunk(chunk)) => {
                self.length += chunk.len() as u64;
                self.crc.update(&chunk);
                Ok(Some(chunk))
            }
            Some(AnswerFrame::End { length, crc }) if self.is_whole(length, crc) => {
                self.state = self.state.after(AnswerEvent::Whole);
                Ok(None)
            }
            other => Err(self.fail(other)),
        }
    }

    /// Stops reading an answer that cannot be passed on.
    pub fn give_up(
        &mut self,
        code: ResultCode,
    ) -> RouterExchange {
        self.state = self.state.after(AnswerEvent::Failed(code));
        self.state
    }

    async fn frame(&mut self) -> Option<AnswerFrame> {
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

    fn is_whole(
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

/// What a state that ended tells a caller.
pub fn outcome(state: RouterExchange) -> (Ran, ResultCode) {
    match state {
        RouterExchange::Ended(ran, code) => (ran, code),
        _ => (Ran::Unknown, ResultCode::OutcomeUnknown),
    }
}
