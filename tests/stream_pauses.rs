//! Placement with regard to pauses: an engine that prefills a prompt holds up the streams that it
//! runs, and a stream is late when one pause between its events is too long.
//!
//! The replica table of one router is run against simulated engines. In each step an engine
//! prefills up to one chunk of the queued prompts; an event of a stream takes five steps. The tests
//! count what callers see with and without a target pause.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{
            Moment,
            placement::{
                Choice, InFlightId, PaceEvidence, PauseEvidence, PauseWatch, PlacementRequest,
                PlacementSettings, PromptPart, PromptShape, RefusalReason, ReplicaEvidence,
                ReplicaTable, SentPrompt,
            },
            shares::ShareStatus,
        },
        routing::EngineSpec,
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: 600_000,
    kv_bytes_per_token: 0.0,
    link_mbps: 0.0,
    can_transfer_kv: false,
};
const TARGET_PAUSE: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(5);
const START: Moment = Duration::from_secs(100);

/// An engine of speed 1 prefills this many tokens per millisecond, one [`CHUNK`] of them per step,
/// and needs [`STEP_MS`] for a step besides.
const TOKENS_PER_MS: f64 = 64.0;
const CHUNK: f64 = 2048.0;
const STEP_MS: f64 = 4.0;
const STEPS_PER_EVENT: f64 = 5.0;

/// A kind of request, and its rate.
#[derive(Clone, Copy)]
struct Kind {
    per_s: f64,
    tokens: u32,
    events: u32,
    target_latency: Duration,
}

const CHAT: Kind = Kind {
    per_s: 100.0,
    tokens: 1100,
    events: 34,
    target_latency: Duration::from_millis(400),
};
const REVIEW: Kind = Kind {
    per_s: 35.0,
    tokens: 7000,
    events: 20,
    target_latency: Duration::from_millis(800),
};

/// The outcome of the requests of one kind, and the replicas that they were sent to.
#[derive(Clone, Default)]
struct Outcome {
    ended: u32,
    late: u32,              // by a pause
    late_first_events: u32, // first event after the target latency
    by_replica: Vec<u32>,   // requests sent, by replica
}

impl Outcome {
    fn late_fraction(&self) -> f64 {
        f64::from(self.late) / f64::from(self.ended.max(1))
    }

    fn late_first_fraction(&self) -> f64 {
        f64::from(self.late_first_events) / f64::from(self.ended.max(1))
    }

    /// The fraction that was sent to replicas that prefill much of another kind: to those that got
    /// more than half of the mean.
    fn fraction_beside(
        &self,
        other: &Self,
    ) -> f64 {
        let mean = other.by_replica.iter().sum::<u32>() / other.by_replica.len() as u32;
        let pairs = self.by_replica.iter().zip(&other.by_replica);
        let beside = pairs.filter(|(_, other)| **other * 2 > mean);
        let beside: u32 = beside.map(|(own, _)| own).sum();
        f64::from(beside) / f64::from(self.by_replica.iter().sum::<u32>())
    }

    /// The number of replicas that would give the same concentration if it were spread evenly.
    fn effective_replicas(&self) -> f64 {
        let all: f64 = self.by_replica.iter().copied().map(f64::from).sum();
        let squares = self
            .by_replica
            .iter()
            .map(|sent| (f64::from(*sent) / all).powi(2));
        1.0 / squares.sum::<f64>()
    }
}

struct Stream {
    kind: usize,
    in_flight_id: InFlightId,
    sent: Moment,
    first_event_at: Moment,
    watch: Option<PauseWatch>,
    last_event_at: Moment, // or the first event
    progress: f64,         // of the next event, 0 to 1
    events_remaining: u32,
    late: bool,
}

#[derive(Default)]
struct Replica {
    speed: f64,
    prefill_queue: VecDeque<(f64, Stream)>,
    running: Vec<Stream>,
}

struct Simulation {
    replica_table: ReplicaTable,
    replicas: Vec<Replica>,
    kinds: Vec<Kind>,
    due: Vec<f64>,
    outcomes: Vec<Outcome>,
    sent_to: Vec<usize>,
    target_pause: Option<Duration>,
    now: Moment,
}

