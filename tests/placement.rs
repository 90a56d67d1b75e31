//! Which replica a request is sent to, and when it is refused.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::placement::{
            CachedPart, Choice, EngineLatency, FleetSize, LatencyReport, Load, PeerLoads,
            PlacementRequest, PlacementSettings, PlainRun, PromptPart, PromptShape, RefusalReason,
            ReplicaReport, ReplicaTable, SentPrompt,
        },
        policy::{Reporter, ReporterScope, name_hash, shares::ShareStatus},
        routing::{AllowedRegions, EngineSpec},
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

const NOW: Duration = Duration::from_secs(100);
const PEER: Reporter = Reporter {
    scope: ReporterScope::Router,
    name: 1,
    source_id: 1,
};
const TARGET_LATENCY: Duration = Duration::from_millis(600);
const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: 100_000,
    kv_bytes_per_token: 0.0,
    link_mbps: 0.0,
    can_transfer_kv: false,
};

/// An engine that can transfer cached parts to another.
const TRANSFERRING_ENGINE: EngineSpec = EngineSpec {
    kv_bytes_per_token: 300_000.0,
    link_mbps: 1_000_000.0,
    can_transfer_kv: true,
    ..ENGINE
};

/// The latency that a peer reports for the engines: 33 tokens per millisecond.
const PEER_LATENCY: LatencyReport = LatencyReport {
    service_hash: 0,
    times: EngineLatency {
        fixed_ms: 40.0,
        token_ms: 0.03,
        residual_ms: 40.0,
    },
    samples: 5000,
};

fn entry(
    id: &str,
    zone: &str,
    state: UpstreamState,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.into(),
        started_unix_ms: None,
        service: "model".into(),
        version: "v1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        slots: 8,
        state,
        slow_start_remaining: Duration::ZERO,
    })
}

/// A replica table without any estimate of the latency of the engines.
fn replica_table_without_estimates(ids: &[&str]) -> ReplicaTable {
    let mut replica_table = ReplicaTable::new(PlacementSettings::default());
    let entries = ids.iter().map(|id| entry(id, "z", UpstreamState::Ready));
    replica_table.set_entries(NOW, entries.collect());
    replica_table
}

fn replica_table(ids: &[&str]) -> ReplicaTable {
    let mut replica_table = replica_table_without_estimates(ids);
    replica_table.apply_latency_reports(&[LatencyReport {
        service_hash: name_hash("model"),
        ..PEER_LATENCY
    }]);
    replica_table
}

fn prompt(
    shared: u64,
    own: u64,
) -> PromptShape {
    PromptShape {
        parts: vec![
            PromptPart {
                id: shared,
                tokens: 4000,
            },
            PromptPart {
                id: own,
                tokens: 1000,
            },
        ],
        output_tokens: 50,
    }
}

fn request(prompt: &PromptShape) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "model",
        zone: "z",
        engine: Some(ENGINE),
        prompt: Some(prompt),
        target_latency: TARGET_LATENCY,
        target_pause: None,
        share_status: ShareStatus::Within,
        tried: &[],
        regions: None,
        version: None,
    }
}

fn sent(choice: Choice) -> (Arc<str>, u32) {
    match choice {
        Choice::Send {
            replica,
            prefill_tokens,
            ..
        } => (replica, prefill_tokens),
        Choice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

fn refused(choice: Choice) -> (RefusalReason, Duration) {
    match choice {
        Choice::Refuse {
            reason,
            retry_after,
        } => (reason, retry_after),
        Choice::Send { replica, .. } => panic!("sent to {replica}"),
    }
}

fn in_one_zone(routers: usize) -> FleetSize {
    FleetSize {
        in_zone: routers,
        total: routers,
    }
}

/// A request to engines that can transfer cached parts to each other.
fn request_with_transfer(prompt: &PromptShape) -> PlacementRequest<'_> {
    PlacementRequest {
        engine: Some(TRANSFERRING_ENGINE),
        ..request(prompt)
    }
}

/// A peer's report that all slots of a replica are in use.
fn full_report(id: &str) -> ReplicaReport {
    ReplicaReport {
        start_hash: name_hash(id),
        load: Load {
            running: 8,
            ..Load::default()
        },
        placed_tokens: 0,
        is_ejected: false,
    }
}

fn sent_prompt(
    shape: &PromptShape,
    prefill_tokens: u32,
) -> SentPrompt<'_> {
    SentPrompt {
        shape,
        engine: ENGINE,
        target_latency: TARGET_LATENCY,
        target_pause: None,
        prefill_tokens,
        queue_ms: 0.0,
    }
}

