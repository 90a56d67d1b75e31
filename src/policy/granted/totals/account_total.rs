use {
    crate::policy::{Incarnation, Moment, ReportEntry, TotalEntry},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// The service of one account over the whole fleet, summed at the router that aggregates it.
///
/// The total is `base` plus what each sidecar served since its first report here. Sidecars report
/// the last total they received, so the sum continues from there if another router takes over.
#[derive(Debug, Clone, Default)]
pub struct AccountTotal {
    base: f64,
    sources: HashMap<Arc<str>, Source>, // by the sidecar's host
    last_active: Option<Moment>,
}

#[derive(Debug, Clone, Copy)]
struct Source {
    incarnation: Incarnation,
    sequence: u64,     // of the newest report
    own: f64,          // served, by that report
    counted_from: f64, // the part of `own` that `base` contains from the beginning
    first_own: f64,    // `own` in the first report here
}

impl Source {
    fn counted(&self) -> f64 {
        self.own - self.counted_from
    }

    /// What it served since its first report here. Only this can be part of a total that another
    /// sidecar received from the router that aggregated before.
    fn grown(&self) -> f64 {
        self.own - self.first_own
    }
}

impl AccountTotal {
    /// Service units of the whole fleet.
    pub fn total(&self) -> f64 {
        self.base + self.sources.values().map(Source::counted).sum::<f64>()
    }

    /// When the account last waited or was served.
    pub fn last_active(&self) -> Option<Moment> {
        self.last_active
    }

    /// Applies a report and returns the reply. An outdated report changes nothing.
    pub fn apply_report(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        incarnation: Incarnation,
        sequence: u64,
        entry: &ReportEntry,
    ) -> TotalEntry {
        let known = self.sources.get(host).copied();
        match known {
            Some(source) if source.incarnation > incarnation => {}
            Some(source) if source.incarnation == incarnation => {
                if source.sequence < sequence {
                    self.update(now, host, source, sequence, entry);
                }
            }
            _ => self.begin(now, host, incarnation, sequence, entry),
        }
        let source = self.sources.get(host);
        TotalEntry {
            account: entry.account,
            total: self.total(),
            included: source
                .filter(|source| source.incarnation == incarnation)
                .map_or(entry.own, |source| source.own),
        }
    }

    /// Whether the account had no work anywhere for longer than `grace`; `None` if it never had.
    pub fn was_idle(
        &self,
        now: Moment,
        grace: Duration,
    ) -> Option<bool> {
        self.last_active
            .map(|last| now.saturating_sub(last) > grace)
    }

    /// Moves the total into a range, so that an account that returns from idle has no credit
    /// and only a bounded debt.
    pub fn clamp(
        &mut self,
        low: f64,
        high: f64,
    ) {
        let total = self.total();
        self.base += total.clamp(low, high) - total;
    }

    fn update(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        source: Source,
        sequence: u64,
        entry: &ReportEntry,
    ) {
        if entry.waiting || entry.own > source.own {
            self.last_active = Some(now);
        }
        let newer = Source {
            sequence,
            own: entry.own,
            ..source
        };
        self.sources.insert(host.clone(), newer);
    }

    fn begin(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        incarnation: Incarnation,
        sequence: u64,
        entry: &ReportEntry,
    ) {
        let first = Source {
            incarnation,
            sequence,
            own: entry.own,
            counted_from: entry.included,
            first_own: entry.own,
        };
        let grown: f64 = self.sources.values().map(Source::grown).sum();
        self.base = self.base.max(entry.known_total - grown);
        if let Some(ended) = self.sources.insert(host.clone(), first) {
            self.base += ended.counted();
        }
        if entry.waiting || entry.own > entry.included {
            self.last_active = Some(now);
        }
    }
}