impl Simulation {
    fn new(
        speeds: &[f64],
        kinds: &[Kind],
        target_pause: Option<Duration>,
    ) -> Self {
        let mut replica_table = ReplicaTable::new(PlacementSettings::default());
        let entries = (0..speeds.len()).map(|index| entry(index, None));
        replica_table.set_entries(START, entries.collect());
        let outcome = Outcome {
            by_replica: vec![0; speeds.len()],
            ..Outcome::default()
        };
        let replicas = speeds.iter().map(|speed| Replica {
            speed: *speed,
            ..Replica::default()
        });
        Self {
            replica_table,
            replicas: replicas.collect(),
            kinds: kinds.to_vec(),
            due: vec![0.0; kinds.len()],
            outcomes: vec![outcome; kinds.len()],
            sent_to: Vec::new(),
            target_pause,
            now: START,
        }
    }

    /// Runs for some seconds, and counts only the outcomes of these.
    fn run_for(
        &mut self,
        seconds: u64,
    ) {
        for outcome in &mut self.outcomes {
            *outcome = Outcome {
                by_replica: vec![0; self.replicas.len()],
                ..Outcome::default()
            };
        }
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += TICK;
            for kind in 0..self.kinds.len() {
                self.due[kind] += self.kinds[kind].per_s * TICK.as_secs_f64();
                while self.due[kind] >= 1.0 {
                    self.due[kind] -= 1.0;
                    self.send(kind);
                }
            }
            for index in 0..self.replicas.len() {
                self.prefill(index);
                self.decode(index);
            }
        }
    }

    fn send(
        &mut self,
        kind: usize,
    ) {
        let Kind {
            tokens,
            events,
            target_latency,
            ..
        } = self.kinds[kind];
        let id = self.sent_to.len() as u64;
        let shape = PromptShape {
            parts: vec![PromptPart { id, tokens }],
            output_tokens: events * STEPS_PER_EVENT as u32,
        };
        let request = request(&shape, self.target_pause);
        let Choice::Send {
            replica,
            prefill_tokens,
            queue_ms,
            ..
        } = self.replica_table.choose(self.now, &request)
        else {
            return;
        };
        let sent = SentPrompt {
            shape: &shape,
            engine: ENGINE,
            target_latency,
            target_pause: self.target_pause,
            prefill_tokens,
            queue_ms,
        };
        let in_flight_id = self.replica_table.start(self.now, &replica, Some(sent));
        let index: usize = replica.parse().expect("an index");
        self.sent_to.push(index);
        self.outcomes[kind].by_replica[index] += 1;
        let stream = Stream {
            kind,
            in_flight_id: in_flight_id.expect("started"),
            sent: self.now,
            first_event_at: self.now,
            watch: None,
            last_event_at: self.now,
            progress: 0.0,
            events_remaining: events,
            late: false,
        };
        let prefill_queue = &mut self.replicas[index].prefill_queue;
        prefill_queue.push_back((f64::from(prefill_tokens), stream));
    }

    fn prefill(
        &mut self,
        index: usize,
    ) {
        let replica = &mut self.replicas[index];
        let mut tokens = TICK.as_secs_f64() * 1000.0 * TOKENS_PER_MS * replica.speed;
        while let Some((remaining, _)) = replica.prefill_queue.front_mut() {
            let taken = remaining.min(tokens);
            *remaining -= taken;
            tokens -= taken;
            if *remaining > 0.0 {
                return;
            }
            let (_, mut stream) = replica.prefill_queue.pop_front().expect("a queued stream");
            self.replica_table
                .first_token(self.now, stream.in_flight_id);
            let late = self.now - stream.sent > self.kinds[stream.kind].target_latency;
            self.outcomes[stream.kind].late_first_events += u32::from(late);
            stream.first_event_at = self.now;
            stream.last_event_at = self.now;
            stream.watch = self
                .target_pause
                .map(|target| PauseWatch::new(self.now, target));
            replica.running.push(stream);
        }
    }

    fn decode(
        &mut self,
        index: usize,
    ) {
        let replica = &mut self.replicas[index];
        let is_prefilling = !replica.prefill_queue.is_empty();
        let chunk_ms = if is_prefilling {
            CHUNK / TOKENS_PER_MS
        } else {
            0.0
        };
        let event_ms = STEPS_PER_EVENT * (STEP_MS + chunk_ms) / replica.speed;
        let progress = TICK.as_secs_f64() * 1000.0 / event_ms;
        let entry = entry(index, None);
        let mut ended = Vec::new();
        for (position, stream) in replica.running.iter_mut().enumerate() {
            stream.progress += progress;
            let waited = self.now - stream.last_event_at;
            if stream.progress < 1.0 {
                let watch = stream.watch.as_mut();
                let overdue = watch
                    .filter(|watch| watch.target_pause().is_some_and(|target| waited > target));
                if let Some(watch) = overdue {
                    let evidence = watch.record_overrun(self.now);
                    self.replica_table.record_pauses(self.now, &entry, evidence);
                }
                continue;
            }
            stream.progress -= 1.0;
            stream.events_remaining -= 1;
            stream.last_event_at = self.now;
            stream.late |= waited > TARGET_PAUSE;
            let watch = stream.watch.as_mut();
            if let Some(evidence) = watch.and_then(|watch| watch.record_event(self.now, waited)) {
                self.replica_table.record_pauses(self.now, &entry, evidence);
            }
            if stream.events_remaining == 0 {
                ended.push(position);
            }
        }
        for position in ended.into_iter().rev() {
            let stream = replica.running.swap_remove(position);
            let tokens = self.kinds[stream.kind].events * STEPS_PER_EVENT as u32;
            self.replica_table.finish(stream.in_flight_id);
            self.replica_table.record_stream(
                self.now,
                &entry,
                tokens,
                self.now - stream.first_event_at,
            );
            self.outcomes[stream.kind].ended += 1;
            self.outcomes[stream.kind].late += u32::from(stream.late);
        }
    }
}

