//! Reports that routers send each other: changes at once, the rest in turn; and what routers
//! conclude from them about each other.

use {
    archmast::{
        catalog::CatalogVersion,
        peers::{
            PeerTable, ReportBody, RouterContact, RouterReport, SentReports, ZoneSummary, ZoneTable,
        },
        policy::{
            placement::{Load, PartPlacement, ReplicaReport},
            shares::AccountUsage,
        },
    },
    proptest::prelude::*,
    std::{collections::HashSet, net::SocketAddr, time::Duration},
};

const REFRESH: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_millis(1500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn replica(
    replica: u32,
    running: u32,
) -> ReplicaReport {
    let load = Load {
        running,
        ..Load::default()
    };
    ReplicaReport {
        start_hash: replica,
        load,
        placed_tokens: 0,
        is_ejected: false,
    }
}

#[test]
fn only_changed_replicas_are_reported_at_once() {
    let mut sent_reports = SentReports::default();
    let all = vec![replica(1, 1), replica(2, 1)];
    assert_eq!(sent_reports.due_replicas(ms(0), REFRESH, all.clone()), all);
    assert_eq!(sent_reports.due_replicas(ms(100), REFRESH, all), []);
    let changed = vec![replica(1, 1), replica(2, 5)];
    assert_eq!(
        sent_reports.due_replicas(ms(200), REFRESH, changed.clone()),
        [replica(2, 5)]
    );
    // The first was sent longest ago: its turn comes first.
    assert_eq!(
        sent_reports.due_replicas(ms(500), REFRESH, changed.clone()),
        [replica(1, 1)]
    );
    assert_eq!(
        sent_reports.due_replicas(ms(700), REFRESH, changed),
        [replica(2, 5)]
    );
}

#[test]
fn an_account_whose_usage_only_decays_is_reported_once_per_refresh() {
    let mut sent_reports = SentReports::default();
    let usage = AccountUsage {
        requested: 90_000.0,
        allocated: 30_000.0,
    };
    let at = |age| vec![(7, usage.decayed(age, WINDOW))];
    let mut times = 0;
    for step in 0..=10 {
        let now = ms(step * 100);
        times += sent_reports
            .due_accounts(now, REFRESH, WINDOW, &at(now))
            .len();
    }
    assert_eq!(times, 3, "at the start and after each refresh");
    let more = vec![(
        7,
        AccountUsage {
            requested: 95_000.0,
            ..usage
        },
    )];
    assert_eq!(
        sent_reports
            .due_accounts(ms(1100), REFRESH, WINDOW, &more)
            .len(),
        1
    );
}

#[test]
fn a_placement_is_reported_once_per_refresh() {
    let mut sent_reports = SentReports::default();
    let placement = PartPlacement {
        start_hash: 1,
        part: 9,
        shared: true,
    };
    assert_eq!(
        sent_reports.due_placements(ms(0), REFRESH, vec![placement, placement]),
        [placement]
    );
    assert_eq!(
        sent_reports.due_placements(ms(400), REFRESH, vec![placement]),
        []
    );
    assert_eq!(
        sent_reports.due_placements(ms(600), REFRESH, vec![placement]),
        [placement]
    );
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn router(
    port: u16,
    zone: u32,
) -> RouterContact {
    RouterContact {
        address: address(port),
        zone,
    }
}

fn report(port: u16) -> RouterReport {
    RouterReport {
        address: address(port),
        update_address: address(port),
        caller_address: address(port + 1000),
        zone: 1,
        incarnation: 1,
        sequence: 1,
        is_leaving: false,
        busy_percent: 0,
        millicores: 500,
        is_store_unavailable: false,
        version: CatalogVersion::default(),
        body: ReportBody::default(),
    }
}

const MAX_AGE: Duration = Duration::from_secs(1);

fn apply_busy_report(
    table: &PeerTable,
    port: u16,
    busy_percent: u8,
    is_leaving: bool,
) {
    let report = RouterReport {
        is_leaving,
        busy_percent,
        ..report(port)
    };
    assert!(table.apply_report(ms(1000), &report, MAX_AGE));
}

#[test]
fn how_busy_the_others_are_counts_those_heard_of_that_stay() {
    let table = PeerTable::new(router(1, 1), &[address(9)]);
    assert_eq!(table.mean_busy(ms(1000), ms(500)), None);
    apply_busy_report(&table, 2, 40, false);
    apply_busy_report(&table, 3, 20, false);
    apply_busy_report(&table, 4, 100, true);
    assert_eq!(table.mean_busy(ms(1200), ms(500)), Some(30.0));
    assert_eq!(table.mean_busy(ms(1600), ms(500)), None);
}

#[test]
fn a_router_whose_clock_stepped_back_is_heard_once_its_old_reports_are_not_believed() {
    let table = PeerTable::new(router(1, 1), &[]);
    let before_step_back = RouterReport {
        incarnation: 5000,
        sequence: 70,
        ..report(2)
    };
    let after_step_back = RouterReport {
        incarnation: 3000,
        sequence: 1,
        ..report(2)
    };
    assert!(table.apply_report(ms(1000), &before_step_back, MAX_AGE));
    assert!(
        !table.apply_report(ms(1500), &after_step_back, MAX_AGE),
        "may be late"
    );
    assert!(table.apply_report(ms(2100), &after_step_back, MAX_AGE));
    assert!(!table.apply_report(
        ms(2200),
        &RouterReport {
            sequence: 0,
            ..after_step_back
        },
        MAX_AGE
    ));
}

#[test]
fn one_router_represents_its_zone_to_each_other_zone_and_another_when_it_is_silent() {
    let ports: Vec<u16> = (1..=20).collect();
    let tables: Vec<PeerTable> = ports
        .iter()
        .map(|own| {
            let table = PeerTable::new(router(*own, 1), &[]);
            for other in ports.iter().filter(|other| *other != own) {
                table.apply_report(ms(1000), &report(*other), MAX_AGE);
            }
            table
        })
        .collect();
    let representatives = |now, zone| {
        let representing = tables
            .iter()
            .filter(|table| table.represents_zone_to(now, ms(500), zone));
        representing
            .map(|table| table.own().address)
            .collect::<Vec<_>>()
    };
    let by_zone: Vec<_> = (2..=9)
        .map(|zone| representatives(ms(1000), zone))
        .collect();
    assert!(
        by_zone
            .iter()
            .all(|representatives| representatives.len() == 1),
        "{by_zone:?}"
    );
    let distinct: HashSet<_> = by_zone.iter().flatten().collect();
    assert!(distinct.len() >= 4, "the work is spread: {distinct:?}");
    // All but one representative keep sending reports: another router takes its place.
    let silent = by_zone[0][0];
    for table in &tables {
        for port in &ports {
            let again = RouterReport {
                sequence: 2,
                ..report(*port)
            };
            if again.address != silent {
                table.apply_report(ms(1600), &again, MAX_AGE);
            }
        }
    }
    let next: Vec<_> = representatives(ms(1700), 2)
        .into_iter()
        .filter(|address| *address != silent)
        .collect();
    assert_eq!(next.len(), 1);
}

#[test]
fn two_routers_of_a_zone_read_the_store_and_others_when_it_is_unavailable_to_them() {
    let ports: Vec<u16> = (1..=12).collect();
    let tables: Vec<PeerTable> = ports
        .iter()
        .map(|own| PeerTable::new(router(*own, 1), &[]))
        .collect();
    let readers = |sequence: u64, without_store: &[SocketAddr]| {
        let now = ms(1000 * sequence);
        for table in &tables {
            for port in &ports {
                let report = RouterReport {
                    sequence,
                    is_store_unavailable: without_store.contains(&address(*port)),
                    ..report(*port)
                };
                table.apply_report(now, &report, MAX_AGE);
            }
        }
        let own = |table: &PeerTable| table.own().address;
        let readers_now = tables.iter().filter(|table| {
            table.is_store_reader(now, ms(500), without_store.contains(&own(table)))
        });
        readers_now.map(own).collect::<Vec<_>>()
    };
    let first = readers(1, &[]);
    assert_eq!(first.len(), 2);
    // The store is unavailable to one reader: another reads, and the first goes on trying.
    let second = readers(2, &first[..1]);
    assert_eq!(second.len(), 3);
    assert!(second.contains(&first[0]) && second.contains(&first[1]));
    // The store is unavailable to all: the first two go on trying, the others make no calls.
    let all: Vec<SocketAddr> = ports.iter().map(|port| address(*port)).collect();
    assert_eq!(readers(3, &all), first);
    assert_eq!(readers(4, &[]), first);
    // A router that gets no reports reads for itself.
    assert!(
        tables
            .iter()
            .all(|table| table.is_store_reader(ms(9000), ms(500), false))
    );
}

#[test]
fn routers_and_zones_that_fell_silent_are_not_asked_for_news() {
    let table = PeerTable::new(router(1, 1), &[]);
    let version = CatalogVersion {
        config: 9,
        upstreams: 9,
    };
    let report = RouterReport {
        version,
        ..self::report(2)
    };
    assert!(table.apply_report(ms(100), &report, ms(1000)));
    assert_eq!(
        table.catalog_sources(ms(500), ms(800)),
        [(report.update_address, version)]
    );
    assert_eq!(table.catalog_sources(ms(1000), ms(800)), []);
    let zones = ZoneTable::default();
    let summary = summary(3, 1, 1);
    assert!(zones.apply_summary(ms(100), &summary));
    assert_eq!(
        zones.catalog_sources(ms(500), ms(800)),
        [(summary.update_address, summary.version)]
    );
    assert_eq!(zones.catalog_sources(ms(1000), ms(800)), []);
}

#[test]
fn contacts_known_only_from_others_are_not_passed_to_more_routers() {
    let table = PeerTable::new(router(1, 1), &[address(9)]);
    table.add_contacts(ms(0), &[router(2, 1), router(3, 2)]);
    assert_eq!(table.own_zone_addresses(), [address(2)]);
    assert_eq!(table.other_zones(), [2]);
    assert_eq!(table.contacts(ms(0), ms(500), 1, 4), [router(1, 1)]);
    table.record_contact(ms(0), router(3, 2));
    table.record_contact(ms(0), router(4, 2));
    table.record_contact(ms(0), router(5, 1));
    let names = [router(1, 1), router(3, 2), router(5, 1)];
    assert_eq!(table.contacts(ms(100), ms(500), 1, 1), names);
    // Routers that were silent for long are removed, except the seeds.
    table.remove_silent(ms(9000), ms(5000));
    assert!(table.own_zone_addresses().is_empty());
    assert_eq!(table.discovery_addresses(), [address(9)]);
}

fn summary(
    representative: u16,
    sequence: u64,
    routers: u32,
) -> ZoneSummary {
    ZoneSummary {
        zone: 7,
        representative: address(representative),
        update_address: address(representative),
        incarnation: 1,
        sequence,
        routers,
        version: CatalogVersion::default(),
        body: ReportBody::default(),
        members: Vec::new(),
    }
}

#[test]
fn a_summary_replaces_the_last_one_of_its_zone_whichever_router_sent_it() {
    let zones = ZoneTable::default();
    assert!(zones.apply_summary(ms(0), &summary(1, 5, 10)));
    assert!(
        !zones.apply_summary(ms(10), &summary(1, 5, 10)),
        "duplicated"
    );
    assert!(
        !zones.apply_summary(ms(20), &summary(1, 4, 99)),
        "reordered"
    );
    assert_eq!(zones.router_count(ms(20), ms(500)), 10);
    // Another router represents the zone: its routers are not counted twice.
    assert!(zones.apply_summary(ms(30), &summary(2, 1, 9)));
    assert_eq!(zones.router_count(ms(30), ms(500)), 9);
    assert_eq!(zones.representative(ms(30), 7, ms(500)), Some(address(2)));
    assert_eq!(zones.representative(ms(900), 7, ms(500)), None, "silent");
    assert_eq!(zones.router_count(ms(900), ms(500)), 0);
}

proptest! {
    #[test]
    fn summaries_in_any_order_leave_the_last_one_of_one_representative(
        sent in proptest::collection::vec((1u16..=2, 1u64..=6), 1..40)
    ) {
        let zones = ZoneTable::default();
        let mut applied: Vec<(u16, u64)> = Vec::new();
        for (sender, sequence) in sent {
            if zones.apply_summary(ms(0), &summary(sender, sequence, sender.into())) {
                if let Some((last, before)) = applied.last() {
                    prop_assert!(*last != sender || *before < sequence);
                }
                applied.push((sender, sequence));
            }
            let last = applied.last().map(|(sender, _)| usize::from(*sender));
            prop_assert_eq!(Some(zones.router_count(ms(0), ms(500))), last);
        }
    }
}
