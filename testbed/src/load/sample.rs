use {
    crate::fleet::Fleet,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Tokens per share that each account received up to one moment, as counted by the
/// stand-in upstreams.
#[derive(Debug, Clone, Serialize)]
pub struct GapSample {
    pub seconds: f64,                     // since the sampler's start
    pub per_share: BTreeMap<String, f64>, // since the sampler's start
    pub gap: f64,                         // between the largest and the smallest of them
}

/// Takes samples of the service and utilisation of a fleet's upstreams.
pub struct Sampler {
    started: Instant,
    shares: BTreeMap<String, f64>,
    service_before: BTreeMap<String, f64>, // tokens by account, at the start
    busy_before: Duration,                 // slot time, at the start
    slots: usize,                          // of all upstreams
}

impl Sampler {
    /// Starts to count now, for accounts with these shares.
    pub fn begin(
        fleet: &Fleet,
        shares: &BTreeMap<String, f64>,
    ) -> Self {
        Self {
            started: Instant::now(),
            shares: shares.clone(),
            service_before: tokens_by_account(fleet, shares),
            busy_before: busy_slot_time(fleet),
            slots: fleet.sidecars.iter().map(|s| s.plan.upstream.slots()).sum(),
        }
    }

    /// The accounts' service per share since the start.
    pub fn sample(
        &self,
        fleet: &Fleet,
    ) -> GapSample {
        let per_share: BTreeMap<String, f64> = tokens_by_account(fleet, &self.shares)
            .into_iter()
            .map(|(account, units)| {
                let since = units - self.service_before[&account];
                let share = self.shares[&account];
                (account, since / share)
            })
            .collect();
        let most = per_share.values().copied().fold(f64::MIN, f64::max);
        let least = per_share.values().copied().fold(f64::MAX, f64::min);
        GapSample {
            seconds: self.started.elapsed().as_secs_f64(),
            per_share,
            gap: most - least,
        }
    }

    /// Busy slot time divided by slot time since the start.
    pub fn utilisation(
        &self,
        fleet: &Fleet,
    ) -> f64 {
        let busy = (busy_slot_time(fleet) - self.busy_before).as_secs_f64();
        busy / (self.started.elapsed().as_secs_f64() * self.slots as f64)
    }
}

/// Tokens sent by all upstreams since their start, by account.
fn tokens_by_account(
    fleet: &Fleet,
    shares: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let mut tokens: BTreeMap<String, f64> = shares
        .keys()
        .map(|account| (account.clone(), 0.0))
        .collect();
    for sidecar in &fleet.sidecars {
        for (account, (sent, _)) in sidecar.upstream.log().service_by_account() {
            if let Some(sum) = tokens.get_mut(&account) {
                *sum += sent as f64;
            }
        }
    }
    tokens
}

fn busy_slot_time(fleet: &Fleet) -> Duration {
    fleet
        .sidecars
        .iter()
        .map(|sidecar| sidecar.upstream.log().busy_slot_time())
        .sum()
}
