use {
    super::{
        announce_demand::announce_demand,
        caller_server::CallerServer,
        housekeeping::{announce_config_changes, run_housekeeping},
        router::Router,
    },
    crate::{
        callers::bind_callers,
        codes::ResultCode,
        conf::RouterSettings,
        fleet::HostRole,
        keys::Identity,
        link::{DialSet, Link},
        node::{
            BLOCKING_THREADS, Node, StartError, confirm_readiness, ignore_hangups, run_process,
            start_watches, stop_signal,
        },
        ops::OperatorPort,
        wire::ControlMessage,
    },
    error_stack::{Report, ResultExt},
    std::{process::ExitCode, sync::Arc},
    tokio::runtime::Builder,
};

/// The entry point of `archmast-router`.
pub fn main() -> ExitCode {
    run_process(
        "archmast-router",
        RouterSettings::SHIPPED,
        RouterSettings::read,
        |settings| settings.process.host.clone(),
        serve,
    )
}

fn serve(settings: RouterSettings) -> Result<(), Report<StartError>> {
    let failed = || StartError(ResultCode::StartFailed);
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.process.workers)
        .max_blocking_threads(BLOCKING_THREADS)
        .enable_all()
        .build()
        .change_context_lazy(failed)?;
    runtime.block_on(run(settings))
}

async fn run(settings: RouterSettings) -> Result<(), Report<StartError>> {
    let failed = || StartError(ResultCode::StartFailed);
    // Before anything listens: nothing may depend on the process while the signal ends it.
    ignore_hangups().change_context_lazy(failed)?;
    let identity = Identity::read(&settings.link).change_context_lazy(failed)?;
    let node = Arc::new(Node::new(
        HostRole::Router,
        &settings.process,
        &settings.operator,
    ));
    let router = Arc::new(Router::new(node.clone(), settings.clone()));
    let link = Link::bind(&settings.link, &identity, router.clone()).change_context_lazy(failed)?;
    router.set_link(link.clone());
    let dials = Arc::new(DialSet::new(
        link.clone(),
        settings.platform.pacing.retry_pause,
    ));
    start_watches(&node, &settings.platform, &dials).change_context_lazy(failed)?;
    tokio::spawn(link.clone().accept());
    tokio::spawn(announce_demand(router.clone()));
    tokio::spawn(announce_config_changes(router.clone()));
    tokio::spawn(run_housekeeping(router.clone(), dials));
    tokio::spawn(confirm_readiness(
        node.clone(),
        HostRole::Sidecar,
        settings.platform.bootstrap_wait,
    ));
    let operator = tokio::spawn(OperatorPort::serve(
        settings.operator.listen,
        router.clone(),
    ));
    let listener = bind_callers(settings.caller_listen).change_context_lazy(failed)?;
    let callers = CallerServer::new(router.clone());
    let accepting = tokio::spawn(callers.clone().accept(listener));
    log::info!(
        callers = settings.caller_listen.to_string().as_str(),
        link = settings.link.listen.to_string().as_str(),
        operator = settings.operator.listen.to_string().as_str();
        "router started"
    );
    tokio::select! {
        () = stop_signal() => {}
        ended = operator => {
            ended.change_context_lazy(failed)?.change_context_lazy(failed)?;
        }
    }
    // The readiness check fails first while requests are still accepted, because the load
    // balancer notices with a delay of up to `balancer_lag`.
    node.begin_leaving();
    link.send_to_all(&ControlMessage::Leaving);
    tokio::time::sleep(settings.balancer_lag).await;
    router.refuse_new_requests();
    router.wait_until_all_answered().await;
    log::info!("all open requests are answered");
    accepting.abort();
    callers.stop().await;
    log::info!("router stopped");
    link.close().await;
    Ok(())
}
