use {
    super::{REVISION_HEADER, Watched},
    crate::{
        catalog::WatchTiming,
        codes::{Fault, ResultCode},
        fleet::Revision,
        ops::PLATFORM_CALLS,
    },
    reqwest::{Client, Response, StatusCode, retry},
    std::{net::SocketAddr, time::Duration},
};

/// How long a part of the configuration, or a connection, may take.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Reads and watches values of the platform's service, each call on a connection of
/// its own: a kept one may have fallen silent.
#[derive(Clone)]
pub struct PlatformClient {
    http: Client,
    base: String,
}

impl PlatformClient {
    /// A client of the service at this address: code 93.
    pub fn new(address: SocketAddr) -> Result<Self, Fault> {
        let http = Client::builder()
            .retry(retry::never())
            .no_proxy()
            .connect_timeout(CALL_TIME)
            .pool_max_idle_per_host(0)
            .build()
            .map_err(|error| Fault::new(ResultCode::StartFailed, error))?;
        Ok(Self {
            http,
            base: format!("http://{address}/v1"),
        })
    }

    /// Waits until a value is newer than `after`: none when the wait passes
    /// first or the key has no value. Codes 80 to 82.
    pub async fn watch(
        &self,
        key: &str,
        after: Revision,
        time: WatchTiming,
    ) -> Result<Option<Watched>, Fault> {
        let url = format!(
            "{}/watch/{key}?after={after}&wait_ms={}",
            self.base,
            time.wait.as_millis()
        );
        let Some(response) = self.get(&url, time.limit).await? else {
            return Ok(None);
        };
        let revision = response
            .headers()
            .get(REVISION_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Revision)
            .ok_or_else(|| Fault::new(ResultCode::PlatformReply, "no revision"))?;
        let text = text(response).await?;
        Ok(Some(Watched { revision, text }))
    }

    /// Reads a value; none when the key has none. Codes 80 to 82.
    pub async fn read(
        &self,
        key: &str,
    ) -> Result<Option<Watched>, Fault> {
        let at_once = WatchTiming {
            wait: Duration::ZERO,
            limit: CALL_TIME,
        };
        self.watch(key, Revision(0), at_once).await
    }

    /// Reads a part of the configuration by its digest: codes 80 to 82.
    pub async fn part(
        &self,
        digest: &str,
    ) -> Result<Option<String>, Fault> {
        let url = format!("{}/parts/{digest}", self.base);
        match self.get(&url, CALL_TIME).await? {
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
            Err(error) => Err(Fault::caused(ResultCode::PlatformDown, &error)),
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
        .map_err(|error| Fault::caused(ResultCode::PlatformDown, &error))
}
