use {
    super::{
        housekeeping::{apply_config_changes, run_housekeeping, watch_host_list},
        report_service::report_service,
        sidecar::Sidecar,
        upstream_client::UpstreamClient,
    },
    crate::{
        codes::ResultCode,
        conf::SidecarSettings,
        fleet::HostRole,
        keys::Identity,
        link::{DialSet, Link},
        node::{
            BLOCKING_THREADS, Node, StartError, confirm_readiness, ignore_hangups, run_process,
            start_watches, stop_signal,
        },
        ops::OperatorPort,
    },
    error_stack::{Report, ResultExt},
    std::{process::ExitCode, sync::Arc},
    tokio::runtime::Builder,
};

/// The entry point of `archmast-sidecar`.
pub fn main() -> ExitCode {
    run_process(
        "archmast-sidecar",
        SidecarSettings::SHIPPED,
        SidecarSettings::read,
        |settings| settings.process.host.clone(),
        serve,
    )
}

fn serve(settings: SidecarSettings) -> Result<(), Report<StartError>> {
    let failed = || StartError(ResultCode::StartFailed);
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.process.workers)
        .max_blocking_threads(BLOCKING_THREADS)
        .enable_all()
        .build()
        .change_context_lazy(failed)?;
    runtime.block_on(run(settings))
}

async fn run(settings: SidecarSettings) -> Result<(), Report<StartError>> {
    let failed = || StartError(ResultCode::StartFailed);
    // Before anything listens: nothing may depend on the process while the signal ends it.
    ignore_hangups().change_context_lazy(failed)?;
    let identity = Identity::read(&settings.link).change_context_lazy(failed)?;
    let upstream = UpstreamClient::new(settings.upstream, settings.silence_limit)
        .change_context_lazy(failed)?;
    let node = Arc::new(Node::new(
        HostRole::Sidecar,
        &settings.process,
        &settings.operator,
    ));
    let sidecar = Arc::new(Sidecar::new(node.clone(), settings.clone(), upstream));
    let link =
        Link::bind(&settings.link, &identity, sidecar.clone()).change_context_lazy(failed)?;
    sidecar.set_link(link.clone());
    let dials = Arc::new(DialSet::new(
        link.clone(),
        settings.platform.pacing.retry_pause,
    ));
    start_watches(&node, &settings.platform, &dials).change_context_lazy(failed)?;
    tokio::spawn(link.clone().accept());
    tokio::spawn(watch_host_list(sidecar.clone(), dials.clone()));
    tokio::spawn(apply_config_changes(sidecar.clone()));
    tokio::spawn(run_housekeeping(sidecar.clone()));
    tokio::spawn(report_service(sidecar.clone(), dials));
    tokio::spawn(confirm_readiness(
        node.clone(),
        HostRole::Router,
        settings.platform.bootstrap_wait,
    ));
    let operator = tokio::spawn(OperatorPort::serve(
        settings.operator.listen,
        sidecar.clone(),
    ));
    log::info!(
        link = settings.link.listen.to_string().as_str(),
        operator = settings.operator.listen.to_string().as_str();
        "sidecar started"
    );
    tokio::select! {
        () = stop_signal() => {}
        ended = operator => {
            ended.change_context_lazy(failed)?.change_context_lazy(failed)?;
        }
    }
    sidecar.leave_permanently().await;
    sidecar.wait_until_all_closed().await;
    log::info!("sidecar stopped: nothing runs here any more");
    link.close().await;
    Ok(())
}
