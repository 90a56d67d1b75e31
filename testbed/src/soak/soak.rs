use {
    super::{
        attempt::Kind,
        callers::Callers,
        schedule::{PlannedFault, schedule, silences},
        soak_result::SoakResult,
        world::{ROUTERS, SERVICES, World},
    },
    crate::direct::DirectFleet,
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Runs the fleet for `length` under the faults that a seed draws.
pub async fn soak(
    seed: u64,
    length: Duration,
) -> SoakResult {
    let mut fleet = DirectFleet::start(ROUTERS, "").await;
    let world = Arc::new(World::start(&mut fleet).await);
    world.publish();
    fleet.all_ready().await;
    for router in 0..ROUTERS {
        fleet.serves(router, Kind::Events.path(), 200).await;
    }
    let callers = Callers::start(seed, &world.caller_addresses());
    let planned = schedule(seed, length, ROUTERS, SERVICES.len());
    let silent = silences(seed, length, ROUTERS, SERVICES.len());
    tokio::join!(play(&world, planned), play(&world, silent));
    world.recover().await;
    let attempts = callers.end().await;
    world.record.lock().expect("record lock").attempts = attempts;
    world.result(seed).await
}

/// Inflicts faults one after the other; they may overlap. Ends when all have ended.
async fn play(
    world: &Arc<World>,
    planned: Vec<PlannedFault>,
) {
    let mut tasks = JoinSet::new();
    for fault in planned {
        sleep(fault.after).await;
        tasks.spawn(world.clone().inflict(fault));
    }
    tasks.join_all().await;
}
