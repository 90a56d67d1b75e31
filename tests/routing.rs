//! Which route, service and account a request belongs to.

use {
    archmast::routing::{
        AccountEntry, RequestLimits, Route, RouteKind, RoutingTable, Service, WeightedService,
    },
    std::time::Duration,
};

fn route(
    name: &str,
    host: &str,
    prefix: &str,
    services: &[(&str, f64)],
) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(name.len() as u64 * 100),
        target_pause: None,
        priority: 1,
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        max_attempts: 1,
        public: false,
        regions: None,
    }
}

fn table() -> RoutingTable {
    let routes = vec![
        route("ab", "one.example", "/a/b/", &[("first", 1.0)]),
        route("a", "one.example", "/a/", &[("first", 1.0)]),
        route(
            "all",
            "two.example",
            "/",
            &[("first", 90.0), ("second", 10.0)],
        ),
    ];
    let service = Service {
        name: "first".into(),
        max_connections: 7,
        health_path: None,
        engine: None,
        slow_start_per_s: 0.0,
        slow_start_duration: Duration::ZERO,
    };
    let account = AccountEntry {
        name: "lot".into(),
        keys: vec!["k1".into(), "k2".into()],
        regions: None,
    };
    RoutingTable::new(
        3,
        RequestLimits::default(),
        routes,
        vec![service],
        vec![account],
    )
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let name = |host, path| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("one.example", "/a/b/c").as_deref(), Some("ab"));
    assert_eq!(name("one.example", "/a/bc").as_deref(), Some("a"));
    assert_eq!(name("ONE.example:8080", "/a/b/").as_deref(), Some("ab"));
    assert_eq!(name("two.example", "/a/b/c").as_deref(), Some("all"));
    assert_eq!(name("one.example", "/a"), None);
    assert_eq!(name("three.example", "/a/"), None);
}

#[test]
fn traffic_is_split_by_weight() {
    let table = table();
    let route = table.route("two.example", "/").expect("a route");
    let drawn = |draw| route.pick_service(draw).map(|service| service.to_string());
    assert_eq!(drawn(0.0).as_deref(), Some("first"));
    assert_eq!(drawn(0.899).as_deref(), Some("first"));
    assert_eq!(drawn(0.901).as_deref(), Some("second"));
    assert_eq!(drawn(0.999_999).as_deref(), Some("second"));
}

#[test]
fn a_service_with_weight_zero_gets_nothing() {
    let only = route("r", "h", "/", &[("old", 0.0), ("new", 5.0), ("gone", 0.0)]);
    for draw in [0.0, 0.5, 0.999_999_999] {
        assert_eq!(
            only.pick_service(draw).map(|service| &**service),
            Some("new")
        );
    }
}

#[test]
fn every_key_of_an_account_names_it() {
    let table = table();
    assert_eq!(table.account("k1").map(|name| &**name), Some("lot"));
    assert_eq!(table.account("k2").map(|name| &**name), Some("lot"));
    assert_eq!(table.account("k3"), None);
    assert!(table.has_accounts());
}

#[test]
fn the_shortest_target_latency_counts_for_a_service() {
    let table = table();
    assert_eq!(
        table.shortest_target_latency("first"),
        Some(Duration::from_millis(100))
    );
    assert_eq!(
        table.shortest_target_latency("second"),
        Some(Duration::from_millis(300))
    );
    assert_eq!(table.shortest_target_latency("third"), None);
}

#[test]
fn only_idempotent_and_resumable_requests_may_be_repeated() {
    assert!(RouteKind::Idempotent.may_repeat());
    assert!(RouteKind::Stream { resumable: true }.may_repeat());
    assert!(!RouteKind::Stream { resumable: false }.may_repeat());
    assert!(!RouteKind::NonIdempotent.may_repeat());
}
