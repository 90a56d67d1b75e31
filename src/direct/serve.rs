use {
    super::{
        cache_follow::follow_caches, cache_survey::survey_caches,
        caller_connections::CallerConnections, gateway::Gateway, processor_watch::ProcessorWatch,
        ready_port::ready_server, settings_watch::watch_settings, zone_reader_role::ZoneReaderRole,
    },
    crate::{
        callers::bind_callers,
        catalog::{Catalog, follow_store},
        codes::ResultCode,
        conf::DirectSettings,
        node::{BLOCKING_THREADS, StartError, run_process, stop_signal},
        ops::OperatorPort,
        peers::PeerLink,
        platform::{StoreClient, dialect, parse_config, parse_replica},
    },
    error_stack::{Report, ResultExt},
    std::{process::ExitCode, sync::Arc, time::Duration},
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
    },
};

/// Part of the stop's grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// How long requests are refused, with an answer, before connections are no longer accepted.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// The command line of a router in the direct form.
pub fn main() -> ExitCode {
    run_process(
        "archmast-router --direct",
        DirectSettings::SHIPPED,
        DirectSettings::read,
        |settings| settings.process.host.clone(),
        serve,
    )
}

fn serve(settings: DirectSettings) -> Result<(), Report<StartError>> {
    let failed = || StartError(ResultCode::StartFailed);
    let runtime = Builder::new_current_thread()
        .max_blocking_threads(BLOCKING_THREADS)
        .enable_all()
        .build()
        .change_context_lazy(failed)?;
    runtime.block_on(run(settings))
}

async fn run(settings: DirectSettings) -> Result<(), Report<StartError>> {
    let failed = || StartError(ResultCode::StartFailed);
    // Registered before anything listens: an unhandled SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup()).change_context_lazy(failed)?;
    let catalog = Arc::new(Catalog::new(parse_config, parse_replica));
    catalog.exclude_addresses(settings.own_addresses());
    let pace = settings.store_pacing;
    let store = StoreClient::new(settings.store_address, pace.read_time());
    let store = Arc::new(store.change_context_lazy(failed)?);
    let gateway = Arc::new(Gateway::new(settings.clone(), dialect(), catalog.clone()));
    let link = PeerLink::bind(gateway.clone())
        .await
        .change_context_lazy(failed)?;
    let listener = bind_callers(settings.caller_listen).change_context_lazy(failed)?;
    let ready = ready_server(gateway.clone())
        .await
        .change_context_lazy(failed)?;
    let connections = CallerConnections::new(gateway.clone());
    tokio::spawn(connections.clone().follow_idle_timeout());
    let reader_role = Arc::new(ZoneReaderRole::new(gateway.clone()));
    tokio::spawn(follow_store(catalog, store, reader_role, pace));
    tokio::spawn(gateway.clone().follow_catalog());
    tokio::spawn(gateway.clone().run_cleanup());
    tokio::spawn(survey_caches(gateway.clone()));
    tokio::spawn(follow_caches(gateway.clone()));
    tokio::spawn(ProcessorWatch::new(gateway.clone()).run());
    link.clone().start();
    tokio::spawn(watch_settings(
        gateway.clone(),
        settings.path.clone(),
        hangup,
    ));
    let operator = tokio::spawn(OperatorPort::serve(
        settings.operator.listen,
        gateway.clone(),
    ));
    let accepting = tokio::spawn(connections.clone().accept(listener));
    let readiness = tokio::spawn(ready.launch());
    log::info!(
        callers = settings.caller_listen.to_string().as_str(),
        peers = settings.peer_listen.to_string().as_str();
        "router started"
    );
    tokio::select! {
        () = stop_signal() => {}
        ended = operator => {
            ended.change_context_lazy(failed)?.change_context_lazy(failed)?;
        }
        ended = readiness => {
            ended.change_context_lazy(failed)?.change_context_lazy(failed)?;
        }
    }
    log::info!("stopping: not ready from now on");
    gateway.begin_stopping();
    gateway.early_report.notify_one();
    let deadline = tokio::time::Instant::now() + settings.grace.saturating_sub(EXIT_MARGIN);
    tokio::time::sleep(settings.balancer_lag).await;
    // New requests could not be completed in time: they are refused as not run.
    gateway.refuse_new();
    tokio::time::sleep(REFUSAL_PERIOD).await;
    accepting.abort();
    connections.close_idle();
    let in_time = tokio::time::timeout_at(deadline, connections.all_closed()).await;
    log::info!(
        all_answered = in_time.is_ok(), open_connections = connections.open_count();
        "router stopped"
    );
    Ok(())
}
