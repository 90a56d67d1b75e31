use {
    super::store_json::{CONFIG_KEY, ItemJson, KeyJson, REPLICA_PREFIX, RangeJson, WatchJson},
    crate::{
        catalog::{CatalogChange, CatalogSource, Item},
        codes::{Fault, ResultCode},
        ops::PLATFORM_CALLS,
    },
    reqwest::{Client, StatusCode, retry},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

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
        time: Duration,
    ) -> Result<Option<T>, Fault> {
        let down = |error: reqwest::Error| Fault::caused(ResultCode::PlatformDown, &error);
        let url = format!("{}/{path}", self.base);
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
}

impl CatalogSource for StoreClient {
    async fn list(&self) -> Result<CatalogChange, Fault> {
        let mut items: Vec<Item> = Vec::new();
        let mut at = None;
        let mut after = String::new();
        loop {
            let path = format!("kv-range?path_prefix={REPLICA_PREFIX}{after}");
            let page: Option<RangeJson> = self.get(&path, self.call_time).await?;
            let page =
                page.ok_or_else(|| Fault::new(ResultCode::PlatformReply, "no such range"))?;
            at.get_or_insert(page.at);
            let last = page.items.last().map(|item| item.key().to_owned());
            items.extend(translate(page.items)?);
            match last {
                Some(last) if page.more => after = format!("&after_revision={last}"),
                _ => break,
            }
        }
        // Last, so that no change falls between it and the watch that goes on.
        let path = format!("kv-key?private_key={CONFIG_KEY}");
        let config: Option<KeyJson> = self.get(&path, self.call_time).await?;
        items.extend(
            config
                .map(|key| key.item.translate())
                .transpose()?
                .flatten(),
        );
        Ok(CatalogChange {
            items,
            at: at.unwrap_or_default(),
        })
    }

    async fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<CatalogChange>, Fault> {
        let path = format!(
            "kv-watch?path_prefix=&after_revision={after}&wait_ms={}",
            wait.as_millis()
        );
        let reply: Option<WatchJson> = self.get(&path, wait + self.call_time).await?;
        reply
            .map(|reply| {
                Ok(CatalogChange {
                    items: translate(reply.events)?,
                    at: reply.at,
                })
            })
            .transpose()
    }
}

fn translate(items: Vec<ItemJson>) -> Result<Vec<Item>, Fault> {
    let translated = items.into_iter().map(ItemJson::translate);
    translated.filter_map(Result::transpose).collect()
}
