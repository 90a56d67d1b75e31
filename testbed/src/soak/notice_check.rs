//! What reached replicas after they had said that they leave, or had asked for rest.

use {
    super::record::{Arrival, Notice, NoticeSeen, Record},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// From the answer that asks for rest until it binds.
const REST_BEGINS: Duration = Duration::from_millis(500);

/// Requests that may reach a replica in a rest.
const MOST_IN_REST: usize = 2;

/// Each router that sent to a replica too long after it had passed on an answer that says
/// that it leaves, or too often in a rest, in words. A restart or standstill of the router
/// since then excuses it, and nothing else does.
pub fn unheeded(record: &Record) -> Vec<String> {
    let mut unheeded = Vec::new();
    for seen in &record.notices {
        for (router, arrivals) in by_router(record, seen) {
            match seen.notice {
                Notice::Leaves => unheeded.extend(after_leaving(record, seen, router, &arrivals)),
                Notice::Rests(rest) => {
                    unheeded.extend(in_rest(record, seen, router, &arrivals, rest));
                }
            }
        }
    }
    unheeded
}

/// What reached a replica from one router, and whether it ran.
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

fn after_leaving(
    record: &Record,
    seen: &NoticeSeen,
    router: usize,
    arrivals: &Arrivals,
) -> Option<String> {
    let ids = seen.arrivals.iter().map(|(arrival, _)| &*arrival.id);
    let ids: HashSet<&str> = ids.collect();
    let answered = record
        .attempts
        .iter()
        .filter(|attempt| ids.contains(&*attempt.id));
    let passed_on = answered.filter(|attempt| {
        let sender = record.sender(&attempt.id, &seen.replica);
        let answer = attempt.answer.as_ref();
        (attempt.router == router || sender == Some(router))
            && answer
                .is_some_and(|answer| answer.is_complete && answer.header("server-leaving") == "1")
    });
    let told = passed_on.map(|attempt| attempt.ended).min()?;
    let late = arrivals.iter().find(|(arrival, _)| {
        let is_late = arrival.at > told + record.fleet.drain;
        is_late && !record.starts_anew(router, told, arrival.at)
    })?;
    Some(format!(
        "leaving: {} got {} of router {router} {} ms after an answer had said that it leaves",
        seen.replica,
        late.0.id,
        (late.0.at - told).as_millis()
    ))
}

fn in_rest(
    record: &Record,
    seen: &NoticeSeen,
    router: usize,
    arrivals: &Arrivals,
    rest: Duration,
) -> Option<String> {
    let turned_away = arrivals.iter().filter(|(_, ran)| !ran);
    turned_away
        .filter_map(|(asked, _)| {
            let binds = |at: Instant| at > asked.at + REST_BEGINS && at < asked.at + rest;
            let within = arrivals.iter().filter(|(arrival, _)| {
                binds(arrival.at) && !record.starts_anew(router, asked.at, arrival.at)
            });
            let count = within.count();
            (count > MOST_IN_REST).then(|| {
                format!(
                    "rest: {} got {count} requests of router {router} in a rest of {} ms",
                    seen.replica,
                    rest.as_millis()
                )
            })
        })
        .next()
}