fn entry(
    index: usize,
    started_unix_ms: Option<u64>,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: index.to_string().into(),
        started_unix_ms,
        service: "model".into(),
        version: "v1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
        slots: 64,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

fn request(
    prompt: &PromptShape,
    target_pause: Option<Duration>,
) -> PlacementRequest<'_> {
    PlacementRequest {
        regions: None,
        service: "model",
        zone: "z",
        engine: Some(ENGINE),
        prompt: Some(prompt),
        target_latency: CHAT.target_latency,
        target_pause,
        share_status: ShareStatus::Within,
        tried: &[],
        version: None,
    }
}

/// Runs with and without a target pause. The outcomes are those after a warm-up of 6 s.
fn with_and_without_target(
    speeds: &[f64],
    kinds: &[Kind],
) -> (Simulation, Simulation) {
    let run = |target_pause| {
        let mut simulation = Simulation::new(speeds, kinds, target_pause);
        simulation.run_for(6);
        simulation.run_for(20);
        simulation
    };
    (run(Some(TARGET_PAUSE)), run(None))
}

/// Half of the engines are so slow that a long prompt holds up what they run.
const UNEQUAL: [f64; 8] = [1.7, 1.7, 1.7, 1.7, 0.5, 0.5, 0.5, 0.5];

/// Engines that one long prompt of [`LONG_REVIEW`] holds up for too long.
const SLOW: [f64; 8] = [0.4; 8];
const FEWER_CHATS: Kind = Kind {
    per_s: 60.0,
    ..CHAT
};
const LONG_REVIEW: Kind = Kind {
    per_s: 8.0,
    tokens: 9000,
    ..REVIEW
};

/// 100 chats and 45 long prompts per second use three quarters of what the engines can prefill, and
/// as much as the fast ones can: chats must go where little is prefilled or where prefill does not
/// delay streams.
#[test]
fn fewer_chats_are_late_where_some_engines_are_slow() {
    let (with_target, _) = with_and_without_target(
        &UNEQUAL,
        &[
            CHAT,
            Kind {
                per_s: 45.0,
                ..REVIEW
            },
        ],
    );
    let (chats, reviews) = (&with_target.outcomes[0], &with_target.outcomes[1]);
    assert!(chats.late_fraction() < 0.01);
    assert!(chats.late_first_fraction() < 0.05);
    assert!(reviews.late_first_fraction() < 0.05);
}

