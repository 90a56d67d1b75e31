use {
    crate::fleet::AccountId,
    crate::policy::{CostEstimate, Moment, ReportEntry, TotalEntry, TotalsMode},
    std::time::Duration,
};

/// The service of one account as one sidecar knows it.
#[derive(Debug, Clone, Copy)]
pub struct LedgerEntry {
    own: f64,             // service units charged here, in this incarnation
    known_total: f64,     // last fleet total received
    included: f64,        // the part of `own` that `known_total` contains
    adjust: f64,          // added to the service per share to keep the debt below the ceiling
    confirmed: bool,      // a total was received in this active period
    active: bool,         // has work here
    active_since: Moment, // start of the active period
    last_active: Moment,  // last time it had work here
    was_idle: bool,       // idle for long before this active period
    fresh: bool,          // has never had work here
    reported: f64,        // `own` in the last report
    pub estimate: CostEstimate,
}

impl LedgerEntry {
    /// An account that has not had work here yet.
    pub fn new(now: Moment) -> Self {
        Self {
            own: 0.0,
            known_total: 0.0,
            included: 0.0,
            adjust: 0.0,
            confirmed: false,
            active: false,
            active_since: now,
            last_active: now,
            was_idle: true,
            fresh: true,
            reported: 0.0,
            estimate: CostEstimate::default(),
        }
    }

    /// Service units charged by this incarnation of the sidecar.
    pub fn own(&self) -> f64 {
        self.own
    }

    /// The service units of the account that count in this mode.
    pub fn total(
        &self,
        mode: TotalsMode,
    ) -> f64 {
        match mode {
            TotalsMode::Fleet => self.known_total + (self.own - self.included),
            TotalsMode::Local => self.own,
        }
    }

    /// Service per share, by which accounts are ordered. An account that returned from idle is
    /// at `floor` at least, until a fleet total of it is received.
    pub fn normalized_service(
        &self,
        mode: TotalsMode,
        share: f64,
        floor: Option<f64>,
    ) -> f64 {
        let plain = self.total(mode) / share + self.adjust;
        match floor {
            Some(floor) if !self.confirmed && self.was_idle => plain.max(floor),
            _ => plain,
        }
    }

    /// Lowers the service per share from `service` to `ceiling`, if it is above.
    pub fn bound_debt(
        &mut self,
        service: f64,
        ceiling: f64,
    ) {
        if service > ceiling {
            self.adjust -= service - ceiling;
        }
    }

    /// Adds service units; negative ones refund a charge made in advance.
    pub fn charge(
        &mut self,
        units: f64,
    ) {
        self.own += units;
    }

    /// Records that the account has work here.
    pub fn set_active(
        &mut self,
        now: Moment,
        grace: Duration,
        mode: TotalsMode,
        share: f64,
        floor: Option<f64>,
    ) {
        if !self.active {
            self.was_idle = self.fresh || now.saturating_sub(self.last_active) > grace;
            self.fresh = false;
            if self.was_idle {
                self.confirmed = false;
                self.adjust = 0.0;
                self.raise_to_floor(mode, share, floor);
            }
            self.active = true;
            self.active_since = now;
        }
        self.last_active = now;
    }

    /// Records that the account no longer has work here.
    pub fn set_idle(
        &mut self,
        now: Moment,
    ) {
        if self.active {
            self.active = false;
            self.last_active = now;
        }
    }

    /// Whether the account has work here.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Whether the account is active, or its service has changed since the last report or
    /// received total.
    pub fn worth_reporting(&self) -> bool {
        self.active || self.own != self.reported || self.own != self.included
    }

    /// The account's entry in the next report.
    pub fn to_report(
        &mut self,
        account: AccountId,
        now: Moment,
        grace: Duration,
    ) -> ReportEntry {
        self.reported = self.own;
        let is_recent = now.saturating_sub(self.active_since) <= grace;
        ReportEntry {
            account,
            own: self.own,
            known_total: self.known_total,
            included: self.included,
            waiting: self.active,
            was_idle: self.was_idle && is_recent,
        }
    }

    /// Applies a total that an aggregating router sent.
    pub fn apply_total(
        &mut self,
        entry: &TotalEntry,
    ) {
        self.known_total = entry.total;
        self.included = entry.included;
        self.confirmed = true;
    }

    /// In local mode no total is received, so an account that returns from idle is raised to the
    /// floor here.
    fn raise_to_floor(
        &mut self,
        mode: TotalsMode,
        share: f64,
        floor: Option<f64>,
    ) {
        if let (TotalsMode::Local, Some(floor)) = (mode, floor) {
            let service = self.own / share;
            self.adjust = (floor - service).max(0.0);
        }
    }
}
