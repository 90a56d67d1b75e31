//! Which parts of prompts routers take to be cached at replicas, by the cache events of the
//! replicas.
//!
//! The running requests of a replica may use so much memory that parts are evicted sooner than the
//! tokens placed there suggest.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{
            ReporterScope,
            placement::{
                CacheEvent, CacheEventBatch, PartPlacement, PlacementSettings, PrefixCache,
                ReplicaTable,
            },
            slow_start::ZoneRouters,
            stable_hash,
        },
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

const CAPACITY_TOKENS: u64 = 100_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Long after all requests placed at 0 ms have started.
const LATER: Duration = Duration::from_secs(10);

fn event(
    number: u64,
    part: u64,
    is_cached: bool,
) -> CacheEvent {
    CacheEvent {
        number,
        part,
        is_cached,
    }
}

/// Consecutive events of epoch 1.
fn batch(events: &[CacheEvent]) -> CacheEventBatch {
    CacheEventBatch {
        epoch: 1,
        from: events.first().map_or(1, |event| event.number),
        next: events.last().map_or(1, |event| event.number + 1),
        has_gap: false,
        is_snapshot: false,
        events: events.to_vec(),
    }
}

/// A replica with capacity for all that is placed, at which these parts were placed at 0 ms.
fn placed(parts: &[u64]) -> PrefixCache {
    let mut cache = PrefixCache::default();
    cache.set_capacity(CAPACITY_TOKENS);
    for part in parts {
        cache.record_use(ms(0), *part);
    }
    cache
}

#[test]
fn a_part_evicted_sooner_than_estimated_is_gone_until_it_is_placed_again() {
    let mut cache = placed(&[1, 2]);
    let change = cache.apply_events(LATER, &batch(&[event(1, 1, false), event(2, 9, false)]));
    assert_eq!((cache.holds(1), cache.holds(2)), (false, true));
    assert_eq!((change.unseen, change.evicted, change.added), (2, 1, 0));
    // Peers do not need an eviction of a part that no router took to be cached.
    assert_eq!(change.batch.events, [event(1, 1, false)]);
    cache.record_use(LATER, 1);
    assert!(cache.holds(1));
}

#[test]
fn a_part_cached_longer_than_estimated_or_placed_by_an_unknown_router_is_used() {
    let mut cache = placed(&[1]);
    cache.add_placed(CAPACITY_TOKENS);
    assert!(!cache.holds(1));
    let change = cache.apply_events(LATER, &batch(&[event(1, 1, true), event(2, 7, true)]));
    assert_eq!(
        (cache.holds(1), cache.holds(7), change.added),
        (true, true, 2)
    );
}

#[test]
fn cache_events_count_at_a_replica_where_nothing_was_placed_yet() {
    let mut cache = PrefixCache::default();
    cache.apply_events(LATER, &batch(&[event(1, 7, true)]));
    assert!(cache.holds(7));
}

#[test]
fn a_late_event_does_not_undo_a_later_placement() {
    // Evicted, and placed again before the eviction event arrived: the request will process the
    // part, and the replica will report it as cached.
    let mut cache = placed(&[1]);
    cache.record_use(LATER, 1);
    cache.apply_events(LATER + ms(100), &batch(&[event(1, 1, false)]));
    assert!(cache.holds(1));
    cache.apply_events(LATER + ms(300), &batch(&[event(2, 1, true)]));
    cache.apply_events(LATER * 2, &batch(&[event(3, 2, true)]));
    assert!(cache.holds(1));
}

#[test]
fn a_part_evicted_right_after_its_placement_is_gone_once_that_is_certain() {
    let mut cache = placed(&[1]);
    cache.apply_events(ms(100), &batch(&[event(1, 1, false)]));
    assert!(cache.holds(1));
    cache.apply_events(LATER, &batch(&[event(2, 2, true)]));
    assert!(!cache.holds(1));
}

#[test]
fn events_forwarded_by_two_routers_count_once() {
    let mut cache = placed(&[1]);
    let first = batch(&[event(1, 1, true), event(2, 1, false)]);
    cache.apply_events(LATER, &first);
    // The other follower read fewer events, and its batch arrives later.
    let other = batch(&[event(1, 1, true)]);
    let change = cache.apply_events(LATER, &other);
    assert!(!cache.holds(1));
    assert_eq!((change.unseen, change.batch.has_gap), (0, false));
    assert_eq!(cache.cursor().next, 3);
}

