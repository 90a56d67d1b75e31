use {
    super::{
        body_framing::{BodyFraming, MAX_HEADERS},
        malformed_message::MalformedMessage,
    },
    httparse::{EMPTY_HEADER, Response, Status},
};

/// What the head of an answer says of what follows.
pub enum AnswerHead {
    /// Another head, for the same request.
    Interim,
    /// The body.
    Final(BodyFraming),
    /// Another protocol.
    Upgrade,
}

impl AnswerHead {
    /// Reads a whole head of an answer to a request.
    pub fn parse(
        bytes: &[u8],
        has_method_head: bool,
    ) -> Result<Self, MalformedMessage> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = Response::new(&mut headers);
        let (Ok(Status::Complete(_)), Some(status)) = (response.parse(bytes), response.code) else {
            return Err(MalformedMessage);
        };
        Ok(match status {
            101 => Self::Upgrade,
            100..200 => Self::Interim,
            204 | 304 => Self::Final(BodyFraming::Length(0)),
            _ if has_method_head => Self::Final(BodyFraming::Length(0)),
            _ => {
                let declared = BodyFraming::declared(response.headers, response.version)?;
                Self::Final(declared.unwrap_or(BodyFraming::Close))
            }
        })
    }
}
