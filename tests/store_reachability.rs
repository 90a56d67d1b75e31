//! Whether the routers of a zone can read the store, by what they report. Only while they cannot,
//! replicas that are reached again are asked whether they are in slow start.

use {
    archmast::{
        catalog::CatalogVersion,
        peers::{PeerTable, ReportBody, RouterContact, RouterReport},
    },
    std::{net::SocketAddr, time::Duration},
};

const AGE: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn table() -> PeerTable {
    let own = RouterContact {
        address: address(1),
        zone: 1,
    };
    PeerTable::new(own, &[])
}

fn apply_report(
    table: &PeerTable,
    now: Duration,
    port: u16,
    is_store_unavailable: bool,
) {
    let report = RouterReport {
        address: address(port),
        update_address: address(port),
        caller_address: address(port + 1000),
        zone: 1,
        incarnation: 1,
        sequence: now.as_millis() as u64,
        is_leaving: false,
        busy_percent: 0,
        millicores: 500,
        is_store_unavailable,
        version: CatalogVersion {
            config: 1,
            upstreams: 1,
        },
        body: ReportBody::default(),
    };
    assert!(table.apply_report(now, &report, AGE));
}

#[test]
fn the_store_is_unreachable_when_as_many_routers_as_read_it_say_so() {
    let table = table();
    for port in [2, 3, 4] {
        apply_report(&table, at(100), port, false);
    }
    assert!(!table.is_store_unreachable(at(100), AGE, false));
    assert!(!table.is_store_unreachable(at(100), AGE, true));
    apply_report(&table, at(200), 2, true);
    assert!(!table.is_store_unreachable(at(200), AGE, false));
    apply_report(&table, at(200), 3, true);
    assert!(table.is_store_unreachable(at(200), AGE, false));
}

#[test]
fn a_router_alone_in_its_zone_goes_by_its_own_reads() {
    let table = table();
    assert!(!table.is_store_unreachable(at(100), AGE, false));
    assert!(table.is_store_unreachable(at(100), AGE, true));
    // Another router that can read the store tells what it reads.
    apply_report(&table, at(200), 2, false);
    assert!(!table.is_store_unreachable(at(200), AGE, true));
}

#[test]
fn a_router_that_reads_the_store_again_counts_until_the_others_were_told() {
    let table = table();
    for port in [2, 3] {
        apply_report(&table, at(100), port, true);
        apply_report(&table, at(200), port, false);
    }
    assert!(table.is_store_unreachable(at(1100), AGE, false));
    for port in [2, 3] {
        apply_report(&table, at(1150), port, false);
    }
    assert!(!table.is_store_unreachable(at(1150), AGE, false));
}

#[test]
fn only_a_reader_that_compares_eras_and_said_so_lately_counts_as_one() {
    let table = table();
    apply_report(&table, at(100), 2, false);
    assert!(!table.has_reader_with_eras(at(100), AGE));
    table.record_eras(at(200), address(2), true);
    assert!(table.has_reader_with_eras(at(1200), AGE));
    assert!(!table.has_reader_with_eras(at(1300), AGE));
    table.record_eras(at(1400), address(2), true);
    table.record_eras(at(1500), address(2), false);
    assert!(!table.has_reader_with_eras(at(1500), AGE));
    table.record_eras(at(1600), address(3), true);
    assert!(!table.has_reader_with_eras(at(1600), AGE), "unknown");
}
