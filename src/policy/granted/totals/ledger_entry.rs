use {
    crate::fleet::AccountId,
    crate::policy::{CostEstimate, Moment, ReportEntry, TotalEntry, TotalsMode},
    std::time::Duration,
};

/// What one sidecar knows of one account's service.
#[derive(Debug, Clone, Copy)]
pub struct LedgerEntry {
    own: f64,             // served or charged here, this incarnation
    heard: f64,           // last fleet total heard
    included: f64,        // of `own`, what `heard` includes
    adjust: f64,          // per share, keeps the debt under the ceiling here
    confirmed: bool,      // a total was heard in this active period
    active: bool,         // has work here
    active_since: Moment, // start of the active period
    last_active: Moment,  // last time it had work here
    was_idle: bool,       // idle for long before this active period
    fresh: bool,          // has never had work here
    reported: f64,        // `own` in the last report
    pub estimate: CostEstimate,
}

impl LedgerEntry {
    /// An account that has not had work here.
    pub fn new(now: Moment) -> Self {
        Self {
            own: 0.0,
            heard: 0.0,
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

    /// Service units given by this incarnation.
    pub fn own(&self) -> f64 {
        self.own
    }

    /// The account's whole service as known here.
    pub fn total(
        &self,
        mode: TotalsMode,
    ) -> f64 {
        match mode {
            TotalsMode::Fleet => self.heard + (self.own - self.included),
            TotalsMode::Local => self.own,
        }
    }

    /// Place in the order: service per share, level with `floor` until the
    /// keeper has said where an account that returned from idle stands.
    pub fn standing(
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

    /// Lowers the standing so far that it is at most `ceiling`.
    pub fn bound_debt(
        &mut self,
        standing: f64,
        ceiling: f64,
    ) {
        if standing > ceiling {
            self.adjust -= standing - ceiling;
        }
    }

    /// Adds service; negative to take back what was charged in advance.
    pub fn charge(
        &mut self,
        units: f64,
    ) {
        self.own += units;
    }

    /// Notes that the account has work here.
    pub fn wake(
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
                self.lift_locally(mode, share, floor);
            }
            self.active = true;
            self.active_since = now;
        }
        self.last_active = now;
    }

    /// Notes that the account has no work here any more.
    pub fn rest(
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

    /// Whether a report would tell the keeper anything, or ask it.
    pub fn worth_reporting(&self) -> bool {
        self.active || self.own != self.reported || self.own != self.included
    }

    /// The entry of the next report.
    pub fn to_report(
        &mut self,
        account: AccountId,
        now: Moment,
        grace: Duration,
    ) -> ReportEntry {
        self.reported = self.own;
        let young = now.saturating_sub(self.active_since) <= grace;
        ReportEntry {
            account,
            own: self.own,
            heard: self.heard,
            included: self.included,
            waiting: self.active,
            returning: self.was_idle && young,
        }
    }

    /// Takes in a keeper's total.
    pub fn hear(
        &mut self,
        entry: &TotalEntry,
    ) {
        self.heard = entry.total;
        self.included = entry.included;
        self.confirmed = true;
    }

    fn lift_locally(
        &mut self,
        mode: TotalsMode,
        share: f64,
        floor: Option<f64>,
    ) {
        if let (TotalsMode::Local, Some(floor)) = (mode, floor) {
            let standing = self.own / share;
            self.adjust = (floor - standing).max(0.0);
        }
    }
}