#[test]
fn after_a_gap_placed_parts_are_estimated_as_before() {
    let mut cache = placed(&[1, 2]);
    let change = cache.apply_events(LATER, &batch(&[event(50, 2, false)]));
    assert!(change.batch.has_gap);
    assert_eq!((cache.holds(1), cache.holds(2)), (true, false));
    cache.add_placed(CAPACITY_TOKENS);
    assert!(!cache.holds(1), "no eviction event, but capacity exceeded");
}

#[test]
fn a_new_epoch_has_no_parts_of_the_one_before() {
    let mut cache = placed(&[1]);
    cache.apply_events(LATER, &batch(&[event(900, 2, true)]));
    let after_reset = CacheEventBatch {
        epoch: 2,
        ..batch(&[event(1, 3, true)])
    };
    assert!(cache.apply_events(LATER, &after_reset).was_reset);
    assert_eq!(
        [1, 2, 3].map(|part| cache.holds(part)),
        [false, false, true]
    );
    assert_eq!(cache.cursor().next, 2);
}

#[test]
fn missing_event_numbers_are_a_gap() {
    let complete = batch(&[event(4, 1, true), event(5, 2, true)]);
    assert!(!complete.has_missing_numbers());
    let incomplete = batch(&[event(4, 1, true), event(6, 2, true)]);
    assert!(incomplete.has_missing_numbers());
}

/// One answer contains an event number far ahead, and later ones the actual numbers: events are
/// applied from there on.
#[test]
fn a_number_far_ahead_is_left_when_the_replica_names_a_lower_one() {
    let mut cache = placed(&[1, 2]);
    let empty_batch = |from, next| CacheEventBatch {
        from,
        next,
        has_gap: next > from,
        ..batch(&[])
    };
    cache.apply_events(LATER, &empty_batch(1, 1_000_000));
    let change = cache.apply_events(LATER, &empty_batch(1_000_000, 3));
    assert!(change.batch.has_gap);
    let change = cache.apply_events(LATER, &batch(&[event(3, 1, false)]));
    assert_eq!((change.unseen, cache.holds(1)), (1, false));
    // A batch of a second follower that is a few events older takes nothing back.
    cache.apply_events(LATER, &batch(&[event(2, 2, false)]));
    assert!(cache.holds(2));
}

fn replica() -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: "i-a".into(),
        started_unix_ms: None,
        service: "s".into(),
        version: "v1".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        slots: 8,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

/// The replica table of a router with this hash, which gets reports from these peers.
fn replica_table(
    own: u64,
    peers: &[u64],
) -> ReplicaTable {
    let settings = PlacementSettings {
        aim_share: 1.0,
        over_share: 0.1,
        behind_share: 2.0,
        own_weight: 0.5,
        reread_weight: 1.0,
        fetch_weight: 1.0,
        memory_share: 0.9,
        zone_penalty: ms(120),
        plain_zone_penalty: ms(20),
        peer_age: ms(1000),
    };
    let mut replica_table = ReplicaTable::new(settings);
    replica_table.set_entries(LATER, vec![replica()]);
    let known = peers.len();
    replica_table.set_zone_routers(ZoneRouters::new(LATER, own, peers.to_vec(), known));
    replica_table
}

#[test]
fn one_router_of_a_zone_follows_a_replica_and_another_when_it_is_silent() {
    let routers: Vec<u64> = ["a", "b", "c", "d"].iter().map(stable_hash).collect();
    let followers = |routers_up: &[u64]| -> Vec<u64> {
        let follows = |own: &&u64| {
            let peers: Vec<u64> = routers_up.iter().filter(|it| it != own).copied().collect();
            replica_table(**own, &peers).should_follow_cache(LATER, &replica())
        };
        routers_up.iter().filter(follows).copied().collect()
    };
    let first = followers(&routers);
    assert_eq!(first.len(), 1);
    let others: Vec<u64> = routers.into_iter().filter(|it| *it != first[0]).collect();
    assert_eq!(followers(&others).len(), 1);
    // A single router left of four is no majority, and follows all the same.
    assert_eq!(followers(&others[..1]).len(), 1);
}

#[test]
fn a_replica_that_drains_or_is_in_a_cordoned_zone_is_not_followed() {
    let mut replica_table = replica_table(1, &[]);
    assert!(replica_table.should_follow_cache(LATER, &replica()));
    replica_table.set_cordoned(BTreeSet::from(["z".to_owned()]));
    assert!(!replica_table.should_follow_cache(LATER, &replica()));
    replica_table.set_cordoned(BTreeSet::new());
    let leaving = UpstreamEntry {
        state: UpstreamState::Draining,
        ..(*replica()).clone()
    };
    replica_table.set_entries(LATER, vec![Arc::new(leaving)]);
    assert!(!replica_table.should_follow_cache(LATER, &replica()));
}

