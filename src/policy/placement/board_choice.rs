//! Where the next request goes.

use {
    super::{
        Choice, PlacementRequest, PromptShape, RefusalReason, ReplicaBoard, ReplicaView,
        admission::{Admission, is_far_over},
        offer::{Offer, Sources, offer},
        replica_key::{homes, scatter},
    },
    crate::{
        catalog::UpstreamState,
        policy::{Moment, shares::Standing},
        routing::EngineFacts,
    },
    std::time::Duration,
};

/// Added to the expected time of a replica that a peer lets rest.
const AVOIDED_PENALTY: f64 = 200.0;

/// Milliseconds by which a prompt's home goes before its neighbours, so that
/// routers that know nothing yet agree on one.
const HOME_LEAD: f64 = 40.0;

/// When to come back where no replica is known.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(500);

/// The shortest and longest time to come back after.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// What a replica has in front is known as of a report ago, and all routers see
/// the same least one: choices are scattered by this part of that time.
const SPREAD: f64 = 0.5;

/// So few routers may all consider every replica: what they send between two
/// reports is little, and a part of the replicas would cost more.
const FEW_ROUTERS: usize = 8;

/// Replicas that a request considers, beside its router's part of them.
const LEAST_CONSIDERED: f64 = 2.0;

/// More requests than slots that a plain replica is sent, as a factor.
const PLAIN_QUEUE: f64 = 2.0;

impl ReplicaBoard {
    /// Decides where a request goes.
    pub fn choose(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Choice {
        let usable = self.usable(now, request);
        if usable.is_empty() {
            return Choice::Refuse {
                reason: RefusalReason::NoReplica,
                retry_after: NO_REPLICA_RETRY,
            };
        }
        match (request.prompt, request.engine) {
            (Some(prompt), Some(engine)) => {
                self.choose_engine(now, request, prompt, engine, &usable)
            }
            _ => self.choose_plain(now, request, &usable),
        }
    }

    /// Ready replicas that were not tried. Those that rest are left out, unless
    /// that would leave less than half.
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
        engine: EngineFacts,
        usable: &[&ReplicaView],
    ) -> Choice {
        let settings = &self.settings;
        let age = self.belief_age();
        let most_are_idle = is_far_over(request.standing) && self.most_are_idle(now, usable);
        let admission = Admission::new(settings, request, engine, most_are_idle);
        let homes = homes(prompt, usable);
        let sources = Sources::new(prompt, usable);
        let near = self.considered(usable.len());
        let mut best: Option<(f64, Offer)> = None;
        let mut best_considered: Option<(f64, Offer)> = None;
        let mut soonest = f64::MAX;
        for (index, (view, home)) in usable.iter().zip(homes).enumerate() {
            let load = view.load(now, age);
            let offer = offer(index, engine, usable, &sources);
            let speed = view.speed.tokens_per_ms();
            let front_ms = f64::from(load.reading) / speed;
            let own_ms = f64::from(offer.reading) / speed + offer.fetch_ms;
            let excess_ms = admission.excess_ms(front_ms, own_ms);
            soonest = soonest.min(excess_ms);
            let tokens = offer.reading + prompt.output_tokens;
            if !admission.admits(view, &load, tokens, excess_ms) {
                continue;
            }
            let again_ms = f64::from(offer.again) / speed * settings.reread_weight;
            let avoided = view.is_avoided(now, age);
            let displaced_ms = f64::from(offer.fetched) / speed * settings.fetch_weight;
            let mut score = front_ms + own_ms + again_ms + displaced_ms;
            score += if avoided { AVOIDED_PENALTY } else { 0.0 };
            score += self.zone_ms(request, view);
            let scatter = scatter(prompt, view);
            let is_home = offer.keeps_shared(prompt);
            if !is_home {
                score += self.report_pace.as_secs_f64() * 1000.0 * SPREAD * scatter;
            }
            score -= HOME_LEAD / f64::from(home + 1);
            let expected_ms = front_ms + own_ms;
            let offer = Offer {
                expected_ms,
                ..offer
            };
            let slot = if scatter < near || is_home {
                &mut best_considered
            } else {
                &mut best
            };
            if slot.as_ref().is_none_or(|(least, _)| score < *least) {
                *slot = Some((score, offer));
            }
        }
        match best_considered.or(best) {
            Some((_, offer)) => Choice::Send {
                replica: offer.view.entry.id.clone(),
                reading: offer.reading,
                fetch_from: offer.source.map(|view| view.entry.id.clone()),
                expected: Duration::from_secs_f64(offer.expected_ms / 1000.0),
            },
            None => self.refuse(request, soonest),
        }
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

    /// The part of the replicas that one request considers first, beside those
    /// that keep its shared parts. All routers choose by the same reports, and
    /// what is least in them would get what all of them send until the next ones.
    fn considered(
        &self,
        replicas: usize,
    ) -> f64 {
        if self.routers <= FEW_ROUTERS {
            return 1.0;
        }
        let replicas = replicas.max(1) as f64;
        (1.0 / self.routers as f64) + LEAST_CONSIDERED / replicas
    }

    fn choose_plain(
        &self,
        now: Moment,
        request: &PlacementRequest,
        usable: &[&ReplicaView],
    ) -> Choice {
        let mut best: Option<(f64, &ReplicaView)> = None;
        for view in usable {
            let running = f64::from(view.load(now, self.belief_age()).running);
            let slots = f64::from(view.entry.slots.max(1));
            if running >= slots * (1.0 + PLAIN_QUEUE) {
                continue;
            }
            let mut score = view.service_ms * ((running + 1.0) / slots).max(1.0);
            score += running / slots + self.zone_ms(request, view);
            score += AVOIDED_PENALTY * view.health.failure_rate();
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, view));
            }
        }
        match best {
            Some((_, view)) => Choice::Send {
                replica: view.entry.id.clone(),
                reading: 0,
                fetch_from: None,
                expected: Duration::from_secs_f64(view.service_ms / 1000.0),
            },
            None => self.refuse(request, request.aim.as_secs_f64() * 1000.0),
        }
    }

    fn zone_ms(
        &self,
        request: &PlacementRequest,
        view: &ReplicaView,
    ) -> f64 {
        if &*view.entry.zone == request.zone {
            0.0
        } else {
            self.settings.zone_penalty.as_secs_f64() * 1000.0
        }
    }

    fn refuse(
        &self,
        request: &PlacementRequest,
        wait_ms: f64,
    ) -> Choice {
        let room_in = Duration::from_secs_f64(wait_ms / 1000.0);
        let (reason, wait) = match request.standing {
            Standing::Over { wait, .. } => (RefusalReason::OverShare, wait.max(room_in)),
            Standing::Within | Standing::Behind => (RefusalReason::NoRoom, room_in),
        };
        Choice::Refuse {
            reason,
            retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
        }
    }
}
