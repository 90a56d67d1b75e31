//! Where streams run and where prompts are read, when an engine that reads holds up the
//! streams that it runs: a stream is late when one pause between its events is too long.
//!
//! One router's board is played against engines: each takes steps, reads up to a chunk of
//! the prompts in front in each, and an event of a stream holds five steps. What is counted
//! is what callers see, with and without a pause aim told to the board.

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
const PAUSE_AIM: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(5);
const START: Moment = Duration::from_secs(100);

/// An engine of speed 1 reads so many tokens a millisecond, a chunk of this many in each
/// step, and takes so long to a step beside.
const TOKENS_PER_MS: f64 = 64.0;
const CHUNK: f64 = 2048.0;
const STEP_MS: f64 = 4.0;
const STEPS: f64 = 5.0; // in an event

/// A kind of request, and how many come in a second.
#[derive(Clone, Copy)]
struct Kind {
    per_s: f64,
    tokens: u32,
    events: u32,
    aim: Duration,
}

const CHAT: Kind = Kind {
    per_s: 100.0,
    tokens: 1100,
    events: 34,
    aim: Duration::from_millis(400),
};
const REVIEW: Kind = Kind {
    per_s: 35.0,
    tokens: 7000,
    events: 20,
    aim: Duration::from_millis(800),
};

/// What callers saw of one kind, and where it went.
#[derive(Clone, Default)]
struct Seen {
    ended: u32,
    late: u32,    // by a pause
    first: u32,   // whose first event came after the aim
    at: Vec<u32>, // by replica
}

impl Seen {
    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.ended.max(1))
    }

    fn first_late_share(&self) -> f64 {
        f64::from(self.first) / f64::from(self.ended.max(1))
    }

    /// The part of it that went where much of another kind is read: to replicas that got
    /// more than half of what they would if that were at all of them alike.
    fn share_beside(
        &self,
        other: &Self,
    ) -> f64 {
        let part = other.at.iter().sum::<u32>() / other.at.len() as u32;
        let pairs = self.at.iter().zip(&other.at);
        let beside = pairs.filter(|(_, other)| **other * 2 > part);
        let beside: u32 = beside.map(|(own, _)| own).sum();
        f64::from(beside) / f64::from(self.at.iter().sum::<u32>())
    }

    /// How many replicas it would be at if it were at all of them alike.
    fn spread(&self) -> f64 {
        let all: f64 = self.at.iter().copied().map(f64::from).sum();
        let squares = self.at.iter().map(|at| (f64::from(*at) / all).powi(2));
        1.0 / squares.sum::<f64>()
    }
}

struct Stream {
    kind: usize,
    number: InFlightId,
    sent: Moment,
    begun: Moment,
    watch: Option<PauseWatch>,
    since: Moment, // its last event
    part: f64,     // of the next event
    left: u32,     // events
    late: bool,
}

#[derive(Default)]
struct Replica {
    speed: f64,
    unread: VecDeque<(f64, Stream)>,
    running: Vec<Stream>,
}

struct World {
    board: ReplicaTable,
    replicas: Vec<Replica>,
    kinds: Vec<Kind>,
    due: Vec<f64>,
    seen: Vec<Seen>,
    sent_to: Vec<usize>,
    pause_aim: Option<Duration>,
    now: Moment,
}

impl World {
    fn new(
        speeds: &[f64],
        kinds: &[Kind],
        pause_aim: Option<Duration>,
    ) -> Self {
        let mut board = ReplicaTable::new(PlacementSettings::default());
        let entries = (0..speeds.len()).map(|index| entry(index, None));
        board.set_entries(START, entries.collect());
        let seen = Seen {
            at: vec![0; speeds.len()],
            ..Seen::default()
        };
        let replicas = speeds.iter().map(|speed| Replica {
            speed: *speed,
            ..Replica::default()
        });
        Self {
            board,
            replicas: replicas.collect(),
            kinds: kinds.to_vec(),
            due: vec![0.0; kinds.len()],
            seen: vec![seen; kinds.len()],
            sent_to: Vec::new(),
            pause_aim,
            now: START,
        }
    }

