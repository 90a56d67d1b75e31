use {
    super::store_json::{
        OPERATOR_PREFIX, REPLICA_PREFIX, RangeJson, WatchJson, last_key, translate_all,
    },
    crate::{
        catalog::{CatalogChange, CatalogSource, Item},
        codes::{Fault, ResultCode},
        ops::PLATFORM_CALLS,
    },
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
    reqwest::{Client, StatusCode, retry},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// What is encoded in the words of a query: keys may have any characters.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.');

/// Calls to the platform's store, each on a connection of its own: one that was kept
/// from before may have fallen silent, which costs the time of a call to find out.
pub struct StoreClient {
    http: Client,
    base: String,
    call_time: Duration, // that a call may take beyond what it waits
}

impl StoreClient {
    /// A client of the store at this address: code 93.
    pub fn new(
        address: SocketAddr,
        call_time: Duration,
    ) -> Result<Self, Fault> {
        let http = Client::builder()
            .retry(retry::never())
            .no_proxy()
            .connect_timeout(call_time)
            .tcp_nodelay(true)
            .pool_max_idle_per_host(0)
            .build()
            .map_err(|error| Fault::new(ResultCode::StartFailed, error))?;
        Ok(Self {
            http,
            base: format!("http://{address}/v1"),
            call_time,
        })
    }

    /// One call. None for an answer that says there is no such thing (any more).
    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
        time: Duration,
    ) -> Result<Option<T>, Fault> {
        let down = |error: reqwest::Error| Fault::caused(ResultCode::PlatformDown, &error);
        let words = query.iter().map(|(name, value)| {
            let value = utf8_percent_encode(value, ENCODED);
            format!("{name}={value}")
        });
        let words: Vec<String> = words.collect();
        let url = format!("{}/{path}?{}", self.base, words.join("&"));
        let sent = self.http.get(url).timeout(time).send().await;
        let label = match &sent {
            Ok(response) => response.status().as_str().to_owned(),
            Err(_) => "none".to_owned(),
        };
        metrics::counter!(PLATFORM_CALLS, "outcome" => label).increment(1);
        let response = sent.map_err(down)?;
        match response.status() {
            StatusCode::OK => {
                let bytes = response.bytes().await.map_err(down)?;
                let reply = serde_json::from_slice(&bytes);
                reply
                    .map(Some)
                    .map_err(|error| Fault::new(ResultCode::PlatformReply, error))
            }
            StatusCode::GONE | StatusCode::NOT_FOUND => Ok(None),
            StatusCode::TOO_MANY_REQUESTS => Err(Fault::new(ResultCode::PlatformBudget, "429")),
            status => Err(Fault::new(ResultCode::PlatformDown, status)),
        }
    }

    /// All items below a prefix, page by page, as of the first page's revision.
    async fn range(
        &self,
        prefix: &str,
    ) -> Result<CatalogChange, Fault> {
        let mut items: Vec<Item> = Vec::new();
        let mut at = None;
        let mut after: Option<String> = None;
        loop {
            let mut query = vec![("path_prefix", prefix)];
            query.extend(after.as_deref().map(|after| ("after_revision", after)));
            let page: Option<RangeJson> = self.get("kv-range", &query, self.call_time).await?;
            let reply = |detail: &str| Fault::new(ResultCode::PlatformReply, detail);
            let page = page.ok_or_else(|| reply("no such range"))?;
            at.get_or_insert(page.at);
            let last = last_key(&page.items).map(str::to_owned);
            items.extend(translate_all(page.items));
            if !page.more {
                break;
            }
            if last.is_none() || last <= after {
                return Err(reply("a page does not say where the next one begins"));
            }
            after = last;
        }
        Ok(CatalogChange {
            items,
            at: at.unwrap_or_default(),
        })
    }
}

impl CatalogSource for StoreClient {
    async fn list(&self) -> Result<CatalogChange, Fault> {
        let replicas = self.range(REPLICA_PREFIX).await?;
        // Last, so that no change falls between it and the watch that goes on.
        let operator = self.range(OPERATOR_PREFIX).await?;
        let items = replicas.items.into_iter().chain(operator.items);
        Ok(CatalogChange {
            items: items.collect(),
            at: replicas.at,
        })
    }

    async fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<CatalogChange>, Fault> {
        let (after, wait_ms) = (after.to_string(), wait.as_millis().to_string());
        let query = [
            ("path_prefix", ""),
            ("after_revision", &after),
            ("wait_ms", &wait_ms),
        ];
        let time = wait + self.call_time;
        let reply: Option<WatchJson> = self.get("kv-watch", &query, time).await?;
        Ok(reply.map(|reply| CatalogChange {
            items: translate_all(reply.events),
            at: reply.at,
        }))
    }
}
