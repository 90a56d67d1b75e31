use {
    super::RouterReport,
    crate::{catalog::CatalogVersion, policy::Moment},
    std::{net::SocketAddr, time::Duration},
};

/// State of one known router.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerEntry {
    pub is_seed: bool,
    pub zone: Option<u32>,
    pub named_at: Moment,                   // when another router first named it
    pub last_seen: Option<Moment>,          // last message from it, or from its zone naming it
    pub last_report: Option<Moment>,        // last report from it
    pub update_address: Option<SocketAddr>, // QUIC address that serves its catalog
    pub incarnation: u64,                   // start time of its process in Unix milliseconds
    pub sequence: u64,
    pub is_leaving: bool,
    pub busy_percent: u8, // of the time, in which its processor had work
    pub millicores: u16,  // processor capacity, in thousandths of a core
    pub is_store_unavailable: bool, // its recent reads of the store failed
    pub store_unavailable_at: Option<Moment>, // the last report that said so
    pub caller_address: Option<SocketAddr>, // address for caller connections
    pub version: CatalogVersion,
    pub read_with_eras: Option<Moment>, // last message that it reads the store and compares eras
}

impl PeerEntry {
    /// Whether it reported within `age` and is not shutting down.
    pub fn is_live(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.has_reported(now, age) && !self.is_leaving
    }

    /// Whether it reported within `age`.
    pub fn has_reported(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.last_report
            .is_some_and(|at| now.saturating_sub(at) <= age)
    }

    /// Whether a report is older than the last one received. After a silence longer than
    /// `max_age` a lower incarnation counts as newer: incarnations are start times, and a
    /// process restarted after its host's clock stepped back has a lower one.
    pub fn is_older(
        &self,
        now: Moment,
        report: &RouterReport,
        max_age: Duration,
    ) -> bool {
        let known = (self.incarnation, self.sequence);
        let is_lower = known > (report.incarnation, report.sequence);
        let is_silent = self
            .last_report
            .is_none_or(|at| now.saturating_sub(at) > max_age);
        is_lower && !(is_silent && report.incarnation != self.incarnation)
    }

    /// Replaces the state by that of a report of the same router.
    pub fn apply(
        &mut self,
        now: Moment,
        report: &RouterReport,
    ) {
        *self = Self {
            zone: Some(report.zone),
            update_address: Some(report.update_address),
            last_seen: Some(now),
            last_report: Some(now),
            incarnation: report.incarnation,
            sequence: report.sequence,
            is_leaving: report.is_leaving,
            busy_percent: report.busy_percent,
            millicores: report.millicores,
            is_store_unavailable: report.is_store_unavailable,
            store_unavailable_at: match report.is_store_unavailable {
                true => Some(now),
                false => self.store_unavailable_at,
            },
            caller_address: Some(report.caller_address),
            version: report.version,
            ..*self
        };
    }
}
