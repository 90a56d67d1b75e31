//! Connections are handed on only to neighbours that can serve them. A router that has just started
//! reports before it knows any replica; a busy neighbour that hands connections on to it makes it
//! answer "the service has no replica".

use {
    archmast::{
        catalog::CatalogVersion,
        peers::{PeerTable, ReportBody, RouterContact, RouterReport},
    },
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(1);
const AGE: Duration = Duration::from_millis(500);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn routers_that_know_no_configuration_or_no_replicas_get_no_connections() {
    let own = RouterContact {
        address: address(1),
        zone: 1,
    };
    let table = PeerTable::new(own, &[]);
    for (port, config, upstreams) in [(2, 0, 0), (3, 7, 0), (4, 0, 9), (5, 7, 9)] {
        let report = RouterReport {
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
            version: CatalogVersion { config, upstreams },
            body: ReportBody::default(),
        };
        assert!(table.apply_report(NOW, &report, AGE));
    }
    let neighbours = table.neighbours(NOW, AGE, 0.5);
    let callers: Vec<SocketAddr> = neighbours.iter().map(|it| it.caller_address).collect();
    assert_eq!(callers, [address(1005)]);
}
