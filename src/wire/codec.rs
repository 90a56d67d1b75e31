use {
    crate::codes::{Fault, ResultCode},
    serde::{Serialize, de::DeserializeOwned},
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// The protocol version of the messages between processes.
pub const PROTOCOL_VERSION: u8 = 2;

/// The largest frame without its length prefix, in bytes. Bodies are sent in smaller chunks.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Encodes a message as a frame. Fails with `FrameTooLarge` or `FrameMalformed`.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, Fault> {
    let head = vec![0, 0, 0, 0, PROTOCOL_VERSION];
    let mut frame = postcard::to_extend(message, head)
        .map_err(|error| Fault::new(ResultCode::FrameMalformed, error.to_string()))?;
    let length = frame.len() - 4;
    if length > MAX_FRAME_BYTES {
        let detail = format!("{length} bytes");
        return Err(Fault::new(ResultCode::FrameTooLarge, detail));
    }
    frame[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Encodes a message as a datagram, that is, a frame without its length prefix.
pub fn encode_payload<T: Serialize>(message: &T) -> Result<Vec<u8>, Fault> {
    postcard::to_extend(message, vec![PROTOCOL_VERSION])
        .map_err(|error| Fault::new(ResultCode::FrameMalformed, error.to_string()))
}

/// Decodes the message in a datagram, or in a frame without its length prefix. Fails with
/// `VersionUnknown` or `FrameMalformed`.
pub fn decode_payload<T: DeserializeOwned>(payload: &[u8]) -> Result<T, Fault> {
    match payload.split_first() {
        None => Err(Fault::new(ResultCode::FrameMalformed, "empty")),
        Some((&PROTOCOL_VERSION, message)) => decode_whole(message),
        Some((version, _)) => {
            let detail = format!("version {version}, this process speaks {PROTOCOL_VERSION}");
            Err(Fault::new(ResultCode::VersionUnknown, detail))
        }
    }
}

/// Reads one frame; `None` if the stream has ended.
///
/// Fails with `FrameTooLarge`, `VersionUnknown`, `FrameMalformed`, or `PeerUnreachable` if
/// the connection or the stream ends within the frame.
pub async fn read_frame<T, R>(reader: &mut R) -> Result<Option<T>, Fault>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let mut head = [0; 4];
    let first = reader.read(&mut head).await.map_err(connection_lost)?;
    if first == 0 {
        return Ok(None);
    }
    reader
        .read_exact(&mut head[first..])
        .await
        .map_err(connection_lost)?;
    let length = u32::from_be_bytes(head) as usize;
    if length > MAX_FRAME_BYTES {
        let detail = format!("{length} bytes");
        return Err(Fault::new(ResultCode::FrameTooLarge, detail));
    }
    let mut payload = Vec::new();
    reader
        .take(length as u64)
        .read_to_end(&mut payload)
        .await
        .map_err(connection_lost)?;
    if payload.len() < length {
        return Err(Fault::new(
            ResultCode::PeerUnreachable,
            "the stream ended within a frame",
        ));
    }
    decode_payload(&payload).map(Some)
}

fn decode_whole<T: DeserializeOwned>(message: &[u8]) -> Result<T, Fault> {
    let malformed = |detail: String| Fault::new(ResultCode::FrameMalformed, detail);
    let (decoded, rest) =
        postcard::take_from_bytes(message).map_err(|error| malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(decoded)
    } else {
        Err(malformed(format!("{} bytes after the message", rest.len())))
    }
}

fn connection_lost(error: std::io::Error) -> Fault {
    Fault::new(ResultCode::PeerUnreachable, error.to_string())
}
