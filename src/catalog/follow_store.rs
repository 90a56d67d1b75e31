use {
    super::{
        Catalog, CatalogChange, CatalogSource, ReaderRole, StoreRevision, WatchPacing, counter_of,
        era_of,
    },
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

/// Interval at which lapsed upstreams, and what stands from an earlier era, are checked for expiry.
const GRACE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a process that does not read the store checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the catalog in step with the store until the process exits: lists all items, then
/// watches for changes, and lists again when the store has discarded its history, or has come back
/// from a copy without its newest changes. While
/// `role` says that other processes read the store, their updates arrive by other means; when
/// this process takes over, it continues from the revision that those have reached.
pub async fn follow_store<S: CatalogSource, R: ReaderRole>(
    catalog: Arc<Catalog>,
    source: Arc<S>,
    role: Arc<R>,
    pacing: WatchPacing,
) {
    tokio::spawn(end_grace_periods(Arc::downgrade(&catalog)));
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
                    code = error.code.number(), failures = failures,
                    era = era_of(reached.unwrap_or(0)), after = counter_of(reached.unwrap_or(0)),
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

/// Ends grace periods of the catalog's parts regularly, until the catalog is dropped.
async fn end_grace_periods(catalog: Weak<Catalog>) {
    while let Some(catalog) = catalog.upgrade() {
        catalog.remove_expired_lapsed();
        catalog.expire_carried();
        drop(catalog);
        sleep(GRACE_CHECK_INTERVAL).await;
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
    // A peer may have told of a later era, whose revisions the watch would not reach.
    let known_era = era_of(catalog.version().upstreams);
    let Some(after) = reached.filter(|reached| era_of(*reached) >= known_era) else {
        return list_store(catalog, source, pacing).await.map(Some);
    };
    let StoreRevision { era, counter } = StoreRevision::unpack(after);
    let time = pacing.next_watch(failed_before);
    let answer = timeout(time.limit, source.watch(counter, time.wait)).await;
    let timed_out = |_| Fault::new(ResultCode::PlatformDown, "the watch timed out");
    let Some(change) = answer.map_err(timed_out)?? else {
        log::info!(
            era = era, after = counter;
            "store has discarded its history: listing all items"
        );
        return Ok(None);
    };
    // The store may have grown past `counter` since its loss, and then answers as if it still had
    // the changes up to there.
    let is_same_era = change.era.is_none_or(|answered| answered == era);
    if !is_same_era || change.revision < counter {
        log::info!(
            era = era, after = counter, listed_era = change.era.unwrap_or(era), at = change.revision;
            "store has lost changes: listing all items"
        );
        return Ok(None);
    }
    let change = change.in_era(era);
    let revision = change.revision;
    catalog.offer_change(change, "store");
    Ok(Some(revision))
}

/// Lists all items of the store and applies them. Returns the revision reached.
async fn list_store<S: CatalogSource>(
    catalog: &Catalog,
    source: &S,
    pacing: WatchPacing,
) -> Result<u64, Fault> {
    let known = StoreRevision::unpack(catalog.version().upstreams);
    let is_first = catalog.version().config == 0;
    let listing = match is_first {
        true => first_listing(source, pacing.first_listing_hedge_delay()).await?,
        false => source.list().await?,
    };
    let era = era_of_listing(&listing, known);
    log::info!(
        era = era, at = listing.revision, known_era = known.era, known = known.counter;
        "store listed"
    );
    if era < known.era {
        let detail = format!("a listing of era {era}, after one of era {}", known.era);
        return Err(Fault::new(ResultCode::PlatformReply, detail));
    }
    metrics::gauge!(STORE_ERA).set(era as f64);
    let listing = listing.in_era(era);
    let revision = listing.revision;
    catalog.offer_listing(listing, "store");
    Ok(revision)
}

/// The era of a listing. A store that does not report it has lost changes if it lists a lower
/// revision than was `known` before the call; losses that it has outgrown by then go unnoticed.
fn era_of_listing(
    listing: &CatalogChange,
    known: StoreRevision,
) -> u64 {
    let has_lost = listing.revision < known.counter;
    listing.era.unwrap_or(known.era + u64::from(has_lost))
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