fn place(
    replica_table: &mut ReplicaTable,
    prompt: &PromptShape,
) -> Arc<str> {
    let (replica, prefill_tokens) = sent(replica_table.choose(NOW, &request(prompt)));
    replica_table.start(NOW, &replica, Some(sent_prompt(prompt, prefill_tokens)));
    replica
}

/// Runs a prompt to its end at the replica that is chosen for it. Returns the replica.
fn run_to_completion(
    replica_table: &mut ReplicaTable,
    prompt: &PromptShape,
) -> Arc<str> {
    let (replica, prefill_tokens) = sent(replica_table.choose(NOW, &request_with_transfer(prompt)));
    let in_flight_id = replica_table
        .start(NOW, &replica, Some(sent_prompt(prompt, prefill_tokens)))
        .expect("started");
    replica_table.finish(in_flight_id);
    replica
}

#[test]
fn a_prompt_goes_where_its_shared_part_is_cached() {
    let mut replica_table = replica_table(&["a", "b", "c", "d"]);
    let preferred = place(&mut replica_table, &prompt(1, 100));
    let (again, prefill_tokens) = sent(replica_table.choose(NOW, &request(&prompt(1, 101))));
    assert_eq!(again, preferred);
    assert_eq!(prefill_tokens, 1000);
}

#[test]
fn routers_without_information_prefer_the_same_replica() {
    let ids = ["a", "b", "c", "d", "e"];
    for shared in 0..50 {
        let first = sent(replica_table(&ids).choose(NOW, &request(&prompt(shared, 1))));
        let second = sent(replica_table(&ids).choose(NOW, &request(&prompt(shared, 2))));
        assert_eq!(first, second);
    }
}

#[test]
fn a_removed_replica_moves_only_its_own_prompts() {
    let all = replica_table(&["a", "b", "c", "d", "e"]);
    let fewer = replica_table(&["a", "b", "c", "d"]);
    for shared in 0..50 {
        let before = sent(all.choose(NOW, &request(&prompt(shared, 1)))).0;
        let after = sent(fewer.choose(NOW, &request(&prompt(shared, 1)))).0;
        assert!(&*before == "e" || before == after);
    }
}

#[test]
fn a_preferred_replica_with_a_long_queue_is_passed_over() {
    let mut replica_table = replica_table(&["a", "b"]);
    let preferred = place(&mut replica_table, &prompt(1, 100));
    let busy = ReplicaReport {
        start_hash: name_hash(&preferred),
        load: Load {
            running: 3,
            prefill_tokens: 12_000,
            kv_tokens: 12_000,
        },
        placed_tokens: 0,
        is_ejected: false,
    };
    replica_table.apply_reports(NOW, PEER, &[busy]);
    let (replica, _) = sent(replica_table.choose(NOW, &request(&prompt(1, 101))));
    assert_ne!(replica, preferred);
    // An old report is ignored.
    let later = NOW + Duration::from_secs(2);
    let (replica, _) = sent(replica_table.choose(later, &request(&prompt(1, 101))));
    assert_eq!(replica, preferred);
}

#[test]
fn beyond_the_target_latency_a_request_is_refused_with_a_retry_time() {
    let mut replica_table = replica_table(&["a", "b"]);
    for own in 0..3 {
        for shared in [1, 2, 3] {
            place_if_possible(&mut replica_table, &prompt(shared * 10 + own, own));
        }
    }
    let (reason, wait) = refused(replica_table.choose(NOW, &request(&prompt(99, 99))));
    assert_eq!(reason, RefusalReason::NoCapacity);
    assert!(
        wait > Duration::ZERO && wait < TARGET_LATENCY * 2,
        "{wait:?}"
    );
}

/// After a burst in which first tokens came 700 ms later than estimated, the engines are nearly
/// idle. The residual describes the burst: subtracted in full from the target latency it would keep
/// the engines idle, and no first token would come to correct it.
#[test]
fn a_large_residual_does_not_keep_engines_idle() {
    let mut replica_table = replica_table_without_estimates(&["a"]);
    replica_table.apply_latency_reports(&[LatencyReport {
        service_hash: name_hash("model"),
        times: EngineLatency {
            residual_ms: 700.0,
            ..PEER_LATENCY.times
        },
        ..PEER_LATENCY
    }]);
    replica_table.apply_reports(NOW, PEER, &[prefill_report("a", 100)]);
    sent(replica_table.choose(NOW, &request(&prompt(1, 2))));
    replica_table.apply_reports(NOW, PEER, &[prefill_report("a", 12_000)]);
    refused(replica_table.choose(NOW, &request(&prompt(1, 2))));
}

