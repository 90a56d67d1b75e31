//! Background tasks: applying catalog changes, and periodic clean-up.

use {
    super::gateway::Gateway,
    crate::{
        catalog::UpstreamEntry,
        fleet::Revision,
        ops::{CORDONED_UNKNOWN_ZONES, CORDONED_ZONES},
        policy::slow_start::SlowStartLimit,
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// How long a starting router waits for the cordons once it has the rest of the catalog. They
/// may not come at all: the store may be unreachable, and peers may run a build without
/// cordons.
const CORDON_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of log lines a second about changed paces; the rest is logged later.
const MAX_PACE_LINES: usize = 4;

impl Gateway {
    /// Applies each change of the catalog to the replica table, shares and connection pool.
    pub async fn follow_catalog(self: Arc<Self>) {
        let mut changes = self.catalog.subscribe();
        let mut config_version = 0;
        let mut complete_since: Option<Instant> = None;
        loop {
            let version = self.catalog.version();
            if version.config != config_version {
                config_version = version.config;
                let revision = Some(Revision(config_version));
                let detail = format!("configuration {config_version} in force");
                self.audit.record("config_accepted", revision, None, detail);
                self.warn_of_missing_regions();
            }
            if let Some(table) = self.catalog.config() {
                self.set_max_head_bytes(table.limits.max_header_bytes);
                self.shares()
                    .set_declared_capacity(table.limits.engine_tokens_per_s);
            }
            let limits = self.start_limits();
            let entries = self.catalog.upstreams();
            let restarted = {
                let now = self.now();
                let mut replica_table = self.replica_table();
                replica_table.set_start_limits(limits);
                replica_table.set_entries(now, entries.clone())
            };
            for replica in &restarted {
                log::info!(replica = &**replica; "replica restarted; its recorded state is reset");
            }
            let cordoned = self.catalog.cordoned_zones();
            report_unknown_cordons(&cordoned, &entries);
            metrics::gauge!(CORDONED_ZONES).set(cordoned.len() as f64);
            self.replica_table().set_cordoned(cordoned);
            if version.is_complete() {
                let since = *complete_since.get_or_insert_with(Instant::now);
                if self.catalog.cordons_up_to_date() || since.elapsed() >= CORDON_WAIT {
                    self.start_placement();
                }
            }
            self.pool.retain_listed(|id| {
                let is_listed = entries.iter().any(|entry| &*entry.id == id);
                is_listed && !restarted.iter().any(|replica| &**replica == id)
            });
            // Before placement starts, the wait for cordons may end without a catalog change.
            let timeout_after = match self.is_placement_started() {
                true => Duration::MAX,
                false => CORDON_WAIT,
            };
            if let Ok(Err(_)) = timeout(timeout_after, changes.changed()).await {
                return;
            }
        }
    }

    /// Warns if the configuration restricts routes or accounts to regions while the settings
    /// assign no zone to a region: their requests are refused.
    fn warn_of_missing_regions(&self) {
        let restricts_regions = self
            .catalog
            .config()
            .is_some_and(|table| table.restricts_regions());
        if restricts_regions && self.settings().regions.is_empty() {
            log::warn!("the configuration names regions, and the settings no zone's region");
        }
    }

    /// The slow start limits of each service, by the current configuration.
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

    /// Once a second: closes unusable connections, removes old suspects, and logs changed paces,
    /// refusals by account and what became of connections.
    pub async fn run_cleanup(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.pool.close_unusable();
            self.suspects().remove_expired(self.now());
            self.log_paces();
            self.account_log.write_line();
            self.forwarding_log.write_line();
            self.callers.report();
        }
    }

    /// Logs replicas whose lasting pace differs from the one last logged.
    fn log_paces(&self) {
        let changes = self
            .replica_table()
            .take_pace_changes(self.now(), MAX_PACE_LINES);
        for change in changes {
            log::info!(
                replica = &*change.replica,
                pace = change.pace.lasting,
                pace_now = change.pace.now,
                before = change.before,
                samples = change.samples;
                "a replica is believed to be quicker or slower than before"
            );
        }
    }
}

/// Reports cordons of zones without replicas: early, or with a misspelt name.
fn report_unknown_cordons(
    cordoned: &BTreeSet<String>,
    entries: &[Arc<UpstreamEntry>],
) {
    let is_known = |zone: &str| entries.iter().any(|entry| &*entry.zone == zone);
    let unknown = cordoned.iter().filter(|zone| !is_known(zone));
    let unknown: Vec<&str> = unknown.map(String::as_str).collect();
    metrics::gauge!(CORDONED_UNKNOWN_ZONES).set(unknown.len() as f64);
    for zone in unknown {
        log::debug!(zone = zone; "cordoned zone has no replicas");
    }
}
