use {
    std::io,
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, BufReader},
        net::TcpStream,
    },
};

/// A request that a test's own replica has read to its end.
#[derive(Debug, Default)]
pub struct RawRequest {
    pub id: String,
    pub last_event: u32, // after which a stream is resumed; 0 if it begins
}

impl RawRequest {
    /// Reads a request. `None` if the connection ended before.
    pub async fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut request = Self::default();
        let mut length = 0;
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(None);
            }
            match line.trim_end().split_once(": ") {
                Some(("archmast-attempt-id", value)) => value.clone_into(&mut request.id),
                Some(("last-event-id", value)) => request.last_event = value.parse().unwrap_or(0),
                Some(("content-length", value)) => length = value.parse().unwrap_or(0),
                None if line.trim_end().is_empty() => break,
                _ => {}
            }
        }
        stream.read_exact(&mut vec![0; length]).await?;
        Ok(Some(request))
    }
}
