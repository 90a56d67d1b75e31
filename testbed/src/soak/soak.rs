use {
    super::{
        caller_request::RequestKind,
        callers::Callers,
        config_change::ConfigChange,
        config_series::config_series,
        fleet_under_test::FleetUnderTest,
        lateness::Lateness,
        movements::movements,
        notices::notices,
        operator_work::{cordons, replaced_builds, slow_returns, store_losses},
        pauses::pauses,
        schedule::{PlannedFault, schedule, silences},
        soak_fleet::SoakFleet,
        soak_result::SoakResult,
        starvation::StarvationWatch,
        stream_callers::StreamCallers,
        versions::{caller_resets, versions},
    },
    crate::direct::DirectFleet,
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Runs a fleet for `length` under the faults drawn from `seed`, and checks what was observed.
pub async fn soak(
    seed: u64,
    length: Duration,
    plan: &SoakFleet,
) -> SoakResult {
    let (routers, replicas) = (plan.routers(), plan.services().len());
    let settings = format!(
        "[retry]\nratio = {}\nextra = {}\n",
        plan.retry_ratio, plan.retry_extra
    );
    let counts = vec![plan.per_zone; plan.zones];
    let mut fleet = DirectFleet::start_in_zones(&counts, &settings).await;
    let fleet_under_test = Arc::new(FleetUnderTest::start(plan.clone(), &mut fleet).await);
    fleet_under_test.publish(ConfigChange::Routes);
    fleet.wait_until_ready().await;
    for router in 0..routers {
        fleet
            .wait_until_served(router, RequestKind::Events.path(), 200)
            .await;
    }
    let callers = Callers::start(seed, &fleet_under_test.caller_addresses(), plan.callers);
    let stream_callers = plan
        .versions
        .then(|| StreamCallers::start(seed, &fleet_under_test.caller_addresses(), plan.callers));
    let lateness = Lateness::start();
    let starvation = StarvationWatch::start(fleet_under_test.clone());
    let mut work = JoinSet::new();
    let mut begin =
        |faults: Vec<PlannedFault>| work.spawn(inject_all(fleet_under_test.clone(), faults));
    if plan.faults {
        begin(schedule(seed, length, routers, replicas));
    }
    if plan.silences {
        begin(silences(seed, length, routers, replicas));
    }
    if plan.movements {
        begin(movements(seed, length, routers, replicas));
    }
    if plan.cordons {
        begin(cordons(seed, length, plan));
    }
    if plan.slow_returns {
        begin(slow_returns(seed, length, plan));
    }
    if plan.notices {
        begin(notices(seed, length, replicas));
    }
    if plan.store_losses {
        begin(store_losses(seed, length));
    }
    if plan.versions {
        begin(versions(seed, length, plan));
        begin(caller_resets(seed, length, routers));
    }
    if plan.pauses {
        begin(pauses(seed, length, replicas));
    }
    if plan.changes {
        begin(config_series(seed, length));
    }
    if plan.other_build.is_some() {
        begin(replaced_builds(seed, length));
    }
    work.join_all().await;
    fleet_under_test.await_recovery().await;
    let mut requests = callers.end().await;
    if let Some(callers) = stream_callers {
        requests.extend(callers.end().await);
    }
    {
        let mut record = fleet_under_test.record.lock().expect("record lock");
        record.requests = requests;
        record.lateness = lateness.end();
        record.starvation = starvation.end();
    }
    fleet_under_test.result(seed).await
}

/// Starts faults one after the other; they may overlap. Returns when all have ended.
async fn inject_all(
    fleet_under_test: Arc<FleetUnderTest>,
    faults: Vec<PlannedFault>,
) {
    let mut tasks = JoinSet::new();
    for fault in faults {
        sleep(fault.after).await;
        tasks.spawn(fleet_under_test.clone().inject(fault));
    }
    tasks.join_all().await;
}