fn prefill_report(
    id: &str,
    tokens: u32,
) -> ReplicaReport {
    ReplicaReport {
        start_hash: name_hash(id),
        ..load_report(tokens, 0, false)
    }
}

fn place_if_possible(
    replica_table: &mut ReplicaTable,
    prompt: &PromptShape,
) {
    if let Choice::Send {
        replica,
        prefill_tokens,
        ..
    } = replica_table.choose(NOW, &request(prompt))
    {
        replica_table.start(NOW, &replica, Some(sent_prompt(prompt, prefill_tokens)));
    }
}

#[test]
fn a_prompt_longer_than_the_target_is_accepted_where_nothing_is_queued() {
    let mut replica_table = replica_table(&["a"]);
    let mut long_prompt = prompt(1, 2);
    long_prompt.parts[1].tokens = 60_000;
    place(&mut replica_table, &long_prompt);
    assert!(matches!(
        replica_table.choose(NOW, &request(&long_prompt)),
        Choice::Refuse { .. }
    ));
}

fn over(
    wait_ms: u64,
    factor: f32,
) -> ShareStatus {
    ShareStatus::Over {
        wait: Duration::from_millis(wait_ms),
        factor,
    }
}

#[test]
fn an_account_over_its_share_leaves_idle_replicas_to_others_when_few_are() {
    let mut replica_table = replica_table(&["a", "b"]);
    place(&mut replica_table, &prompt(1, 2));
    let another = prompt(3, 4);
    let with = |share_status| PlacementRequest {
        share_status,
        ..request(&another)
    };
    refused(replica_table.choose(NOW, &with(over(1000, 3.0))));
    refused(replica_table.choose(NOW, &with(over(1000, 1.4))));
    sent(replica_table.choose(NOW, &with(ShareStatus::Within)));
    let idle = self::replica_table(&["a", "b"]);
    sent(idle.choose(NOW, &with(over(1000, 3.0))));
}

#[test]
fn an_account_over_its_share_uses_only_what_is_left_over() {
    let mut replica_table = replica_table(&["a"]);
    place(&mut replica_table, &prompt(1, 2));
    let another = prompt(1, 3);
    let over = PlacementRequest {
        share_status: over(1700, 1.2),
        ..request(&another)
    };
    let (reason, wait) = refused(replica_table.choose(NOW, &over));
    assert_eq!(reason, RefusalReason::OverShare);
    assert_eq!(wait, Duration::from_millis(1700));
    sent(replica_table.choose(NOW, &request(&another)));
}

#[test]
fn an_account_over_its_share_is_served_where_nothing_waits() {
    let replica_table = replica_table(&["a"]);
    let prompt = prompt(1, 2);
    let over = PlacementRequest {
        share_status: over(1000, 1.2),
        ..request(&prompt)
    };
    sent(replica_table.choose(NOW, &over));
}

#[test]
fn an_account_that_got_too_little_is_served_where_others_are_refused() {
    let mut replica_table = replica_table(&["a"]);
    let mut last = 2;
    while let Choice::Send { .. } = replica_table.choose(NOW, &request(&prompt(last, last))) {
        place(&mut replica_table, &prompt(last, last));
        last += 1;
    }
    let another = prompt(last, last);
    let under_share = PlacementRequest {
        share_status: ShareStatus::Under,
        ..request(&another)
    };
    sent(replica_table.choose(NOW, &under_share));
}

#[test]
fn a_draining_replica_or_one_of_another_service_gets_nothing() {
    let mut replica_table = ReplicaTable::new(PlacementSettings::default());
    replica_table.set_entries(NOW, vec![entry("a", "z", UpstreamState::Draining)]);
    let prompt = prompt(1, 2);
    let (reason, _) = refused(replica_table.choose(NOW, &request(&prompt)));
    assert_eq!(reason, RefusalReason::NoReplica);
    replica_table.set_entries(NOW, vec![entry("a", "z", UpstreamState::Ready)]);
    let other_service = PlacementRequest {
        service: "other",
        ..request(&prompt)
    };
    refused(replica_table.choose(NOW, &other_service));
    sent(replica_table.choose(NOW, &request(&prompt)));
}