/// 60 chats and 8 long prompts per second use two thirds of what eight slow engines can prefill,
/// and every long prompt makes all streams beside it late: the two kinds must go to different
/// replicas, though no engine is faster than another.
#[test]
fn chats_and_long_prompts_go_to_different_replicas_of_equal_speed() {
    let (with_target, without_target) = with_and_without_target(&SLOW, &[FEWER_CHATS, LONG_REVIEW]);
    let (chats, reviews) = (&with_target.outcomes[0], &with_target.outcomes[1]);
    assert!(chats.late_fraction() < without_target.outcomes[0].late_fraction() / 2.0);
    assert!(
        chats.fraction_beside(reviews)
            < without_target.outcomes[0].fraction_beside(&without_target.outcomes[1]) / 2.0
    );
    assert!(reviews.late_first_fraction() < 0.05);
}

/// 2, then 12 long prompts per second, beside 40 chats: fewer replicas run chats then.
#[test]
fn borders_move_with_the_load() {
    let kinds = [
        Kind {
            per_s: 40.0,
            ..CHAT
        },
        Kind {
            per_s: 2.0,
            ..LONG_REVIEW
        },
    ];
    let mut simulation = Simulation::new(&SLOW, &kinds, Some(TARGET_PAUSE));
    simulation.run_for(6);
    simulation.run_for(20);
    let before = simulation.outcomes[0].effective_replicas();
    simulation.kinds[1].per_s = 12.0;
    simulation.run_for(10);
    simulation.run_for(20);
    assert!(simulation.outcomes[0].effective_replicas() < before - 0.5);
    assert!(simulation.outcomes[0].late_fraction() < 0.1);
    assert!(simulation.outcomes[1].late_first_fraction() < 0.05);
}

/// 200 chats per second and no long prompts: no pause is too long, and every request goes where it
/// would without a target pause.
#[test]
fn short_prompts_go_to_the_same_replicas_with_a_target_pause() {
    let (with_target, without_target) = with_and_without_target(
        &UNEQUAL,
        &[Kind {
            per_s: 200.0,
            ..CHAT
        }],
    );
    assert_eq!(with_target.sent_to, without_target.sent_to);
}

/// Evidence: for how many seconds streams were watched, and how many of them were late.
fn pauses(
    watched_s: f32,
    late: f32,
) -> PauseEvidence {
    PauseEvidence { watched_s, late }
}

/// Two replicas that have run streams, a prompt, and the replica that it is sent to while both are
/// idle.
fn idle_replica_table() -> (ReplicaTable, PromptShape, usize) {
    let simulation = Simulation::new(&[1.0, 1.0], &[CHAT], Some(TARGET_PAUSE));
    let mut replica_table = simulation.replica_table;
    replica_table.record_stream(START, &entry(0, None), 170, Duration::from_secs(2));
    let shape = PromptShape {
        parts: vec![PromptPart { id: 7, tokens: 500 }],
        output_tokens: 170,
    };
    let preferred = chosen(&mut replica_table, START, &shape);
    (replica_table, shape, preferred)
}

