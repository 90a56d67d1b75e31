//! The software versions at which streams began: what is known of them, which routers keep them,
//! and how a query for one ends.

use {
    archmast::policy::{
        Moment,
        streams::{
            OriginFinding, OriginHomes, OriginQueries, OriginQuery, OriginReceiver, OriginRecords,
            OriginTable, QueryGroup, RouterProcess, SoftwareVersion, StreamKey, StreamOrigin,
            ZoneContacts,
        },
    },
    proptest::prelude::*,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

const NOW: Moment = Moment::from_secs(100);
const LIFE: Duration = Duration::from_secs(6);
const OWN_ZONE: u32 = 5;

fn key(number: u64) -> StreamKey {
    StreamKey::new(&format!("attempt-{number}"))
}

fn version(number: u64) -> SoftwareVersion {
    SoftwareVersion::new("service", &format!("{number}.0"))
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn process(
    number: u16,
    incarnation: u64,
) -> RouterProcess {
    RouterProcess {
        address: address(number),
        incarnation,
    }
}

fn origin(
    key: StreamKey,
    version: Option<SoftwareVersion>,
    remaining: Duration,
) -> StreamOrigin {
    StreamOrigin {
        key,
        version,
        remaining_ms: remaining.as_millis() as u32,
    }
}

/// The homes as the router `own` of its zone sees them.
fn homes_of(
    own: u16,
    routers: &BTreeSet<u16>,
    zones: &BTreeMap<u32, Vec<u16>>,
) -> OriginHomes {
    let neighbours = routers.iter().filter(|router| **router != own);
    let zones = zones.iter().map(|(zone, routers)| ZoneContacts {
        zone: *zone,
        routers: routers.iter().copied().map(address).collect(),
    });
    let neighbours = neighbours.map(|router| process(*router, 1));
    OriginHomes::new(OWN_ZONE, neighbours, zones)
}

/// The same without other zones.
fn zone_homes_of(
    own: u16,
    routers: &BTreeSet<u16>,
) -> OriginHomes {
    homes_of(own, routers, &BTreeMap::new())
}

/// The routers of the own zone that get a record.
fn neighbours_told(
    homes: &OriginHomes,
    key: StreamKey,
) -> Vec<SocketAddr> {
    let receivers = homes.receivers(key).into_iter();
    let in_zone = receivers.filter(|receiver| !receiver.for_zone);
    in_zone.map(|receiver| receiver.address).collect()
}

#[test]
fn versions_are_equal_only_with_the_same_service_and_text() {
    let one = SoftwareVersion::new("a", "1");
    assert_eq!(one, SoftwareVersion::new("a", "1"));
    assert_ne!(one, SoftwareVersion::new("a", "2"));
    assert_ne!(one, SoftwareVersion::new("b", "1"));
    assert_ne!(
        SoftwareVersion::new("ab", "c"),
        SoftwareVersion::new("a", "bc")
    );
}

/// Routers of two builds have to derive the same hashes.
#[test]
fn keys_and_versions_stay_the_same_in_every_build() {
    assert_eq!(
        (
            StreamKey::new("9c41d07be2a35f68").to_string(),
            SoftwareVersion::new("lohu", "2.1.0").0
        ),
        ("7b72b409131032b7".to_owned(), 5_817_842_473_782_560_659)
    );
}

#[test]
fn a_stream_is_known_from_its_record_to_its_deadline() {
    let mut table = OriginTable::default();
    assert_eq!(table.find(NOW, key(1)), OriginFinding::Unknown);
    assert!(table.record_own(NOW, key(1), version(1), LIFE));
    let last = NOW + LIFE - Duration::from_nanos(1);
    assert_eq!(table.find(last, key(1)), OriginFinding::Known(version(1)));
    assert_eq!(table.find(NOW + LIFE, key(1)), OriginFinding::Unknown);
    assert_eq!(table.origin(NOW + LIFE, key(1)), None);
    assert_eq!(table.find(NOW, key(2)), OriginFinding::Unknown);
    table.remove_expired(last);
    assert_eq!(table.len(), 1);
    table.remove_expired(NOW + LIFE);
    assert!(table.is_empty());
    assert_eq!(table.own_keys().count(), 0);
    assert_eq!(table.take_dropped(), 0, "expired ones were not dropped");
}

#[test]
fn a_record_is_sent_with_the_time_that_remains() {
    let mut table = OriginTable::default();
    table.record_own(NOW, key(1), version(1), LIFE);
    let later = NOW + Duration::from_millis(2500);
    assert_eq!(
        table.origin(later, key(1)),
        Some(origin(
            key(1),
            Some(version(1)),
            Duration::from_millis(3500)
        ))
    );
}

#[test]
fn a_stream_without_time_left_is_not_recorded() {
    let mut table = OriginTable::default();
    assert!(!table.record_own(NOW, key(1), version(1), Duration::ZERO));
    table.apply(NOW, &origin(key(2), Some(version(1)), Duration::ZERO));
    assert!(table.is_empty());
    assert_eq!(table.own_keys().count(), 0);
}

#[test]
fn a_deadline_without_end_does_not_keep_a_record_for_ever() {
    let mut table = OriginTable::default();
    table.record_own(NOW, key(1), version(1), Duration::MAX);
    table.remove_expired(NOW + Duration::from_secs(3600));
    assert!(table.is_empty());
}

#[test]
fn a_repeated_record_is_not_sent_again_unless_it_lasts_much_longer() {
    let mut table = OriginTable::default();
    assert!(table.record_own(NOW, key(1), version(1), LIFE));
    assert!(!table.record_own(NOW, key(1), version(1), LIFE));
    let little = LIFE + Duration::from_millis(10);
    assert!(!table.record_own(NOW, key(1), version(1), little));
    assert!(table.record_own(NOW, key(1), version(1), LIFE * 2));
}

#[test]
fn a_stream_that_goes_on_here_is_sent_although_its_record_came_from_another_router() {
    let mut table = OriginTable::default();
    assert!(!table.apply(NOW, &origin(key(1), Some(version(1)), LIFE)));
    assert_eq!(table.own_keys().count(), 0);
    assert!(table.record_own(NOW, key(1), version(1), LIFE));
    assert_eq!(table.own_keys().collect::<Vec<_>>(), [key(1)]);
}

#[test]
fn two_versions_of_one_stream_are_ambiguous_from_then_on() {
    let mut table = OriginTable::default();
    table.record_own(NOW, key(1), version(1), LIFE);
    let other = origin(key(1), Some(version(2)), LIFE);
    assert!(table.apply(NOW, &other), "the homes have to be told");
    assert_eq!(table.find(NOW, key(1)), OriginFinding::Ambiguous);
    assert_eq!(table.find(NOW, key(1)).version(), None);
    table.apply(NOW, &origin(key(1), Some(version(1)), LIFE));
    table.record_own(NOW, key(1), version(2), LIFE);
    assert_eq!(table.find(NOW, key(1)), OriginFinding::Ambiguous);
    let sent = table.origin(NOW, key(1)).expect("a record");
    assert_eq!(sent.version, None);
    // Also where only one of the two records had been received.
    let mut home = OriginTable::default();
    home.apply(NOW, &other);
    home.apply(NOW, &sent);
    assert_eq!(home.find(NOW, key(1)), OriginFinding::Ambiguous);
}

#[test]
fn a_full_table_drops_the_records_that_expire_first() {
    let mut table = OriginTable::with_limit(3);
    for number in [4, 2, 3, 1, 5] {
        let life = Duration::from_secs(number);
        table.record_own(NOW, key(number), version(1), life);
    }
    assert_eq!(table.len(), 3);
    let held: Vec<u64> = (1..=5)
        .filter(|number| table.find(NOW, key(*number)) != OriginFinding::Unknown)
        .collect();
    assert_eq!(held, [3, 4, 5]);
    assert_eq!(table.own_keys().count(), 3);
    assert_eq!(table.take_dropped(), 2);
    assert_eq!(table.take_dropped(), 0);
}

#[test]
fn records_beyond_the_default_limit_are_dropped() {
    let mut table = OriginTable::default();
    for number in 0..80_000 {
        table.apply(NOW, &origin(key(number), Some(version(1)), LIFE));
    }
    assert_eq!(table.len(), 65_536);
    assert_eq!(table.take_dropped(), 80_000 - 65_536);
}

#[test]
fn a_record_goes_to_two_routers_of_the_zone_and_to_one_of_the_next_zone() {
    let routers = (1..=30).collect();
    let zones = BTreeMap::from([
        (2, vec![201, 202, 203]),
        (8, vec![801, 802]),
        (9, vec![901]),
    ]);
    let homes = homes_of(7, &routers, &zones);
    let mut loads: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..3000 {
        let receivers = homes.receivers(key(number));
        let in_zone = neighbours_told(&homes, key(number));
        assert_eq!(in_zone.len(), 2);
        assert!(!in_zone.contains(&address(7)));
        let next_zone: Vec<&OriginReceiver> = receivers
            .iter()
            .filter(|receiver| receiver.for_zone)
            .collect();
        assert_eq!(next_zone.len(), 1);
        assert!([address(801), address(802)].contains(&next_zone[0].address));
        for receiver in receivers {
            *loads.entry(receiver.address).or_default() += 1;
        }
    }
    assert_eq!(loads.len(), 29 + 2, "all of the zone and of the next one");
    let in_zone = loads.iter().filter(|(router, _)| router.port() <= 30);
    let (least, most) = in_zone.fold((usize::MAX, 0), |(least, most), (_, load)| {
        (least.min(*load), most.max(*load))
    });
    assert!(least > 140 && most < 280, "{least} to {most} of 207");
}

#[test]
fn the_zone_after_the_last_is_the_first() {
    let routers = (1..=5).collect();
    let zones = BTreeMap::from([(2, vec![201]), (3, vec![301])]);
    let receivers = homes_of(1, &routers, &zones).receivers(key(1));
    let other_zones: Vec<_> = receivers.iter().filter(|it| it.for_zone).collect();
    assert_eq!(other_zones.len(), 1);
    assert_eq!(other_zones[0].address, address(201));
}

#[test]
fn a_small_zone_sends_its_records_to_more_zones() {
    let zones = BTreeMap::from([
        (2, vec![201]),
        (7, vec![701]),
        (8, vec![801]),
        (9, vec![901]),
    ]);
    let receivers = |routers: &[u16]| {
        let routers = routers.iter().copied().collect();
        let receivers = homes_of(1, &routers, &zones).receivers(key(1));
        let numbers = receivers.iter().map(|receiver| receiver.address.port());
        numbers.collect::<BTreeSet<u16>>()
    };
    assert_eq!(receivers(&[1]), BTreeSet::from([701, 801, 901]));
    assert_eq!(receivers(&[1, 2]), BTreeSet::from([2, 701, 801]));
    assert_eq!(receivers(&[1, 2, 3]), BTreeSet::from([2, 3, 701]));
    assert_eq!(receivers(&[1]).len(), 3);
    // Alone in the fleet.
    let alone = homes_of(1, &BTreeSet::from([1]), &BTreeMap::new());
    assert_eq!(alone.receivers(key(1)), []);
    assert_eq!(alone.asked_in_zone(key(1)), []);
    assert_eq!(alone.zone_contacts(key(1), 0), []);
    assert_eq!(alone.first_home(address(1), key(1)), None);
}

#[test]
fn each_other_zone_is_asked_through_another_router_the_second_time() {
    let zones = BTreeMap::from([(2, vec![201, 202, 203]), (8, vec![801])]);
    let homes = homes_of(1, &BTreeSet::from([1]), &zones);
    let first = homes.zone_contacts(key(1), 0);
    let second = homes.zone_contacts(key(1), 1);
    let zones_of = |contacts: &[(u32, SocketAddr)]| -> Vec<u32> {
        contacts.iter().map(|(zone, _)| *zone).collect()
    };
    assert_eq!(zones_of(&first), [2, 8]);
    assert_eq!(zones_of(&second), [2, 8]);
    assert_ne!(first[0], second[0]);
    assert_eq!(first[1], second[1], "the zone has one router");
}

#[test]
fn a_restarted_router_gets_the_records_again() {
    let zones = || [];
    let before = OriginHomes::new(OWN_ZONE, [process(2, 1), process(3, 1)], zones());
    let after = OriginHomes::new(OWN_ZONE, [process(2, 1), process(3, 9)], zones());
    assert!(after.differs_from(&before));
    let added = after.added_since(&before, key(1));
    assert_eq!(
        added,
        [OriginReceiver {
            address: address(3),
            for_zone: false
        }]
    );
    assert!(!before.differs_from(&before.clone()));
}

#[test]
fn contacts_that_come_and_go_in_a_known_zone_cause_no_sending() {
    let routers = BTreeSet::from([1, 2, 3]);
    let before = homes_of(1, &routers, &BTreeMap::from([(8, vec![801, 802])]));
    let after = homes_of(1, &routers, &BTreeMap::from([(8, vec![801, 803])]));
    assert!(!after.differs_from(&before));
    let other = homes_of(1, &routers, &BTreeMap::from([(9, vec![901])]));
    assert!(other.differs_from(&before));
    assert_eq!(
        other.added_since(&before, key(1)),
        [OriginReceiver {
            address: address(901),
            for_zone: true
        }]
    );
}

#[test]
fn records_are_sent_once_and_again_to_new_homes_only() {
    let mut records = OriginRecords::default();
    let two = zone_homes_of(1, &BTreeSet::from([1, 2, 3]));
    assert!(records.record_own(NOW, key(1), version(1), LIFE));
    let sent = records.take_unsent(NOW, two.clone());
    assert_eq!(sent.len(), 2);
    assert!(records.take_unsent(NOW, two).is_empty());
    // One of the two falls silent, and another router takes its place.
    let changed = zone_homes_of(1, &BTreeSet::from([1, 3, 4]));
    let sent = records.take_unsent(NOW + LIFE / 2, changed.clone());
    let receivers: Vec<SocketAddr> = sent.keys().map(|receiver| receiver.address).collect();
    assert_eq!(receivers, [address(4)]);
    let remaining = sent.values().flatten().map(|origin| origin.remaining_ms);
    assert_eq!(remaining.collect::<Vec<_>>(), [3000]);
    // Expired records are not sent.
    let last = zone_homes_of(1, &BTreeSet::from([1, 5, 6]));
    assert!(records.take_unsent(NOW + LIFE, last).is_empty());
}

#[test]
fn records_of_other_routers_are_not_sent_again() {
    let mut records = OriginRecords::default();
    assert!(!records.apply(NOW, &origin(key(1), Some(version(1)), LIFE)));
    let homes = zone_homes_of(1, &BTreeSet::from([1, 2, 3]));
    assert!(records.take_unsent(NOW, homes).is_empty());
}

#[test]
fn one_datagram_carries_all_records_for_a_receiver() {
    let mut records = OriginRecords::default();
    for number in 0..20 {
        records.record_own(NOW, key(number), version(1), LIFE);
    }
    let homes = zone_homes_of(1, &BTreeSet::from([1, 2, 3]));
    let batches = records.take_unsent(NOW, homes);
    assert_eq!(batches.len(), 2);
    assert!(batches.values().all(|origins| origins.len() == 20));
}

fn asked(numbers: &[u16]) -> OriginQuery {
    let mut query = OriginQuery::default();
    for number in numbers {
        let router = address(*number);
        query.record_asked(QueryGroup::Router(router), router);
    }
    query
}

#[test]
fn a_query_ends_with_the_first_answer_that_knows() {
    let mut query = asked(&[1, 2, 3]);
    query.apply(address(1), OriginFinding::Unknown, 0);
    assert!(!query.is_settled());
    query.apply(address(2), OriginFinding::Known(version(1)), 0);
    assert!(query.is_settled());
    assert_eq!(
        query.finding(),
        Some((OriginFinding::Known(version(1)), address(2)))
    );
    query.apply(address(3), OriginFinding::Ambiguous, 0);
    assert_eq!(
        query.finding(),
        Some((OriginFinding::Known(version(1)), address(2)))
    );
}

#[test]
fn a_query_ends_unknown_once_all_said_so() {
    let mut query = asked(&[1, 2]);
    query.apply(address(1), OriginFinding::Unknown, 0);
    query.apply(address(1), OriginFinding::Unknown, 0);
    assert!(!query.is_settled(), "the same router answered twice");
    query.apply(address(2), OriginFinding::Unknown, 0);
    assert!(query.is_settled());
    assert_eq!(query.finding(), None);
    assert!(
        OriginQuery::default().is_settled(),
        "there is nobody to ask"
    );
}

#[test]
fn an_ambiguous_answer_ends_a_query() {
    let mut query = asked(&[1, 2]);
    query.apply(address(1), OriginFinding::Ambiguous, 0);
    assert!(query.is_settled());
    let (finding, _) = query.finding().expect("a finding");
    assert_eq!(finding.version(), None);
}

#[test]
fn a_query_waits_for_the_routers_to_which_a_zone_passed_it_on() {
    let mut query = OriginQuery::default();
    query.record_asked(QueryGroup::Zone(8), address(801));
    // The answer of one of them arrives before that of the router which passed it on.
    query.apply(address(802), OriginFinding::Unknown, 0);
    assert!(!query.is_settled());
    query.apply(address(801), OriginFinding::Unknown, 2);
    assert!(!query.is_settled());
    query.apply(address(802), OriginFinding::Unknown, 0);
    assert!(!query.is_settled(), "the same router answered twice");
    query.apply(address(803), OriginFinding::Known(version(3)), 0);
    assert_eq!(
        query.finding(),
        Some((OriginFinding::Known(version(3)), address(803)))
    );
}

#[test]
fn one_of_two_routers_asked_for_a_zone_is_enough() {
    let mut query = OriginQuery::default();
    query.record_asked(QueryGroup::Zone(8), address(801));
    query.record_asked(QueryGroup::Zone(8), address(802));
    assert!(query.is_open(QueryGroup::Zone(8)));
    query.apply(address(802), OriginFinding::Unknown, 1);
    assert!(!query.is_open(QueryGroup::Zone(8)));
    query.apply(address(803), OriginFinding::Unknown, 0);
    assert!(query.is_settled());
    // The group stays closed when it is asked again.
    query.record_asked(QueryGroup::Zone(8), address(803));
    assert!(query.is_settled());
}

#[test]
fn a_late_answer_of_the_own_zone_counts_while_other_zones_are_asked() {
    let mut query = asked(&[1]);
    query.record_asked(QueryGroup::Zone(8), address(801));
    query.apply(address(801), OriginFinding::Unknown, 0);
    assert!(!query.is_settled(), "the own zone may still answer");
    query.apply(address(1), OriginFinding::Known(version(1)), 0);
    assert!(query.finding().is_some());
}

#[test]
fn an_answer_counts_for_all_queries_for_its_stream_and_no_other() {
    let mut queries = OriginQueries::default();
    let first = queries.begin(key(1)).expect("a query");
    let second = queries.begin(key(1)).expect("a query");
    let other = queries.begin(key(2)).expect("a query");
    for id in [first, second, other] {
        let query = queries.get_mut(id).expect("pending");
        query.record_asked(QueryGroup::Router(address(1)), address(1));
    }
    let found = OriginFinding::Known(version(1));
    let settled = queries.apply(key(1), address(1), found, 0);
    assert_eq!(settled, [first, second]);
    let query = queries.get_mut(other).expect("pending");
    assert_eq!(query.finding(), None);
    assert_eq!(queries.apply(key(3), address(1), found, 0), []);
}

#[test]
fn pending_queries_are_bounded_and_leave_nothing_behind() {
    let mut queries = OriginQueries::with_limit(2);
    let first = queries.begin(key(1)).expect("a query");
    let second = queries.begin(key(1)).expect("a query");
    assert_eq!(queries.begin(key(2)), None);
    queries.end(first);
    queries.end(first);
    assert_eq!(queries.len(), 1);
    assert!(queries.get_mut(first).is_none());
    assert!(queries.get_mut(second).is_some());
    let third = queries.begin(key(2)).expect("a place became free");
    queries.end(second);
    queries.end(third);
    assert!(queries.is_empty());
}

/// A record at a router of the own zone (number, incarnation), or in another zone.
type HeldRecord = (Option<(u16, u64)>, Option<u32>, StreamKey);

fn origins() -> impl Strategy<Value = Vec<StreamOrigin>> {
    let origin =
        (0..3u64, prop::option::weighted(0.9, 0..2u64), 1..8u64).prop_map(|(stream, of, life)| {
            origin(key(stream), of.map(version), Duration::from_secs(life))
        });
    prop::collection::vec(origin, 0..8)
}

fn router_sets() -> impl Strategy<Value = BTreeSet<u16>> {
    prop::collection::btree_set(1..40u16, 1..12)
}

fn answers() -> impl Strategy<Value = Vec<(u16, OriginFinding, usize)>> {
    let finding = prop_oneof![
        6 => Just(OriginFinding::Unknown),
        1 => (0..3u64).prop_map(|number| OriginFinding::Known(version(number))),
        1 => Just(OriginFinding::Ambiguous),
    ];
    prop::collection::vec((1..9u16, finding, 0..3usize), 0..20)
}

proptest! {
    /// Datagrams are lost, duplicated and reordered: tables that received the same records say the
    /// same.
    #[test]
    fn records_in_any_order_and_number_give_the_same_table(
        origins in origins(),
        order in any::<prop::sample::Index>(),
    ) {
        let mut one = OriginTable::default();
        for origin in &origins {
            one.apply(NOW, origin);
        }
        let mut other = OriginTable::default();
        let offset = if origins.is_empty() { 0 } else { order.index(origins.len()) };
        let rotated = origins.iter().cycle().skip(offset).take(origins.len());
        for origin in rotated.chain(origins.iter().rev()) {
            other.apply(NOW, origin);
        }
        for stream in 0..3 {
            prop_assert_eq!(one.origin(NOW, key(stream)), other.origin(NOW, key(stream)));
            prop_assert_eq!(one.find(NOW, key(stream)), other.find(NOW, key(stream)));
        }
    }

    /// A table never names a version that no live record named, or one of several.
    #[test]
    fn a_version_is_named_only_if_all_records_agree(origins in origins()) {
        let mut table = OriginTable::default();
        for origin in &origins {
            table.apply(NOW, origin);
        }
        for stream in 0..3 {
            let of_stream = origins.iter().filter(|origin| origin.key == key(stream));
            let versions: BTreeSet<_> = of_stream.map(|origin| origin.version).collect();
            let expected = match versions.len() {
                0 => OriginFinding::Unknown,
                1 => versions.into_iter().next().flatten()
                    .map_or(OriginFinding::Ambiguous, OriginFinding::Known),
                _ => OriginFinding::Ambiguous,
            };
            prop_assert_eq!(table.find(NOW, key(stream)), expected);
        }
    }

    #[test]
    fn a_table_holds_at_most_its_limit_and_its_own_streams(
        limit in 1..6usize,
        steps in prop::collection::vec((0..12u64, 1..9u64, any::<bool>()), 0..40),
    ) {
        let mut table = OriginTable::with_limit(limit);
        let mut now = NOW;
        for (stream, life, is_own) in steps {
            now += Duration::from_millis(500);
            let life = Duration::from_secs(life);
            if is_own {
                table.record_own(now, key(stream), version(1), life);
            } else {
                table.apply(now, &origin(key(stream), Some(version(1)), life));
            }
            prop_assert!(table.len() <= limit);
            prop_assert!(table.own_keys().count() <= table.len());
        }
        table.remove_expired(now + Duration::from_secs(10));
        prop_assert!(table.is_empty());
        prop_assert_eq!(table.own_keys().count(), 0);
    }

    /// Whoever asks, and whether the router that began the stream is still there: all homes of the
    /// record are asked.
    #[test]
    fn all_homes_of_a_record_are_asked(
        routers in router_sets(),
        owner in any::<prop::sample::Index>(),
        asker in any::<prop::sample::Index>(),
        owner_is_live in any::<bool>(),
        stream in any::<u64>(),
    ) {
        let all: Vec<u16> = routers.iter().copied().collect();
        let (owner, asker) = (all[owner.index(all.len())], all[asker.index(all.len())]);
        let told = neighbours_told(&zone_homes_of(owner, &routers), key(stream));
        let mut live = routers;
        if !owner_is_live && owner != asker {
            live.remove(&owner);
        }
        let asked = zone_homes_of(asker, &live).asked_in_zone(key(stream));
        for home in told {
            prop_assert!(home == address(asker) || asked.contains(&home));
        }
    }

    /// A router fell silent, or came, between the record and the query, and not all have noticed:
    /// some home is asked.
    #[test]
    fn a_home_is_asked_when_routers_see_different_zones(
        routers in prop::collection::btree_set(1..40u16, 4..12),
        owner in any::<prop::sample::Index>(),
        asker in any::<prop::sample::Index>(),
        changed in any::<prop::sample::Index>(),
        stream in any::<u64>(),
    ) {
        let mut rest: Vec<u16> = routers.iter().copied().collect();
        let owner = rest.remove(owner.index(rest.len()));
        let asker = rest[asker.index(rest.len())];
        let others: Vec<u16> = (1..40).filter(|it| ![owner, asker].contains(it)).collect();
        let changed = others[changed.index(others.len())];
        let told = neighbours_told(&zone_homes_of(owner, &routers), key(stream));
        let mut seen = routers.clone();
        let came = seen.insert(changed);
        if !came {
            seen.remove(&changed);
        }
        let asked = zone_homes_of(asker, &seen).asked_in_zone(key(stream));
        let holds = |home: &SocketAddr| {
            *home == address(asker) || (asked.contains(home) && *home != address(changed))
        };
        prop_assert!(told.iter().any(holds), "{told:?} {asked:?}");
    }

    /// A record from another zone gets to the same router whichever one received it.
    #[test]
    fn a_record_of_another_zone_has_one_home(routers in router_sets(), stream in any::<u64>()) {
        let homes: BTreeSet<SocketAddr> = routers
            .iter()
            .map(|own| {
                let homes = zone_homes_of(*own, &routers);
                homes.first_home(address(*own), key(stream)).unwrap_or(address(*own))
            })
            .collect();
        prop_assert_eq!(homes.len(), 1);
        // A router of the zone that asks others for it finds it.
        for asker in &routers {
            let asked = zone_homes_of(*asker, &routers).asked_in_zone(key(stream));
            prop_assert!(homes.contains(&address(*asker)) || asked.iter().any(|it| homes.contains(it)));
        }
    }

    /// Routers come, fall silent and restart, and zones come and go: every live record of the router
    /// that began its stream is at all its homes.
    #[test]
    fn live_records_follow_their_homes(
        changes in prop::collection::vec((2..12u16, 0..4u64, any::<bool>()), 1..20),
        zones in prop::collection::vec(prop::collection::btree_set(1..10u32, 0..4), 1..20),
    ) {
        let mut records = OriginRecords::default();
        let mut live: BTreeMap<u16, u64> = BTreeMap::new();
        let mut held: BTreeSet<HeldRecord> = BTreeSet::new();
        let mut streams = Vec::new();
        for (step, (router, incarnation, begins)) in changes.iter().enumerate() {
            match incarnation {
                0 => { live.remove(router); }
                _ => { live.insert(*router, *incarnation); }
            }
            // A router that is not there any more, or restarted, holds nothing.
            held.retain(|(process, _, _)| {
                process.is_none_or(|(router, incarnation)| live.get(&router) == Some(&incarnation))
            });
            let other_zones = zones[step % zones.len()].iter().filter(|zone| **zone != OWN_ZONE);
            let contacts = other_zones.map(|zone| ZoneContacts {
                zone: *zone,
                routers: vec![address(1000 + *zone as u16)],
            });
            let neighbours = live.iter().map(|(router, incarnation)| process(*router, *incarnation));
            let homes = OriginHomes::new(OWN_ZONE, neighbours, contacts);
            if *begins {
                let stream = key(step as u64);
                records.record_own(NOW, stream, version(1), LIFE);
                streams.push(stream);
            }
            for (receiver, origins) in records.take_unsent(NOW, homes.clone()) {
                for origin in origins {
                    let port = receiver.address.port();
                    let process = live.get(&port).map(|incarnation| (port, *incarnation));
                    let zone = receiver.for_zone.then(|| u32::from(port) - 1000);
                    held.insert((process, zone, origin.key));
                }
            }
            for stream in &streams {
                for receiver in homes.receivers(*stream) {
                    let port = receiver.address.port();
                    let process = live.get(&port).map(|incarnation| (port, *incarnation));
                    let zone = receiver.for_zone.then(|| u32::from(port) - 1000);
                    prop_assert!(held.contains(&(process, zone, *stream)));
                }
            }
            prop_assert!(records.take_unsent(NOW, homes).is_empty());
        }
    }

    /// Whatever answers arrive: a query names only what an answer named, and is settled without a
    /// finding only when every group has answered.
    #[test]
    fn a_query_never_guesses(
        asked in prop::collection::vec((1..9u16, any::<bool>()), 1..6),
        answers in answers(),
    ) {
        let mut query = OriginQuery::default();
        let mut groups: BTreeMap<QueryGroup, BTreeSet<u16>> = BTreeMap::new();
        let mut known = BTreeSet::new();
        for (number, for_zone) in asked {
            if known.insert(number) {
                let group = match for_zone {
                    true => QueryGroup::Zone(8),
                    false => QueryGroup::Router(address(number)),
                };
                query.record_asked(group, address(number));
                groups.entry(group).or_default().insert(number);
            }
        }
        let mut heard = BTreeSet::new();
        let mut first = None;
        for (from, finding, passed_on) in answers {
            query.apply(address(from), finding, passed_on);
            heard.insert(from);
            if finding != OriginFinding::Unknown {
                first.get_or_insert((finding, address(from)));
            }
            prop_assert_eq!(query.finding(), first);
            if query.is_settled() && first.is_none() {
                let all = groups.values().all(|group| !group.is_disjoint(&heard));
                prop_assert!(all);
            }
        }
    }
}