#[test]
fn a_replica_is_not_tried_twice() {
    let replica_table = replica_table(&["a", "b"]);
    let prompt = prompt(1, 2);
    let (first, _) = sent(replica_table.choose(NOW, &request(&prompt)));
    let tried = [first.clone()];
    let again = PlacementRequest {
        tried: &tried,
        ..request(&prompt)
    };
    let (second, _) = sent(replica_table.choose(NOW, &again));
    assert_ne!(first, second);
    let both = [first, second];
    let none_left = PlacementRequest {
        tried: &both,
        ..request(&prompt)
    };
    refused(replica_table.choose(NOW, &none_left));
}

#[test]
fn a_failing_replica_is_ejected_for_a_time() {
    let mut replica_table = replica_table(&["a", "b", "c"]);
    let prompt = prompt(1, 2);
    let (preferred, _) = sent(replica_table.choose(NOW, &request(&prompt)));
    for _ in 0..3 {
        replica_table.record_failure(NOW, &entry(&preferred, "z", UpstreamState::Ready));
    }
    assert_ne!(
        sent(replica_table.choose(NOW, &request(&prompt))).0,
        preferred
    );
    let later = NOW + Duration::from_secs(10);
    assert_eq!(
        sent(replica_table.choose(later, &request(&prompt))).0,
        preferred
    );
}

#[test]
fn a_repeat_goes_to_a_resting_replica_rather_than_nowhere() {
    let mut replica_table = replica_table(&["a", "b"]);
    let prompt = prompt(1, 2);
    replica_table.record_unreachable(NOW, &entry("b", "z", UpstreamState::Ready));
    let tried = ["a".into()];
    let again = PlacementRequest {
        tried: &tried,
        ..request(&prompt)
    };
    assert_eq!(&*sent(replica_table.choose(NOW, &again)).0, "b");
}

#[test]
fn when_most_replicas_fail_none_is_excluded() {
    let mut replica_table = replica_table(&["a", "b", "c"]);
    for id in ["a", "b", "c"] {
        replica_table.record_unreachable(NOW, &entry(id, "z", UpstreamState::Ready));
    }
    sent(replica_table.choose(NOW, &request(&prompt(1, 2))));
}

#[test]
fn failures_that_all_replicas_share_eject_none() {
    let mut replica_table = replica_table(&["a", "b", "c"]);
    for _ in 0..40 {
        for id in ["a", "b", "c"] {
            replica_table.record_failure(NOW, &entry(id, "z", UpstreamState::Ready));
            replica_table.record_success(&entry(id, "z", UpstreamState::Ready));
        }
    }
    let not_ejected = replica_table
        .replicas()
        .filter(|view| !view.health.is_ejected(NOW));
    assert_eq!(not_ejected.count(), 3);
}

#[test]
fn a_replica_that_fails_far_more_than_the_others_is_ejected() {
    let mut replica_table = replica_table(&["a", "b", "c"]);
    for turn in 0..40 {
        for id in ["a", "b", "c"] {
            replica_table.record_success(&entry(id, "z", UpstreamState::Ready));
        }
        if turn % 2 == 0 {
            replica_table.record_failure(NOW, &entry("a", "z", UpstreamState::Ready));
        }
    }
    let is_ejected = |id| {
        replica_table
            .replica(id)
            .expect("listed")
            .health
            .is_ejected(NOW)
    };
    assert_eq!(
        (is_ejected("a"), is_ejected("b"), is_ejected("c")),
        (true, false, false)
    );
}

#[test]
fn ended_requests_are_subtracted_from_the_load_once() {
    let mut replica_table = replica_table(&["a"]);
    let prompt = prompt(1, 2);
    let in_flight_id = replica_table
        .start(NOW, &"a".into(), Some(sent_prompt(&prompt, 5000)))
        .expect("listed");
    let own = |replica_table: &ReplicaTable| replica_table.replica("a").expect("listed").own_load;
    assert_eq!(own(&replica_table).prefill_tokens, 5000);
    replica_table.first_token(NOW + Duration::from_millis(200), in_flight_id);
    assert_eq!(
        (
            own(&replica_table).prefill_tokens,
            own(&replica_table).running
        ),
        (0, 1)
    );
    replica_table.finish(in_flight_id);
    replica_table.finish(in_flight_id);
    assert_eq!(own(&replica_table), Load::default());
}

