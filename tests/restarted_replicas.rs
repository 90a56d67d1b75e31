//! A replica that restarts under its id counts as another replica: its cached parts, its load, its
//! failures and the reports of peers about the earlier start do not apply to it.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        platform::parse_replica,
        policy::{
            Reporter, ReporterScope,
            placement::{
                CachedPart, Choice, InFlightId, Load, PartPlacement, PlacementRequest,
                PlacementSettings, PromptPart, PromptShape, ReplicaReport, ReplicaTable,
                SentPrompt,
            },
            shares::ShareStatus,
        },
        routing::EngineSpec,
    },
    std::{sync::Arc, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);
const KV_TOKENS: u64 = 100_000;
const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: KV_TOKENS,
    kv_bytes_per_token: 0.0,
    link_mbps: 0.0,
    can_transfer_kv: false,
};
const PEER: Reporter = Reporter {
    scope: ReporterScope::Router,
    name: 1,
    source_id: 1,
};

fn replica_start(
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
        slots: 8,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

fn replica_table() -> ReplicaTable {
    let mut replica_table = ReplicaTable::new(PlacementSettings::default());
    replica_table.set_entries(NOW, vec![replica_start("i-a", 1000)]);
    replica_table
}

fn prompt() -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        parts: vec![part(1, 4000), part(2, 1000)],
        output_tokens: 50,
    }
}

