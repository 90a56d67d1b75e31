//! A replica that starts again under its id is another replica for all that is remembered
//! of one: what it kept of prompts, what was sent there, what speaks against it, and what
//! other routers tell of it.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        platform::parse_replica,
        policy::{
            Reporter, ReporterScope,
            placement::{
                CachedPart, Choice, Load, PartPlacement, PlacementRequest, PlacementSettings,
                PromptPart, PromptShape, ReplicaReport, ReplicaTable, SentPrompt,
            },
            shares::ShareStatus,
        },
        routing::EngineSpec,
    },
    std::{sync::Arc, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);
const MEMORY: u64 = 100_000;
const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: MEMORY,
    kv_bytes_per_token: 0.0,
    link_mbps: 0.0,
    can_transfer_kv: false,
};
const PEER: Reporter = Reporter {
    scope: ReporterScope::Router,
    name: 1,
    source_id: 1,
};

fn start(
    id: &str,
    born: u64,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.into(),
        started_unix_ms: Some(born),
        service: "model".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
        slots: 8,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

fn board() -> ReplicaTable {
    let mut board = ReplicaTable::new(PlacementSettings::default());
    board.set_entries(NOW, vec![start("i-a", 1000)]);
    board
}

fn prompt() -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        parts: vec![part(1, 4000), part(2, 1000)],
        output_tokens: 50,
    }
}

/// What the replica would have to read of the prompt.
fn reading(board: &mut ReplicaTable) -> u32 {
    let prompt = prompt();
    let request = PlacementRequest {
        service: "model",
        zone: "z",
        engine: Some(ENGINE),
        prompt: Some(&prompt),
        target_latency: Duration::from_secs(10),
        target_pause: None,
        share_status: ShareStatus::Within,
        tried: &[],
        regions: None,
    };
    match board.choose(NOW, &request) {
        Choice::Send {
            prefill_tokens: reading,
            ..
        } => reading,
        Choice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

fn send(board: &mut ReplicaTable) -> u64 {
    let sent = SentPrompt {
        shape: &prompt(),
        engine: ENGINE,
        target_latency: Duration::from_secs(10),
        target_pause: None,
        prefill_tokens: 5000,
        queue_ms: 0.0,
    };
    let sent = board.start(NOW, &"i-a".into(), Some(sent));
    sent.expect("a replica that is there")
}

#[test]
fn what_it_kept_of_prompts_is_forgotten() {
    let mut board = board();
    send(&mut board);
    assert_eq!(reading(&mut board), 0);
    board.set_entries(NOW, vec![start("i-a", 1000)]);
    assert_eq!(reading(&mut board), 0, "the same start");
    board.set_entries(NOW, vec![start("i-a", 2000)]);
    assert_eq!(reading(&mut board), 5000);
}

#[test]
fn what_ran_at_the_earlier_start_is_not_taken_from_the_new_one() {
    let mut board = board();
    let earlier = send(&mut board);
    board.set_entries(NOW, vec![start("i-a", 2000)]);
    let load = |board: &ReplicaTable| board.replica("i-a").expect("listed").own_load;
    assert_eq!(load(&board), Load::default());
    send(&mut board);
    let there = load(&board);
    assert_eq!(there.running, 1);
    board.first_token(NOW, earlier);
    assert_eq!(load(&board), there);
    board.finish(earlier);
    assert_eq!(load(&board), there);
}

#[test]
fn what_spoke_against_the_earlier_start_says_nothing_of_the_new_one() {
    let mut board = board();
    let earlier = start("i-a", 1000);
    for _ in 0..8 {
        board.record_failure(NOW, &earlier);
    }
    let rests = |board: &ReplicaTable| board.replica("i-a").expect("listed").health.is_ejected(NOW);
    assert!(rests(&board));
    board.set_entries(NOW, vec![start("i-a", 2000)]);
    assert!(!rests(&board));
    for _ in 0..8 {
        board.record_failure(NOW, &earlier);
        board.record_unreachable(NOW, &earlier);
    }
    assert!(
        !rests(&board),
        "ends of runs at the earlier start come late"
    );
}

#[test]
fn routers_that_hear_late_tell_of_the_earlier_start_only() {
    let age = Duration::from_secs(1);
    let report = |start: &UpstreamEntry| ReplicaReport {
        start_hash: start.start_hash(),
        load: Load {
            running: 3,
            ..Load::default()
        },
        placed_tokens: 700,
        is_ejected: true,
    };
    let note = |start: &UpstreamEntry, part| PartPlacement {
        start_hash: start.start_hash(),
        part,
        shared: true,
    };
    let (earlier, later) = (start("i-a", 1000), start("i-a", 2000));
    let mut board = board();
    board.apply_reports(NOW, PEER, &[report(&earlier)]);
    let load = |board: &ReplicaTable| board.replica("i-a").expect("listed").load(NOW, age);
    assert_eq!(load(&board).running, 3);
    board.set_entries(NOW, vec![later.clone()]);
    assert_eq!(load(&board).running, 0);
    board.apply_reports(NOW, PEER, &[report(&earlier)]);
    assert_eq!(load(&board).running, 0);
    assert!(!board.replica("i-a").expect("listed").is_ejected(NOW, age));
    board.apply_placements(
        NOW,
        ReporterScope::Router,
        &[note(&earlier, 1), note(&earlier, 2)],
    );
    assert_eq!(reading(&mut board), 5000);
    board.apply_reports(NOW, PEER, &[report(&later)]);
    assert_eq!(load(&board).running, 3);
    assert!(
        board
            .reports(NOW)
            .iter()
            .all(|it| it.start_hash != earlier.start_hash())
    );
}

#[test]
fn its_own_word_on_what_it_keeps_holds_for_the_start_that_gave_it() {
    let mut board = board();
    let kept = [(1, 4000), (2, 1000)].map(|(part, tokens)| CachedPart { part, tokens });
    board.apply_cached_parts(&start("i-a", 1000), &kept, MEMORY);
    assert_eq!(reading(&mut board), 0);
    board.set_entries(NOW, vec![start("i-a", 2000)]);
    board.apply_cached_parts(&start("i-a", 1000), &kept, MEMORY);
    assert_eq!(reading(&mut board), 5000);
}

#[test]
fn a_replica_that_was_seen_to_end_keeps_nothing_whatever_the_list_says_yet() {
    let mut board = board();
    send(&mut board);
    board.record_exit(NOW, &start("i-a", 1000));
    assert_eq!(reading(&mut board), 5000);
}

#[test]
fn who_starts_again_is_named_so_that_its_connections_are_dropped() {
    let mut board = board();
    assert!(
        board
            .set_entries(NOW, vec![start("i-a", 1000), start("i-b", 1)])
            .is_empty()
    );
    let restarted = board.set_entries(NOW, vec![start("i-a", 2000), start("i-b", 1)]);
    assert_eq!(restarted, [Arc::from("i-a")]);
}

#[test]
fn a_start_is_read_as_a_whole_number_or_the_entry_names_no_replica() {
    let entry = |born: &str| {
        let text = format!(
            r#"{{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1{born}}}"#
        );
        parse_replica("i-1", &text)
            .map(|entry| entry.started_unix_ms)
            .ok()
    };
    assert_eq!(
        entry(r#","born":1775873740123"#),
        Some(Some(1_775_873_740_123))
    );
    assert_eq!(entry(""), Some(None));
    for odd in [r#""1775873740123""#, "1.5", "-1", "{}", "true"] {
        assert_eq!(entry(&format!(r#","born":{odd}"#)), None, "{odd}");
    }
}
