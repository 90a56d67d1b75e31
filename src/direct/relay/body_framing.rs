use {super::malformed_message::MalformedMessage, httparse::Header};

/// Limit on header lines: that of hyper, which serves the requests.
pub const MAX_HEADERS: usize = 100;

/// How a message says where its body ends. A message without a body has the length 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    Length(u64),
    Chunks,
    /// Neither: the body ends with the connection.
    Close,
}

impl BodyFraming {
    /// The framing that headers declare, if any. A body with a transfer encoding whose last coding is
    /// not `chunked` ends with the connection.
    pub fn declared(
        headers: &[Header<'_>],
        version: Option<u8>,
    ) -> Result<Option<Self>, MalformedMessage> {
        let (mut length, mut encoding) = (None, None);
        for Header { name, value } in headers {
            if name.eq_ignore_ascii_case("content-length") {
                let declared = parse_length(value)?;
                if length.is_some_and(|length| length != declared) {
                    return Err(MalformedMessage);
                }
                length = Some(declared);
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                encoding = Some(*value);
            }
        }
        let Some(encoding) = encoding else {
            return Ok(length.map(Self::Length));
        };
        if version != Some(1) {
            return Err(MalformedMessage);
        }
        let last_coding = encoding.rsplit(|byte| *byte == b',').next();
        let is_chunked =
            last_coding.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        Ok(Some(match is_chunked {
            true => Self::Chunks,
            false => Self::Close,
        }))
    }
}

fn parse_length(value: &[u8]) -> Result<u64, MalformedMessage> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok())
        .ok_or(MalformedMessage)
}