    /// Plays some seconds; what was seen before counts no more.
    fn play(
        &mut self,
        seconds: u64,
    ) {
        for seen in &mut self.seen {
            *seen = Seen {
                at: vec![0; self.replicas.len()],
                ..Seen::default()
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
                self.read(index);
                self.write(index);
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
            aim,
            ..
        } = self.kinds[kind];
        let id = self.sent_to.len() as u64;
        let shape = PromptShape {
            parts: vec![PromptPart { id, tokens }],
            output_tokens: events * STEPS as u32,
        };
        let request = request(&shape, self.pause_aim);
        let Choice::Send {
            replica,
            prefill_tokens: reading,
            queue_ms: front_ms,
            ..
        } = self.board.choose(self.now, &request)
        else {
            return;
        };
        let sent = SentPrompt {
            shape: &shape,
            engine: ENGINE,
            target_latency: aim,
            target_pause: self.pause_aim,
            prefill_tokens: reading,
            queue_ms: front_ms,
        };
        let number = self.board.start(self.now, &replica, Some(sent));
        let index: usize = replica.parse().expect("an index");
        self.sent_to.push(index);
        self.seen[kind].at[index] += 1;
        let stream = Stream {
            kind,
            number: number.expect("started"),
            sent: self.now,
            begun: self.now,
            watch: None,
            since: self.now,
            part: 0.0,
            left: events,
            late: false,
        };
        let unread = &mut self.replicas[index].unread;
        unread.push_back((f64::from(reading), stream));
    }

    fn read(
        &mut self,
        index: usize,
    ) {
        let replica = &mut self.replicas[index];
        let mut tokens = TICK.as_secs_f64() * 1000.0 * TOKENS_PER_MS * replica.speed;
        while let Some((left, _)) = replica.unread.front_mut() {
            let read = left.min(tokens);
            *left -= read;
            tokens -= read;
            if *left > 0.0 {
                return;
            }
            let (_, mut stream) = replica.unread.pop_front().expect("the first");
            self.board.first_token(self.now, stream.number);
            let late = self.now - stream.sent > self.kinds[stream.kind].aim;
            self.seen[stream.kind].first += u32::from(late);
            stream.begun = self.now;
            stream.since = self.now;
            stream.watch = self.pause_aim.map(|aim| PauseWatch::new(self.now, aim));
            replica.running.push(stream);
        }
    }

    fn write(
        &mut self,
        index: usize,
    ) {
        let replica = &mut self.replicas[index];
        let reads = !replica.unread.is_empty();
        let chunk_ms = if reads { CHUNK / TOKENS_PER_MS } else { 0.0 };
        let event_ms = STEPS * (STEP_MS + chunk_ms) / replica.speed;
        let part = TICK.as_secs_f64() * 1000.0 / event_ms;
        let entry = entry(index, None);
        let mut ended = Vec::new();
        for (place, stream) in replica.running.iter_mut().enumerate() {
            stream.part += part;
            let waited = self.now - stream.since;
            if stream.part < 1.0 {
                let watch = stream.watch.as_mut();
                let open =
                    watch.filter(|watch| watch.target_pause().is_some_and(|aim| waited > aim));
                if let Some(watch) = open {
                    let seen = watch.record_overrun(self.now);
                    self.board.record_pauses(self.now, &entry, seen);
                }
                continue;
            }
            stream.part -= 1.0;
            stream.left -= 1;
            stream.since = self.now;
            stream.late |= waited > PAUSE_AIM;
            let watch = stream.watch.as_mut();
            if let Some(seen) = watch.and_then(|watch| watch.record_event(self.now, waited)) {
                self.board.record_pauses(self.now, &entry, seen);
            }
            if stream.left == 0 {
                ended.push(place);
            }
        }
        for place in ended.into_iter().rev() {
            let stream = replica.running.swap_remove(place);
            let tokens = self.kinds[stream.kind].events * STEPS as u32;
            self.board.finish(stream.number);
            self.board
                .record_stream(self.now, &entry, tokens, self.now - stream.begun);
            self.seen[stream.kind].ended += 1;
            self.seen[stream.kind].late += u32::from(stream.late);
        }
    }
}

fn entry(
    index: usize,
    born: Option<u64>,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: index.to_string().into(),
        started_unix_ms: born,
        service: "model".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
        slots: 64,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

fn request(
    prompt: &PromptShape,
    pause_aim: Option<Duration>,
) -> PlacementRequest<'_> {
    PlacementRequest {
        regions: None,
        service: "model",
        zone: "z",
        engine: Some(ENGINE),
        prompt: Some(prompt),
        target_latency: CHAT.aim,
        target_pause: pause_aim,
        share_status: ShareStatus::Within,
        tried: &[],
    }
}

/// What callers saw with and without a pause aim told, once streams have run for a while.
fn both(
    speeds: &[f64],
    kinds: &[Kind],
) -> (World, World) {
    let played = |pause_aim| {
        let mut world = World::new(speeds, kinds, pause_aim);
        world.play(6);
        world.play(20);
        world
    };
    (played(Some(PAUSE_AIM)), played(None))
}

/// Half of the engines are so slow that a long prompt holds up what they run.
const UNEQUAL: [f64; 8] = [1.7, 1.7, 1.7, 1.7, 0.5, 0.5, 0.5, 0.5];

/// Any of them is held up for too long by one long prompt of [`LONG_REVIEW`].
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

/// 100 chats and 45 long prompts a second take three quarters of what the engines can read,
/// and as much as the quick ones can: chats are to go where little is read, or where reading holds nothing up.
#[test]
fn fewer_chats_are_late_where_some_engines_are_slow() {
    let (told, _) = both(
        &UNEQUAL,
        &[
            CHAT,
            Kind {
                per_s: 45.0,
                ..REVIEW
            },
        ],
    );
    let (chats, reviews) = (&told.seen[0], &told.seen[1]);
    assert!(chats.late_share() < 0.01);
    assert!(chats.first_late_share() < 0.05);
    assert!(reviews.first_late_share() < 0.05);
}

/// 60 chats and 8 long prompts a second take two thirds of what eight slow engines can
/// read, and every long prompt breaks the pauses of all streams beside it: the two kinds
/// part, though no engine is better than another.
#[test]
fn chats_and_long_prompts_part_where_engines_are_alike() {
    let (told, untold) = both(&SLOW, &[FEWER_CHATS, LONG_REVIEW]);
    let (chats, reviews) = (&told.seen[0], &told.seen[1]);
    assert!(chats.late_share() < untold.seen[0].late_share() / 2.0);
    assert!(chats.share_beside(reviews) < untold.seen[0].share_beside(&untold.seen[1]) / 2.0);
    assert!(reviews.first_late_share() < 0.05);
}

/// 2 long prompts a second, then 12, beside 40 chats: fewer replicas run chats then.
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
    let mut world = World::new(&SLOW, &kinds, Some(PAUSE_AIM));
    world.play(6);
    world.play(20);
    let before = world.seen[0].spread();
    world.kinds[1].per_s = 12.0;
    world.play(10);
    world.play(20);
    assert!(world.seen[0].spread() < before - 0.5);
    assert!(world.seen[0].late_share() < 0.1);
    assert!(world.seen[1].first_late_share() < 0.05);
}

