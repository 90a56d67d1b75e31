use {
    super::RouterReport,
    crate::{catalog::CatalogVersion, policy::Moment},
    std::{net::SocketAddr, time::Duration},
};

/// What is known of one router.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerEntry {
    pub is_seed: bool,
    pub zone: Option<u32>,
    pub told: Moment,             // when it was first named
    pub met: Option<Moment>,      // when it, or one of its zone that hears it, last spoke
    pub heard: Option<Moment>,    // its own last report
    pub news: Option<SocketAddr>, // where it can be asked for its catalog
    pub incarnation: u64,
    pub sequence: u64,
    pub leaving: bool,
    pub busy: u8, // percent
    pub millicores: u16,
    pub store_lost: bool,            // it could not read the store of late
    pub callers: Option<SocketAddr>, // where it takes callers
    pub version: CatalogVersion,
}

impl PeerEntry {
    /// Whether it was heard of within `age`, and stays.
    pub fn is_there(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.is_heard(now, age) && !self.leaving
    }

    /// Whether it was heard of within `age`.
    pub fn is_heard(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.heard.is_some_and(|at| now.saturating_sub(at) <= age)
    }

    /// Whether a report is older than what is known. A process that was silent for
    /// longer than reports are believed may have started anew with a lower number,
    /// where the time of day stepped back.
    pub fn is_older(
        &self,
        now: Moment,
        report: &RouterReport,
        believed: Duration,
    ) -> bool {
        let known = (self.incarnation, self.sequence);
        let is_lower = known > (report.incarnation, report.sequence);
        let is_silent = self
            .heard
            .is_none_or(|at| now.saturating_sub(at) > believed);
        is_lower && !(is_silent && report.incarnation != self.incarnation)
    }

    /// Takes in the router's own report.
    pub fn take(
        &mut self,
        now: Moment,
        report: &RouterReport,
    ) {
        *self = Self {
            zone: Some(report.zone),
            news: Some(report.news),
            met: Some(now),
            heard: Some(now),
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving,
            busy: report.busy,
            millicores: report.millicores,
            store_lost: report.store_lost,
            callers: Some(report.callers),
            version: report.version,
            ..*self
        };
    }
}
