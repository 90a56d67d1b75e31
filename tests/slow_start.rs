//! Replicas in slow start take few requests per second, from all routers together. Without
//! coordination, 32 routers that each treated such a replica like any other sent it 23 requests in
//! one second, where it takes 9.8 (19.7 are allowed).
//!
//! Many routers are simulated, each with its own replica table, over one list of replicas. The
//! tests count the requests that a replica gets in any one second from all of them.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{
            Moment,
            placement::{Choice, InFlightId, PlacementRequest, PlacementSettings, ReplicaTable},
            shares::ShareStatus,
            slow_start::{SlowStartBounds, SlowStartLimit, ZoneRouters},
            stable_hash,
        },
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

const SERVICE: &str = "model";

/// Requests per second that a replica in slow start takes, and the excess that the operator allows.
const PER_SECOND: f64 = 9.8;
const BOUNDS: SlowStartBounds = SlowStartBounds {
    overage: 1.5,
    tolerance: 5.0,
};
const ALLOWED: f64 = PER_SECOND * BOUNDS.overage + BOUNDS.tolerance;

const SLOW_START: Duration = Duration::from_secs(3);

/// Time between two requests at the routers: a thousand per second.
const STEP: Duration = Duration::from_millis(1);

/// When the replicas start; the routers have been running for long.
const START: Moment = Duration::from_secs(60);

fn entry(
    id: &str,
    zone: &str,
    slow_start_remaining: Duration,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.into(),
        started_unix_ms: None,
        service: SERVICE.into(),
        version: "v1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        slots: 1000,
        state: UpstreamState::Ready,
        slow_start_remaining,
    })
}

fn limit() -> SlowStartLimit {
    BOUNDS.limit(PER_SECOND, SLOW_START).expect("a limit")
}

/// A router: its zone, its replica table and the hash of its address.
struct Router {
    zone: &'static str,
    hash: u64,
    replica_table: ReplicaTable,
}

struct Fleet {
    routers: Vec<Router>,
    starts_by_replica: BTreeMap<Arc<str>, Vec<Moment>>,
}

