use {
    super::ClientAnswer,
    std::{collections::HashMap, io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// An HTTP client on one connection. It writes requests as given, also invalid ones.
pub struct Client {
    stream: TcpStream,
    received: Vec<u8>,         // bytes that are not consumed yet
    max_gap: Option<Duration>, // without a byte, after which the connection counts as ended
}

/// The text of a client's HTTP request.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    head: String, // request line and headers
    body: String,
}

impl ClientRequest {
    /// A POST request to the host `app.example` with the attempt id `id` and the key
    /// `key-1`.
    pub fn post(
        path: &str,
        id: &str,
        body: &str,
    ) -> Self {
        Self::new("POST", path, id).body(body)
    }

    /// The same as [`Self::post`], as a GET request without a body.
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
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: app.example\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Credential: key-1\r\n"
        );
        Self {
            head,
            body: String::new(),
        }
    }

    /// Adds a header, in place of one of the same name.
    pub fn header(
        mut self,
        name: &str,
        value: &str,
    ) -> Self {
        let start = format!("{}:", name.to_ascii_lowercase());
        let others: Vec<&str> = self
            .head
            .lines()
            .filter(|line| !line.to_ascii_lowercase().starts_with(&start))
            .collect();
        self.head = others.join("\r\n") + "\r\n" + &format!("{name}: {value}\r\n");
        self
    }

    fn body(
        mut self,
        body: &str,
    ) -> Self {
        self.body = body.to_owned();
        self.header("Content-Length", &body.len().to_string())
    }

    /// The request as it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        format!("{}\r\n{}", self.head, self.body).into_bytes()
    }
}

impl Client {
    /// Connects to a router.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
            max_gap: None,
        })
    }

    /// From now on, counts the connection as ended when nothing arrives for this long.
    pub fn give_up_after(
        &mut self,
        gap: Duration,
    ) {
        self.max_gap = Some(gap);
    }

    /// Its own address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.stream.local_addr()
    }

    /// Sends one request on a new connection and reads its answer.
    pub async fn call_once(
        address: SocketAddr,
        request: &ClientRequest,
    ) -> ClientAnswer {
        match Self::connect(address).await {
            Ok(mut client) => client.call(request).await,
            Err(_) => no_answer(),
        }
    }

    /// Sends a request and reads its answer.
    pub async fn call(
        &mut self,
        request: &ClientRequest,
    ) -> ClientAnswer {
        if self.send(&request.bytes()).await.is_err() {
            return no_answer();
        }
        self.answer().await
    }

    pub async fn send(
        &mut self,
        bytes: &[u8],
    ) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends bytes until an answer begins, and reads the answer. A router may answer before it has
    /// read all of a request.
    pub async fn answer_while_sending(
        &mut self,
        bytes: &[u8],
    ) -> ClientAnswer {
        let (mut read, mut write) = self.stream.split();
        tokio::select! {
            sent = write.write_all(bytes) => {
                if let Err(error) = sent {
                    log::debug!("not all was sent: {error}");
                }
            }
            received = read.read_buf(&mut self.received) => {
                if let Err(error) = received {
                    log::debug!("connection failed: {error}");
                }
            }
        }
        self.answer().await
    }

    /// Waits until the received bytes contain `text`. Returns false if the connection
    /// ends first.
    pub async fn wait_for(
        &mut self,
        text: &str,
    ) -> bool {
        loop {
            let found = String::from_utf8_lossy(&self.received).contains(text);
            if found {
                return true;
            }
            if !self.read_more().await {
                return false;
            }
        }
    }

    /// The bytes that were received but are not consumed yet, as text.
    pub fn received_text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }

    /// Waits for the next event on the connection: true if the router closes it without
    /// sending another byte.
    pub async fn is_closed_by_router(&mut self) -> bool {
        self.received.is_empty() && !self.read_more().await
    }

    /// Whether this end knows by now that the router closed the connection.
    pub fn is_known_closed(&mut self) -> bool {
        match self.stream.try_read_buf(&mut self.received) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Reads one answer.
    pub async fn answer(&mut self) -> ClientAnswer {
        let head_end = loop {
            let found = self
                .received
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n");
            if let Some(at) = found {
                break at;
            }
            if !self.read_more().await {
                return no_answer();
            }
        };
        let head = String::from_utf8_lossy(&self.received[..head_end]).into_owned();
        self.received.drain(..head_end + 4);
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
        let (body, is_complete) = match (chunked, length) {
            (true, _) => self.read_chunks().await,
            (_, Some(length)) => self.read_exactly(length).await,
            _ => (Vec::new(), true),
        };
        ClientAnswer {
            status: status.unwrap_or(0),
            headers,
            body,
            is_complete,
        }
    }

    /// Reads this many bytes. The flag is false if the connection ended first.
    async fn read_exactly(
        &mut self,
        length: usize,
    ) -> (Vec<u8>, bool) {
        while self.received.len() < length {
            if !self.read_more().await {
                return (std::mem::take(&mut self.received), false);
            }
        }
        (self.received.drain(..length).collect(), true)
    }

    /// Reads a chunked body. The flag is false if it ended before its last chunk.
    async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = self.received.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                if !self.read_more().await {
                    return (body, false);
                }
            };
            let size = String::from_utf8_lossy(&self.received[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return (body, false);
            };
            self.received.drain(..line_end + 2);
            let (chunk, is_complete) = self.read_exactly(size + 2).await;
            if !is_complete {
                return (body, false);
            }
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return (body, true);
            }
        }
    }

    /// Reads the next bytes. Returns false at the end of the connection.
    async fn read_more(&mut self) -> bool {
        let reading = self.stream.read_buf(&mut self.received);
        let read = match self.max_gap {
            None => reading.await,
            Some(gap) => match timeout(gap, reading).await {
                Ok(read) => read,
                Err(_) => return false,
            },
        };
        matches!(read, Ok(count) if count > 0)
    }
}

fn no_answer() -> ClientAnswer {
    ClientAnswer {
        status: 0,
        headers: HashMap::new(),
        body: Vec::new(),
        is_complete: false,
    }
}
