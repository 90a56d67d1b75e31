use {
    crate::fleet::Fleet,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Service per share of each account at one moment, as the upstreams saw it.
#[derive(Debug, Clone, Serialize)]
pub struct GapSample {
    pub seconds: f64, // since the begin
    pub per_share: BTreeMap<String, f64>,
    pub gap: f64, // largest difference
}

/// Takes samples of a fleet's upstreams.
pub struct Sampler {
    begun: Instant,
    shares: BTreeMap<String, f64>,
    service_before: BTreeMap<String, f64>,
    busy_before: Duration,
    slots: usize,
}

impl Sampler {
    /// Begins to count now, for accounts with these shares.
    pub fn begin(
        fleet: &Fleet,
        shares: &BTreeMap<String, f64>,
    ) -> Self {
        Self {
            begun: Instant::now(),
            shares: shares.clone(),
            service_before: service(fleet, shares),
            busy_before: busy(fleet),
            slots: fleet.sidecars.iter().map(|s| s.plan.upstream.slots()).sum(),
        }
    }

    /// The accounts' service per share since the begin.
    pub fn sample(
        &self,
        fleet: &Fleet,
    ) -> GapSample {
        let per_share: BTreeMap<String, f64> = service(fleet, &self.shares)
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
            seconds: self.begun.elapsed().as_secs_f64(),
            per_share,
            gap: most - least,
        }
    }

    /// Busy slot time by slot time since the begin.
    pub fn utilisation(
        &self,
        fleet: &Fleet,
    ) -> f64 {
        let busy = (busy(fleet) - self.busy_before).as_secs_f64();
        busy / (self.begun.elapsed().as_secs_f64() * self.slots as f64)
    }
}

/// Tokens sent by the upstreams, by account.
fn service(
    fleet: &Fleet,
    shares: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let mut service: BTreeMap<String, f64> = shares
        .keys()
        .map(|account| (account.clone(), 0.0))
        .collect();
    for sidecar in &fleet.sidecars {
        for (account, (tokens, _)) in sidecar.upstream.log().service() {
            if let Some(sum) = service.get_mut(&account) {
                *sum += tokens as f64;
            }
        }
    }
    service
}

fn busy(fleet: &Fleet) -> Duration {
    fleet
        .sidecars
        .iter()
        .map(|sidecar| sidecar.upstream.log().busy())
        .sum()
}
