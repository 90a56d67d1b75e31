//! Checks the requests that reached replicas after they had announced that they are leaving,
//! or had asked for a backoff.

use {
    super::record::{Arrival, Notice, NoticeSeen, Record},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Time from the answer that asks for a backoff until the backoff must be respected.
const BACKOFF_DELAY: Duration = Duration::from_millis(500);

/// Requests of one router that may reach a replica during its backoff.
const MAX_DURING_BACKOFF: usize = 2;

/// Returns one text for each router that sent to a replica too long after it had relayed an
/// answer announcing that the replica leaves, or too often during a backoff. Only a restart
/// or suspension of the router since then is an excuse.
pub fn ignored_notices(record: &Record) -> Vec<String> {
    let mut ignored_notices = Vec::new();
    for seen in &record.notices {
        for (router, arrivals) in by_router(record, seen) {
            match seen.notice {
                Notice::Leaving => {
                    ignored_notices.extend(late_after_leaving(record, seen, router, &arrivals))
                }
                Notice::Backoff(backoff) => {
                    ignored_notices.extend(excess_during_backoff(
                        record, seen, router, &arrivals, backoff,
                    ));
                }
            }
        }
    }
    ignored_notices
}

/// Requests that reached a replica from one router, and whether each ran.
type Arrivals<'r> = Vec<&'r (Arrival, bool)>;

fn by_router<'r>(
    record: &Record,
    seen: &'r NoticeSeen,
) -> HashMap<usize, Arrivals<'r>> {
    let mut by_router: HashMap<usize, Arrivals> = HashMap::new();
    for arrival in &seen.arrivals {
        if let Some(router) = record.sender(&arrival.0.id, &seen.replica) {
            by_router.entry(router).or_default().push(arrival);
        }
    }
    by_router
}

fn late_after_leaving(
    record: &Record,
    seen: &NoticeSeen,
    router: usize,
    arrivals: &Arrivals,
) -> Option<String> {
    let ids = seen.arrivals.iter().map(|(arrival, _)| &*arrival.id);
    let ids: HashSet<&str> = ids.collect();
    let answered = record
        .requests
        .iter()
        .filter(|request| ids.contains(&*request.id));
    let relayed = answered.filter(|request| {
        let sender = record.sender(&request.id, &seen.replica);
        let answer = request.answer.as_ref();
        (request.router == router || sender == Some(router))
            && answer
                .is_some_and(|answer| answer.is_complete && answer.header("server-leaving") == "1")
    });
    let known_at = relayed.map(|request| request.ended).min()?;
    let late = arrivals.iter().find(|(arrival, _)| {
        let is_late = arrival.at > known_at + record.fleet.drain;
        is_late && !record.was_interrupted(router, known_at, arrival.at)
    })?;
    Some(format!(
        "leaving: {} got {} of router {router} {} ms after an answer had said that it leaves",
        seen.replica,
        late.0.id,
        (late.0.at - known_at).as_millis()
    ))
}

fn excess_during_backoff(
    record: &Record,
    seen: &NoticeSeen,
    router: usize,
    arrivals: &Arrivals,
    backoff: Duration,
) -> Option<String> {
    let refused = arrivals.iter().filter(|(_, ran)| !ran);
    refused
        .filter_map(|(refusal, _)| {
            let is_during_backoff =
                |at: Instant| at > refusal.at + BACKOFF_DELAY && at < refusal.at + backoff;
            let within = arrivals.iter().filter(|(arrival, _)| {
                is_during_backoff(arrival.at)
                    && !record.was_interrupted(router, refusal.at, arrival.at)
            });
            let count = within.count();
            (count > MAX_DURING_BACKOFF).then(|| {
                format!(
                    "rest: {} got {count} requests of router {router} in a rest of {} ms",
                    seen.replica,
                    backoff.as_millis()
                )
            })
        })
        .next()
}