#[test]
fn the_prefill_time_is_estimated_from_first_tokens() {
    let mut replica_table = replica_table_without_estimates(&["a"]);
    let initial = replica_table.engine_latency("model").token_ms;
    let mut now = NOW;
    for own in 0..200 {
        let prompt = prompt(own, own + 1000);
        let prefill_tokens = if own % 2 == 0 { 5000 } else { 1000 };
        let in_flight_id = replica_table
            .start(now, &"a".into(), Some(sent_prompt(&prompt, prefill_tokens)))
            .expect("listed");
        now += Duration::from_millis(u64::from(prefill_tokens) / 5);
        replica_table.first_token(now, in_flight_id);
        replica_table.finish(in_flight_id);
    }
    let estimated = replica_table.engine_latency("model").token_ms;
    assert!(estimated > initial * 4.0, "{estimated}");
    assert!((estimated - 0.2).abs() < 0.04, "{estimated}");
}

/// The replica that has the shared part cached, and the only one with capacity, is in another
/// region: a request limited to some regions is neither placed nor are its parts fetched elsewhere.
#[test]
fn a_request_is_served_and_its_parts_fetched_in_allowed_regions_only() {
    let mut replica_table = replica_table(&[]);
    let entries = [
        ("near", "z-north"),
        ("far", "z-south"),
        ("lost", "z-unknown"),
    ];
    let entries = entries.map(|(id, zone)| entry(id, zone, UpstreamState::Ready));
    replica_table.set_entries(NOW, entries.to_vec());
    let zones = [("z-north", "north"), ("z-south", "south")];
    replica_table.set_regions(
        zones
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
    );
    let prompt = prompt(1, 2);
    for id in ["far", "lost"] {
        replica_table.start(NOW, &id.into(), Some(sent_prompt(&prompt, 0)));
    }
    let north: AllowedRegions = ["north".to_owned()].into_iter().collect();
    let north_only = PlacementRequest {
        regions: Some(&north),
        ..request_with_transfer(&prompt)
    };
    let chosen = replica_table.choose(NOW, &north_only);
    assert!(
        matches!(&chosen, Choice::Send { replica, fetch_from: None, .. } if &**replica == "near")
    );
    assert_ne!(
        &*sent(replica_table.choose(NOW, &request_with_transfer(&prompt))).0,
        "near"
    );
    replica_table.apply_reports(NOW, PEER, &[full_report("near")]);
    let (reason, _) = refused(replica_table.choose(NOW, &north_only));
    assert_eq!(reason, RefusalReason::NoCapacity);
    let west: AllowedRegions = ["west".to_owned()].into_iter().collect();
    let none_left = PlacementRequest {
        regions: Some(&west),
        ..north_only
    };
    let (reason, _) = refused(replica_table.choose(NOW, &none_left));
    assert_eq!(reason, RefusalReason::NoRegion);
}

#[test]
fn cached_parts_are_fetched_from_a_full_replica_where_engines_can() {
    let mut replica_table = replica_table(&["a", "b"]);
    let preferred = place(&mut replica_table, &prompt(1, 100));
    let other = if &*preferred == "a" { "b" } else { "a" };
    let tried = [preferred.clone()];
    let prompt = prompt(1, 101);
    // The preferred replica has the part cached and is full, but may still transfer it.
    let transferring = PlacementRequest {
        engine: Some(TRANSFERRING_ENGINE),
        ..request(&prompt)
    };
    let busy = full_report(&preferred);
    replica_table.apply_reports(NOW, PEER, &[busy]);
    let Choice::Send {
        replica,
        prefill_tokens,
        fetch_from,
        ..
    } = replica_table.choose(NOW, &transferring)
    else {
        panic!("refused");
    };
    assert_eq!((&*replica, prefill_tokens), (other, 1000));
    assert_eq!(fetch_from.as_deref(), Some(&*preferred));
    let without_transfer = PlacementRequest {
        tried: &tried,
        ..request(&prompt)
    };
    let (_, prefill_tokens) = sent(replica_table.choose(NOW, &without_transfer));
    assert_eq!(prefill_tokens, 5000);
}

