//! Requests from caller through router and sidecar to the upstream, as separate processes, are
//! served, and on an idle fleet without waiting for a grant.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, nonce},
        standin::{ChatBody, EngineSettings},
    },
    reqwest::Method,
    std::time::Duration,
};

fn plan() -> FleetPlan {
    let text = FleetText::default()
        .class("chat", "20 s")
        .models("drafting", "drafter")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "chat", "")
        .account("lot-b", 1.0, "chat", "");
    FleetPlan::new(text)
        .routers(2)
        .engines(2, EngineSettings::default())
        .plains(1, 4, Duration::from_millis(5))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_from_end_to_end() {
    let fleet = Fleet::start(plan()).await;
    let caller = fleet.caller(0, "lot-a");
    for stream in [false, true] {
        let body = ChatBody::new("drafter", "prefix", &nonce(), 5, stream);
        let outcome = caller.chat(&body).await;
        assert!(outcome.is_complete(), "{outcome:?}");
    }
    let outcome = fleet
        .caller(1, "lot-b")
        .plain(Method::POST, "/gate/open?lane=3", &nonce(), None)
        .await;
    assert!(outcome.is_complete(), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn on_an_idle_fleet_no_call_waits_for_a_grant() {
    let fleet = Fleet::start(plan()).await;
    let caller = fleet.caller(0, "lot-b");
    for _ in 0..50 {
        let outcome = caller
            .plain(Method::POST, "/gate/open", &nonce(), None)
            .await;
        assert!(outcome.is_complete(), "{outcome:?}");
    }
    let status = fleet.status(fleet.routers[0].operator).await;
    let control = status.expect("a status").control_bytes;
    assert_eq!(control.get("demand"), None, "{control:?}");
}
