//! Choice of the replica for a request.

use {
    super::{ReplicaTable, versions::has_version},
    crate::{
        catalog::UpstreamState,
        policy::{
            Moment,
            placement::{
                Choice, PlacementRequest, PromptShape, ReplicaView,
                choosing::{
                    AdmissionLimits, CacheSources, Candidate, CandidateSampling, CandidateTier,
                    Cheapest, QueueBudget, is_over_share, preferred_replicas, prefill_plan,
                },
            },
        },
        routing::EngineSpec,
    },
    std::time::Duration,
};

/// Cost in milliseconds of a replica that a peer has ejected, and of a failure rate of 1 for
/// plain requests.
pub(super) const FAILURE_PENALTY_MS: f64 = 200.0;

/// Cost advantage of the prompt's first preferred replica, so that routers without cache
/// information choose the same one. That of the n-th one is this divided by n.
const PREFERENCE_BONUS_MS: f64 = 40.0;

/// Cost of replicas of other zones while streams are late. These are then compared with the
/// own zone's, since a late stream costs more than the way between zones.
const FAR_ZONE_PENALTY_MS: f64 = 40.0;

/// Random spread of costs, as a fraction of the report interval. Queues are known as of the
/// last reports, by which all routers would choose the same replica.
const COST_SPREAD: f64 = 0.5;

/// Fleets with up to this many routers consider all replicas: they send little between two
/// reports, and sampling would cost more.
const MAX_ROUTERS_WITHOUT_SAMPLING: usize = 8;

/// Number of replicas that are sampled on average in addition to a router's equal share.
const MIN_SAMPLED_REPLICAS: f64 = 2.0;

