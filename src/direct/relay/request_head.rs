use {
    super::{
        body_framing::{BodyFraming, MAX_HEADERS},
        malformed_message::MalformedMessage,
    },
    httparse::{EMPTY_HEADER, Request, Status},
};

/// What the head of a request says of what follows.
pub struct RequestHead {
    pub has_method_head: bool, // the answer has no body
    pub framing: BodyFraming,
}

impl RequestHead {
    /// Reads a whole head.
    pub fn parse(bytes: &[u8]) -> Result<Self, MalformedMessage> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut request = Request::new(&mut headers);
        let (Ok(Status::Complete(_)), Some(method)) = (request.parse(bytes), request.method) else {
            return Err(MalformedMessage);
        };
        if method == "CONNECT" {
            return Err(MalformedMessage);
        }
        let framing = match BodyFraming::declared(request.headers, request.version)? {
            None => BodyFraming::Length(0),
            Some(BodyFraming::Close) => return Err(MalformedMessage),
            Some(framing) => framing,
        };
        Ok(Self {
            has_method_head: method == "HEAD",
            framing,
        })
    }
}
