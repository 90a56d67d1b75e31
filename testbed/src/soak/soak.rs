use {
    super::{
        attempt::Kind,
        callers::Callers,
        lateness::Lateness,
        movements::movements,
        notices::notices,
        operator_work::{cordons, replaced_builds, slow_returns},
        schedule::{PlannedFault, schedule, silences},
        soak_fleet::SoakFleet,
        soak_result::SoakResult,
        starvation::StarvationWatch,
        world::World,
    },
    crate::direct::DirectFleet,
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Runs a fleet for `length` under what a seed draws.
pub async fn soak(
    seed: u64,
    length: Duration,
    plan: &SoakFleet,
) -> SoakResult {
    let (routers, replicas) = (plan.routers(), plan.services().len());
    let mut fleet = DirectFleet::start_in_zones(&vec![plan.per_zone; plan.zones], "").await;
    let world = Arc::new(World::start(plan.clone(), &mut fleet).await);
    world.publish();
    fleet.wait_until_ready().await;
    for router in 0..routers {
        fleet
            .wait_until_served(router, Kind::Events.path(), 200)
            .await;
    }
    let callers = Callers::start(seed, &world.caller_addresses(), plan.callers);
    let lateness = Lateness::start();
    let starvation = StarvationWatch::start(world.clone());
    let mut work = JoinSet::new();
    let mut begin = |planned: Vec<PlannedFault>| work.spawn(play(world.clone(), planned));
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
    if plan.other_build.is_some() {
        begin(replaced_builds(seed, length));
    }
    work.join_all().await;
    world.recover().await;
    let attempts = callers.end().await;
    {
        let mut record = world.record.lock().expect("record lock");
        record.attempts = attempts;
        record.lateness = lateness.end();
        record.starvation = starvation.end();
    }
    world.result(seed).await
}

/// Inflicts faults one after the other; they may overlap. Ends when all have ended.
async fn play(
    world: Arc<World>,
    planned: Vec<PlannedFault>,
) {
    let mut tasks = JoinSet::new();
    for fault in planned {
        sleep(fault.after).await;
        tasks.spawn(world.clone().inflict(fault));
    }
    tasks.join_all().await;
}
