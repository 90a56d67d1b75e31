//! Looks up the software version at which a stream began: in the own table, then at the routers
//! of the own zone that may keep it, then in the other zones.

use {
    super::{QueryScope, StreamQueryMessage, stream_origins_gossip::origin_homes},
    crate::{
        direct::Gateway,
        ops::STREAM_ORIGIN_QUERIES,
        policy::streams::{OriginFinding, QueryGroup, QueryId, StreamKey, StreamOrigin},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::Notify, time::timeout},
};

/// How long the routers of the own zone may take to answer before the other zones are asked as
/// well. Hosts are busy for some tens of milliseconds at times.
const ZONE_TIMEOUT: Duration = Duration::from_millis(100);

/// The same for the other zones, which may be in other regions.
const OTHER_ZONES_TIMEOUT: Duration = Duration::from_millis(300);

/// Messages to a router or zone in each stage, since datagrams may be lost.
const ATTEMPTS: usize = 2;

/// A stage takes at most this fraction of the caller's remaining time.
const MAX_TIME_FRACTION: u32 = 4;

/// Whom a query asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueryStage {
    Zone,       // routers of the own zone
    OtherZones, // one router of each other zone, on its zone's behalf
}

impl QueryStage {
    fn label(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::OtherZones => "other_zones",
        }
    }

    fn time_limit(self) -> Duration {
        match self {
            Self::Zone => ZONE_TIMEOUT,
            Self::OtherZones => OTHER_ZONES_TIMEOUT,
        }
    }
}

/// Outcome of a search.
struct SearchEnd {
    finding: OriginFinding,
    source: Option<SocketAddr>, // the router that knew
    stage: &'static str,
}

/// A pending query. It is removed when this is dropped.
struct PendingQuery<'g> {
    gateway: &'g Gateway,
    id: QueryId,
    settled: Arc<Notify>,
    is_complete: bool,
}

/// What is known of the origin of a stream, at this router or at others.
pub async fn find_stream_origin(
    gateway: &Gateway,
    key: StreamKey,
    time_left: Duration,
) -> OriginFinding {
    let begun_at = gateway.now();
    let end = search(gateway, key, time_left).await;
    let now = gateway.now();
    if let OriginFinding::Known(version) = end.finding {
        // The routers that keep the record may be gone when the caller asks again.
        let remaining = time_left.saturating_sub(now.saturating_sub(begun_at));
        let origin = StreamOrigin {
            key,
            version: Some(version),
            remaining_ms: remaining.as_millis().try_into().unwrap_or(u32::MAX),
        };
        let own = gateway.peers.own().address;
        gateway.stream_origins.apply(now, own, &[origin]);
    }
    let source = end.source.map(|router| router.to_string());
    let ms = now.saturating_sub(begun_at).as_millis() as u64;
    log::info!(
        stream = key.to_string().as_str(), outcome = end.finding.label(), stage = end.stage,
        source = source.as_deref().unwrap_or_default(), ms = ms;
        "origin of a stream looked up"
    );
    end.finding
}

async fn search(
    gateway: &Gateway,
    key: StreamKey,
    time_left: Duration,
) -> SearchEnd {
    let own = gateway.stream_origins.find(gateway.now(), key);
    if own != OriginFinding::Unknown {
        count(own.label());
        return SearchEnd {
            finding: own,
            source: Some(gateway.peers.own().address),
            stage: "own",
        };
    }
    let Some((id, settled)) = gateway.stream_origins.begin_query(key) else {
        count("refused");
        return SearchEnd {
            finding: OriginFinding::Unknown,
            source: None,
            stage: "refused",
        };
    };
    let mut query = PendingQuery {
        gateway,
        id,
        settled,
        is_complete: false,
    };
    let mut last_stage = QueryStage::Zone;
    for stage in [QueryStage::Zone, QueryStage::OtherZones] {
        last_stage = stage;
        query.run_stage(stage, time_left).await;
        if query.finding().is_some() {
            break;
        }
    }
    query.is_complete = true;
    let (finding, source) = query
        .finding()
        .map_or((OriginFinding::Unknown, None), |(finding, source)| {
            (finding, Some(source))
        });
    count(finding.label());
    SearchEnd {
        finding,
        source,
        stage: last_stage.label(),
    }
}

fn count(outcome: &'static str) {
    metrics::counter!(STREAM_ORIGIN_QUERIES, "outcome" => outcome).increment(1);
}

impl PendingQuery<'_> {
    /// Asks the routers of a stage until the query is settled or their time is over.
    async fn run_stage(
        &self,
        stage: QueryStage,
        time_left: Duration,
    ) {
        let limit = stage.time_limit().min(time_left / MAX_TIME_FRACTION);
        for attempt in 0..ATTEMPTS {
            self.ask(stage, attempt);
            let attempt_limit = limit / ATTEMPTS as u32;
            if timeout(attempt_limit, self.wait_until_settled())
                .await
                .is_ok()
            {
                return;
            }
        }
    }

    /// Queues the messages of a stage; after the first attempt, to those who did not answer.
    fn ask(
        &self,
        stage: QueryStage,
        attempt: usize,
    ) {
        let key = self.id.key;
        let homes = origin_homes(self.gateway, self.gateway.now());
        let (scope, asked): (_, Vec<(QueryGroup, SocketAddr)>) = match stage {
            QueryStage::Zone => {
                let routers = homes.asked_in_zone(key).into_iter();
                let asked = routers.map(|router| (QueryGroup::Router(router), router));
                (QueryScope::Router, asked.collect())
            }
            QueryStage::OtherZones => {
                let contacts = homes.zone_contacts(key, attempt).into_iter();
                let asked = contacts.map(|(zone, router)| (QueryGroup::Zone(zone), router));
                (QueryScope::Zone, asked.collect())
            }
        };
        self.gateway.stream_origins.change_query(self.id, |query| {
            let mut messages = Vec::new();
            for (group, router) in asked {
                query.record_asked(group, router);
                if query.is_open(group) {
                    messages.push((router, StreamQueryMessage { key, scope }));
                }
            }
            messages
        });
    }

    async fn wait_until_settled(&self) {
        let origins = &self.gateway.stream_origins;
        while !origins
            .read_query(self.id, |query| query.is_settled())
            .unwrap_or(true)
        {
            self.settled.notified().await;
        }
    }

    fn finding(&self) -> Option<(OriginFinding, SocketAddr)> {
        let origins = &self.gateway.stream_origins;
        origins
            .read_query(self.id, |query| query.finding())
            .flatten()
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.gateway.stream_origins.end_query(self.id);
        if !self.is_complete {
            count("abandoned");
        }
    }
}