fn chosen(
    replica_table: &mut ReplicaTable,
    now: Moment,
    shape: &PromptShape,
) -> usize {
    replica_table.refresh_estimates(now);
    match replica_table.choose(now, &request(shape, Some(TARGET_PAUSE))) {
        Choice::Send { replica, .. } => replica.parse().expect("an index"),
        Choice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// No stream runs there any more that could show that pauses are short again: the evidence must
/// expire.
#[test]
fn a_replica_with_late_streams_is_used_again_later() {
    let (mut replica_table, shape, preferred) = idle_replica_table();
    replica_table.record_pauses(START, &entry(preferred, None), pauses(20.0, 15.0));
    assert_ne!(chosen(&mut replica_table, START, &shape), preferred);
    let later = START + Duration::from_secs(60);
    assert_eq!(chosen(&mut replica_table, later, &shape), preferred);
}

/// A peer that reported pauses at a replica falls silent: its evidence counts for some seconds.
/// Evidence on one start of a replica does not count for the next.
#[test]
fn evidence_of_peers_ends_with_their_reports_and_with_the_start() {
    let (mut replica_table, shape, preferred) = idle_replica_table();
    let evidence = ReplicaEvidence {
        start_hash: entry(preferred, None).start_hash(),
        pace: PaceEvidence::default(),
        pauses: pauses(20.0, 15.0),
    };
    replica_table.apply_evidence(START, 1, &[evidence]);
    let shortly_after = START + Duration::from_millis(100);
    assert_ne!(chosen(&mut replica_table, shortly_after, &shape), preferred);
    let later = START + Duration::from_secs(4);
    assert_eq!(chosen(&mut replica_table, later, &shape), preferred);

    replica_table.apply_evidence(later, 1, &[evidence]);
    replica_table.record_pauses(later, &entry(preferred, None), pauses(20.0, 15.0));
    let other = 1 - preferred;
    replica_table.set_entries(later, vec![entry(preferred, Some(2)), entry(other, None)]);
    replica_table.apply_evidence(later, 1, &[evidence]);
    assert_eq!(chosen(&mut replica_table, later, &shape), preferred);
}

/// A stream counts as late once, however often it pauses afterwards, and a pause counts while it
/// still lasts.
#[test]
fn a_stream_counts_as_late_once_and_at_once() {
    let mut watch = PauseWatch::new(START, TARGET_PAUSE);
    let ms = Duration::from_millis;
    assert_eq!(watch.record_event(START + ms(100), ms(100)), None);
    let evidence = watch.record_overrun(START + ms(400));
    assert_eq!(evidence, pauses(0.4, 1.0));
    assert_eq!(watch.record_event(START + ms(900), ms(800)), None);
    assert_eq!(watch.end(START + ms(950)), None);
    // A stream that stays within the target yields evidence from time to time.
    let mut watch = PauseWatch::new(START, TARGET_PAUSE);
    assert_eq!(watch.record_event(START + ms(250), ms(250)), None);
    let evidence = watch.record_event(START + ms(500), ms(250));
    assert_eq!(evidence, Some(pauses(0.5, 0.0)));
    assert_eq!(watch.end(START + ms(600)), None);
}

/// Thirty streams run at each of two slow replicas, where prefill is known to make streams late. A
/// request over its share is refused there, however short the prefill queue is; one within its
/// share is accepted.
#[test]
fn a_request_over_its_share_is_refused_where_it_would_make_streams_late() {
    let chats = Kind {
        per_s: 30.0,
        tokens: 50,
        ..CHAT
    };
    let mut simulation = Simulation::new(&[0.4, 0.4], &[chats], Some(TARGET_PAUSE));
    simulation.run_for(8);
    for index in 0..2 {
        let evidence = pauses(20.0, 15.0);
        simulation
            .replica_table
            .record_pauses(simulation.now, &entry(index, None), evidence);
    }
    let long = PromptShape {
        parts: vec![PromptPart {
            id: 9_999_999,
            tokens: 5000,
        }],
        output_tokens: 100,
    };
    let with_status = |share_status| PlacementRequest {
        share_status,
        target_latency: Duration::from_secs(20),
        ..request(&long, Some(TARGET_PAUSE))
    };
    let over = ShareStatus::Over {
        wait: Duration::from_secs(1),
        factor: 1.1,
    };
    let choice = simulation
        .replica_table
        .choose(simulation.now, &with_status(ShareStatus::Within));
    assert!(matches!(choice, Choice::Send { pauses_ms, .. } if pauses_ms > 0.0));
    let choice = simulation
        .replica_table
        .choose(simulation.now, &with_status(over));
    let reason = RefusalReason::OverShare;
    assert!(matches!(choice, Choice::Refuse { reason: given, .. } if given == reason));
}