#[test]
fn many_prompts_are_not_all_fetched_from_one_replica() {
    let ids = ["a", "b", "c", "d", "e", "f"];
    let mut replica_table = replica_table(&ids);
    for cached_at in &ids[..3] {
        replica_table.start(
            NOW,
            &(*cached_at).into(),
            Some(sent_prompt(&prompt(1, 100), 0)),
        );
    }
    let full: Vec<Arc<str>> = ids[..3].iter().map(|id| (*id).into()).collect();
    for id in &full {
        let busy = full_report(id);
        replica_table.apply_reports(NOW, PEER, &[busy]);
    }
    let mut sources = HashMap::new();
    for own in 0..60 {
        let prompt = prompt(1, 1000 + own);
        let transferring = PlacementRequest {
            engine: Some(TRANSFERRING_ENGINE),
            ..request(&prompt)
        };
        if let Choice::Send {
            fetch_from: Some(source),
            ..
        } = replica_table.choose(NOW, &transferring)
        {
            *sources.entry(source).or_insert(0) += 1;
        }
    }
    assert_eq!(sources.values().sum::<i32>(), 60);
    assert_eq!(sources.len(), 3);
    assert!(sources.values().all(|count| *count >= 8), "{sources:?}");
}

#[test]
fn many_routers_do_not_all_choose_what_looks_least_busy() {
    let ids: Vec<String> = (0..20).map(|number| format!("r{number}")).collect();
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let chosen_idle = |routers: usize| {
        let mut replica_table = replica_table(&names);
        replica_table.set_reporting(Duration::from_millis(200), in_one_zone(routers));
        for id in &names[1..] {
            let busy = ReplicaReport {
                start_hash: name_hash(id),
                load: Load {
                    running: 2,
                    prefill_tokens: 5000,
                    kv_tokens: 5000,
                },
                placed_tokens: 0,
                is_ejected: false,
            };
            replica_table.apply_reports(NOW, PEER, &[busy]);
        }
        let prompts = (0..100).map(|own| prompt(own, 1000 + own));
        prompts
            .filter(|prompt| &*sent(replica_table.choose(NOW, &request(prompt))).0 == names[0])
            .count()
    };
    // Only one replica has an empty queue by the reports received.
    assert!(chosen_idle(4) > 80);
    assert!(chosen_idle(20) < 40);
}

#[test]
fn among_many_routers_a_prompt_still_goes_where_its_shared_part_is_cached() {
    let ids: Vec<String> = (0..38).map(|number| format!("r{number}")).collect();
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut replica_table = replica_table(&names);
    replica_table.set_reporting(Duration::from_millis(100), in_one_zone(20));
    let first = prompt(1, 100);
    let preferred = run_to_completion(&mut replica_table, &first);
    let prompts = (0..100).map(|own| prompt(1, 1000 + own));
    let at_preferred = prompts.filter(|prompt| {
        sent(replica_table.choose(NOW, &request_with_transfer(prompt))).0 == preferred
    });
    assert_eq!(at_preferred.count(), 100);
}

#[test]
fn a_fetch_that_gains_little_time_is_not_made() {
    let stays_at_preferred = |queued_tokens: u32| {
        let mut replica_table = replica_table(&["a", "b"]);
        let first = prompt(1, 100);
        let preferred = run_to_completion(&mut replica_table, &first);
        let busy = ReplicaReport {
            start_hash: name_hash(&preferred),
            load: Load {
                running: 1,
                prefill_tokens: queued_tokens,
                kv_tokens: queued_tokens,
            },
            placed_tokens: 0,
            is_ejected: false,
        };
        replica_table.apply_reports(NOW, PEER, &[busy]);
        sent(replica_table.choose(NOW, &request_with_transfer(&prompt(1, 101)))).0 == preferred
    };
    assert!(stays_at_preferred(1000));
    assert!(!stays_at_preferred(6000));
}

#[test]
fn a_replicas_list_of_cached_parts_holds_until_other_prompts_fill_its_capacity() {
    let mut replica_table = replica_table(&["a", "b"]);
    let parts: Vec<CachedPart> = (1..=20)
        .map(|part| CachedPart { part, tokens: 4000 })
        .collect();
    let view = replica_table.replica_mut("b").expect("listed");
    view.cache
        .apply_cached_parts(&parts, ENGINE.kv_capacity_tokens);
    view.cache.apply_cached_parts(
        &[CachedPart {
            part: 30,
            tokens: 0,
        }],
        1,
    );
    for part in 1..=20 {
        let (replica, prefill_tokens) =
            sent(replica_table.choose(NOW, &request(&prompt(part, 100))));
        assert_eq!((&*replica, prefill_tokens), ("b", 1000));
    }
    let view = replica_table.replica_mut("b").expect("listed");
    assert!(!view.cache.holds(30), "evicted by its own list");
    view.cache.add_placed(ENGINE.kv_capacity_tokens);
    assert!(!view.cache.holds(1));
}