impl Fleet {
    /// Routers that know the same replicas and all of each other.
    fn new(
        zones: &[(&'static str, usize)],
        entries: &[Arc<UpstreamEntry>],
    ) -> Self {
        let routers = zones.iter().flat_map(|(zone, count)| {
            (0..*count).map(|number| Router {
                zone,
                hash: stable_hash(&(*zone, number)),
                replica_table: ReplicaTable::new(PlacementSettings::default()),
            })
        });
        let mut fleet = Self {
            routers: routers.collect(),
            starts_by_replica: BTreeMap::new(),
        };
        for router in &mut fleet.routers {
            let limits = HashMap::from([(Arc::from(SERVICE), limit())]);
            router.replica_table.set_start_limits(limits);
            router.replica_table.set_entries(START, entries.to_vec());
        }
        fleet
    }

    /// Updates the membership of each router: it knows all routers of its zone, and gets reports
    /// from those that `can_reach` names.
    fn update_membership(
        &mut self,
        now: Moment,
        can_reach: impl Fn(usize, usize) -> bool,
    ) {
        let members: Vec<(&'static str, u64)> = self
            .routers
            .iter()
            .map(|router| (router.zone, router.hash))
            .collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let neighbours = members
                .iter()
                .enumerate()
                .filter(|(other, (zone, _))| *other != index && *zone == router.zone);
            let reachable = neighbours
                .clone()
                .filter(|(other, _)| can_reach(index, *other));
            let reachable_hashes = reachable.map(|(_, (_, hash))| *hash).collect();
            let routers = ZoneRouters::new(now, router.hash, reachable_hashes, neighbours.count());
            router.replica_table.set_zone_routers(routers);
        }
    }

    /// Places a request at a router. Returns the replica that it is sent to, if any.
    fn choose(
        &mut self,
        now: Moment,
        index: usize,
    ) -> Option<(Arc<str>, InFlightId)> {
        let router = &mut self.routers[index];
        let request = PlacementRequest {
            service: SERVICE,
            zone: router.zone,
            engine: None,
            prompt: None,
            target_latency: Duration::from_millis(600),
            target_pause: None,
            share_status: ShareStatus::Within,
            tried: &[],
            regions: None,
            version: None,
        };
        let Choice::Send { replica, .. } = router.replica_table.choose(now, &request) else {
            return None;
        };
        let in_flight_id = router
            .replica_table
            .start(now, &replica, None)
            .expect("listed");
        Some((replica, in_flight_id))
    }

    /// Places a request, sends it at once and ends it at once.
    fn send(
        &mut self,
        now: Moment,
        index: usize,
    ) {
        if let Some((replica, in_flight_id)) = self.choose(now, index) {
            if self.routers[index]
                .replica_table
                .may_still_start(now, in_flight_id)
            {
                self.starts_by_replica.entry(replica).or_default().push(now);
            }
            self.routers[index].replica_table.finish(in_flight_id);
        }
    }

    /// Sends requests for some time, to the routers in turn.
    fn run(
        &mut self,
        from: Moment,
        time: Duration,
        can_reach: impl Fn(usize, usize) -> bool + Copy,
    ) {
        let steps = (time.as_millis() / STEP.as_millis()) as u32;
        for step in 0..steps {
            let now = from + STEP * step;
            if step % 100 == 0 {
                self.update_membership(now, can_reach);
            }
            let index = step as usize * 7 % self.routers.len();
            self.send(now, index);
        }
    }

    /// The most requests that any replica got in any one second.
    fn max_per_second(&self) -> usize {
        let by_replica = self.starts_by_replica.values().map(|starts| {
            let ends = starts.iter().enumerate();
            ends.map(|(last, end)| {
                let within = |at: &&Moment| end.saturating_sub(**at) < Duration::from_secs(1);
                starts[..=last].iter().filter(within).count()
            })
            .max()
            .unwrap_or(0)
        });
        by_replica.max().unwrap_or(0)
    }

    fn total(&self) -> usize {
        self.starts_by_replica.values().map(Vec::len).sum()
    }
}

fn one_zone(
    routers: usize,
    replicas: usize,
) -> Fleet {
    let ids: Vec<String> = (0..replicas).map(|number| format!("i-{number}")).collect();
    let entries: Vec<_> = ids.iter().map(|id| entry(id, "z", SLOW_START)).collect();
    Fleet::new(&[("z", routers)], &entries)
}

/// Runs the whole slow start. Returns the most requests that a replica got in one second, and the
/// requests of all replicas.
fn run_slow_start(
    mut fleet: Fleet,
    can_reach: impl Fn(usize, usize) -> bool + Copy,
) -> (usize, usize) {
    fleet.run(START, SLOW_START, can_reach);
    (fleet.max_per_second(), fleet.total())
}

#[test]
fn all_routers_together_stay_within_the_rate_of_a_starting_replica() {
    for routers in [1, 2, 3, 10, 32, 100] {
        let (max_per_second, total) = run_slow_start(one_zone(routers, 1), |_, _| true);
        assert!(
            max_per_second as f64 <= PER_SECOND,
            "{routers} routers: {max_per_second}"
        );
        assert!(
            total >= 18,
            "{routers} routers sent {total} in 3 s, of 29 that it takes"
        );
    }
}

#[test]
fn many_replicas_that_start_together_all_get_work() {
    let (max_per_second, total) = run_slow_start(one_zone(10, 19), |_, _| true);
    assert!(max_per_second as f64 <= PER_SECOND, "{max_per_second}");
    // 19 replicas take 559 requests in 3 s; some of the ten routers are responsible for more of
    // them than they receive requests.
    assert!(total >= 280, "{total}");
}

#[test]
fn a_zone_partitioned_in_two_stays_within_the_bound() {
    for first in 0..=32 {
        let (max_per_second, _) =
            run_slow_start(one_zone(32, 1), move |a, b| (a < first) == (b < first));
        assert!(
            max_per_second as f64 <= ALLOWED,
            "{first} of 32: {max_per_second}"
        );
    }
}

#[test]
fn routers_that_are_cut_off_one_by_one_send_nothing() {
    for cut in [5, 16, 31] {
        let (max_per_second, _) = run_slow_start(one_zone(32, 1), move |a, b| a >= cut && b >= cut);
        assert!(
            max_per_second as f64 <= ALLOWED,
            "{cut} of 32: {max_per_second}"
        );
    }
}

#[test]
fn views_that_differ_by_lost_reports_stay_within_the_bound() {
    for seed in 0..50u64 {
        let can_reach = move |a: usize, b: usize| !stable_hash(&(seed, a, b)).is_multiple_of(40);
        let (max_per_second, _) = run_slow_start(one_zone(32, 1), can_reach);
        assert!(
            max_per_second as f64 <= ALLOWED,
            "seed {seed}: {max_per_second}"
        );
    }
}

#[test]
fn routers_that_have_just_started_and_know_no_peer_send_nothing() {
    let mut fleet = one_zone(32, 1);
    let just_after_start = Duration::from_millis(300);
    for router in &mut fleet.routers {
        let entries = vec![entry("i-0", "z", SLOW_START)];
        router.replica_table.set_entries(just_after_start, entries);
    }
    let hashes: Vec<u64> = fleet.routers.iter().map(|router| router.hash).collect();
    for (router, hash) in fleet.routers.iter_mut().zip(hashes) {
        let without_peers = ZoneRouters::new(just_after_start, hash, Vec::new(), 0);
        router.replica_table.set_zone_routers(without_peers);
    }
    for step in 0..700 {
        fleet.send(just_after_start + STEP * step, step as usize % 32);
    }
    assert_eq!(fleet.total(), 0);
}

#[test]
fn a_crashed_sender_is_replaced_by_another_within_the_bound() {
    for crashed in 0..32 {
        let mut fleet = one_zone(32, 1);
        fleet.run(START, Duration::from_millis(1500), |_, _| true);
        let half = Duration::from_millis(1500);
        fleet.run(START + half, half, move |_, other| other != crashed);
        assert!(
            fleet.max_per_second() as f64 <= ALLOWED,
            "{crashed}: {}",
            fleet.max_per_second()
        );
    }
}

#[test]
fn requests_that_waited_for_connections_are_not_all_sent_together() {
    let mut fleet = one_zone(10, 1);
    let mut unsent = Vec::new();
    for step in 0..3000u32 {
        let now = START + STEP * step;
        if step % 100 == 0 {
            fleet.update_membership(now, |_, _| true);
        }
        let index = step as usize % 10;
        unsent.extend(
            fleet
                .choose(now, index)
                .map(|(_, in_flight_id)| (index, in_flight_id)),
        );
    }
    let late = START + Duration::from_millis(2999);
    let allowed = unsent.iter().filter(|(index, in_flight_id)| {
        fleet.routers[*index]
            .replica_table
            .may_still_start(late, *in_flight_id)
    });
    assert!(allowed.count() as f64 <= PER_SECOND);
}

#[test]
fn a_request_placed_before_its_replica_restarted_is_not_sent() {
    let mut fleet = one_zone(1, 1);
    for router in &mut fleet.routers {
        let entries = vec![entry("i-0", "z", Duration::ZERO)];
        router.replica_table.set_entries(START, entries);
    }
    let (_, in_flight_id) = fleet.choose(START, 0).expect("a replica");
    let replica_table = &mut fleet.routers[0].replica_table;
    assert!(replica_table.may_still_start(START, in_flight_id));
    replica_table.set_entries(START, vec![entry("i-0", "z", SLOW_START)]);
    assert!(!replica_table.may_still_start(START, in_flight_id));
}

#[test]
fn a_replica_seen_to_exit_gets_slow_start_though_its_entry_does_not_say_so() {
    let mut fleet = one_zone(1, 1);
    let entry = entry("i-0", "z", Duration::ZERO);
    let replica_table = &mut fleet.routers[0].replica_table;
    replica_table.set_entries(START, vec![entry.clone()]);
    replica_table.record_exit(START, &entry);
    fleet.run(START, SLOW_START, |_, _| true);
    assert!(
        fleet.max_per_second() as f64 <= PER_SECOND,
        "{}",
        fleet.max_per_second()
    );
    assert!(fleet.total() > 0);
}

#[test]
fn a_refusal_in_slow_start_carries_a_retry_time() {
    let mut fleet = one_zone(1, 1);
    fleet.update_membership(START, |_, _| true);
    while fleet.choose(START, 0).is_some() {}
    let request = PlacementRequest {
        service: SERVICE,
        zone: "z",
        engine: None,
        prompt: None,
        target_latency: Duration::from_millis(600),
        target_pause: None,
        share_status: ShareStatus::Within,
        tried: &[],
        regions: None,
        version: None,
    };
    match fleet.routers[0].replica_table.choose(START, &request) {
        Choice::Refuse { retry_after, .. } => {
            assert!(retry_after <= Duration::from_secs(1), "{retry_after:?}");
        }
        Choice::Send { replica, .. } => panic!("sent to {replica}"),
    }
}

#[test]
fn without_an_allowance_the_limit_is_the_rate_that_replicas_state() {
    let strict = SlowStartBounds {
        overage: 1.0,
        tolerance: 0.0,
    };
    let limit_per_router = |bounds: SlowStartBounds, per_second| {
        let limit = bounds.limit(per_second, SLOW_START);
        limit.map(|limit| limit.per_second)
    };
    assert_eq!(limit_per_router(strict, 9.8), Some(4));
    assert_eq!(limit_per_router(BOUNDS, 9.8), Some(9));
    assert_eq!(limit_per_router(BOUNDS, 4.0), Some(5));
    assert_eq!(limit_per_router(strict, 0.5), Some(0));
    assert_eq!(limit_per_router(strict, 0.0), None, "0 is no bound");
}
