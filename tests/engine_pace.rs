//! Engines of one service differ in speed, lastingly or for short times: how routers estimate the
//! pace of each replica, and where they send prompts by it.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        peers::{EvidenceMessage, EvidenceSchedule, PeerMessage},
        policy::{
            name_hash,
            placement::{
                Choice, EngineLatency, InFlightId, LatencyReport, PaceEvidence, PaceSum,
                PauseEvidence, PlacementRequest, PlacementSettings, PromptPart, PromptShape,
                ReplicaEvidence, ReplicaPace, ReplicaTable, SentPrompt,
            },
            shares::ShareStatus,
        },
        routing::EngineSpec,
        wire::encode_payload,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

const START: Duration = Duration::from_secs(100);
const TARGET_LATENCY: Duration = Duration::from_millis(800);
const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: 1_000_000,
    kv_bytes_per_token: 0.0,
    link_mbps: 0.0,
    can_transfer_kv: false,
};

/// The latency of engines at the baseline pace.
const BASELINE: EngineLatency = EngineLatency {
    fixed_ms: 40.0,
    token_ms: 0.03,
    residual_ms: 20.0,
};
const TOKENS: u32 = 5000;

/// One prompt each 70 ms is six tenths of what three engines of paces 0.7, 0.7 and 1.7 can prefill.
const PROMPT_INTERVAL: Duration = Duration::from_millis(70);

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn entry(
    id: &str,
    started_unix_ms: u64,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.into(),
        started_unix_ms: Some(started_unix_ms),
        service: "model".into(),
        version: "v1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
        slots: 64,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

fn replica_table(ids: &[&str]) -> ReplicaTable {
    let mut replica_table = ReplicaTable::new(PlacementSettings::default());
    replica_table.set_entries(START, ids.iter().map(|id| entry(id, 1)).collect());
    replica_table.apply_latency_reports(&[LatencyReport {
        service_hash: name_hash("model"),
        times: BASELINE,
        samples: 5000,
    }]);
    replica_table
}

/// A prompt of which no part is cached anywhere.
fn prompt(number: u64) -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        parts: vec![part(2 * number, TOKENS - 1000), part(2 * number + 1, 1000)],
        output_tokens: 50,
    }
}

fn request(prompt: &PromptShape) -> PlacementRequest<'_> {
    PlacementRequest {
        regions: None,
        target_pause: None,
        service: "model",
        zone: "z",
        engine: Some(ENGINE),
        prompt: Some(prompt),
        target_latency: TARGET_LATENCY,
        share_status: ShareStatus::Within,
        tried: &[],
        version: None,
    }
}

fn choose(
    replica_table: &ReplicaTable,
    now: Duration,
    prompt: &PromptShape,
) -> Choice {
    replica_table.choose(now, &request(prompt))
}

/// An engine that prefills one prompt after the other.
struct Engine {
    pace: f64, // time relative to the baseline
    free_at: Duration,
}

/// One router, some engines, and prompts at a constant rate.
struct Simulation {
    replica_table: ReplicaTable,
    engines: BTreeMap<&'static str, Engine>,
    now: Duration,
    next_prompt: u64,
    in_flight: Vec<(Duration, InFlightId)>, // with the time of the first token
    refused: u32,
}

/// The outcome of the prompts of one run.
#[derive(Default)]
struct Outcome {
    sent: HashMap<Arc<str>, u32>, // prompts, by replica
    max_first_token_time: Duration,
}

impl Outcome {
    fn sent_to(
        &self,
        replica: &str,
    ) -> f64 {
        f64::from(self.sent.get(replica).copied().unwrap_or(0))
    }
}

