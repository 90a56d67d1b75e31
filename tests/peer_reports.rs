//! What routers tell each other in reports: changes at once, the rest in turn.

use {
    archmast::{
        catalog::CatalogVersion,
        peers::{PeerTable, RouterReport, ToldReports},
        policy::{
            placement::{CacheNote, Load, ReplicaReport},
            shares::AccountUsage,
        },
    },
    std::{collections::HashMap, net::SocketAddr, time::Duration},
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
        replica,
        load,
        placed: 0,
        rests: false,
    }
}

#[test]
fn only_replicas_that_changed_are_told_at_once() {
    let mut told = ToldReports::default();
    let all = vec![replica(1, 1), replica(2, 1)];
    assert_eq!(told.replicas(ms(0), REFRESH, all.clone()), all);
    assert_eq!(told.replicas(ms(100), REFRESH, all), []);
    let changed = vec![replica(1, 1), replica(2, 5)];
    assert_eq!(
        told.replicas(ms(200), REFRESH, changed.clone()),
        [replica(2, 5)]
    );
    // The first was told longest ago: its turn comes first.
    assert_eq!(
        told.replicas(ms(500), REFRESH, changed.clone()),
        [replica(1, 1)]
    );
    assert_eq!(told.replicas(ms(700), REFRESH, changed), [replica(2, 5)]);
}

#[test]
fn an_account_whose_usage_only_fades_is_told_in_its_turn_only() {
    let mut told = ToldReports::default();
    let usage = AccountUsage {
        asked: 90_000.0,
        got: 30_000.0,
    };
    let at = |age| HashMap::from([(7, usage.faded(age, WINDOW))]);
    let mut times = 0;
    for step in 0..=10 {
        let now = ms(step * 100);
        times += told.accounts(now, REFRESH, WINDOW, &at(now)).len();
    }
    assert_eq!(times, 3, "at the start and after each refresh");
    let more = HashMap::from([(
        7,
        AccountUsage {
            asked: 95_000.0,
            ..usage
        },
    )]);
    assert_eq!(told.accounts(ms(1100), REFRESH, WINDOW, &more).len(), 1);
}

#[test]
fn a_note_is_told_once_in_a_while() {
    let mut told = ToldReports::default();
    let note = CacheNote {
        replica: 1,
        part: 9,
    };
    assert_eq!(told.notes(ms(0), REFRESH, vec![note, note]), [note]);
    assert_eq!(told.notes(ms(400), REFRESH, vec![note]), []);
    assert_eq!(told.notes(ms(600), REFRESH, vec![note]), [note]);
}

fn heard_busy(
    table: &PeerTable,
    port: u16,
    busy: u8,
    leaving: bool,
) {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let report = RouterReport {
        address,
        news: address,
        incarnation: 1,
        sequence: 1,
        leaving,
        busy,
        version: CatalogVersion::default(),
        replicas: Vec::new(),
        accounts: Vec::new(),
        engines: Vec::new(),
        notes: Vec::new(),
        routers: Vec::new(),
    };
    assert!(table.hear(ms(1000), &report));
}

#[test]
fn how_busy_the_others_are_counts_those_heard_of_that_stay() {
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let table = PeerTable::new(own, &[SocketAddr::from(([127, 0, 0, 1], 9))]);
    assert_eq!(table.mean_busy(ms(1000), ms(500)), None);
    heard_busy(&table, 2, 40, false);
    heard_busy(&table, 3, 20, false);
    heard_busy(&table, 4, 100, true);
    assert_eq!(table.mean_busy(ms(1200), ms(500)), Some(30.0));
    assert_eq!(table.mean_busy(ms(1600), ms(500)), None);
}
