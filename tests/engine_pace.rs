//! Engines of one service differ in speed, lastingly and by spells: what routers believe of
//! each replica, and where they send prompts by it.

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

const BEGIN: Duration = Duration::from_secs(100);
const AIM: Duration = Duration::from_millis(800);
const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: 1_000_000,
    kv_bytes_per_token: 0.0,
    link_mbps: 0.0,
    can_transfer_kv: false,
};

/// Engines of the usual pace.
const USUAL: EngineLatency = EngineLatency {
    fixed_ms: 40.0,
    token_ms: 0.03,
    residual_ms: 20.0,
};
const TOKENS: u32 = 5000;

/// One prompt each 70 ms is six tenths of what three engines of paces .7, .7 and 1.7 read.
const STREAM: Duration = Duration::from_millis(70);

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn entry(
    id: &str,
    born: u64,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.into(),
        started_unix_ms: Some(born),
        service: "model".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
        slots: 64,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

fn board(ids: &[&str]) -> ReplicaTable {
    let mut board = ReplicaTable::new(PlacementSettings::default());
    board.set_entries(BEGIN, ids.iter().map(|id| entry(id, 1)).collect());
    board.apply_latency_reports(&[LatencyReport {
        service_hash: name_hash("model"),
        times: USUAL,
        samples: 5000,
    }]);
    board
}

/// A prompt of which nothing is kept anywhere.
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
        target_latency: AIM,
        share_status: ShareStatus::Within,
        tried: &[],
    }
}

fn choose(
    board: &ReplicaTable,
    now: Duration,
    prompt: &PromptShape,
) -> Choice {
    board.choose(now, &request(prompt))
}

/// An engine that reads one prompt after the other.
struct Engine {
    pace: f64, // times as long as usual
    free: Duration,
}

/// One router, some engines, and a steady stream of prompts.
struct Play {
    board: ReplicaTable,
    engines: BTreeMap<&'static str, Engine>,
    now: Duration,
    next: u64,
    under_way: Vec<(Duration, InFlightId)>, // when first tokens come
    refused: u32,
}

/// What came of a part of the stream.
#[derive(Default)]
struct Seen {
    sent: HashMap<Arc<str>, u32>, // prompts, by replica
    slowest: Duration,            // to a first token
}

impl Seen {
    fn sent_to(
        &self,
        replica: &str,
    ) -> f64 {
        f64::from(self.sent.get(replica).copied().unwrap_or(0))
    }
}

