//! What goes on beside requests: following the catalog, and tidying up.

use {
    super::gateway::Gateway,
    crate::{
        catalog::UpstreamEntry,
        fleet::Revision,
        ops::{CORDONED, CORDONS_UNKNOWN},
        policy::slow_start::SlowStartLimit,
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// How long a router that starts, and knows all but the cordons, waits for these before it
/// is ready: where only routers of a build that knows none tell it, and the store is away.
const CORDON_WAIT: Duration = Duration::from_secs(1);

/// Lines a second of replicas whose pace has changed; the others follow.
const PACE_LINES: usize = 4;

impl Gateway {
    /// Keeps the board and the pool in step with the list of replicas.
    pub async fn follow_catalog(self: Arc<Self>) {
        let mut changes = self.catalog.subscribe();
        let mut known = 0;
        let mut knows_both_since: Option<Instant> = None;
        loop {
            let version = self.catalog.version();
            if version.config != known {
                known = version.config;
                let revision = Some(Revision(known));
                let detail = format!("configuration {known} in force");
                self.audit.record("config_accepted", revision, None, detail);
                self.warn_of_regions();
            }
            if let Some(table) = self.catalog.config() {
                self.shares()
                    .set_declared_capacity(table.limits.engine_tokens_per_s);
            }
            let limits = self.start_limits();
            let entries = self.catalog.upstreams();
            let restarted = {
                let now = self.now();
                let mut board = self.board();
                board.set_start_limits(limits);
                board.set_entries(now, entries.clone())
            };
            for replica in &restarted {
                log::info!(replica = &**replica; "replica started again: all of it is new");
            }
            let cordoned = self.catalog.cordoned_zones();
            warn_of_unknown(&cordoned, &entries);
            metrics::gauge!(CORDONED).set(cordoned.len() as f64);
            self.board().set_cordoned(cordoned);
            if version.is_complete() {
                let since = *knows_both_since.get_or_insert_with(Instant::now);
                if self.catalog.cordons_up_to_date() || since.elapsed() >= CORDON_WAIT {
                    self.begin_placing();
                }
            }
            self.pool.keep_only(|id| {
                let is_listed = entries.iter().any(|entry| &*entry.id == id);
                is_listed && !restarted.iter().any(|replica| &**replica == id)
            });
            // Until requests are placed, the wait for cordons may end without a change.
            let longest = match self.is_placing() {
                true => Duration::MAX,
                false => CORDON_WAIT,
            };
            if let Ok(Err(_)) = timeout(longest, changes.changed()).await {
                return;
            }
        }
    }

    /// Routes or accounts that are bound to regions are served nowhere while the settings name
    /// none.
    fn warn_of_regions(&self) {
        let restricts_regions = self
            .catalog
            .config()
            .is_some_and(|table| table.restricts_regions());
        if restricts_regions && self.settings().regions.is_empty() {
            log::warn!("the configuration names regions, and the settings no zone's region");
        }
    }

    /// What replicas of each service bear while they start, by the configuration in force.
    fn start_limits(&self) -> HashMap<Arc<str>, SlowStartLimit> {
        let bounds = self.settings().start_bounds;
        let Some(table) = self.catalog.config() else {
            return HashMap::new();
        };
        let limits = table.services().filter_map(|service| {
            let limit = bounds.limit(service.slow_start_per_s, service.slow_start_duration)?;
            Some((service.name.clone(), limit))
        });
        limits.collect()
    }

    /// Closes connections that have rested too long, and forgets old suspects.
    pub async fn tidy(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.pool.tidy();
            self.suspects().remove_expired(self.now());
            self.log_paces();
        }
    }

    /// One line for each replica that is lastingly quicker or slower than was logged.
    fn log_paces(&self) {
        let news = self.board().take_pace_changes(self.now(), PACE_LINES);
        for news in news {
            log::info!(
                replica = &*news.replica,
                pace = news.pace.lasting,
                pace_now = news.pace.now,
                before = news.before,
                samples = news.samples;
                "a replica is believed to be quicker or slower than before"
            );
        }
    }
}

/// A cordon of a zone without replicas is either early or a wrong name.
fn warn_of_unknown(
    cordoned: &BTreeSet<String>,
    entries: &[Arc<UpstreamEntry>],
) {
    let is_known = |zone: &str| entries.iter().any(|entry| &*entry.zone == zone);
    let unknown = cordoned.iter().filter(|zone| !is_known(zone));
    let unknown: Vec<&str> = unknown.map(String::as_str).collect();
    metrics::gauge!(CORDONS_UNKNOWN).set(unknown.len() as f64);
    for zone in unknown {
        log::debug!(zone = zone; "a zone is cordoned that has no replicas");
    }
}
