use {
    super::{Catalog, CatalogSource, ReadDuty},
    crate::codes::Fault,
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::time::Instant,
};

/// How often lapsed upstreams are looked at.
const LAPSE_LOOK: Duration = Duration::from_millis(100);

/// How often a process that leaves reading to others looks whether it still does.
const DUTY_LOOK: Duration = Duration::from_millis(100);

/// How often the store is asked.
#[derive(Debug, Clone, Copy)]
pub struct FollowPace {
    pub watch_wait: Duration,  // the longest that a watch waits
    pub pause: Duration,       // between two watches, so that changes come together
    pub retry_pause: Duration, // after a failure, at most; drawn at random below it
}

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
            tokio::time::sleep(DUTY_LOOK).await;
            continue;
        }
        if std::mem::take(&mut left_to_others) {
            reached = told_so_far(&catalog);
            failures = 0;
            answered = Instant::now();
        }
        let begun = Instant::now();
        match step(&catalog, &*source, &pace, reached).await {
            Ok(at) => {
                if failures > 0 {
                    log::info!(failures = failures, silent_ms = millis(answered); "store answers again");
                }
                failures = 0;
                answered = Instant::now();
                duty.went(true);
                reached = at;
                tokio::time::sleep(pace.pause).await;
            }
            Err(error) => {
                failures += 1;
                log::warn!(
                    code = error.code.number(), failures = failures, after = reached.unwrap_or(0),
                    call_ms = millis(begun), silent_ms = millis(answered);
                    "store does not answer: {error}"
                );
                duty.went(false);
                let factor = 0.5 + 0.5 * rand::random::<f64>();
                tokio::time::sleep(pace.retry_pause.mul_f64(factor)).await;
            }
        }
    }
}

/// The revision up to which others told what the store holds; none if they did not
/// tell of both the configuration and the upstreams.
fn told_so_far(catalog: &Catalog) -> Option<u64> {
    let version = catalog.version();
    (version.config > 0 && version.upstreams > 0).then_some(version.upstreams)
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
        tokio::time::sleep(LAPSE_LOOK).await;
    }
}

/// One call. Gives the revision to go on from, or none for a whole reading.
async fn step<S: CatalogSource>(
    catalog: &Catalog,
    source: &S,
    pace: &FollowPace,
    reached: Option<u64>,
) -> Result<Option<u64>, Fault> {
    let Some(after) = reached else {
        let listing = source.list().await?;
        let at = listing.change.at;
        catalog.offer_listing(listing, "store");
        return Ok(Some(at));
    };
    let Some(change) = source.watch(after, pace.watch_wait).await? else {
        log::info!(after = after; "store forgot its history: reading it whole");
        return Ok(None);
    };
    catalog.offer_items(change.items, change.at, "store");
    Ok(Some(change.at.max(after)))
}