#[test]
fn a_part_is_given_up_when_the_fleet_has_placed_more_than_fits() {
    let mut replica_table = replica_table(&["a"]);
    place(&mut replica_table, &prompt(1, 100));
    let report = |placed| ReplicaReport {
        start_hash: name_hash("a"),
        load: Load::default(),
        placed_tokens: placed,
        is_ejected: false,
    };
    let uncached = |replica_table: &ReplicaTable| {
        let view = replica_table.replica("a").expect("listed");
        view.cache.uncached(&prompt(1, 101))
    };
    // It is unknown when the tokens of the first report were placed: counting begins there.
    replica_table.apply_reports(NOW, PEER, &[report(2_000_000)]);
    assert_eq!(uncached(&replica_table), 1000);
    replica_table.apply_reports(NOW, PEER, &[report(2_050_000)]);
    assert_eq!(uncached(&replica_table), 1000);
    replica_table.apply_reports(NOW, PEER, &[report(2_099_000)]);
    assert_eq!(uncached(&replica_table), 5000);
}

/// A request without a prompt; replicas take 10 ms for one and run 8 at once.
fn plain(zone: &str) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "model",
        zone,
        engine: None,
        prompt: None,
        target_latency: Duration::from_millis(30),
        target_pause: None,
        share_status: ShareStatus::Within,
        tried: &[],
        regions: None,
        version: None,
    }
}

/// A plain request that did not wait, with its actual and its expected time.
fn plain_run(
    took_ms: u64,
    expected_ms: u64,
) -> PlainRun {
    PlainRun {
        took: Duration::from_millis(took_ms),
        expected: Duration::from_millis(expected_ms),
        waited: Duration::ZERO,
    }
}

/// Places plain requests until one is refused. Returns how many each replica got.
fn place_until_refused(
    replica_table: &mut ReplicaTable,
    request: &PlacementRequest,
) -> BTreeMap<Arc<str>, i32> {
    let mut counts = BTreeMap::new();
    loop {
        match replica_table.choose(NOW, request) {
            Choice::Send { replica, .. } => {
                replica_table.start(NOW, &replica, None);
                *counts.entry(replica).or_insert(0) += 1;
            }
            Choice::Refuse { reason, .. } => {
                assert_eq!(reason, RefusalReason::NoCapacity);
                return counts;
            }
        }
    }
}

#[test]
fn plain_requests_go_to_the_least_busy_and_are_bounded_by_their_target_latency() {
    let mut replica_table = replica_table(&["a", "b"]);
    let counts = place_until_refused(&mut replica_table, &plain("z"));
    // Eight run, and sixteen wait for 20 ms at most, which leaves 10 ms of the target latency.
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [24, 24]);
}

#[test]
fn plain_requests_go_round_where_none_has_to_wait() {
    let mut replica_table = replica_table(&["a", "b", "c", "d"]);
    for round in 1..=8 {
        for _ in 0..4 {
            let Choice::Send { replica, .. } = replica_table.choose(NOW, &plain("z")) else {
                panic!("refused");
            };
            replica_table.start(NOW, &replica, None);
        }
        let running = replica_table.replicas().map(|view| view.own_load.running);
        assert_eq!(running.collect::<Vec<_>>(), [round; 4]);
    }
}

#[test]
fn requests_are_not_queued_for_a_service_slower_than_its_target() {
    let mut replica_table = replica_table(&["a"]);
    let replica = entry("a", "z", UpstreamState::Ready);
    for _ in 0..100 {
        replica_table.record_plain_request(&replica, plain_run(200, 200));
    }
    let counts = place_until_refused(&mut replica_table, &plain("z"));
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [8]);
}

#[test]
fn fewer_requests_are_queued_where_answers_come_later_than_expected() {
    let mut replica_table = replica_table(&["a"]);
    let replica = entry("a", "z", UpstreamState::Ready);
    for _ in 0..100 {
        replica_table.record_plain_request(&replica, plain_run(10, 10));
    }
    for _ in 0..100 {
        let late = PlainRun {
            waited: Duration::from_millis(10),
            ..plain_run(30, 20)
        };
        replica_table.record_plain_request(&replica, late);
    }
    let counts = place_until_refused(&mut replica_table, &plain("z"));
    // One request now takes half of 30 ms, and 10 ms are reserved for the usual error: of 30 ms
    // that leaves 5 ms, enough for two to wait beside eight that run.
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [10]);
}