impl Play {
    fn new(paces: &[(&'static str, f64)]) -> Self {
        let ids: Vec<&str> = paces.iter().map(|(id, _)| *id).collect();
        let engine = |pace| Engine { pace, free: BEGIN };
        Self {
            board: board(&ids),
            engines: paces
                .iter()
                .map(|(id, pace)| (*id, engine(*pace)))
                .collect(),
            now: BEGIN,
            next: 1,
            under_way: Vec::new(),
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
        let pace = self.board.replica(replica).expect("a replica").pace;
        (pace.lasting, pace.now)
    }

    fn play(
        &mut self,
        seconds: f64,
    ) -> Seen {
        let end = self.now + secs(seconds);
        let mut seen = Seen::default();
        while self.now < end {
            self.let_come();
            self.send(&mut seen);
            self.now += STREAM;
        }
        seen
    }

    /// Half as many prompts, sent to all in turn.
    fn play_in_turn(
        &mut self,
        seconds: f64,
    ) {
        let end = self.now + secs(seconds);
        let ids: Vec<&str> = self.engines.keys().copied().collect();
        while self.now < end {
            self.let_come();
            let shape = prompt(self.next);
            let replica = ids[self.next as usize % ids.len()].into();
            self.run(&mut Seen::default(), &shape, replica, TOKENS, 0.0);
            self.now += STREAM * 2;
        }
    }

    fn let_come(&mut self) {
        self.under_way.sort();
        let come = self.under_way.partition_point(|(at, _)| *at <= self.now);
        for (at, work) in self.under_way.drain(..come) {
            self.board.first_token(at, work);
            self.board.finish(work);
        }
    }

    fn send(
        &mut self,
        seen: &mut Seen,
    ) {
        let shape = prompt(self.next);
        let Choice::Send {
            replica,
            prefill_tokens: reading,
            queue_ms: front_ms,
            ..
        } = choose(&self.board, self.now, &shape)
        else {
            self.refused += 1;
            self.next += 1;
            return;
        };
        self.run(seen, &shape, replica, reading, front_ms);
    }

    fn run(
        &mut self,
        seen: &mut Seen,
        shape: &PromptShape,
        replica: Arc<str>,
        reading: u32,
        front_ms: f64,
    ) {
        self.next += 1;
        let sent = SentPrompt {
            target_pause: None,
            shape,
            engine: ENGINE,
            target_latency: AIM,
            prefill_tokens: reading,
            queue_ms: front_ms,
        };
        let work = self.board.start(self.now, &replica, Some(sent));
        let engine = self.engines.get_mut(&*replica).expect("an engine");
        // Some take up to a third longer: the noise is skewed, as it is in life.
        let noise = 1.0 + ((self.next * 7919) % 97) as f64 / 290.0;
        let usual = USUAL.prefill_ms(reading) * engine.pace * noise;
        engine.free = engine.free.max(self.now) + secs(usual / 1000.0);
        let first = engine.free + secs(USUAL.fixed_ms * engine.pace / 1000.0);
        seen.slowest = seen.slowest.max(first - self.now);
        *seen.sent.entry(replica).or_default() += 1;
        self.under_way.push((first, work.expect("started")));
    }
}

const UNLIKE: [(&str, f64); 3] = [("a", 0.7), ("b", 0.7), ("c", 1.7)];

/// Evidence that a replica takes that many times as long, by so many first tokens.
fn told(
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
    board: &ReplicaTable,
    replica: &str,
) -> f64 {
    board.replica(replica).expect("a replica").pace.lasting
}

#[test]
fn engines_of_unlike_speed_get_reading_in_proportion_and_first_tokens_stay_in_their_aims() {
    // Load: six tenths of what all read. With a third each, the slow one would get more
    // than it reads (1.2 times), and its queue would grow.
    let mut play = Play::new(&UNLIKE);
    play.play(5.0);
    let seen = play.play(30.0);
    let (fast, slow) = (seen.sent_to("a") + seen.sent_to("b"), seen.sent_to("c"));
    assert!(fast / 2.0 > slow * 1.7, "{:?}", seen.sent);
    assert!(slow > 0.0, "{:?}", seen.sent);
    assert!(seen.slowest <= AIM, "{:?}", seen.slowest);
    assert_eq!(play.refused, 0);
}

#[test]
fn pace_and_model_converge_and_do_not_chase_each_other() {
    // Load: a long steady stream, in turn so that each has done before its next one, with
    // skewed noise. Each belief learns from what the other makes of a sample; their product
    // must be what engines take, for as long as it goes.
    let mut play = Play::new(&[("a", 0.6), ("b", 0.6), ("c", 1.2)]);
    for _ in 0..10 {
        play.play_in_turn(60.0);
        let times = play.board.engine_latency("model");
        for (id, pace) in [("a", 0.6), ("b", 0.6), ("c", 1.2)] {
            let (believed, _) = play.pace(id);
            let ms = (times.fixed_ms + times.prefill_ms(TOKENS)) * believed;
            let actual = (USUAL.fixed_ms + USUAL.prefill_ms(TOKENS) * 1.16) * pace;
            assert!((ms / actual - 1.0).abs() < 0.2, "{id}: {ms} {actual}");
        }
    }
}

#[test]
fn one_that_turns_five_times_slower_loses_new_work_and_is_tried_again() {
    // Load: three engines alike, of which each gets 4.8 prompts a second. What was sent
    // before it is known waits there; what follows must not.
    let mut play = Play::new(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    play.play(20.0);
    play.set_pace("c", 5.0);
    let at_once = play.play(1.5).sent_to("c");
    assert!(at_once <= 6.0, "{at_once}");
    // In proportion it reads a fifth of what each of the others does.
    let then = play.play(4.0).sent_to("c");
    assert!(then <= 4.0 / STREAM.as_secs_f64() / 11.0, "{then}");
    let (believed, _) = play.pace("c");
    assert!(
        believed < 3.0,
        "few first tokens are no proof that it lasts: {believed}"
    );
    // It is tried while it is slow, and gets its part again once it is not.
    play.set_pace("c", 1.0);
    let again = play.play(30.0).sent_to("c");
    assert!(again > 40.0, "{again}");
}

#[test]
fn a_spell_changes_little_of_what_is_believed_to_last() {
    // Load: engines alike; one has spells of .6 s in which it takes 2.5 times as long.
    let mut play = Play::new(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    play.play(20.0);
    let (before, _) = play.pace("c");
    play.set_pace("c", 2.5);
    play.play(0.6);
    play.set_pace("c", 1.0);
    play.play(0.4);
    let (after, _) = play.pace("c");
    assert!(after / before < 1.25, "{before} {after}");
    play.play(10.0);
    let (later, now) = play.pace("c");
    assert!((later / before - 1.0).abs() < 0.1, "{before} {later}");
    assert!(now / later < 1.05, "{now}");
}

#[test]
fn a_first_token_that_does_not_come_speaks_before_it_comes() {
    // Load: one of three engines stops reading. Its first tokens never come: what waits for
    // them is all that is known, and must keep new work away.
    let mut play = Play::new(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    play.play(10.0);
    play.set_pace("c", 1000.0);
    play.play(3.0);
    let (lasting, now) = play.pace("c");
    assert!(now > lasting * 2.0, "{lasting} {now}");
    assert_eq!(play.play(3.0).sent_to("c"), 0.0);
    let (lasting, now) = play.pace("a");
    assert!(now < lasting * 1.1, "{lasting} {now}");
}

#[test]
fn a_new_start_begins_at_the_usual_pace() {
    // What one process of a replica showed says nothing of the next: the machine may be
    // another one.
    let mut board = board(&["a", "b"]);
    board.apply_evidence(BEGIN, 1, &[told("a", 4.0, 50.0)]);
    assert!(lasting(&board, "a") > 3.0);
    board.set_entries(BEGIN, vec![entry("a", 2), entry("b", 1)]);
    assert_eq!(lasting(&board, "a"), 1.0);
    // A fellow that has not heard of it yet speaks of the start before.
    board.apply_evidence(BEGIN + secs(1.0), 1, &[told("a", 4.0, 50.0)]);
    assert_eq!(lasting(&board, "a"), 1.0);
}

#[test]
fn where_engines_are_alike_choices_are_the_same() {
    // Much evidence that says nothing of any replica changes no choice.
    let ids = ["a", "b", "c", "d", "e"];
    let without = board(&ids);
    let mut with = board(&ids);
    let alike: Vec<ReplicaEvidence> = ids.iter().map(|id| told(id, 1.0, 80.0)).collect();
    with.apply_evidence(BEGIN, 1, &alike);
    for number in 0..100 {
        let shape = prompt(number);
        let now = BEGIN + secs(1.0);
        assert_eq!(choose(&with, now, &shape), choose(&without, now, &shape));
    }
}

#[test]
fn a_fresh_router_learns_from_one_datagram() {
    // A router that has just started has seen no first token; its first prompts go by what
    // its fellows have seen.
    let mut board = board(&["a", "b"]);
    board.apply_evidence(BEGIN, 1, &[told("a", 3.0, 60.0), told("b", 0.7, 60.0)]);
    for number in 0..50 {
        let Choice::Send { replica, .. } = choose(&board, BEGIN, &prompt(number)) else {
            panic!("refused");
        };
        assert_eq!(&*replica, "b");
    }
}

#[test]
fn what_is_in_front_leaves_the_aim_at_the_pace_of_each_replica() {
    // Load: two prompts in front at both, 300 ms at the usual pace. An aim of 800 ms leaves
    // that, but not three times that.
    let mut board = board(&["a", "b"]);
    board.apply_evidence(BEGIN, 1, &[told("a", 3.0, 500.0), told("b", 3.0, 500.0)]);
    let slow = board;
    let usual = self::board(&["a", "b"]);
    let with_front = |mut board: ReplicaTable| {
        for (number, replica) in [(900, "a"), (901, "a"), (902, "b"), (903, "b")] {
            let shape = prompt(number);
            let sent = SentPrompt {
                target_pause: None,
                shape: &shape,
                engine: ENGINE,
                target_latency: AIM,
                prefill_tokens: TOKENS,
                queue_ms: 0.0,
            };
            board.start(BEGIN, &replica.into(), Some(sent));
        }
        choose(&board, BEGIN, &prompt(1))
    };
    assert!(matches!(with_front(usual), Choice::Send { .. }));
    assert!(matches!(with_front(slow), Choice::Refuse { .. }));
}

#[test]
fn a_fellow_that_is_gone_or_whose_words_are_lost_is_forgotten() {
    // It said that a replica is slow, and nothing came of it since: it died, or its
    // datagrams are lost. Its word fades, and is gone after some seconds.
    let mut board = board(&["a", "b"]);
    board.apply_evidence(BEGIN, 1, &[told("a", 4.0, 50.0)]);
    let at_once = lasting(&board, "a");
    assert!(at_once > 3.0);
    board.apply_evidence(BEGIN + secs(5.0), 2, &[]);
    assert!(lasting(&board, "a") < at_once);
    board.apply_evidence(BEGIN + secs(10.0), 2, &[]);
    assert_eq!(lasting(&board, "a"), 1.0);
    // What one says takes the place of what it said before, and does not add up.
    for step in 0..100 {
        let now = BEGIN + secs(20.0 + f64::from(step) * 0.25);
        board.apply_evidence(now, 1, &[told("a", 2.0, 4.0)]);
    }
    assert!(
        (1.35..1.45).contains(&lasting(&board, "a")),
        "{}",
        lasting(&board, "a")
    );
}

#[test]
fn a_router_that_reads_answers_late_speaks_against_no_replica() {
    // A busy host sees every first token late. It tells what differs between replicas, and
    // all of its take as long.
    let mut play = Play::new(&[("a", 3.0), ("b", 3.0), ("c", 3.0)]);
    play.play(10.0);
    for evidence in play.board.evidence(play.now) {
        let mean = evidence.pace.lasting.mean(0.0);
        assert!(mean.abs() < 0.2, "{mean}");
    }
}

#[test]
fn telling_stays_bounded_with_a_hundred_routers_and_a_thousand_replicas() {
    // Each router tells 99 others. A replica that is far from usual is in every datagram,
    // and each of the others within as many as their number takes.
    let all: Vec<ReplicaEvidence> = (0..1000)
        .map(|number| ReplicaEvidence {
            start_hash: u32::MAX - number,
            ..told("a", if number == 700 { 5.0 } else { 1.01 }, 5.0)
        })
        .collect();
    let mut turn = EvidenceSchedule::default();
    let mut named: HashMap<u32, u32> = HashMap::new();
    let (mut datagrams, mut rounds) = (0, 0);
    for step in 0..12_000 {
        let now = BEGIN + secs(f64::from(step) / 100.0);
        if !turn.is_due(now, 99) {
            continue;
        }
        let replicas = turn.select(now, all.clone());
        for evidence in &replicas {
            *named.entry(evidence.start_hash).or_default() += 1;
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
    assert_eq!(named[&(u32::MAX - 700)], rounds);
    assert_eq!(named.len(), 1000);
}

/// A fellow's build is broken, or its datagram: what no first token can have shown is not
/// taken in, and ends nothing.
#[test]
fn words_that_cannot_be_true_are_not_taken_in() {
    for (weight, log_ratio) in [
        (f32::NAN, 0.0),
        (1.0, f32::NAN),
        (f32::INFINITY, f32::INFINITY),
        (-5.0, 10.0),
        (1.0, 1e30),
    ] {
        let mut board = board(&["a", "b"]);
        let sum = PaceSum { weight, log_ratio };
        let told = ReplicaEvidence {
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
        board.apply_evidence(secs(200.0), 1, &[told]);
        let view = board.replica("a").expect("listed");
        assert_eq!(view.pace, ReplicaPace::default());
        assert_eq!(
            view.observations.pauses(secs(200.0)),
            PauseEvidence::default()
        );
    }
}

/// What placing a prompt at "a" costs by the pauses that it brings, in milliseconds, where
/// two streams run and first tokens take `ratio` times as long as usual.
fn pauses_at(ratio: f32) -> f64 {
    let pause_aim = Some(Duration::from_millis(300));
    let mut board = board(&["a"]);
    board.apply_evidence(BEGIN, 1, &[told("a", ratio, 500.0)]);
    for number in [900, 901] {
        let shape = prompt(number);
        let sent = SentPrompt {
            target_pause: pause_aim,
            shape: &shape,
            engine: ENGINE,
            target_latency: AIM,
            prefill_tokens: 0,
            queue_ms: 0.0,
        };
        board.start(BEGIN, &"a".into(), Some(sent));
    }
    board.record_stream(BEGIN, &entry("a", 1), 50, Duration::from_secs(2));
    let seen = PauseEvidence {
        watched_s: 20.0,
        late: 1.0,
    };
    board.record_pauses(BEGIN, &entry("a", 1), seen);
    let shape = prompt(1);
    let request = PlacementRequest {
        target_pause: pause_aim,
        ..request(&shape)
    };
    match board.choose(BEGIN, &request) {
        Choice::Send { pauses_ms, .. } => pauses_ms,
        Choice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

#[test]
fn a_prompts_reading_is_weighed_at_the_pace_of_the_engine_that_reads_it() {
    // 5,000 tokens take half of a pause aim of 300 ms at the usual pace: a quarter of the
    // two streams is expected to break. At a third of that pace both are.
    let (usual, slow, quick) = (pauses_at(1.0), pauses_at(3.0), pauses_at(0.5));
    assert!(slow > usual * 2.0, "{slow} at a slow engine, {usual}");
    assert!(quick < usual / 2.0, "{quick} at a quick engine, {usual}");
}