/// 200 chats a second, nothing long: no pause breaks, and every request goes where it
/// would without a pause aim.
#[test]
fn short_prompts_go_where_they_went() {
    let (told, untold) = both(
        &UNEQUAL,
        &[Kind {
            per_s: 200.0,
            ..CHAT
        }],
    );
    assert_eq!(told.sent_to, untold.sent_to);
}

/// So many seconds of streams were watched, and so many streams paused for too long.
fn pauses(
    watched_s: f32,
    broken: f32,
) -> PauseEvidence {
    PauseEvidence {
        watched_s,
        late: broken,
    }
}

/// Two replicas that have run streams, and the one to which a prompt goes that is alone.
fn idle_board() -> (ReplicaTable, PromptShape, usize) {
    let world = World::new(&[1.0, 1.0], &[CHAT], Some(PAUSE_AIM));
    let mut board = world.board;
    board.record_stream(START, &entry(0, None), 170, Duration::from_secs(2));
    let shape = PromptShape {
        parts: vec![PromptPart { id: 7, tokens: 500 }],
        output_tokens: 170,
    };
    let home = chosen(&mut board, START, &shape);
    (board, shape, home)
}

fn chosen(
    board: &mut ReplicaTable,
    now: Moment,
    shape: &PromptShape,
) -> usize {
    board.refresh_estimates(now);
    match board.choose(now, &request(shape, Some(PAUSE_AIM))) {
        Choice::Send { replica, .. } => replica.parse().expect("an index"),
        Choice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// Nothing runs there any more that could show that pauses are short again.
#[test]
fn a_replica_where_streams_paused_is_used_again_later() {
    let (mut board, shape, home) = idle_board();
    board.record_pauses(START, &entry(home, None), pauses(20.0, 15.0));
    assert_ne!(chosen(&mut board, START, &shape), home);
    let later = START + Duration::from_secs(60);
    assert_eq!(chosen(&mut board, later, &shape), home);
}

/// A fellow told of pauses at a replica and is not heard of again: its word counts for
/// some seconds. What was said of one start of a replica is nothing to the next.
#[test]
fn what_fellows_told_ends_with_them_and_with_the_start() {
    let (mut board, shape, home) = idle_board();
    let told = ReplicaEvidence {
        start_hash: entry(home, None).start_hash(),
        pace: PaceEvidence::default(),
        pauses: pauses(20.0, 15.0),
    };
    board.apply_evidence(START, 1, &[told]);
    let soon = START + Duration::from_millis(100);
    assert_ne!(chosen(&mut board, soon, &shape), home);
    let later = START + Duration::from_secs(4);
    assert_eq!(chosen(&mut board, later, &shape), home);

    board.apply_evidence(later, 1, &[told]);
    board.record_pauses(later, &entry(home, None), pauses(20.0, 15.0));
    let other = 1 - home;
    board.set_entries(later, vec![entry(home, Some(2)), entry(other, None)]);
    board.apply_evidence(later, 1, &[told]);
    assert_eq!(chosen(&mut board, later, &shape), home);
}

/// A stream is late once, however often it pauses afterwards, and a pause that goes on
/// counts before it is over.
#[test]
fn a_stream_breaks_once_and_at_once() {
    let mut watch = PauseWatch::new(START, PAUSE_AIM);
    let ms = Duration::from_millis;
    assert_eq!(watch.record_event(START + ms(100), ms(100)), None);
    let seen = watch.record_overrun(START + ms(400));
    assert_eq!(seen, pauses(0.4, 1.0));
    assert_eq!(watch.record_event(START + ms(900), ms(800)), None);
    assert_eq!(watch.end(START + ms(950)), None);
    // One that stays in time hands in what was watched now and then.
    let mut watch = PauseWatch::new(START, PAUSE_AIM);
    assert_eq!(watch.record_event(START + ms(250), ms(250)), None);
    let seen = watch.record_event(START + ms(500), ms(250));
    assert_eq!(seen, Some(pauses(0.5, 0.0)));
    assert_eq!(watch.end(START + ms(600)), None);
}

/// Thirty streams run at each of two slow replicas, where blocks of reading are known to
/// break pauses. An account over its share is not lent what would make them late, however
/// idle the reading is; one within its share is served.
#[test]
fn what_is_lent_makes_hardly_any_stream_late() {
    let chats = Kind {
        per_s: 30.0,
        tokens: 50,
        ..CHAT
    };
    let mut world = World::new(&[0.4, 0.4], &[chats], Some(PAUSE_AIM));
    world.play(8);
    for index in 0..2 {
        let broken = pauses(20.0, 15.0);
        world
            .board
            .record_pauses(world.now, &entry(index, None), broken);
    }
    let long = PromptShape {
        parts: vec![PromptPart {
            id: 9_999_999,
            tokens: 5000,
        }],
        output_tokens: 100,
    };
    let standing = |share_status| PlacementRequest {
        share_status,
        target_latency: Duration::from_secs(20),
        ..request(&long, Some(PAUSE_AIM))
    };
    let over = ShareStatus::Over {
        wait: Duration::from_secs(1),
        factor: 1.1,
    };
    let choice = world
        .board
        .choose(world.now, &standing(ShareStatus::Within));
    assert!(matches!(choice, Choice::Send { pauses_ms, .. } if pauses_ms > 0.0));
    let choice = world.board.choose(world.now, &standing(over));
    let reason = RefusalReason::OverShare;
    assert!(matches!(choice, Choice::Refuse { reason: given, .. } if given == reason));
}
