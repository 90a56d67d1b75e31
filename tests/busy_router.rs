//! How a router treats callers while it is short of processor time.

use {
    archmast::{
        catalog::Catalog,
        conf::{DirectSettings, IniDocument},
        direct::Gateway,
        platform::{dialect, parse_config, parse_replica},
    },
    std::{sync::Arc, time::Duration},
};

const SETTINGS: &str = "\
[process]
host = r1
zone = z
[callers]
listen = 127.0.0.1:1
[ready]
listen = 127.0.0.1:2
[operator]
listen = 127.0.0.1:3
[peers]
listen = 127.0.0.1:4
news = 127.0.0.1:5
[catalog]
address = 127.0.0.1:6
";

fn gateway() -> Gateway {
    let document = IniDocument::parse("direct.ini", SETTINGS).expect("settings");
    let settings = DirectSettings::from_document(document).expect("settings");
    let catalog = Arc::new(Catalog::new(parse_config, parse_replica));
    Gateway::new(settings, dialect(), catalog)
}

#[test]
fn callers_come_back_later_to_a_router_that_is_short_of_processor() {
    let gateway = gateway();
    assert_eq!(gateway.min_retry_after(), Duration::ZERO);
    // The balancer sends a request once a second, and removes a router after two failures.
    let balancer_retry = Duration::from_secs(1);
    gateway.processor.set_busy(0.9);
    assert!(gateway.min_retry_after() > balancer_retry);
    gateway.processor.set_busy(0.3);
    assert_eq!(gateway.min_retry_after(), Duration::ZERO);
    gateway.processor.set_lag(Duration::from_millis(100));
    assert!(gateway.processor.is_lagging());
    assert!(gateway.min_retry_after() > balancer_retry);
}

#[test]
fn a_router_lags_before_a_quarter_of_a_target_latency_is_lost() {
    let gateway = gateway();
    let late = Duration::from_millis(300) / 4;
    gateway.processor.set_lag(late);
    assert!(gateway.processor.is_lagging());
    gateway.processor.set_lag(Duration::from_millis(20));
    assert!(!gateway.processor.is_lagging());
}
