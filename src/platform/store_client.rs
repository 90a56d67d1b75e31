use {
    super::store_json::{
        OPERATOR_PREFIX, REPLICA_PREFIX, RangeJson, WatchJson, last_key, translate_all,
    },
    crate::{
        catalog::{CatalogChange, CatalogItem, CatalogSource, StoreRevision},
        codes::{Fault, ResultCode},
        ops::PLATFORM_CALLS,
    },
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
    reqwest::{Client, StatusCode, header::HeaderMap, retry},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// Characters that are percent-encoded in query values. Keys may contain any character.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.');

/// Header of the store's answers: the number of times that it has come back from a copy, which
/// lacks its newest changes. Their revisions are then given out again.
const ERA_HEADER: &str = "Store-Era";

/// A successful answer of the store.
struct StoreAnswer<T> {
    body: T,
    era: Option<u64>, // none if the store does not report it
}

/// HTTP client of the platform's store. Each call opens a new connection: a pooled one may be
/// dead, which is noticed only when a call on it times out.
pub struct StoreClient {
    http: Client,
    base_url: String,
    call_timeout: Duration, // of a call, in addition to the wait of a watch
}

impl StoreClient {
    /// A client of the store at this address. Fails with `StartFailed`.
    pub fn new(
        address: SocketAddr,
        call_timeout: Duration,
    ) -> Result<Self, Fault> {
        let http = Client::builder()
            .retry(retry::never())
            .no_proxy()
            .connect_timeout(call_timeout)
            .tcp_nodelay(true)
            .pool_max_idle_per_host(0)
            .build()
            .map_err(|error| Fault::new(ResultCode::StartFailed, error))?;
        Ok(Self {
            http,
            base_url: format!("http://{address}/v1"),
            call_timeout,
        })
    }

    /// Makes one call, which takes up to `time`. Returns none for status 404 or 410. Fails with
    /// `PlatformBudget` for status 429, with `PlatformReply` if the answer cannot be parsed, and
    /// with `PlatformDown` otherwise.
    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
        time: Duration,
    ) -> Result<Option<StoreAnswer<T>>, Fault> {
        let down = |error: reqwest::Error| Fault::with_causes(ResultCode::PlatformDown, &error);
        let parameters = query.iter().map(|(name, value)| {
            let value = utf8_percent_encode(value, ENCODED);
            format!("{name}={value}")
        });
        let parameters: Vec<String> = parameters.collect();
        let url = format!("{}/{path}?{}", self.base_url, parameters.join("&"));
        let sent = self.http.get(url).timeout(time).send().await;
        let label = match &sent {
            Ok(response) => response.status().as_str().to_owned(),
            Err(_) => "none".to_owned(),
        };
        metrics::counter!(PLATFORM_CALLS, "outcome" => label).increment(1);
        let response = sent.map_err(down)?;
        match response.status() {
            StatusCode::OK => {
                let era = store_era(response.headers());
                let bytes = response.bytes().await.map_err(down)?;
                let body = serde_json::from_slice(&bytes);
                body.map(|body| Some(StoreAnswer { body, era }))
                    .map_err(|error| Fault::new(ResultCode::PlatformReply, error))
            }
            StatusCode::GONE | StatusCode::NOT_FOUND => Ok(None),
            StatusCode::TOO_MANY_REQUESTS => Err(Fault::new(ResultCode::PlatformBudget, "429")),
            status => Err(Fault::new(ResultCode::PlatformDown, status)),
        }
    }

    /// Reads all items below a prefix, page by page. The revision is that of the first page.
    async fn range(
        &self,
        prefix: &str,
    ) -> Result<CatalogChange, Fault> {
        let mut items: Vec<CatalogItem> = Vec::new();
        let mut start = None; // revision and era of the first page
        let mut after: Option<String> = None;
        loop {
            let mut query = vec![("path_prefix", prefix)];
            query.extend(after.as_deref().map(|after| ("after_revision", after)));
            let answer = self.get("kv-range", &query, self.call_timeout).await?;
            let reply = |detail: &str| Fault::new(ResultCode::PlatformReply, detail);
            let answer: StoreAnswer<RangeJson> =
                answer.ok_or_else(|| reply("the store answered that the range does not exist"))?;
            let page = answer.body;
            let (revision, era) = *start.get_or_insert((page.at, answer.era));
            if answer.era != era {
                return Err(reply("the store lost changes between two pages"));
            }
            let last = last_key(&page.items).map(str::to_owned);
            items.extend(translate_all(page.items));
            if !page.more {
                return Ok(CatalogChange {
                    items,
                    revision,
                    era,
                });
            }
            if last.is_none() || last <= after {
                return Err(reply("a page has no key after which the next one begins"));
            }
            after = last;
        }
    }
}

impl CatalogSource for StoreClient {
    async fn list(&self) -> Result<CatalogChange, Fault> {
        let replicas = self.range(REPLICA_PREFIX).await?;
        // Read after the replicas, whose revision the watch continues from, so that no change
        // is missed between the listing and the watch.
        let operator = self.range(OPERATOR_PREFIX).await?;
        if operator.era != replicas.era {
            let detail = "the store lost changes between two ranges";
            return Err(Fault::new(ResultCode::PlatformReply, detail));
        }
        let mut listing = replicas;
        listing.items.extend(operator.items);
        Ok(listing)
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
        let time = wait + self.call_timeout;
        let answer: Option<StoreAnswer<WatchJson>> = self.get("kv-watch", &query, time).await?;
        Ok(answer.map(|answer| CatalogChange {
            items: translate_all(answer.body.events),
            revision: answer.body.at,
            era: answer.era,
        }))
    }
}

/// The era that an answer reports; none if it has no such header, or an invalid one.
fn store_era(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(ERA_HEADER)?;
    let era = value.to_str().ok().and_then(|text| text.parse().ok());
    let era = era.filter(|era| *era <= StoreRevision::MAX_ERA);
    if era.is_none() {
        log::error!(
            code = ResultCode::PlatformReply.number();
            "invalid {ERA_HEADER} of the store ignored: {value:?}"
        );
    }
    era
}
