use {
    super::{REVISION_HEADER, WatchedValue},
    crate::{
        catalog::WatchTiming,
        codes::{Fault, ResultCode},
        fleet::Revision,
        ops::PLATFORM_CALLS,
    },
    reqwest::{Client, Response, StatusCode, retry},
    std::{net::SocketAddr, time::Duration},
};

/// Time-out of a connection, and of a call that does not wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and watches values of the platform's service. Each call uses a new connection, since a
/// pooled one may have been dropped on the way without notice.
#[derive(Clone)]
pub struct PlatformClient {
    http: Client,
    base: String,
}

impl PlatformClient {
    /// Creates a client of the service at this address. Fails with `ResultCode::StartFailed` (93).
    pub fn new(address: SocketAddr) -> Result<Self, Fault> {
        let http = Client::builder()
            .retry(retry::never())
            .no_proxy()
            .connect_timeout(CALL_TIMEOUT)
            .pool_max_idle_per_host(0)
            .build()
            .map_err(|error| Fault::new(ResultCode::StartFailed, error))?;
        Ok(Self {
            http,
            base: format!("http://{address}/v1"),
        })
    }

    /// Waits until a value is newer than `after`. Returns `None` if the wait ends first or the key
    /// has no value. Fails with `ResultCode::PlatformDown` (80), `PlatformBudget` (81) or
    /// `PlatformReply` (82).
    pub async fn watch(
        &self,
        key: &str,
        after: Revision,
        timing: WatchTiming,
    ) -> Result<Option<WatchedValue>, Fault> {
        let url = format!(
            "{}/watch/{key}?after={after}&wait_ms={}",
            self.base,
            timing.wait.as_millis()
        );
        let Some(response) = self.get(&url, timing.limit).await? else {
            return Ok(None);
        };
        let revision = response
            .headers()
            .get(REVISION_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Revision)
            .ok_or_else(|| {
                Fault::new(
                    ResultCode::PlatformReply,
                    "the answer has no x-revision header",
                )
            })?;
        let text = text(response).await?;
        Ok(Some(WatchedValue { revision, text }))
    }

    /// Reads a value; `None` if the key has none. Fails as `watch` does.
    pub async fn read(
        &self,
        key: &str,
    ) -> Result<Option<WatchedValue>, Fault> {
        let no_wait = WatchTiming {
            wait: Duration::ZERO,
            limit: CALL_TIMEOUT,
        };
        self.watch(key, Revision(0), no_wait).await
    }

    /// Reads a part of the configuration by its digest; `None` if the service does not have it.
    /// Fails with `ResultCode::PlatformDown` (80), `PlatformBudget` (81) or `PlatformReply` (82).
    pub async fn part(
        &self,
        digest: &str,
    ) -> Result<Option<String>, Fault> {
        let url = format!("{}/parts/{digest}", self.base);
        match self.get(&url, CALL_TIMEOUT).await? {
            Some(response) => text(response).await.map(Some),
            None => Ok(None),
        }
    }

    async fn get(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<Option<Response>, Fault> {
        let sent = self.http.get(url).timeout(timeout).send().await;
        let outcome = match sent {
            Err(error) => Err(Fault::with_causes(ResultCode::PlatformDown, &error)),
            Ok(response) => match response.status() {
                StatusCode::OK => Ok(Some(response)),
                StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
                StatusCode::TOO_MANY_REQUESTS => Err(Fault::new(ResultCode::PlatformBudget, "429")),
                status if status.is_server_error() => {
                    Err(Fault::new(ResultCode::PlatformDown, status))
                }
                status => Err(Fault::new(ResultCode::PlatformReply, status)),
            },
        };
        let label = if outcome.is_ok() { "ok" } else { "failed" };
        metrics::counter!(PLATFORM_CALLS, "outcome" => label).increment(1);
        outcome
    }
}

async fn text(response: Response) -> Result<String, Fault> {
    response
        .text()
        .await
        .map_err(|error| Fault::with_causes(ResultCode::PlatformDown, &error))
}
