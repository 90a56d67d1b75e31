use {
    super::ClientAnswer,
    std::{collections::HashMap, io, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// A client's connection to a router, byte by byte.
pub struct Client {
    stream: TcpStream,
    rest: Vec<u8>,
}

/// A request as a client writes it.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    text: String,
    body: String,
}

impl ClientRequest {
    /// A POST for the host `app.example` with the key `key-1`.
    pub fn post(
        path: &str,
        id: &str,
        body: &str,
    ) -> Self {
        Self::new("POST", path, id).body(body)
    }

    /// A GET of the same kind.
    pub fn get(
        path: &str,
        id: &str,
    ) -> Self {
        Self::new("GET", path, id)
    }

    fn new(
        method: &str,
        path: &str,
        id: &str,
    ) -> Self {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: app.example\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Credential: key-1\r\n"
        );
        Self {
            text,
            body: String::new(),
        }
    }

    /// Adds a header, or replaces the one of that name.
    pub fn header(
        mut self,
        name: &str,
        value: &str,
    ) -> Self {
        let start = format!("{}:", name.to_ascii_lowercase());
        let kept: Vec<&str> = self
            .text
            .lines()
            .filter(|line| !line.to_ascii_lowercase().starts_with(&start))
            .collect();
        self.text = kept.join("\r\n") + "\r\n" + &format!("{name}: {value}\r\n");
        self
    }

    fn body(
        mut self,
        body: &str,
    ) -> Self {
        self.body = body.to_owned();
        self.header("Content-Length", &body.len().to_string())
    }

    /// The bytes of it.
    pub fn bytes(&self) -> Vec<u8> {
        format!("{}\r\n{}", self.text, self.body).into_bytes()
    }
}

impl Client {
    /// Connects to a router.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            rest: Vec::new(),
        })
    }

    /// One request on a connection of its own.
    pub async fn ask(
        address: SocketAddr,
        request: &ClientRequest,
    ) -> ClientAnswer {
        match Self::connect(address).await {
            Ok(mut client) => client.call(request).await,
            Err(_) => nothing(),
        }
    }

    /// Sends a request and reads its whole answer.
    pub async fn call(
        &mut self,
        request: &ClientRequest,
    ) -> ClientAnswer {
        if self.send(&request.bytes()).await.is_err() {
            return nothing();
        }
        self.answer().await
    }

    /// Sends bytes as they are.
    pub async fn send(
        &mut self,
        bytes: &[u8],
    ) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until some bytes of an answer came that hold `text`.
    pub async fn wait_for(
        &mut self,
        text: &str,
    ) -> bool {
        loop {
            let held = String::from_utf8_lossy(&self.rest).contains(text);
            if held {
                return true;
            }
            if !self.more().await {
                return false;
            }
        }
    }

    /// Whether the router ends the connection without another byte.
    pub async fn is_closed_by_router(&mut self) -> bool {
        self.rest.is_empty() && !self.more().await
    }

    /// Reads one answer.
    pub async fn answer(&mut self) -> ClientAnswer {
        let head_end = loop {
            let found = self.rest.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(at) = found {
                break at;
            }
            if !self.more().await {
                return nothing();
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..head_end]).into_owned();
        self.rest.drain(..head_end + 4);
        let mut lines = head.lines();
        let status = lines
            .next()
            .and_then(|line| line.split(' ').nth(1)?.parse().ok());
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let chunked = headers
            .get("transfer-encoding")
            .is_some_and(|te| te == "chunked");
        let length: Option<usize> = headers.get("content-length").and_then(|t| t.parse().ok());
        let (body, whole) = match (chunked, length) {
            (true, _) => self.chunks().await,
            (_, Some(length)) => self.exactly(length).await,
            _ => (Vec::new(), true),
        };
        ClientAnswer {
            status: status.unwrap_or(0),
            headers,
            body,
            whole,
        }
    }

    async fn exactly(
        &mut self,
        length: usize,
    ) -> (Vec<u8>, bool) {
        while self.rest.len() < length {
            if !self.more().await {
                return (std::mem::take(&mut self.rest), false);
            }
        }
        (self.rest.drain(..length).collect(), true)
    }

    async fn chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = self.rest.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                if !self.more().await {
                    return (body, false);
                }
            };
            let size = String::from_utf8_lossy(&self.rest[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return (body, false);
            };
            self.rest.drain(..line_end + 2);
            let (chunk, whole) = self.exactly(size + 2).await;
            if !whole {
                return (body, false);
            }
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return (body, true);
            }
        }
    }

    async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.rest).await, Ok(count) if count > 0)
    }
}

fn nothing() -> ClientAnswer {
    ClientAnswer {
        status: 0,
        headers: HashMap::new(),
        body: Vec::new(),
        whole: false,
    }
}
