/// What an unruly client sends on its connection: `start`, then `piece` again and again, then `end`.
#[derive(Debug, Clone)]
pub struct Shape {
    pub start: Vec<u8>,
    pub piece: Vec<u8>,
    pub pieces: usize,
    pub end: Vec<u8>,
    pub writes: usize, // bytes of the pieces that are written at once
}

impl Shape {
    /// Bytes that are written at once unless said otherwise.
    const WRITE_BYTES: usize = 16 << 10;

    /// A client that sends `start`, and nothing more.
    pub fn new(start: impl Into<Vec<u8>>) -> Self {
        Self {
            start: start.into(),
            piece: Vec::new(),
            pieces: 0,
            end: Vec::new(),
            writes: Self::WRITE_BYTES,
        }
    }

    /// The head of a POST request with these further header lines, each with its line end.
    pub fn post(
        path: &str,
        key: &str,
        headers: &str,
    ) -> Self {
        Self::new(format!(
            "POST {path} HTTP/1.1\r\nHost: app.example\r\nArchmast-Attempt-Id: unruly\r\n\
             Archmast-Credential: {key}\r\n{headers}\r\n"
        ))
    }

    /// Adds `count` times `piece`.
    pub fn pieces(
        mut self,
        piece: impl Into<Vec<u8>>,
        count: usize,
    ) -> Self {
        self.piece = piece.into();
        self.pieces = count;
        self
    }

    /// Adds bytes behind the pieces.
    pub fn end(
        mut self,
        end: impl Into<Vec<u8>>,
    ) -> Self {
        self.end = end.into();
        self
    }

    /// Sets how many bytes are written at once.
    pub fn in_writes_of(
        mut self,
        bytes: usize,
    ) -> Self {
        self.writes = bytes;
        self
    }

    /// A body of `bytes` in chunks of `chunk` bytes, whose end does not come.
    pub fn chunks(
        self,
        chunk: usize,
        bytes: usize,
    ) -> Self {
        let text = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        self.pieces(text, bytes / chunk)
    }
}
