//! Where the next request goes.

use {
    super::ReplicaBoard,
    crate::{
        catalog::UpstreamState,
        policy::{
            Moment,
            placement::{
                Choice, PlacementRequest, PromptShape, ReplicaView,
                choosing::{
                    Admission, Candidate, Cheapest, Considered, Sources, SpareTime, Tier, homes,
                    is_over, offer,
                },
            },
        },
        routing::EngineSpec,
    },
    std::time::Duration,
};

/// Added to the expected time of a replica that a peer lets rest.
pub(super) const AVOIDED_PENALTY: f64 = 200.0;

/// Milliseconds by which a prompt's home goes before its neighbours, so that
/// routers that know nothing yet agree on one.
const HOME_LEAD: f64 = 40.0;

/// Milliseconds by which replicas of other zones go behind the own zone's where pauses
/// break: both are compared then, since a late answer costs more than a way between zones.
const FAR_LAG_MS: f64 = 40.0;

/// What a replica has in front is known as of a report ago, and all routers see
/// the same least one: choices are scattered by this part of that time.
const SPREAD: f64 = 0.5;

/// So few routers may all consider every replica: what they send between two
/// reports is little, and a part of the replicas would cost more.
const FEW_ROUTERS: usize = 8;

/// Replicas that a request considers, beside its router's part of them.
const LEAST_CONSIDERED: f64 = 2.0;

impl ReplicaBoard {
    /// Decides where a request goes.
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

    /// Ready replicas that were not tried, and want requests. Those that rest by evidence
    /// are left out, unless that would leave less than half.
    fn usable(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Vec<&ReplicaView> {
        let untried: Vec<&ReplicaView> = self
            .replicas
            .values()
            .filter(|view| &*view.entry.service == request.service)
            .filter(|view| view.entry.state == UpstreamState::Ready)
            .filter(|view| !request.tried.contains(&view.entry.id))
            .filter(|view| self.is_allowed(request.regions, &view.entry))
            .filter(|view| !self.is_cordoned(&view.entry))
            .filter(|view| self.wants_requests(now, &view.entry))
            .filter(|view| self.bears_more(now, request, view))
            .collect();
        let awake: Vec<&ReplicaView> = untried
            .iter()
            .filter(|view| !view.health.rests(now))
            .copied()
            .collect();
        if awake.len() * 2 >= untried.len() {
            awake
        } else {
            untried
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
        let age = self.belief_age();
        let times = self.engine_times(request.service);
        let most_are_idle = is_over(request.standing) && self.most_are_idle(now, usable);
        let admission = Admission::new(settings, request, engine, most_are_idle);
        let spare = SpareTime::new(now, request, &self.usual);
        let homes = homes(prompt, usable);
        let sources = Sources::new(prompt, usable);
        let considered = self.considered(request, usable);
        let risk = self.pause_risk(now, request, prompt, usable);
        let mut best: [Cheapest; Tier::COUNT] = Default::default();
        let mut soonest = f64::MAX;
        for (index, view) in usable.iter().enumerate() {
            let load = view.load(now, age);
            let offer = offer(index, engine, usable, &sources);
            let tokens = offer.reading + prompt.output_tokens;
            let rank = homes.iter().position(|home| *home == index);
            let mut candidate = Candidate::new(offer, prompt, load.reading, times, rank);
            if let Some(risk) = &risk {
                Self::weigh_pauses(risk, load.running, &mut candidate);
            }
            let excess_ms = admission.excess_ms(&candidate, spare.ms(candidate.times));
            soonest = soonest.min(excess_ms);
            if !admission.admits(&candidate, &load, tokens, excess_ms) {
                continue;
            }
            let mut cost_ms = self.cost_ms(now, request, &candidate);
            let mut tier = considered.tier(&candidate, is_near(request, view));
            if risk.is_some() && matches!(tier, Tier::FarConsidered) {
                tier = Tier::First;
                cost_ms += FAR_LAG_MS;
            }
            best[tier as usize].show(cost_ms, candidate);
        }
        match best.into_iter().find_map(Cheapest::take) {
            Some(candidate) => send_to(&candidate),
            None => self.refuse(request, soonest),
        }
    }

    /// What a candidate costs: the time until its first token, and what it costs
    /// others, in milliseconds.
    fn cost_ms(
        &self,
        now: Moment,
        request: &PlacementRequest,
        candidate: &Candidate,
    ) -> f64 {
        let settings = &self.settings;
        let offer = &candidate.offer;
        let mut cost = candidate.expected_ms() + candidate.pauses_ms;
        cost += candidate.reading_ms(offer.again) * settings.reread_weight;
        cost += candidate.reading_ms(offer.fetched) * settings.fetch_weight;
        cost += self.zone_ms(request, offer.view);
        if let Some(rank) = candidate.rank {
            cost -= HOME_LEAD / (rank + 1) as f64;
        }
        if offer.view.is_avoided(now, self.belief_age()) {
            cost += AVOIDED_PENALTY;
        }
        if !candidate.is_home {
            cost += self.report_pace.as_secs_f64() * 1000.0 * SPREAD * candidate.scatter;
        }
        cost
    }

    /// Whether nothing is read at most replicas.
    fn most_are_idle(
        &self,
        now: Moment,
        usable: &[&ReplicaView],
    ) -> bool {
        let age = self.belief_age();
        let idle = usable
            .iter()
            .filter(|view| view.load(now, age).reading == 0);
        idle.count() * 2 > usable.len()
    }

    /// Which part of the replicas a request considers first. All routers choose by
    /// the same reports, and what is least in them would get what all of them send
    /// until the next ones.
    fn considered(
        &self,
        request: &PlacementRequest,
        usable: &[&ReplicaView],
    ) -> Considered {
        if self.fleet.in_all <= FEW_ROUTERS {
            return Considered::All;
        }
        let near = usable.iter().filter(|view| is_near(request, view)).count();
        Considered::Parts {
            near: part_of(self.fleet.in_zone, near),
            far: part_of(self.fleet.in_all, usable.len() - near),
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

/// The part of some replicas that a request considers first, where so many
/// routers choose.
fn part_of(
    routers: usize,
    replicas: usize,
) -> f64 {
    1.0 / routers.max(1) as f64 + LEAST_CONSIDERED / replicas.max(1) as f64
}

fn send_to(candidate: &Candidate) -> Choice {
    let offer = &candidate.offer;
    Choice::Send {
        replica: offer.view.entry.id.clone(),
        reading: offer.reading,
        fetch_from: offer.source.map(|view| view.entry.id.clone()),
        front_ms: candidate.front_ms + offer.fetch_ms,
        pauses_ms: candidate.pauses_ms,
        expected: Duration::from_secs_f64(candidate.expected_ms() / 1000.0),
    }
}
