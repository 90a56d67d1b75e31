//! Parsing of the configuration, entries, headers and replies of the platform.

use {
    archmast::{
        catalog::UpstreamState,
        codes::ResultCode,
        platform::{dialect, parse_config, parse_replica},
        routing::RouteKind,
    },
    hyper::{HeaderMap, header::HeaderValue},
    std::time::Duration,
};

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"a","host":"One.example","path_prefix":"/a/","kind":"streaming","timeout_ms":6000,
  "target_latency_ms":600,"priority":1,"traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
  "max_attempts":2,"public":false,"sticky":true,"resumable":true,"itl_target_ms":200,"new_field":1},
 {"name":"b","host":"one.example","path_prefix":"/b/","kind":"non_idempotent","timeout_ms":800.5,
  "target_latency_ms":100,"priority":2,"service":"t","max_attempts":1,"public":true}],
 "services":[{"name":"s","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kv_capacity_tokens":232000,"kv_bytes":327680,"link_mbps":1100000.0,"moves":true}},
  {"name":"t","max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000,"tokens_per_s":390000},
 "tenants":[{"name":"lot","api_keys":["k1","k2"],"priority":1}]}"#;

#[test]
fn a_configuration_is_read() {
    let table = parse_config(CONFIG).expect("a valid one");
    assert_eq!(table.version, 7);
    let stream = table.route("one.example", "/a/x").expect("a route");
    assert_eq!(stream.kind, RouteKind::Stream { resumable: true });
    assert_eq!(stream.services.len(), 2);
    assert_eq!(stream.target_pause, Some(Duration::from_millis(200)));
    let once = table.route("one.example", "/b/").expect("a route");
    assert_eq!(once.kind, RouteKind::NonIdempotent);
    assert_eq!(once.timeout, Duration::from_micros(800_500));
    assert!(once.public);
    let engine = table.service("s").and_then(|service| service.engine);
    assert_eq!(
        engine.map(|engine| engine.kv_capacity_tokens),
        Some(232_000)
    );
    assert!(
        table
            .service("t")
            .is_some_and(|service| service.engine.is_none())
    );
    assert_eq!(table.account("k2").map(|name| &**name), Some("lot"));
    assert_eq!(table.limits.engine_tokens_per_s, Some(390_000.0));
}

