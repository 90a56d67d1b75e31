//! The part of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(
        &self,
        name: &str,
    ) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length").parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .to_ascii_lowercase()
            .contains("chunked")
    }
}

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its framing says: by its length, its last chunk or, without both, a close.
    Complete,
    /// Before that.
    Cut,
    /// The reader's time was over.
    Late,
}

/// A connection with what was read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn write(
        &mut self,
        bytes: &[u8],
    ) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(
        &mut self,
        until: Instant,
    ) -> io::Result<bool> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.unread.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Reads a line without its end.
    fn line(
        &mut self,
        until: Instant,
    ) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.unread.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill(until)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn head(
        &mut self,
        until: Instant,
    ) -> io::Result<Head> {
        let first_line = self.line(until)?;
        let mut headers = Vec::new();
        loop {
            let line = self.line(until)?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(Head {
                    first_line,
                    headers,
                });
            };
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads exactly `count` bytes.
    fn exactly(
        &mut self,
        count: usize,
        until: Instant,
        into: &mut Vec<u8>,
    ) -> io::Result<()> {
        while self.unread.len() < count {
            if !self.fill(until)? {
                into.append(&mut self.unread);
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        into.extend(self.unread.drain(..count));
        Ok(())
    }

    fn chunks(
        &mut self,
        until: Instant,
        into: &mut Vec<u8>,
    ) -> io::Result<()> {
        loop {
            let line = self.line(until)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.exactly(size, until, into)?;
            self.line(until)?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Reads the body of a request.
    pub fn request_body(
        &mut self,
        head: &Head,
        until: Instant,
    ) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() {
            self.chunks(until, &mut body)?;
        } else {
            self.exactly(head.length().unwrap_or(0), until, &mut body)?;
        }
        Ok(body)
    }

    /// Reads the body of an answer, and how it ended.
    pub fn answer_body(
        &mut self,
        head: &Head,
        until: Instant,
    ) -> (Vec<u8>, BodyEnd) {
        let mut body = Vec::new();
        let read = if head.is_chunked() {
            self.chunks(until, &mut body)
        } else if let Some(length) = head.length() {
            self.exactly(length, until, &mut body)
        } else {
            self.until_closed(until, &mut body)
        };
        let end = match read {
            Ok(()) => BodyEnd::Complete,
            Err(error) if is_late(&error) => BodyEnd::Late,
            Err(_) => BodyEnd::Cut,
        };
        (body, end)
    }

    fn until_closed(
        &mut self,
        until: Instant,
        into: &mut Vec<u8>,
    ) -> io::Result<()> {
        while self.fill(until)? {}
        into.append(&mut self.unread);
        Ok(())
    }
}

pub fn is_late(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// An answer with a length.
pub fn answer(
    status: &str,
    headers: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
