use {
    super::{
        answer_end::AnswerEnd, answer_head::AnswerHead, body_skipper::BodySkipper,
        malformed_message::MalformedMessage, progress::Progress, request_head::RequestHead,
        text_collector::TextCollector,
    },
    std::collections::VecDeque,
};

/// How many requests may await their answers before no more are read.
const MAX_AWAITED: usize = 1024;

/// Follows the requests and answers of one connection by their framing, without keeping them.
pub struct ExchangeFollower {
    request: Message,
    answer: Message,
    awaited: VecDeque<bool>, // requests without a whole answer: whether the method is HEAD
    is_lost: bool,           // a message could not be followed
}

/// The part of a message that comes next, or is in progress.
enum Message {
    Head(TextCollector),
    Body(BodySkipper),
}

impl Message {
    fn next() -> Self {
        Self::Head(TextCollector::head())
    }

    fn after_head(body: Option<BodySkipper>) -> Self {
        body.map_or_else(Self::next, Self::Body)
    }

    fn is_head_in_part(&self) -> bool {
        matches!(self, Self::Head(head) if !head.is_empty())
    }
}

impl Default for ExchangeFollower {
    fn default() -> Self {
        Self {
            request: Message::next(),
            answer: Message::next(),
            awaited: VecDeque::new(),
            is_lost: false,
        }
    }
}

impl ExchangeFollower {
    /// What is in progress.
    pub fn progress(&self) -> Progress {
        if self.is_lost {
            return Progress::Unknown;
        }
        match &self.answer {
            Message::Body(BodySkipper::Close) => return Progress::AnswerInPart(AnswerEnd::Close),
            Message::Body(_) => return Progress::AnswerInPart(AnswerEnd::Framed),
            Message::Head(head) if !head.is_empty() => {
                return Progress::AnswerInPart(AnswerEnd::Framed);
            }
            Message::Head(_) => {}
        }
        // A request whose body is in part, and which is not awaited, was answered early.
        match (self.awaited.len(), &self.request) {
            (0, Message::Head(head)) if !head.is_empty() => Progress::RequestInPart,
            (0, _) => Progress::Idle,
            (1, Message::Body(_)) => Progress::RequestInPart,
            _ => Progress::AnswerAwaited,
        }
    }

    /// Whether more requests may be read.
    pub fn has_room(&self) -> bool {
        self.awaited.len() < MAX_AWAITED
    }

    /// Takes the next bytes of the caller.
    pub fn follow_request(
        &mut self,
        bytes: &[u8],
    ) {
        if !self.is_lost && self.advance_requests(bytes).is_err() {
            self.lose();
        }
    }

    /// Takes the next bytes of the answers. Returns how many of them belong to an answer that is
    /// awaited; the ones after these answer no request.
    pub fn follow_answer(
        &mut self,
        bytes: &[u8],
    ) -> usize {
        if self.is_lost {
            return bytes.len();
        }
        self.advance_answers(bytes).unwrap_or_else(|_| {
            self.lose();
            bytes.len()
        })
    }

    fn lose(&mut self) {
        *self = Self {
            is_lost: true,
            ..Self::default()
        };
    }

    fn advance_requests(
        &mut self,
        mut bytes: &[u8],
    ) -> Result<(), MalformedMessage> {
        loop {
            let count = match &mut self.request {
                Message::Head(head) => {
                    if head.is_empty() {
                        bytes = skip_blank_lines(bytes);
                    }
                    let read = head.advance(bytes, RequestHead::parse)?;
                    read.map(|(count, head)| {
                        self.awaited.push_back(head.has_method_head);
                        self.request = Message::after_head(BodySkipper::new(head.framing));
                        count
                    })
                }
                Message::Body(body) => body.advance(bytes)?.inspect(|_| {
                    self.request = Message::next();
                }),
            };
            match count {
                Some(count) if count < bytes.len() => bytes = &bytes[count..],
                _ => return Ok(()),
            }
        }
    }

    fn advance_answers(
        &mut self,
        bytes: &[u8],
    ) -> Result<usize, MalformedMessage> {
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            let count = match &mut self.answer {
                Message::Head(head) => {
                    let Some(has_method_head) = self.awaited.front().copied() else {
                        // A server may answer a request whose head is not whole.
                        return match self.request.is_head_in_part() {
                            true => Err(MalformedMessage),
                            false => Ok(at),
                        };
                    };
                    let parse = |text: &[u8]| AnswerHead::parse(text, has_method_head);
                    let Some((count, head)) = head.advance(rest, parse)? else {
                        return Ok(bytes.len());
                    };
                    match head {
                        AnswerHead::Interim => {}
                        AnswerHead::Upgrade => return Err(MalformedMessage),
                        AnswerHead::Final(framing) => {
                            self.answer = Message::after_head(BodySkipper::new(framing));
                            if !matches!(self.answer, Message::Body(_)) {
                                self.awaited.pop_front();
                            }
                        }
                    }
                    count
                }
                Message::Body(body) => {
                    let Some(count) = body.advance(rest)? else {
                        return Ok(bytes.len());
                    };
                    self.awaited.pop_front();
                    self.answer = Message::next();
                    count
                }
            };
            at += count;
        }
        Ok(at)
    }
}

/// Leaves out the blank lines that may come before a request.
fn skip_blank_lines(bytes: &[u8]) -> &[u8] {
    let is_text = |byte: &u8| !matches!(byte, b'\r' | b'\n');
    let start = bytes.iter().position(is_text).unwrap_or(bytes.len());
    &bytes[start..]
}
