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

    async fn frame(&mut self) -> Option<AnswerFrame> {
        match read_frame(&mut self.recv).await {
            Ok(frame) => frame,
            Err(error) => {
                log::debug!(code = error.code.number(); "answer: {error}");
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