/// Prompt tokens that the replica would have to process.
fn prefill_tokens(replica_table: &mut ReplicaTable) -> u32 {
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
        version: None,
    };
    match replica_table.choose(NOW, &request) {
        Choice::Send { prefill_tokens, .. } => prefill_tokens,
        Choice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

fn send_prompt(replica_table: &mut ReplicaTable) -> InFlightId {
    let sent = SentPrompt {
        shape: &prompt(),
        engine: ENGINE,
        target_latency: Duration::from_secs(10),
        target_pause: None,
        prefill_tokens: 5000,
        queue_ms: 0.0,
    };
    let sent = replica_table.start(NOW, &"i-a".into(), Some(sent));
    sent.expect("a listed replica")
}

#[test]
fn a_restart_clears_the_cached_parts() {
    let mut replica_table = replica_table();
    send_prompt(&mut replica_table);
    assert_eq!(prefill_tokens(&mut replica_table), 0);
    replica_table.set_entries(NOW, vec![replica_start("i-a", 1000)]);
    assert_eq!(prefill_tokens(&mut replica_table), 0, "the same start");
    replica_table.set_entries(NOW, vec![replica_start("i-a", 2000)]);
    assert_eq!(prefill_tokens(&mut replica_table), 5000);
}

#[test]
fn requests_of_the_earlier_start_are_not_subtracted_from_the_new_one() {
    let mut replica_table = replica_table();
    let earlier = send_prompt(&mut replica_table);
    replica_table.set_entries(NOW, vec![replica_start("i-a", 2000)]);
    let load =
        |replica_table: &ReplicaTable| replica_table.replica("i-a").expect("listed").own_load;
    assert_eq!(load(&replica_table), Load::default());
    send_prompt(&mut replica_table);
    let load_after_send = load(&replica_table);
    assert_eq!(load_after_send.running, 1);
    replica_table.first_token(NOW, earlier);
    assert_eq!(load(&replica_table), load_after_send);
    replica_table.finish(earlier);
    assert_eq!(load(&replica_table), load_after_send);
}

#[test]
fn failures_of_the_earlier_start_do_not_count_for_the_new_one() {
    let mut replica_table = replica_table();
    let earlier = replica_start("i-a", 1000);
    for _ in 0..8 {
        replica_table.record_failure(NOW, &earlier);
    }
    let is_ejected = |replica_table: &ReplicaTable| {
        replica_table
            .replica("i-a")
            .expect("listed")
            .health
            .is_ejected(NOW)
    };
    assert!(is_ejected(&replica_table));
    replica_table.set_entries(NOW, vec![replica_start("i-a", 2000)]);
    assert!(!is_ejected(&replica_table));
    for _ in 0..8 {
        replica_table.record_failure(NOW, &earlier);
        replica_table.record_unreachable(NOW, &earlier);
    }
    assert!(
        !is_ejected(&replica_table),
        "failures at the earlier start may be recorded late"
    );
}

#[test]
fn reports_of_peers_that_know_only_the_earlier_start_are_ignored() {
    let age = Duration::from_secs(1);
    let report = |replica_start: &UpstreamEntry| ReplicaReport {
        start_hash: replica_start.start_hash(),
        load: Load {
            running: 3,
            ..Load::default()
        },
        placed_tokens: 700,
        is_ejected: true,
    };
    let placement = |replica_start: &UpstreamEntry, part| PartPlacement {
        start_hash: replica_start.start_hash(),
        part,
        shared: true,
    };
    let (earlier, later) = (replica_start("i-a", 1000), replica_start("i-a", 2000));
    let mut replica_table = replica_table();
    replica_table.apply_reports(NOW, PEER, &[report(&earlier)]);
    let load =
        |replica_table: &ReplicaTable| replica_table.replica("i-a").expect("listed").load(NOW, age);
    assert_eq!(load(&replica_table).running, 3);
    replica_table.set_entries(NOW, vec![later.clone()]);
    assert_eq!(load(&replica_table).running, 0);
    replica_table.apply_reports(NOW, PEER, &[report(&earlier)]);
    assert_eq!(load(&replica_table).running, 0);
    assert!(
        !replica_table
            .replica("i-a")
            .expect("listed")
            .is_ejected(NOW, age)
    );
    replica_table.apply_placements(
        NOW,
        ReporterScope::Router,
        &[placement(&earlier, 1), placement(&earlier, 2)],
    );
    assert_eq!(prefill_tokens(&mut replica_table), 5000);
    replica_table.apply_reports(NOW, PEER, &[report(&later)]);
    assert_eq!(load(&replica_table).running, 3);
    assert!(
        replica_table
            .reports(NOW)
            .iter()
            .all(|it| it.start_hash != earlier.start_hash())
    );
}

#[test]
fn a_list_of_cached_parts_applies_only_to_the_start_that_sent_it() {
    let mut replica_table = replica_table();
    let parts = [(1, 4000), (2, 1000)].map(|(part, tokens)| CachedPart { part, tokens });
    replica_table.apply_cached_parts(&replica_start("i-a", 1000), &parts, KV_TOKENS);
    assert_eq!(prefill_tokens(&mut replica_table), 0);
    replica_table.set_entries(NOW, vec![replica_start("i-a", 2000)]);
    replica_table.apply_cached_parts(&replica_start("i-a", 1000), &parts, KV_TOKENS);
    assert_eq!(prefill_tokens(&mut replica_table), 5000);
}

#[test]
fn a_replica_seen_to_exit_has_nothing_cached_though_it_is_still_listed() {
    let mut replica_table = replica_table();
    send_prompt(&mut replica_table);
    replica_table.record_exit(NOW, &replica_start("i-a", 1000));
    assert_eq!(prefill_tokens(&mut replica_table), 5000);
}

#[test]
fn restarted_replicas_are_returned_so_that_their_connections_are_closed() {
    let mut replica_table = replica_table();
    assert!(
        replica_table
            .set_entries(
                NOW,
                vec![replica_start("i-a", 1000), replica_start("i-b", 1)]
            )
            .is_empty()
    );
    let restarted = replica_table.set_entries(
        NOW,
        vec![replica_start("i-a", 2000), replica_start("i-b", 1)],
    );
    assert_eq!(restarted, [Arc::from("i-a")]);
}

#[test]
fn an_entry_whose_start_is_no_whole_number_is_refused() {
    let parsed_start = |born_field: &str| {
        let text = format!(
            r#"{{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1{born_field}}}"#
        );
        parse_replica("i-1", &text)
            .map(|entry| entry.started_unix_ms)
            .ok()
    };
    assert_eq!(
        parsed_start(r#","born":1775873740123"#),
        Some(Some(1_775_873_740_123))
    );
    assert_eq!(parsed_start(""), Some(None));
    for invalid in [r#""1775873740123""#, "1.5", "-1", "{}", "true"] {
        assert_eq!(
            parsed_start(&format!(r#","born":{invalid}"#)),
            None,
            "{invalid}"
        );
    }
}
