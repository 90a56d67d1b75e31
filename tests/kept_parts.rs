//! What routers believe that replicas keep of prompts, by the replicas' own word.
//!
//! The load: prompts that share parts, at replicas whose running requests take so much of
//! the memory that parts go sooner than what was placed there says.

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

const MEMORY: u64 = 100_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Long after all requests placed at 0 ms have begun.
const LATER: Duration = Duration::from_secs(10);

fn event(
    number: u64,
    part: u64,
    is_kept: bool,
) -> CacheEvent {
    CacheEvent {
        number,
        part,
        is_cached: is_kept,
    }
}

/// Events of memory 1 that follow each other.
fn news(events: &[CacheEvent]) -> CacheEventBatch {
    CacheEventBatch {
        epoch: 1,
        from: events.first().map_or(1, |event| event.number),
        next: events.last().map_or(1, |event| event.number + 1),
        has_gap: false,
        is_snapshot: false,
        events: events.to_vec(),
    }
}

/// A replica with room for all that is placed, at which these parts were placed at 0 ms.
fn placed(parts: &[u64]) -> PrefixCache {
    let mut cache = PrefixCache::default();
    cache.set_capacity(MEMORY);
    for part in parts {
        cache.record_use(ms(0), *part);
    }
    cache
}

#[test]
fn a_part_given_up_sooner_than_believed_is_gone_until_it_is_placed_again() {
    let mut cache = placed(&[1, 2]);
    let change = cache.apply_events(LATER, &news(&[event(1, 1, false), event(2, 9, false)]));
    assert_eq!((cache.holds(1), cache.holds(2)), (false, true));
    assert_eq!((change.unseen, change.evicted, change.added), (2, 1, 0));
    // Fellows need not hear of what nobody believed.
    assert_eq!(change.batch.events, [event(1, 1, false)]);
    cache.record_use(LATER, 1);
    assert!(cache.holds(1));
}

#[test]
fn a_part_kept_longer_than_believed_or_placed_by_nobody_known_is_used() {
    let mut cache = placed(&[1]);
    cache.add_placed(MEMORY);
    assert!(!cache.holds(1));
    let change = cache.apply_events(LATER, &news(&[event(1, 1, true), event(2, 7, true)]));
    assert_eq!(
        (cache.holds(1), cache.holds(7), change.added),
        (true, true, 2)
    );
}

#[test]
fn where_nothing_was_placed_yet_the_replicas_own_word_is_enough() {
    let mut cache = PrefixCache::default();
    cache.apply_events(LATER, &news(&[event(1, 7, true)]));
    assert!(cache.holds(7));
}

#[test]
fn an_event_that_comes_late_does_not_undo_what_was_placed_after_it() {
    // Given up, and placed again before that was heard: the request will read it, and the
    // replica says so.
    let mut cache = placed(&[1]);
    cache.record_use(LATER, 1);
    cache.apply_events(LATER + ms(100), &news(&[event(1, 1, false)]));
    assert!(cache.holds(1));
    cache.apply_events(LATER + ms(300), &news(&[event(2, 1, true)]));
    cache.apply_events(LATER * 2, &news(&[event(3, 2, true)]));
    assert!(cache.holds(1));
}

#[test]
fn a_part_given_up_right_after_it_was_placed_is_gone_once_that_is_certain() {
    let mut cache = placed(&[1]);
    cache.apply_events(ms(100), &news(&[event(1, 1, false)]));
    assert!(cache.holds(1));
    cache.apply_events(LATER, &news(&[event(2, 2, true)]));
    assert!(!cache.holds(1));
}

#[test]
fn what_two_followers_tell_at_once_counts_once() {
    let mut cache = placed(&[1]);
    let first = news(&[event(1, 1, true), event(2, 1, false)]);
    cache.apply_events(LATER, &first);
    // The other follower's answer ended sooner, and comes later.
    let other = news(&[event(1, 1, true)]);
    let change = cache.apply_events(LATER, &other);
    assert!(!cache.holds(1));
    assert_eq!((change.unseen, change.batch.has_gap), (0, false));
    assert_eq!(cache.cursor().next, 3);
}

