use {
    super::{Catalog, CatalogChange, CatalogSource, ReaderRole, WatchPacing},
    crate::{
        codes::{Fault, ResultCode},
        ops::STORE_ERA,
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// Interval at which lapsed upstreams are checked for expiry.
const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a process that does not read the store checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the catalog in step with the store until the process exits: lists all items, then
/// watches for changes, and lists again when the store has discarded its history. While
/// `role` says that other processes read the store, their updates arrive by other means; when
/// this process takes over, it continues from the revision that those have reached.
pub async fn follow_store<S: CatalogSource, R: ReaderRole>(
    catalog: Arc<Catalog>,
    source: Arc<S>,
    role: Arc<R>,
    pacing: WatchPacing,
) {
    tokio::spawn(remove_expired_lapsed(Arc::downgrade(&catalog)));
    let mut reached = None;
    let mut failures = 0u32;
    let mut last_answer = Instant::now();
    let mut was_inactive = true;
    loop {
        if !role.is_reader() {
            was_inactive = true;
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        if std::mem::take(&mut was_inactive) {
            reached = reached_through_peers(&catalog);
            failures = 0;
            last_answer = Instant::now();
        }
        let call_start = Instant::now();
        match call_store(&catalog, &*source, pacing, failures > 0, reached).await {
            Ok(revision) => {
                if failures > 0 {
                    log::info!(
                        failures = failures, silent_ms = millis_since(last_answer);
                        "store answers again"
                    );
                }
                failures = 0;
                last_answer = Instant::now();
                role.record_call(true);
                reached = revision;
                sleep(pacing.pause).await;
            }
            Err(error) => {
                failures += 1;
                log::warn!(
                    code = error.code.number(), failures = failures, after = reached.unwrap_or(0),
                    call_ms = millis_since(call_start), silent_ms = millis_since(last_answer);
                    "store does not answer: {error}"
                );
                role.record_call(false);
                sleep(pacing.pause_after_failure(call_start.elapsed(), rand::random())).await;
            }
        }
    }
}

/// The store revision up to which peers have sent everything: the configuration, the upstreams
/// and the cordons. None if any of these is missing.
fn reached_through_peers(catalog: &Catalog) -> Option<u64> {
    let version = catalog.version();
    let revision = version.upstreams.min(catalog.cordons_revision());
    (version.config > 0 && revision > 0).then_some(revision)
}

fn millis_since(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}

/// Removes expired lapsed upstreams regularly, until the catalog is dropped.
async fn remove_expired_lapsed(catalog: Weak<Catalog>) {
    while let Some(catalog) = catalog.upgrade() {
        catalog.remove_expired_lapsed();
        drop(catalog);
        sleep(LAPSE_CHECK_INTERVAL).await;
    }
}

/// Makes one call to the store and applies its answer. Watches from the revision `reached`, or
/// lists all items if that is none. Returns `reached` for the next call.
async fn call_store<S: CatalogSource>(
    catalog: &Catalog,
    source: &S,
    pacing: WatchPacing,
    failed_before: bool,
    reached: Option<u64>,
) -> Result<Option<u64>, Fault> {
    let Some(after) = reached else {
        let is_first = catalog.version().config == 0;
        let listing = match is_first {
            true => first_listing(source, pacing.first_listing_hedge_delay()).await?,
            false => source.list().await?,
        };
        let revision = listing.revision;
        record_era(&listing);
        log::info!(
            era = listing.era.unwrap_or(0), at = revision, known = catalog.version().upstreams;
            "store listed"
        );
        catalog.offer_listing(listing, "store");
        return Ok(Some(revision));
    };
    let time = pacing.next_watch(failed_before);
    let answer = timeout(time.limit, source.watch(after, time.wait)).await;
    let timed_out = |_| Fault::new(ResultCode::PlatformDown, "the watch timed out");
    let Some(change) = answer.map_err(timed_out)?? else {
        log::info!(after = after; "store has discarded its history: listing all items");
        return Ok(None);
    };
    record_era(&change);
    let revision = change.revision.max(after);
    catalog.offer_change(change, "store");
    Ok(Some(revision))
}

fn record_era(change: &CatalogChange) {
    if let Some(era) = change.era {
        metrics::gauge!(STORE_ERA).set(era as f64);
    }
}

/// The first listing of a process, without which it cannot serve any request. Starts another
/// call every `hedge_delay` while none has ended, and returns the result of the first that
/// ends. A call sent while the store is unreachable is not answered after its return, so a
/// single call would only fail at its time-out.
async fn first_listing<S: CatalogSource>(
    source: &S,
    hedge_delay: Duration,
) -> Result<CatalogChange, Fault> {
    let mut calls = FuturesUnordered::from_iter([source.list()]);
    loop {
        match timeout(hedge_delay, calls.next()).await {
            Ok(Some(result)) => return result,
            Ok(None) | Err(_) => calls.push(source.list()),
        }
    }
}
