/// An answer of a [`super::FramedService`], with its framing and how its connection ends.
#[derive(Debug, Clone)]
pub struct FramedAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>, // without those of the framing
    pub body: Vec<u8>,
    pub framing: AnswerFraming,
    pub end: ConnectionEnd,
}

/// How an answer says where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFraming {
    DeclaredLength(usize), // may differ from the body's length
    Chunks,
    ChunksWithoutLast, // the last chunk is not sent
    UntilClose,        // neither a length nor chunks
    NoHead,            // the body alone
}

/// What becomes of the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    Close,
    Reset,
    StaysOpen, // until the other side closes it
    Repeats,   // sends the body again and again until the other side closes it
}

impl FramedAnswer {
    /// An answer with this body whose connection is closed after it.
    pub fn new(
        content_type: &str,
        body: impl Into<Vec<u8>>,
        framing: AnswerFraming,
    ) -> Self {
        Self {
            status: 200,
            headers: vec![("Content-Type".to_owned(), content_type.to_owned())],
            body: body.into(),
            framing,
            end: ConnectionEnd::Close,
        }
    }

    /// An event stream with this text.
    pub fn events(
        text: &str,
        framing: AnswerFraming,
    ) -> Self {
        Self::new("text/event-stream", text, framing)
    }

    /// Sets the status.
    pub fn status(
        mut self,
        status: u16,
    ) -> Self {
        self.status = status;
        self
    }

    /// Adds a header.
    pub fn header(
        mut self,
        name: &str,
        value: &str,
    ) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Resets the connection after the body.
    pub fn reset(mut self) -> Self {
        self.end = ConnectionEnd::Reset;
        self
    }

    /// Keeps the connection open after the body.
    pub fn keep_open(mut self) -> Self {
        self.end = ConnectionEnd::StaysOpen;
        self
    }

    /// Sends the body again and again.
    pub fn repeat(mut self) -> Self {
        self.end = ConnectionEnd::Repeats;
        self
    }

    /// The answer's bytes, without a body if `is_head_request`.
    pub(super) fn bytes(
        &self,
        is_head_request: bool,
    ) -> Vec<u8> {
        if self.framing == AnswerFraming::NoHead {
            return self.body.clone();
        }
        let mut text = format!("HTTP/1.1 {} Status\r\nConnection: close\r\n", self.status);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        match self.framing {
            AnswerFraming::DeclaredLength(length) => {
                text.push_str(&format!("Content-Length: {length}\r\n"));
            }
            AnswerFraming::Chunks | AnswerFraming::ChunksWithoutLast => {
                text.push_str("Transfer-Encoding: chunked\r\n");
            }
            AnswerFraming::UntilClose | AnswerFraming::NoHead => {}
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        if !is_head_request {
            self.append_body(&mut bytes);
        }
        bytes
    }

    fn append_body(
        &self,
        bytes: &mut Vec<u8>,
    ) {
        let is_chunked = matches!(
            self.framing,
            AnswerFraming::Chunks | AnswerFraming::ChunksWithoutLast
        );
        if is_chunked && !self.body.is_empty() {
            bytes.extend_from_slice(format!("{:x}\r\n", self.body.len()).as_bytes());
            bytes.extend_from_slice(&self.body);
            bytes.extend_from_slice(b"\r\n");
        } else {
            bytes.extend_from_slice(&self.body);
        }
        if self.framing == AnswerFraming::Chunks {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
}