impl ReplicaTable {
    /// Chooses the replica for a request, or refuses it.
    pub fn choose(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Choice {
        let usable = self.usable(now, request);
        if usable.is_empty() {
            return self.refuse_unusable(now, request);
        }
        match (request.prompt, request.engine) {
            (Some(prompt), Some(engine)) => {
                self.choose_engine(now, request, prompt, engine, &usable)
            }
            _ => self.choose_plain(now, request, &usable),
        }
    }

    /// Ready replicas that may serve the request, accept requests and were not tried yet.
    /// Ejected ones are excluded unless that would leave less than half.
    fn usable(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Vec<&ReplicaView> {
        let eligible: Vec<&ReplicaView> = self
            .replicas
            .values()
            .filter(|view| &*view.entry.service == request.service)
            .filter(|view| view.entry.state == UpstreamState::Ready)
            .filter(|view| !request.tried.contains(&view.entry.id))
            .filter(|view| self.is_allowed(request.regions, &view.entry))
            .filter(|view| has_version(request.version, &view.entry))
            .filter(|view| !self.is_cordoned(&view.entry))
            .filter(|view| self.accepts_requests(now, &view.entry))
            .filter(|view| self.slow_start_permits(now, request, view))
            .collect();
        let healthy: Vec<&ReplicaView> = eligible
            .iter()
            .filter(|view| !view.health.is_ejected(now))
            .copied()
            .collect();
        if healthy.len() * 2 >= eligible.len() {
            healthy
        } else {
            eligible
        }
    }

    fn choose_engine(
        &self,
        now: Moment,
        request: &PlacementRequest,
        prompt: &PromptShape,
        engine: EngineSpec,
        usable: &[&ReplicaView],
    ) -> Choice {
        let settings = &self.settings;
        let age = self.max_report_age();
        let times = self.engine_latency(request.service);
        let most_are_idle = is_over_share(request.share_status) && self.most_are_idle(now, usable);
        let limits = AdmissionLimits::new(settings, request, engine, most_are_idle);
        let budget = QueueBudget::new(now, request, &self.typical_prompts);
        let preferred = preferred_replicas(prompt, usable);
        let sources = CacheSources::new(prompt, usable);
        let sampling = self.sampling(request, usable);
        let risk = self.pause_risk(now, request, prompt, usable);
        let mut best: [Cheapest; CandidateTier::COUNT] = Default::default();
        let mut min_excess_ms = f64::MAX;
        for (index, view) in usable.iter().enumerate() {
            let load = view.load(now, age);
            let plan = prefill_plan(index, engine, usable, &sources);
            let tokens = plan.prefill_tokens + prompt.output_tokens;
            let rank = preferred.iter().position(|other| *other == index);
            let mut candidate = Candidate::new(plan, prompt, load.prefill_tokens, times, rank);
            if let Some(risk) = &risk {
                Self::set_pause_costs(risk, load.running, &mut candidate);
            }
            let excess_ms = limits.excess_ms(&candidate, budget.available_ms(candidate.times));
            min_excess_ms = min_excess_ms.min(excess_ms);
            if !limits.admits(&candidate, &load, tokens, excess_ms) {
                continue;
            }
            let mut cost_ms = self.cost_ms(now, request, &candidate);
            let mut tier = sampling.tier(&candidate, is_near(request, view));
            if risk.is_some() && matches!(tier, CandidateTier::FarSampled) {
                tier = CandidateTier::First;
                cost_ms += FAR_ZONE_PENALTY_MS;
            }
            best[tier as usize].consider(cost_ms, candidate);
        }
        match best.into_iter().find_map(Cheapest::take) {
            Some(candidate) => send_to(&candidate),
            None => self.refuse(request, min_excess_ms),
        }
    }

    /// Cost of a candidate in milliseconds: the expected time to the first token, the cost to
    /// other requests, penalties and preferences.
    fn cost_ms(
        &self,
        now: Moment,
        request: &PlacementRequest,
        candidate: &Candidate,
    ) -> f64 {
        let settings = &self.settings;
        let plan = &candidate.plan;
        let mut cost = candidate.expected_ms() + candidate.pauses_ms;
        cost += candidate.prefill_ms(plan.duplicate_tokens) * settings.reread_weight;
        cost += candidate.prefill_ms(plan.fetched_tokens) * settings.fetch_weight;
        cost += self.zone_ms(request, plan.view);
        if let Some(rank) = candidate.rank {
            cost -= PREFERENCE_BONUS_MS / (rank + 1) as f64;
        }
        if plan.view.is_ejected(now, self.max_report_age()) {
            cost += FAILURE_PENALTY_MS;
        }
        if !candidate.caches_shared_parts {
            cost += self.report_interval.as_secs_f64()
                * 1000.0
                * COST_SPREAD
                * candidate.random_fraction;
        }
        cost
    }

    /// Whether most replicas have no queued prefill.
    fn most_are_idle(
        &self,
        now: Moment,
        usable: &[&ReplicaView],
    ) -> bool {
        let age = self.max_report_age();
        let idle = usable
            .iter()
            .filter(|view| view.load(now, age).prefill_tokens == 0);
        idle.count() * 2 > usable.len()
    }

    /// Which replicas a request considers first. All routers choose by the same reports, and
    /// without sampling all would send to the least loaded replica until the next reports.
    fn sampling(
        &self,
        request: &PlacementRequest,
        usable: &[&ReplicaView],
    ) -> CandidateSampling {
        if self.fleet_size.total <= MAX_ROUTERS_WITHOUT_SAMPLING {
            return CandidateSampling::All;
        }
        let near = usable.iter().filter(|view| is_near(request, view)).count();
        CandidateSampling::Fractions {
            near: sampled_fraction(self.fleet_size.in_zone, near),
            far: sampled_fraction(self.fleet_size.total, usable.len() - near),
        }
    }

    fn zone_ms(
        &self,
        request: &PlacementRequest,
        view: &ReplicaView,
    ) -> f64 {
        if is_near(request, view) {
            0.0
        } else {
            self.settings.zone_penalty.as_secs_f64() * 1000.0
        }
    }
}

/// Whether a replica is in the router's own availability zone.
pub(super) fn is_near(
    request: &PlacementRequest,
    view: &ReplicaView,
) -> bool {
    &*view.entry.zone == request.zone
}

/// Fraction of these replicas that a request considers first in a fleet of so many routers.
fn sampled_fraction(
    routers: usize,
    replicas: usize,
) -> f64 {
    1.0 / routers.max(1) as f64 + MIN_SAMPLED_REPLICAS / replicas.max(1) as f64
}

fn send_to(candidate: &Candidate) -> Choice {
    let plan = &candidate.plan;
    Choice::Send {
        replica: plan.view.entry.id.clone(),
        prefill_tokens: plan.prefill_tokens,
        fetch_from: plan.source.map(|view| view.entry.id.clone()),
        queue_ms: candidate.queue_ms + plan.fetch_ms,
        pauses_ms: candidate.pauses_ms,
        expected: Duration::from_secs_f64(candidate.expected_ms() / 1000.0),
    }
}
