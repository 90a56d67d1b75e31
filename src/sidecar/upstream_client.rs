use {
    crate::{codes::ResultCode, wire::RequestHead},
    bytes::Bytes,
    reqwest::{Client, Method, Response, redirect, retry},
    std::{net::SocketAddr, time::Duration},
};

/// The header with the request id, the same at every hop.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header that tells the engine a request's priority: the milliseconds left in which it
/// should start. Lower values are more urgent.
pub const PRIORITY_HEADER: &str = "x-archmast-priority";

/// How long the upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP client for the upstream beside this process.
pub struct UpstreamClient {
    http: Client,
    base: String,
    silence_limit: Duration,
}

/// Why a call got no answer from the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamFailure {
    pub code: ResultCode,
    pub unsent: bool, // certain that nothing reached the upstream
}

impl UpstreamClient {
    /// A client that sends each request exactly once, without retries or redirects.
    ///
    /// Each request uses a new connection. The upstream could close a kept-alive one while
    /// the next request is written, and it would then be unknown whether that request ran.
    ///
    /// Fails if the HTTP client cannot be built; the process then does not start.
    pub fn new(
        address: SocketAddr,
        silence_limit: Duration,
    ) -> Result<Self, reqwest::Error> {
        let http = Client::builder()
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .no_proxy()
            .pool_max_idle_per_host(0)
            .connect_timeout(CONNECT_TIMEOUT)
            .build()?;
        Ok(Self {
            http,
            base: format!("http://{address}"),
            silence_limit,
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        head: &RequestHead,
        body: Bytes,
    ) -> Result<Response, UpstreamFailure> {
        let method = Method::from_bytes(head.method.as_bytes()).unwrap_or(Method::POST);
        let mut request = self
            .http
            .request(method, format!("{}{}", self.base, head.path))
            .header(REQUEST_ID_HEADER, &head.request_id)
            .header(PRIORITY_HEADER, head.patience_ms);
        for (name, value) in &head.headers {
            request = request.header(name, value.as_slice());
        }
        let sent = request.body(body).send();
        match tokio::time::timeout(self.silence_limit, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(UpstreamFailure {
                code: if error.is_connect() {
                    ResultCode::UpstreamUnreachable
                } else {
                    ResultCode::AnswerCut
                },
                unsent: error.is_connect() || error.is_builder(),
            }),
            Err(_) => Err(UpstreamFailure {
                code: ResultCode::UpstreamTimeout,
                unsent: false,
            }),
        }
    }

    /// The next chunk of an answer's body, or `None` at its end.
    pub async fn read_chunk(
        &self,
        response: &mut Response,
    ) -> Result<Option<Bytes>, ResultCode> {
        match tokio::time::timeout(self.silence_limit, response.chunk()).await {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(_)) => Err(ResultCode::AnswerCut),
            Err(_) => Err(ResultCode::UpstreamTimeout),
        }
    }
}
