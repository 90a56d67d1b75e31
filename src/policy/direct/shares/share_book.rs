use {
    super::{AccountShare, AccountUsage, Division, GivenLately, RoomEvidence, ToldUsage},
    crate::policy::{Moment, Teller, TellerScope},
    std::{collections::HashMap, time::Duration},
};

/// Usage fades by this factor at each step, so that a window's worth remains.
const STEP: Duration = Duration::from_millis(100);

/// Accounts with less than this are not kept, in tokens.
const NEGLIGIBLE: f32 = 1.0;

/// What accounts asked for and got, here and at the peers.
#[derive(Debug)]
pub struct ShareBook {
    window: Duration,
    peer_age: Duration, // older reports of peers are ignored
    capacity: f32,      // tokens a second that the operator says all replicas make; 0 if untold
    own: HashMap<u32, AccountUsage>,
    told: ToldUsage,
    faded: Moment,
    lately: GivenLately,
    room: RoomEvidence,
}

impl ShareBook {
    /// An empty book.
    pub fn new(
        window: Duration,
        peer_age: Duration,
    ) -> Self {
        Self {
            window,
            peer_age,
            capacity: 0.0,
            own: HashMap::new(),
            told: ToldUsage::default(),
            faded: Moment::ZERO,
            lately: GivenLately::default(),
            room: RoomEvidence::default(),
        }
    }

    /// Changes the bounds; what was counted stays.
    pub fn set_window(
        &mut self,
        window: Duration,
        peer_age: Duration,
    ) {
        self.window = window;
        self.peer_age = peer_age;
    }

    /// What the operator says that all replicas make, in tokens a second.
    pub fn set_capacity(
        &mut self,
        tokens_per_second: Option<f64>,
    ) {
        self.capacity = tokens_per_second.map_or(0.0, |tokens| tokens as f32);
    }

    /// How long what peers told is believed.
    pub fn set_peer_age(
        &mut self,
        peer_age: Duration,
    ) {
        self.peer_age = peer_age;
    }

    /// An account asked for this many tokens.
    pub fn ask(
        &mut self,
        now: Moment,
        account: u32,
        tokens: f32,
    ) {
        self.fade(now);
        self.own.entry(account).or_default().asked += tokens;
    }

    /// An account was given this many tokens.
    pub fn give(
        &mut self,
        now: Moment,
        account: u32,
        tokens: f32,
    ) {
        self.fade(now);
        self.own.entry(account).or_default().got += tokens;
    }

    /// Tokens that were given did not come: they count no more.
    pub fn take_back(
        &mut self,
        account: u32,
        tokens: f32,
    ) {
        if let Some(usage) = self.own.get_mut(&account) {
            usage.got = (usage.got - tokens).max(0.0);
        }
    }

    /// What others asked for and gave, of some accounts.
    pub fn hear(
        &mut self,
        now: Moment,
        teller: Teller,
        usage: &[(u32, AccountUsage)],
    ) {
        self.told.hear(now, teller, usage, self.peer_age);
    }

    /// Who told this is gone.
    pub fn forget(
        &mut self,
        name: u32,
    ) {
        self.told.forget(name);
    }

    /// This router's own usage, to be told to peers. Asked for at each report, also where
    /// no request comes: what accounts are given is noted at the level of the time.
    pub fn own(
        &mut self,
        now: Moment,
    ) -> &HashMap<u32, AccountUsage> {
        self.fade(now);
        self.note_given(now);
        &self.own
    }

    /// How an account stands that now asks for `asking` tokens, which are counted
    /// as asked already.
    pub fn share(
        &mut self,
        now: Moment,
        account: u32,
        asking: f32,
    ) -> AccountShare {
        self.note_given(now);
        let division = self.division(now);
        division.share(now, &self.lately, account, asking)
    }

    /// What is divided now, and how each account stands that asked of late.
    pub fn shares(
        &mut self,
        now: Moment,
    ) -> (Division, Vec<AccountShare>) {
        self.note_given(now);
        let division = self.division(now);
        let accounts = division.usage().map(|(account, _)| account);
        let shares = accounts
            .map(|account| division.share(now, &self.lately, account, 0.0))
            .collect();
        (division, shares)
    }

    /// What is divided now, among all accounts that asked of late.
    pub fn division(
        &mut self,
        now: Moment,
    ) -> Division {
        let usage = self.fleet_usage(now);
        let given = usage.values().map(|usage| usage.got).sum();
        Division::new(self.window, usage, self.divided(now, given))
    }

    fn note_given(
        &mut self,
        now: Moment,
    ) {
        if self.lately.is_due(now, STEP) {
            let division = self.division(now);
            self.lately.note(now, &division);
        }
    }

    /// A request of an account that was not over its share was placed, or there was no
    /// room for it.
    pub fn count_room(
        &mut self,
        now: Moment,
        is_placed: bool,
    ) {
        self.room.count(now, is_placed);
    }

    /// What is divided among accounts: what was given in a window, and what the operator
    /// says that the replicas make beyond that, as far as requests find room. What was
    /// refused in a window in which little was given makes nobody go over a share that
    /// there is; where replicas make less than that, as some are lost, nobody may have
    /// what they do not make.
    fn divided(
        &self,
        now: Moment,
        given: f32,
    ) -> f32 {
        let beyond = self.capacity * self.window.as_secs_f32() - given;
        given + beyond.max(0.0) * self.room.spare(now)
    }

    /// What each account asked for and got over the fleet.
    pub fn fleet_usage(
        &mut self,
        now: Moment,
    ) -> HashMap<u32, AccountUsage> {
        let mut sum = self.told.sum(now, self.peer_age, self.window).clone();
        add_usage(&mut sum, &self.own);
        sum
    }

    /// What each account asked for and got in this zone.
    pub fn zone_usage(
        &mut self,
        now: Moment,
    ) -> HashMap<u32, AccountUsage> {
        self.fade(now);
        let routers = |scope| scope == TellerScope::Router;
        let mut sum = self.told.sum_of(now, self.peer_age, self.window, routers);
        add_usage(&mut sum, &self.own);
        sum
    }

    fn fade(
        &mut self,
        now: Moment,
    ) {
        let steps = now.saturating_sub(self.faded).as_millis() / STEP.as_millis();
        if steps == 0 {
            return;
        }
        let passed = STEP.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX));
        self.faded += passed;
        let factor = (-passed.as_secs_f32() / self.window.as_secs_f32()).exp();
        self.own.retain(|_, usage| {
            usage.fade(factor);
            usage.asked > NEGLIGIBLE || usage.got > NEGLIGIBLE
        });
    }
}

fn add_usage(
    sum: &mut HashMap<u32, AccountUsage>,
    more: &HashMap<u32, AccountUsage>,
) {
    for (account, usage) in more {
        *sum.entry(*account).or_default() += *usage;
    }
}
