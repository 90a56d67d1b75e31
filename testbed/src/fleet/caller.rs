use {
    super::{Outcome, StreamingNonces},
    crate::standin::ChatBody,
    reqwest::{Client, Method, RequestBuilder, Response, retry},
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{
            OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
};

static NEXT_NONCE: AtomicU64 = AtomicU64::new(1);

/// One HTTP client for all callers, since building one is slow. Copies share its
/// connections.
fn client() -> &'static Client {
    static CLIENT: OnceLock<Client> = OnceLock::new();
    CLIENT.get_or_init(|| {
        Client::builder()
            .retry(retry::never())
            .no_proxy()
            .build()
            .expect("a plain client can be built")
    })
}

/// A nonce that identifies a request, unique within this process.
pub fn nonce() -> String {
    format!("n{}", NEXT_NONCE.fetch_add(1, Ordering::Relaxed))
}

/// An HTTP caller that uses the key of one client account.
#[derive(Clone)]
pub struct Caller {
    http: Client,
    base: String,
    account: String,
    key: String,
    header: Option<(String, String)>, // added to each request
    streaming: StreamingNonces,
}

impl Caller {
    /// A caller of the router or stand-in at this address.
    pub fn new(
        address: SocketAddr,
        account: &str,
    ) -> Self {
        Self {
            http: client().clone(),
            base: format!("http://{address}"),
            account: account.to_owned(),
            key: super::account_key(account),
            header: None,
            streaming: StreamingNonces::default(),
        }
    }

    /// Replaces the account's key.
    pub fn with_key(
        mut self,
        key: &str,
    ) -> Self {
        key.clone_into(&mut self.key);
        self
    }

    /// Adds a header to each request, in place of one added before.
    pub fn with_header(
        mut self,
        name: &str,
        value: &str,
    ) -> Self {
        self.header = Some((name.to_owned(), value.to_owned()));
        self
    }

    /// Records in `streaming` which of its chat requests receive events.
    pub fn record_streaming(
        mut self,
        streaming: &StreamingNonces,
    ) -> Self {
        self.streaming = streaming.clone();
        self
    }

    /// A request with this caller's key and headers, to be completed and sent.
    pub fn request(
        &self,
        method: Method,
        path: &str,
    ) -> RequestBuilder {
        let request = self
            .http
            .request(method, format!("{}{path}", self.base))
            .bearer_auth(&self.key)
            .header("x-account", &self.account);
        match &self.header {
            Some((name, value)) => request.header(name, value),
            None => request,
        }
    }

    /// Sends a chat request and checks that every token contains its nonce.
    pub async fn chat(
        &self,
        body: &ChatBody,
    ) -> Outcome {
        let started = Instant::now();
        let request = self
            .request(Method::POST, "/v1/chat/completions")
            .json(body);
        let response = match request.send().await {
            Ok(response) => response,
            Err(_) => return Outcome::NoAnswer,
        };
        if !response.status().is_success() {
            return read_refusal(response, started).await;
        }
        if body.stream {
            let outcome = read_stream(response, body, started, &self.streaming).await;
            self.streaming.remove(body.nonce());
            outcome
        } else {
            read_whole(response, body, started).await
        }
    }

    /// Sends a plain call and checks that the answer echoes its nonce and body. `key` is
    /// its idempotency key.
    pub async fn plain(
        &self,
        method: Method,
        path: &str,
        nonce: &str,
        key: Option<&str>,
    ) -> Outcome {
        let started = Instant::now();
        let mut request = self.request(method, path).header("x-nonce", nonce);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = match request.body(nonce.to_owned()).send().await {
            Ok(response) => response,
            Err(_) => return Outcome::NoAnswer,
        };
        if !response.status().is_success() {
            return read_refusal(response, started).await;
        }
        match response.text().await {
            Ok(text) if text == format!("{nonce}:{nonce}") => Outcome::Complete {
                tokens: 0,
                first: started.elapsed(),
                total: started.elapsed(),
            },
            Ok(text) => Outcome::WrongAnswer(text),
            Err(_) => Outcome::Truncated,
        }
    }
}

/// The outcome of an answer with an error status.
async fn read_refusal(
    response: Response,
    started: Instant,
) -> Outcome {
    let status = response.status().as_u16();
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let Ok(text) = response.text().await else {
        return Outcome::Truncated;
    };
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let error = &body["error"];
    match error["code"].as_u64() {
        Some(code) => Outcome::Refused {
            status,
            code,
            ran: error["ran"].as_str().unwrap_or("").to_owned(),
            retry_after,
            total: started.elapsed(),
        },
        None => Outcome::WrongAnswer(format!("{status}: {text}")),
    }
}

async fn read_whole(
    response: Response,
    body: &ChatBody,
    started: Instant,
) -> Outcome {
    let Ok(text) = response.text().await else {
        return Outcome::Truncated;
    };
    let total = started.elapsed();
    let answer: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let content = answer["choices"][0]["message"]["content"].as_str();
    match content {
        Some(content) if content == expected_content(body) => Outcome::Complete {
            tokens: body.max_tokens,
            first: total,
            total,
        },
        _ => Outcome::WrongAnswer(text),
    }
}

async fn read_stream(
    mut response: Response,
    body: &ChatBody,
    started: Instant,
    streaming: &StreamingNonces,
) -> Outcome {
    let (mut text, mut first) = (Vec::new(), None);
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => {
                if first.is_none() {
                    first = Some(started.elapsed());
                    streaming.insert(body.nonce());
                }
                text.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            Err(_) => return Outcome::Truncated,
        }
    }
    let text = String::from_utf8_lossy(&text);
    if ends_with_error(&text) {
        return Outcome::Truncated;
    }
    if !text.ends_with("data: [DONE]\n\n") {
        return Outcome::WrongAnswer(format!("stream ended without its [DONE] event: {text}"));
    }
    let content: String = text.lines().filter_map(token_of_event).collect();
    if content != expected_content(body) {
        return Outcome::WrongAnswer(content);
    }
    Outcome::Complete {
        tokens: body.max_tokens,
        first: first.unwrap_or_default(),
        total: started.elapsed(),
    }
}

/// Whether the last event is a router's error with a result code, by which clients
/// detect that a stream is incomplete.
fn ends_with_error(text: &str) -> bool {
    let last = text.trim_end().rsplit("\n\n").next().unwrap_or("");
    let event: Option<Value> = last
        .strip_prefix("data: ")
        .and_then(|json| serde_json::from_str(json).ok());
    event.is_some_and(|event| event["error"]["code"].is_u64())
}

fn token_of_event(line: &str) -> Option<String> {
    let event: Value = serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
    event["choices"][0]["delta"]["content"]
        .as_str()
        .map(str::to_owned)
}

/// The text that a stand-in engine generates for this request.
fn expected_content(body: &ChatBody) -> String {
    (1..=body.max_tokens)
        .map(|number| format!("{}#{number} ", body.nonce()))
        .collect()
}