#[test]
fn a_new_follower_continues_from_the_forwarded_number_and_other_zones_get_shared_evictions() {
    let (mut follower, mut peer) = (replica_table(1, &[]), replica_table(2, &[]));
    let start = replica().start_hash();
    let placement = |part, shared| PartPlacement {
        start_hash: start,
        part,
        shared,
    };
    for replica_table in [&mut follower, &mut peer] {
        replica_table.apply_placements(
            ms(0),
            ReporterScope::Router,
            &[placement(1, true), placement(2, false)],
        );
    }
    // A part that this router has not placed counts once the replica is followed.
    let observed = batch(&[event(1, 5, true), event(2, 1, false), event(3, 2, false)]);
    follower.apply_cache_events(LATER, &replica(), &observed);
    let batches = follower.take_cache_events();
    assert_eq!(batches.len(), 1);
    for (start, batch) in &batches {
        peer.apply_peer_cache_events(LATER, *start, batch);
    }
    assert_eq!(
        peer.cache_cursor(&replica()),
        follower.cache_cursor(&replica())
    );
    let cache = &peer.replica("i-a").expect("listed").cache;
    assert_eq!(
        [1, 2, 5].map(|part| cache.holds(part)),
        [false, false, true]
    );
    let zones = follower.take_zone_evictions();
    assert_eq!(zones[0].1.events, [event(2, 1, false)]);
    assert!(follower.take_cache_events().is_empty());
}

#[test]
fn events_without_a_change_are_forwarded_once_a_second_and_leave_no_gap() {
    let (mut follower, mut peer) = (replica_table(1, &[]), replica_table(2, &[]));
    let mut forward = |at, observed: &CacheEventBatch| {
        follower.apply_cache_events(LATER + at, &replica(), observed);
        let batches = follower.take_cache_events();
        for (start, batch) in &batches {
            peer.apply_peer_cache_events(LATER + at, *start, batch);
        }
        batches
            .first()
            .map(|(_, batch)| (batch.from, batch.next, batch.has_gap))
    };
    assert_eq!(
        forward(ms(0), &batch(&[event(1, 7, true)])),
        Some((1, 2, false))
    );
    // An eviction of a part that no router took to be cached.
    assert_eq!(forward(ms(200), &batch(&[event(2, 8, false)])), None);
    assert_eq!(
        forward(ms(400), &batch(&[event(3, 7, false)])),
        Some((2, 4, false))
    );
    assert_eq!(forward(ms(600), &batch(&[event(4, 9, false)])), None);
    assert_eq!(
        forward(ms(1500), &batch(&[event(5, 9, false)])),
        Some((4, 6, false))
    );
    assert!(peer.is_cache_followed(LATER + ms(1500), &replica()));
    assert_eq!(peer.cache_cursor(&replica()).next, 6);
}

#[test]
fn a_router_that_starts_gets_a_snapshot_of_the_shared_cached_parts() {
    let (mut follower, mut peer) = (replica_table(1, &[]), replica_table(2, &[]));
    let start = replica().start_hash();
    let parts = (1..=300).map(|part| PartPlacement {
        start_hash: start,
        part,
        shared: part > 3,
    });
    let parts: Vec<PartPlacement> = parts.collect();
    follower.apply_placements(ms(0), ReporterScope::Router, &parts);
    follower.apply_cache_events(LATER, &replica(), &batch(&[event(7, 10, false)]));
    follower.take_cache_events();
    peer.apply_peer_cache_events(LATER, start, &batch(&[event(8, 400, true)]));
    follower.resend_cached_parts(LATER, "elsewhere");
    assert!(
        follower.take_cache_events().is_empty(),
        "only of its own zone"
    );
    follower.resend_cached_parts(LATER, "z");
    let batches = follower.take_cache_events();
    assert!(batches.iter().all(|(_, batch)| batch.events.len() <= 256));
    for (start, batch) in &batches {
        peer.apply_peer_cache_events(LATER, *start, batch);
    }
    let cache = &peer.replica("i-a").expect("listed").cache;
    let cached = (1..=300).filter(|part| cache.holds(*part)).count();
    assert!(cached >= 250, "{cached} of the shared parts");
    assert_eq!(
        [1, 10, 400].map(|part| cache.holds(part)),
        [false, false, true]
    );
    assert_eq!(cache.cursor().next, 9);
}
