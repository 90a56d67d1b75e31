use {
    super::{Catalog, CatalogChange, CatalogSource, FollowPace, ReadDuty},
    crate::codes::{Fault, ResultCode},
    futures::{StreamExt, stream::FuturesUnordered},
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// How often lapsed upstreams are looked at.
const LAPSE_LOOK: Duration = Duration::from_millis(100);

/// How often a process that leaves reading to others looks whether it still does.
const DUTY_LOOK: Duration = Duration::from_millis(100);

/// Follows the store for as long as the process lives: a whole reading first,
/// then watches, and a whole reading again when history is gone. While reading is
/// not this process's duty, others tell it, and it goes on from what they told.
pub async fn follow_source<S: CatalogSource, D: ReadDuty>(
    catalog: Arc<Catalog>,
    source: Arc<S>,
    duty: Arc<D>,
    pace: FollowPace,
) {
    tokio::spawn(drop_lapsed(Arc::downgrade(&catalog)));
    let mut reached = None;
    let mut failures = 0u32;
    let mut answered = Instant::now();
    let mut left_to_others = true;
    loop {
        if !duty.is_mine() {
            left_to_others = true;
            sleep(DUTY_LOOK).await;
            continue;
        }
        if std::mem::take(&mut left_to_others) {
            reached = told_so_far(&catalog);
            failures = 0;
            answered = Instant::now();
        }
        let begun = Instant::now();
        match step(&catalog, &*source, pace, failures > 0, reached).await {
            Ok(at) => {
                if failures > 0 {
                    log::info!(failures = failures, silent_ms = millis(answered); "store answers again");
                }
                failures = 0;
                answered = Instant::now();
                duty.went(true);
                reached = at;
                sleep(pace.pause).await;
            }
            Err(error) => {
                failures += 1;
                log::warn!(
                    code = error.code.number(), failures = failures, after = reached.unwrap_or(0),
                    call_ms = millis(begun), silent_ms = millis(answered);
                    "store does not answer: {error}"
                );
                duty.went(false);
                sleep(pace.pause_after_failure(begun.elapsed(), rand::random())).await;
            }
        }
    }
}

/// The revision up to which others told what the store holds; none if they did not
/// tell of all: the configuration, the upstreams and the cordons.
fn told_so_far(catalog: &Catalog) -> Option<u64> {
    let version = catalog.version();
    let at = version.upstreams.min(catalog.cordons_at());
    (version.config > 0 && at > 0).then_some(at)
}

/// Milliseconds since a moment.
fn millis(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// Takes lapsed upstreams as gone in time, for as long as the catalog lives.
async fn drop_lapsed(catalog: Weak<Catalog>) {
    while let Some(catalog) = catalog.upgrade() {
        catalog.drop_lapsed();
        drop(catalog);
        sleep(LAPSE_LOOK).await;
    }
}

/// One call. Gives the revision to go on from, or none for a whole reading.
async fn step<S: CatalogSource>(
    catalog: &Catalog,
    source: &S,
    pace: FollowPace,
    failed_before: bool,
    reached: Option<u64>,
) -> Result<Option<u64>, Fault> {
    let Some(after) = reached else {
        let knows_nothing = catalog.version().config == 0;
        let listing = match knows_nothing {
            true => first_listing(source, pace.first_again()).await?,
            false => source.list().await?,
        };
        let at = listing.at;
        catalog.offer_listing(listing, "store");
        return Ok(Some(at));
    };
    let time = pace.next_watch(failed_before);
    let asked = timeout(time.limit, source.watch(after, time.wait)).await;
    let lost = |_| Fault::new(ResultCode::PlatformDown, "no answer in time");
    let Some(change) = asked.map_err(lost)?? else {
        log::info!(after = after; "store forgot its history: reading it whole");
        return Ok(None);
    };
    let at = change.at.max(after);
    catalog.offer_change(change, "store");
    Ok(Some(at))
}

/// Reads everything for a process that can serve nobody before: while a call is not answered
/// others are begun beside it, and whichever ends first counts. One that is sent into a
/// silence is not answered when the store speaks again.
async fn first_listing<S: CatalogSource>(
    source: &S,
    again: Duration,
) -> Result<CatalogChange, Fault> {
    let mut calls = FuturesUnordered::from_iter([source.list()]);
    loop {
        match timeout(again, calls.next()).await {
            Ok(Some(ended)) => return ended,
            Ok(None) | Err(_) => calls.push(source.list()),
        }
    }
}