#[test]
fn after_a_gap_what_was_placed_is_guessed_as_before() {
    let mut cache = placed(&[1, 2]);
    let change = cache.apply_events(LATER, &news(&[event(50, 2, false)]));
    assert!(change.batch.has_gap);
    assert_eq!((cache.holds(1), cache.holds(2)), (true, false));
    cache.add_placed(MEMORY);
    assert!(!cache.holds(1), "no event said so");
}

#[test]
fn another_memory_has_nothing_of_the_one_before() {
    let mut cache = placed(&[1]);
    cache.apply_events(LATER, &news(&[event(900, 2, true)]));
    let anew = CacheEventBatch {
        epoch: 2,
        ..news(&[event(1, 3, true)])
    };
    assert!(cache.apply_events(LATER, &anew).was_reset);
    assert_eq!(
        [1, 2, 3].map(|part| cache.holds(part)),
        [false, false, true]
    );
    assert_eq!(cache.cursor().next, 2);
}

#[test]
fn numbers_that_are_missing_are_a_gap() {
    let whole = news(&[event(4, 1, true), event(5, 2, true)]);
    assert!(!whole.has_missing_numbers());
    let torn = news(&[event(4, 1, true), event(6, 2, true)]);
    assert!(torn.has_missing_numbers());
}

/// One answer names a number far ahead, and later ones the replica's own again: its events
/// are taken in from there on.
#[test]
fn a_number_far_ahead_is_left_when_the_replica_names_a_lower_one() {
    let mut cache = placed(&[1, 2]);
    let nothing = |from, next| CacheEventBatch {
        from,
        next,
        has_gap: next > from,
        ..news(&[])
    };
    cache.apply_events(LATER, &nothing(1, 1_000_000));
    let change = cache.apply_events(LATER, &nothing(1_000_000, 3));
    assert!(change.batch.has_gap);
    let change = cache.apply_events(LATER, &news(&[event(3, 1, false)]));
    assert_eq!((change.unseen, cache.holds(1)), (1, false));
    // News of a second follower that are older by some numbers take nothing back.
    cache.apply_events(LATER, &news(&[event(2, 2, false)]));
    assert!(cache.holds(2));
}

fn replica() -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: "i-a".into(),
        started_unix_ms: None,
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        slots: 8,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

/// A router by its hash, which hears of these fellows.
fn board(
    own: u64,
    fellows: &[u64],
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
    let mut board = ReplicaTable::new(settings);
    board.set_entries(LATER, vec![replica()]);
    let known = fellows.len();
    board.set_zone_routers(ZoneRouters::new(LATER, own, fellows.to_vec(), known));
    board
}

#[test]
fn of_the_routers_of_a_zone_one_follows_a_replica_and_when_it_is_silent_another() {
    let routers: Vec<u64> = ["a", "b", "c", "d"].iter().map(stable_hash).collect();
    let followers = |there: &[u64]| -> Vec<u64> {
        let follows = |own: &&u64| {
            let fellows: Vec<u64> = there.iter().filter(|it| it != own).copied().collect();
            board(**own, &fellows).should_follow_cache(LATER, &replica())
        };
        there.iter().filter(follows).copied().collect()
    };
    let first = followers(&routers);
    assert_eq!(first.len(), 1);
    let rest: Vec<u64> = routers.into_iter().filter(|it| *it != first[0]).collect();
    assert_eq!(followers(&rest).len(), 1);
    // One that is left of four is no majority, and follows all the same.
    assert_eq!(followers(&rest[..1]).len(), 1);
}

#[test]
fn a_replica_that_leaves_or_stands_in_an_emptied_zone_is_left_alone() {
    let mut board = board(1, &[]);
    assert!(board.should_follow_cache(LATER, &replica()));
    board.set_cordoned(BTreeSet::from(["z".to_owned()]));
    assert!(!board.should_follow_cache(LATER, &replica()));
    board.set_cordoned(BTreeSet::new());
    let leaving = UpstreamEntry {
        state: UpstreamState::Draining,
        ..(*replica()).clone()
    };
    board.set_entries(LATER, vec![Arc::new(leaving)]);
    assert!(!board.should_follow_cache(LATER, &replica()));
}