#[test]
fn regions_of_a_route_and_of_an_account_both_apply() {
    let text = CONFIG
        .replace(
            r#""name":"a","#,
            r#""name":"a","allowed_regions":["north","west"],"#,
        )
        .replace(
            r#""name":"lot","#,
            r#""name":"lot","allowed_regions":["west","south"],"#,
        )
        .replace(r#""name":"b","#, r#""name":"b","allowed_regions":[],"#);
    let table = parse_config(&text).expect("a valid one");
    let allowed = |path, account, region| {
        let route = table.route("one.example", path).expect("a route");
        let regions = table.regions(route, account);
        regions.is_none_or(|regions| regions.contains(region))
    };
    let [north, west, south] = ["north", "west", "south"].map(Some);
    for (path, account, expected) in [
        ("/a/", Some("lot"), [false, true, false]),
        ("/a/", None, [true, true, false]),
        ("/b/", Some("lot"), [false, true, true]),
        ("/b/", Some("another"), [true, true, true]),
    ] {
        let found = [north, west, south].map(|region| allowed(path, account, region));
        assert_eq!(found, expected, "{path} {account:?}");
    }
    assert!(!allowed("/a/", None, None));
    assert!(table.restricts_regions());
    assert!(
        !parse_config(CONFIG)
            .expect("a valid one")
            .restricts_regions()
    );
}

#[test]
fn a_kind_of_route_that_is_not_known_is_refused() {
    let unknown = CONFIG.replace("non_idempotent", "sometimes");
    let error = parse_config(&unknown).expect_err("refused");
    assert_eq!(error.code, ResultCode::PlatformReply);
    assert!(error.detail.contains("sometimes"));
}

#[test]
fn a_replica_that_is_not_ready_takes_no_new_work() {
    let entry = |state: &str| {
        let text = format!(
            r#"{{"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,"state":"{state}","cold_remaining_ms":0,"sequence":4}}"#
        );
        parse_replica("i-1", &text).map(|entry| entry.state).ok()
    };
    assert_eq!(entry("ready"), Some(UpstreamState::Ready));
    assert_eq!(entry("draining"), Some(UpstreamState::Draining));
    assert_eq!(entry("something new"), None);
}

#[test]
fn a_prompt_is_parsed_from_its_headers_or_not_at_all() {
    let shape = |parts: &str, counts: &str| {
        let mut headers = HeaderMap::new();
        for (name, text) in [
            ("archmast-prefix-hash", parts),
            ("archmast-token-count", counts),
        ] {
            headers.insert(name, HeaderValue::from_str(text).expect("text"));
        }
        (dialect().parse_prompt)(&headers)
    };
    let prompt = shape("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "1460,80").expect("a prompt");
    assert_eq!((prompt.tokens(), prompt.output_tokens), (1460, 80));
    assert_eq!(prompt.affinity_part(), Some(0x91bd_3f06));
    for (parts, counts) in [("", "1,1"), ("a:x", "1,1"), ("a:1", "1"), ("a", "1,1")] {
        assert_eq!(shape(parts, counts), None, "{parts} {counts}");
    }
    assert_eq!((dialect().parse_prompt)(&HeaderMap::new()), None);
}

#[test]
fn the_list_of_cached_parts_is_parsed() {
    let cache = dialect().cache;
    assert_eq!((cache.list_request)().uri().path(), "/v1/kv-list");
    let text = br#"{"epoch":"e","next_token":7,"held":[["","5c1e07a2",800,"m"],["","91bd3f06",16,"m"]],"new":1}"#;
    let parts = (cache.parse_list)(text).expect("a list");
    let parsed: Vec<_> = parts.iter().map(|part| (part.part, part.tokens)).collect();
    assert_eq!(parsed, [(0x5c1e_07a2, 800), (0x91bd_3f06, 16)]);
    let error = (cache.parse_list)(b"{}").expect_err("refused");
    assert_eq!(error.code, ResultCode::PlatformReply);
}

#[test]
fn cache_events_are_parsed() {
    let cache = dialect().cache;
    let request = (cache.events_request)(8, Duration::from_secs(1));
    assert_eq!(request.uri(), "/v1/kv-events?since=7");
    assert_eq!(request.headers()["wait-ms"], "1000");
    assert_eq!(
        (cache.events_request)(0, Duration::ZERO).uri(),
        "/v1/kv-events?since=0"
    );
    let read = |text: &[u8]| (cache.parse_events)(8, text);
    let text = br#"{"epoch":5,"next_token":10,"lost":false,"events":[[9,"-","","91bd3f06",16,"m"],[8,"+","","5c1e07a2",800,"m"],[10,"-","","91bd3f06",0,"m"]]}"#;
    let batch = read(text).expect("events");
    assert_eq!((batch.from, batch.next, batch.has_gap), (8, 11, false));
    let parsed: Vec<_> = batch
        .events
        .iter()
        .map(|it| (it.number, it.part, it.is_cached))
        .collect();
    assert_eq!(
        parsed,
        [
            (8, 0x5c1e_07a2, true),
            (9, 0x91bd_3f06, false),
            (10, 0x91bd_3f06, false)
        ]
    );
    let lost = br#"{"epoch":5,"next_token":7,"lost":true,"events":[]}"#;
    assert!(read(lost).expect("events").has_gap);
    let incomplete = br#"{"epoch":6,"next_token":9,"lost":false,"events":[[9,"+","","1",16,"m"]]}"#;
    let incomplete = read(incomplete).expect("events");
    assert!(incomplete.has_gap);
    assert_ne!(incomplete.epoch, batch.epoch);
    let error = read(b"{}").expect_err("refused");
    assert_eq!(error.code, ResultCode::PlatformReply);
}