impl Simulation {
    fn new(paces: &[(&'static str, f64)]) -> Self {
        let ids: Vec<&str> = paces.iter().map(|(id, _)| *id).collect();
        let engine = |pace| Engine {
            pace,
            free_at: START,
        };
        Self {
            replica_table: replica_table(&ids),
            engines: paces
                .iter()
                .map(|(id, pace)| (*id, engine(*pace)))
                .collect(),
            now: START,
            next_prompt: 1,
            in_flight: Vec::new(),
            refused: 0,
        }
    }

    fn set_pace(
        &mut self,
        replica: &str,
        pace: f64,
    ) {
        self.engines.get_mut(replica).expect("an engine").pace = pace;
    }

    fn pace(
        &self,
        replica: &str,
    ) -> (f64, f64) {
        let pace = self.replica_table.replica(replica).expect("a replica").pace;
        (pace.lasting, pace.now)
    }

    fn run_for(
        &mut self,
        seconds: f64,
    ) -> Outcome {
        let end = self.now + secs(seconds);
        let mut outcome = Outcome::default();
        while self.now < end {
            self.complete_first_tokens();
            self.send(&mut outcome);
            self.now += PROMPT_INTERVAL;
        }
        outcome
    }

    /// Runs with half as many prompts, sent to all replicas in turn.
    fn run_round_robin(
        &mut self,
        seconds: f64,
    ) {
        let end = self.now + secs(seconds);
        let ids: Vec<&str> = self.engines.keys().copied().collect();
        while self.now < end {
            self.complete_first_tokens();
            let shape = prompt(self.next_prompt);
            let replica = ids[self.next_prompt as usize % ids.len()].into();
            self.run(&mut Outcome::default(), &shape, replica, TOKENS, 0.0);
            self.now += PROMPT_INTERVAL * 2;
        }
    }

    fn complete_first_tokens(&mut self) {
        self.in_flight.sort();
        let completed = self.in_flight.partition_point(|(at, _)| *at <= self.now);
        for (at, in_flight_id) in self.in_flight.drain(..completed) {
            self.replica_table.first_token(at, in_flight_id);
            self.replica_table.finish(in_flight_id);
        }
    }

    fn send(
        &mut self,
        outcome: &mut Outcome,
    ) {
        let shape = prompt(self.next_prompt);
        let Choice::Send {
            replica,
            prefill_tokens,
            queue_ms,
            ..
        } = choose(&self.replica_table, self.now, &shape)
        else {
            self.refused += 1;
            self.next_prompt += 1;
            return;
        };
        self.run(outcome, &shape, replica, prefill_tokens, queue_ms);
    }

    fn run(
        &mut self,
        outcome: &mut Outcome,
        shape: &PromptShape,
        replica: Arc<str>,
        prefill_tokens: u32,
        queue_ms: f64,
    ) {
        self.next_prompt += 1;
        let sent = SentPrompt {
            target_pause: None,
            shape,
            engine: ENGINE,
            target_latency: TARGET_LATENCY,
            prefill_tokens,
            queue_ms,
        };
        let in_flight_id = self.replica_table.start(self.now, &replica, Some(sent));
        let engine = self.engines.get_mut(&*replica).expect("an engine");
        // Some prompts take up to a third longer, so that the noise is skewed as that of real
        // engines.
        let noise = 1.0 + ((self.next_prompt * 7919) % 97) as f64 / 290.0;
        let prefill_ms = BASELINE.prefill_ms(prefill_tokens) * engine.pace * noise;
        engine.free_at = engine.free_at.max(self.now) + secs(prefill_ms / 1000.0);
        let first_token_at = engine.free_at + secs(BASELINE.fixed_ms * engine.pace / 1000.0);
        outcome.max_first_token_time = outcome.max_first_token_time.max(first_token_at - self.now);
        *outcome.sent.entry(replica).or_default() += 1;
        self.in_flight
            .push((first_token_at, in_flight_id.expect("started")));
    }
}

const DIFFERENT_PACES: [(&str, f64); 3] = [("a", 0.7), ("b", 0.7), ("c", 1.7)];

/// Evidence of `samples` first tokens that a replica takes `ratio` times as long as the baseline.
fn evidence_of(
    replica: &str,
    ratio: f32,
    samples: f32,
) -> ReplicaEvidence {
    let sum = PaceSum {
        weight: samples,
        log_ratio: samples * ratio.ln(),
    };
    ReplicaEvidence {
        start_hash: entry(replica, 1).start_hash(),
        pace: PaceEvidence {
            lasting: sum,
            recent: PaceSum::default(),
        },
        pauses: PauseEvidence::default(),
    }
}

fn lasting(
    replica_table: &ReplicaTable,
    replica: &str,
) -> f64 {
    replica_table
        .replica(replica)
        .expect("a replica")
        .pace
        .lasting
}

#[test]
fn engines_get_prefill_in_proportion_to_their_speed_and_meet_the_target_latency() {
    // The prompts are six tenths of what all engines can prefill. With a third each, the slow one
    // would get 1.2 times what it can prefill, and its queue would grow.
    let mut simulation = Simulation::new(&DIFFERENT_PACES);
    simulation.run_for(5.0);
    let outcome = simulation.run_for(30.0);
    let (fast, slow) = (
        outcome.sent_to("a") + outcome.sent_to("b"),
        outcome.sent_to("c"),
    );
    assert!(fast / 2.0 > slow * 1.7, "{:?}", outcome.sent);
    assert!(slow > 0.0, "{:?}", outcome.sent);
    assert!(
        outcome.max_first_token_time <= TARGET_LATENCY,
        "{:?}",
        outcome.max_first_token_time
    );
    assert_eq!(simulation.refused, 0);
}

#[test]
fn pace_and_latency_model_converge_together() {
    // A long run, with prompts sent in turn so that each engine is done before its next one, and
    // with skewed noise. Each estimate depends on what the other makes of a sample; their product
    // must stay the time that engines take.
    let mut simulation = Simulation::new(&[("a", 0.6), ("b", 0.6), ("c", 1.2)]);
    for _ in 0..10 {
        simulation.run_round_robin(60.0);
        let times = simulation.replica_table.engine_latency("model");
        for (id, pace) in [("a", 0.6), ("b", 0.6), ("c", 1.2)] {
            let (estimated, _) = simulation.pace(id);
            let ms = (times.fixed_ms + times.prefill_ms(TOKENS)) * estimated;
            let actual = (BASELINE.fixed_ms + BASELINE.prefill_ms(TOKENS) * 1.16) * pace;
            assert!((ms / actual - 1.0).abs() < 0.2, "{id}: {ms} {actual}");
        }
    }
}

#[test]
fn a_replica_that_becomes_five_times_slower_loses_new_work_and_is_tried_again() {
    // Three equal engines get 4.8 prompts per second each. Prompts sent before the slowdown is
    // detected wait there; later ones must not.
    let mut simulation = Simulation::new(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    simulation.run_for(20.0);
    simulation.set_pace("c", 5.0);
    let at_once = simulation.run_for(1.5).sent_to("c");
    assert!(at_once <= 6.0, "{at_once}");
    // In proportion it prefills a fifth of what each of the others does.
    let after = simulation.run_for(4.0).sent_to("c");
    assert!(
        after <= 4.0 / PROMPT_INTERVAL.as_secs_f64() / 11.0,
        "{after}"
    );
    let (estimated, _) = simulation.pace("c");
    assert!(
        estimated < 3.0,
        "few first tokens must not change the lasting pace so much: {estimated}"
    );
    // It is tried while it is slow, and gets its share again once it is not.
    simulation.set_pace("c", 1.0);
    let recovered = simulation.run_for(30.0).sent_to("c");
    assert!(recovered > 40.0, "{recovered}");
}

#[test]
fn a_short_slowdown_changes_the_lasting_pace_little() {
    // Equal engines; one takes 2.5 times as long for 0.6 s.
    let mut simulation = Simulation::new(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    simulation.run_for(20.0);
    let (before, _) = simulation.pace("c");
    simulation.set_pace("c", 2.5);
    simulation.run_for(0.6);
    simulation.set_pace("c", 1.0);
    simulation.run_for(0.4);
    let (after, _) = simulation.pace("c");
    assert!(after / before < 1.25, "{before} {after}");
    simulation.run_for(10.0);
    let (later, now) = simulation.pace("c");
    assert!((later / before - 1.0).abs() < 0.1, "{before} {later}");
    assert!(now / later < 1.05, "{now}");
}

#[test]
fn an_overdue_first_token_counts_before_it_comes() {
    // One of three engines stops prefilling, so that its first tokens never come: the time that
    // they are overdue is the only evidence, and must keep new work away.
    let mut simulation = Simulation::new(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    simulation.run_for(10.0);
    simulation.set_pace("c", 1000.0);
    simulation.run_for(3.0);
    let (lasting, now) = simulation.pace("c");
    assert!(now > lasting * 2.0, "{lasting} {now}");
    assert_eq!(simulation.run_for(3.0).sent_to("c"), 0.0);
    let (lasting, now) = simulation.pace("a");
    assert!(now < lasting * 1.1, "{lasting} {now}");
}

#[test]
fn a_new_start_begins_at_the_baseline_pace() {
    // Evidence on one process of a replica does not count for the next: the machine may be another
    // one.
    let mut replica_table = replica_table(&["a", "b"]);
    replica_table.apply_evidence(START, 1, &[evidence_of("a", 4.0, 50.0)]);
    assert!(lasting(&replica_table, "a") > 3.0);
    replica_table.set_entries(START, vec![entry("a", 2), entry("b", 1)]);
    assert_eq!(lasting(&replica_table, "a"), 1.0);
    // A peer that does not know the new start yet reports on the start before.
    replica_table.apply_evidence(START + secs(1.0), 1, &[evidence_of("a", 4.0, 50.0)]);
    assert_eq!(lasting(&replica_table, "a"), 1.0);
}

#[test]
fn evidence_of_equal_paces_changes_no_choice() {
    // Much evidence that all replicas have the baseline pace changes no choice.
    let ids = ["a", "b", "c", "d", "e"];
    let without = replica_table(&ids);
    let mut with = replica_table(&ids);
    let alike: Vec<ReplicaEvidence> = ids.iter().map(|id| evidence_of(id, 1.0, 80.0)).collect();
    with.apply_evidence(START, 1, &alike);
    for number in 0..100 {
        let shape = prompt(number);
        let now = START + secs(1.0);
        assert_eq!(choose(&with, now, &shape), choose(&without, now, &shape));
    }
}

#[test]
fn a_new_router_uses_the_evidence_of_one_datagram() {
    // A router that has just started has seen no first token; it places its first prompts by the
    // evidence of its peers.
    let mut replica_table = replica_table(&["a", "b"]);
    replica_table.apply_evidence(
        START,
        1,
        &[evidence_of("a", 3.0, 60.0), evidence_of("b", 0.7, 60.0)],
    );
    for number in 0..50 {
        let Choice::Send { replica, .. } = choose(&replica_table, START, &prompt(number)) else {
            panic!("refused");
        };
        assert_eq!(&*replica, "b");
    }
}

#[test]
fn queued_work_is_weighed_at_the_pace_of_each_replica() {
    // Two prompts are queued at both replicas, 300 ms at the baseline pace. A target latency of 800
    // ms leaves time for that, but not for three times that.
    let mut replica_table = replica_table(&["a", "b"]);
    replica_table.apply_evidence(
        START,
        1,
        &[evidence_of("a", 3.0, 500.0), evidence_of("b", 3.0, 500.0)],
    );
    let slow = replica_table;
    let baseline = self::replica_table(&["a", "b"]);
    let with_queue = |mut replica_table: ReplicaTable| {
        for (number, replica) in [(900, "a"), (901, "a"), (902, "b"), (903, "b")] {
            let shape = prompt(number);
            let sent = SentPrompt {
                target_pause: None,
                shape: &shape,
                engine: ENGINE,
                target_latency: TARGET_LATENCY,
                prefill_tokens: TOKENS,
                queue_ms: 0.0,
            };
            replica_table.start(START, &replica.into(), Some(sent));
        }
        choose(&replica_table, START, &prompt(1))
    };
    assert!(matches!(with_queue(baseline), Choice::Send { .. }));
    assert!(matches!(with_queue(slow), Choice::Refuse { .. }));
}

#[test]
fn evidence_of_a_silent_peer_expires() {
    // A peer reported that a replica is slow, and then crashed or its datagrams got lost. Its
    // evidence decays, and is removed after some seconds.
    let mut replica_table = replica_table(&["a", "b"]);
    replica_table.apply_evidence(START, 1, &[evidence_of("a", 4.0, 50.0)]);
    let at_once = lasting(&replica_table, "a");
    assert!(at_once > 3.0);
    replica_table.apply_evidence(START + secs(5.0), 2, &[]);
    assert!(lasting(&replica_table, "a") < at_once);
    replica_table.apply_evidence(START + secs(10.0), 2, &[]);
    assert_eq!(lasting(&replica_table, "a"), 1.0);
    // A report of a peer replaces its previous one and is not added to it.
    for step in 0..100 {
        let now = START + secs(20.0 + f64::from(step) * 0.25);
        replica_table.apply_evidence(now, 1, &[evidence_of("a", 2.0, 4.0)]);
    }
    assert!(
        (1.35..1.45).contains(&lasting(&replica_table, "a")),
        "{}",
        lasting(&replica_table, "a")
    );
}

#[test]
fn a_router_that_sees_all_answers_late_reports_no_replica_as_slow() {
    // A busy host sees every first token late. It reports differences between replicas, and all of
    // its replicas take equally long.
    let mut simulation = Simulation::new(&[("a", 3.0), ("b", 3.0), ("c", 3.0)]);
    simulation.run_for(10.0);
    for evidence in simulation.replica_table.evidence(simulation.now) {
        let mean = evidence.pace.lasting.mean(0.0);
        assert!(mean.abs() < 0.2, "{mean}");
    }
}

#[test]
fn evidence_traffic_is_bounded_with_a_hundred_routers_and_a_thousand_replicas() {
    // Each router sends evidence to 99 others. A replica far from the baseline is in every
    // datagram, and the others are sent in turn.
    let all: Vec<ReplicaEvidence> = (0..1000)
        .map(|number| ReplicaEvidence {
            start_hash: u32::MAX - number,
            ..evidence_of("a", if number == 700 { 5.0 } else { 1.01 }, 5.0)
        })
        .collect();
    let mut schedule = EvidenceSchedule::default();
    let mut times_sent: HashMap<u32, u32> = HashMap::new();
    let (mut datagrams, mut rounds) = (0, 0);
    for step in 0..12_000 {
        let now = START + secs(f64::from(step) / 100.0);
        if !schedule.is_due(now, 99) {
            continue;
        }
        let replicas = schedule.select(now, all.clone());
        for evidence in &replicas {
            *times_sent.entry(evidence.start_hash).or_default() += 1;
        }
        datagrams += if rounds == 0 { 0 } else { 99 };
        rounds += 1;
        let message = PeerMessage::Evidence(EvidenceMessage {
            zone: u32::MAX,
            reporter: SocketAddr::from(([10, 0, 0, 1], 9999)),
            replicas,
        });
        assert!(encode_payload(&message).expect("bytes").len() <= 1200);
    }
    assert!(
        datagrams <= 120 * 50,
        "{datagrams} after the first, in two minutes"
    );
    assert_eq!(times_sent[&(u32::MAX - 700)], rounds);
    assert_eq!(times_sent.len(), 1000);
}

/// A peer may be faulty, or its datagram corrupt: values that no first token can have produced are
/// not applied, and cause no panic.
#[test]
fn words_that_cannot_be_true_are_not_taken_in() {
    for (weight, log_ratio) in [
        (f32::NAN, 0.0),
        (1.0, f32::NAN),
        (f32::INFINITY, f32::INFINITY),
        (-5.0, 10.0),
        (1.0, 1e30),
    ] {
        let mut replica_table = replica_table(&["a", "b"]);
        let sum = PaceSum { weight, log_ratio };
        let evidence = ReplicaEvidence {
            start_hash: entry("a", 1).start_hash(),
            pace: PaceEvidence {
                lasting: sum,
                recent: sum,
            },
            pauses: PauseEvidence {
                watched_s: weight,
                late: log_ratio,
            },
        };
        replica_table.apply_evidence(secs(200.0), 1, &[evidence]);
        let view = replica_table.replica("a").expect("listed");
        assert_eq!(view.pace, ReplicaPace::default());
        assert_eq!(
            view.observations.pauses(secs(200.0)),
            PauseEvidence::default()
        );
    }
}

/// The cost of the pauses that placing a prompt at "a" causes, in milliseconds, where two streams
/// run and first tokens take `ratio` times as long as the baseline.
fn pause_cost_at(ratio: f32) -> f64 {
    let target_pause = Some(Duration::from_millis(300));
    let mut replica_table = replica_table(&["a"]);
    replica_table.apply_evidence(START, 1, &[evidence_of("a", ratio, 500.0)]);
    for number in [900, 901] {
        let shape = prompt(number);
        let sent = SentPrompt {
            target_pause,
            shape: &shape,
            engine: ENGINE,
            target_latency: TARGET_LATENCY,
            prefill_tokens: 0,
            queue_ms: 0.0,
        };
        replica_table.start(START, &"a".into(), Some(sent));
    }
    replica_table.record_stream(START, &entry("a", 1), 50, Duration::from_secs(2));
    let pauses = PauseEvidence {
        watched_s: 20.0,
        late: 1.0,
    };
    replica_table.record_pauses(START, &entry("a", 1), pauses);
    let shape = prompt(1);
    let request = PlacementRequest {
        target_pause,
        ..request(&shape)
    };
    match replica_table.choose(START, &request) {
        Choice::Send { pauses_ms, .. } => pauses_ms,
        Choice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

#[test]
fn a_prompts_reading_is_weighed_at_the_pace_of_the_engine_that_reads_it() {
    // 5,000 tokens take half of a target pause of 300 ms at the baseline pace: a quarter of the two
    // streams is expected to be late. At a third of that pace both are.
    let (baseline, slow, fast) = (pause_cost_at(1.0), pause_cost_at(3.0), pause_cost_at(0.5));
    assert!(slow > baseline * 2.0, "{slow} at a slow engine, {baseline}");
    assert!(fast < baseline / 2.0, "{fast} at a fast engine, {baseline}");
}