#[test]
fn who_takes_over_goes_on_from_the_number_it_was_told_and_other_zones_hear_of_shared_parts() {
    let (mut follower, mut fellow) = (board(1, &[]), board(2, &[]));
    let start = replica().start_hash();
    let note = |part, shared| PartPlacement {
        start_hash: start,
        part,
        shared,
    };
    for board in [&mut follower, &mut fellow] {
        board.apply_placements(
            ms(0),
            ReporterScope::Router,
            &[note(1, true), note(2, false)],
        );
    }
    // What is kept at a replica without a prompt of this router counts once it is followed.
    let heard = news(&[event(1, 5, true), event(2, 1, false), event(3, 2, false)]);
    follower.apply_cache_events(LATER, &replica(), &heard);
    let told = follower.take_cache_events();
    assert_eq!(told.len(), 1);
    for (start, news) in &told {
        fellow.apply_peer_cache_events(LATER, *start, news);
    }
    assert_eq!(
        fellow.cache_cursor(&replica()),
        follower.cache_cursor(&replica())
    );
    let cache = &fellow.replica("i-a").expect("listed").cache;
    assert_eq!(
        [1, 2, 5].map(|part| cache.holds(part)),
        [false, false, true]
    );
    let zones = follower.take_zone_evictions();
    assert_eq!(zones[0].1.events, [event(2, 1, false)]);
    assert!(follower.take_cache_events().is_empty());
}

#[test]
fn answers_without_a_change_are_told_once_a_second_and_leave_no_gap() {
    let (mut follower, mut fellow) = (board(1, &[]), board(2, &[]));
    let mut tell = |at, heard: &CacheEventBatch| {
        follower.apply_cache_events(LATER + at, &replica(), heard);
        let told = follower.take_cache_events();
        for (start, news) in &told {
            fellow.apply_peer_cache_events(LATER + at, *start, news);
        }
        told.first()
            .map(|(_, news)| (news.from, news.next, news.has_gap))
    };
    assert_eq!(
        tell(ms(0), &news(&[event(1, 7, true)])),
        Some((1, 2, false))
    );
    // Given up, but believed by nobody.
    assert_eq!(tell(ms(200), &news(&[event(2, 8, false)])), None);
    assert_eq!(
        tell(ms(400), &news(&[event(3, 7, false)])),
        Some((2, 4, false))
    );
    assert_eq!(tell(ms(600), &news(&[event(4, 9, false)])), None);
    assert_eq!(
        tell(ms(1500), &news(&[event(5, 9, false)])),
        Some((4, 6, false))
    );
    assert!(fellow.is_cache_followed(LATER + ms(1500), &replica()));
    assert_eq!(fellow.cache_cursor(&replica()).next, 6);
}

#[test]
fn a_router_that_starts_is_told_which_shared_parts_are_kept_whatever_it_hears_first() {
    let (mut follower, mut fellow) = (board(1, &[]), board(2, &[]));
    let start = replica().start_hash();
    let parts = (1..=300).map(|part| PartPlacement {
        start_hash: start,
        part,
        shared: part > 3,
    });
    let parts: Vec<PartPlacement> = parts.collect();
    follower.apply_placements(ms(0), ReporterScope::Router, &parts);
    follower.apply_cache_events(LATER, &replica(), &news(&[event(7, 10, false)]));
    follower.take_cache_events();
    fellow.apply_peer_cache_events(LATER, start, &news(&[event(8, 400, true)]));
    follower.resend_cached_parts(LATER, "elsewhere");
    assert!(
        follower.take_cache_events().is_empty(),
        "its own zone's only"
    );
    follower.resend_cached_parts(LATER, "z");
    let told = follower.take_cache_events();
    assert!(told.iter().all(|(_, news)| news.events.len() <= 256));
    for (start, news) in &told {
        fellow.apply_peer_cache_events(LATER, *start, news);
    }
    let cache = &fellow.replica("i-a").expect("listed").cache;
    let kept = (1..=300).filter(|part| cache.holds(*part)).count();
    assert!(kept >= 250, "{kept} of the shared parts");
    assert_eq!(
        [1, 10, 400].map(|part| cache.holds(part)),
        [false, false, true]
    );
    assert_eq!(cache.cursor().next, 9);
}