/// Under overload every request waits, from the first one on.
#[test]
fn what_a_plain_request_takes_is_learnt_from_those_that_wait() {
    let mut replica_table = replica_table(&["a", "b"]);
    let replica = entry("a", "z", UpstreamState::Ready);
    let waiting = PlainRun {
        waited: Duration::from_millis(10),
        ..plain_run(120, 20)
    };
    replica_table.record_plain_request(&replica, waiting);
    // 60 ms at both: no request may wait with a target latency of 30 ms.
    let counts = place_until_refused(&mut replica_table, &plain("z"));
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [8, 8]);
}

#[test]
fn plain_requests_use_another_zone_when_they_would_wait_in_their_own() {
    let mut replica_table = ReplicaTable::new(PlacementSettings {
        plain_zone_penalty: Duration::from_millis(5),
        ..PlacementSettings::default()
    });
    let entries = [("far", "y"), ("near", "z")];
    let entries = entries.map(|(id, zone)| entry(id, zone, UpstreamState::Ready));
    replica_table.set_entries(NOW, entries.to_vec());
    let mut sent = Vec::new();
    for _ in 0..20 {
        let Choice::Send { replica, .. } = replica_table.choose(NOW, &plain("z")) else {
            panic!("refused");
        };
        replica_table.start(NOW, &replica, None);
        sent.push(replica);
    }
    assert!(sent[..8].iter().all(|replica| &**replica == "near"));
    let far = sent.iter().filter(|replica| &***replica == "far").count();
    // From about five in the queue on, waiting takes longer than the way to the other zone.
    assert!((6..=9).contains(&far), "{far}");
}

fn load_report(
    tokens: u32,
    placed: u64,
    is_ejected: bool,
) -> ReplicaReport {
    ReplicaReport {
        start_hash: 1,
        load: Load {
            running: 1,
            prefill_tokens: tokens,
            kv_tokens: tokens,
        },
        placed_tokens: placed,
        is_ejected,
    }
}

#[test]
fn what_peers_have_at_a_replica_adds_up_until_it_is_old() {
    let age = Duration::from_secs(1);
    let at = |ms: u64| NOW + Duration::from_millis(ms);
    let mut peers = PeerLoads::default();
    // It is unknown when the tokens of a first report were placed: counting begins there.
    assert_eq!(
        peers.apply_report(at(0), age, 1, 7, &load_report(100, 100, false)),
        0
    );
    assert_eq!(
        peers.apply_report(at(500), age, 2, 7, &load_report(20, 20, true)),
        0
    );
    assert_eq!(
        peers.apply_report(at(600), age, 2, 7, &load_report(30, 50, true)),
        30
    );
    assert_eq!(peers.load(at(700), age).prefill_tokens, 130);
    assert!(peers.is_ejected(at(700), age));
    // The first peer is silent: its load is dropped, and only the others count.
    assert_eq!(peers.load(at(1200), age).prefill_tokens, 30);
    peers.apply_report(at(1300), age, 3, 7, &load_report(5, 5, false));
    assert_eq!(peers.load(at(1300), age).prefill_tokens, 35);
    assert_eq!(peers.load(at(1300), age).running, 2);
    // It reports again: the tokens that it had placed before are not counted again.
    assert_eq!(
        peers.apply_report(at(1400), age, 1, 7, &load_report(1, 101, false)),
        1
    );
    assert_eq!(peers.load(at(1400), age).prefill_tokens, 36);
    // Another process reports at its address, which counts from another beginning.
    assert_eq!(
        peers.apply_report(at(1500), age, 1, 8, &load_report(2, 9000, false)),
        0
    );
    assert_eq!(
        peers.apply_report(at(1600), age, 1, 8, &load_report(2, 9010, false)),
        10
    );
    assert_eq!(peers.load(at(9000), age), Load::default());
    assert!(!peers.is_ejected(at(9000), age));
}

#[test]
fn reports_that_come_seldom_are_believed_for_longer() {
    let mut replica_table = replica_table(&["a"]);
    replica_table.set_reporting(Duration::from_millis(100), in_one_zone(20));
    assert_eq!(replica_table.max_report_age(), Duration::from_secs(1));
    replica_table.set_reporting(Duration::from_millis(1500), in_one_zone(300));
    assert!(replica_table.max_report_age() > Duration::from_secs(3));
}
