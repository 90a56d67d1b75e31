//! What reached replicas of emptied zones, and replicas that had just started.

use {
    super::record::{Arrival, Record, ReplicaSeen},
    std::time::{Duration, Instant},
};

/// The span over which requests to a replica that has just started are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Each request that reached an emptied zone later than allowed, in words. A router is not
/// held to it while it, or the store, is in trouble, nor for `contact` after.
pub fn emptied(record: &Record) -> Vec<String> {
    let mut late = Vec::new();
    let senders = record.senders();
    for cordon in &record.cordons {
        let from = cordon.confirmed + record.fleet.evacuate;
        let there = record
            .replicas
            .iter()
            .filter(|seen| seen.zone == cordon.zone);
        for (replica, arrival) in arrivals(there) {
            let is_late = arrival.at > from && arrival.at < cordon.taken_back;
            if !is_late {
                continue;
            }
            let sender = senders.get(&*arrival.id).copied();
            let excused = sender.is_some_and(|router| record.excuses(router, arrival.at));
            if !excused {
                let after = (arrival.at - cordon.confirmed).as_millis();
                late.push(format!(
                    "cordon: {replica} got {} of {sender:?} {after} ms after its zone {} was emptied",
                    arrival.id, cordon.zone
                ));
            }
        }
    }
    late
}

/// Each replica that got more than it bears in some second of its start, in words, but for
/// what routers sent that ran as the other build. Nothing else excuses it. Requests that left in one second may be read in a shorter one by as much as
/// the harness is late.
pub fn overrun(record: &Record) -> Vec<String> {
    let span = SECOND.saturating_sub(record.lateness);
    let mut overrun = Vec::new();
    let senders = record.senders();
    for start in &record.starts {
        let seen = record
            .replicas
            .iter()
            .filter(|seen| seen.id == start.replica);
        let mut at: Vec<Instant> = arrivals(seen)
            .filter(|(_, arrival)| (start.from..start.until).contains(&arrival.at))
            .filter(|(_, arrival)| {
                let sender = senders.get(&*arrival.id).copied();
                !record.was_other_build(sender, arrival.at)
            })
            .map(|(_, arrival)| arrival.at)
            .collect();
        at.sort();
        let most = (0..at.len()).map(|last| {
            let within = |other: &&Instant| at[last] - **other < span;
            at[..=last].iter().filter(within).count()
        });
        let most = most.max().unwrap_or(0);
        if most > record.fleet.slow_per_second {
            overrun.push(format!(
                "start: {} got {most} requests in a second, and bears {}",
                start.replica, record.fleet.slow_per_second
            ));
        }
    }
    overrun
}

fn arrivals<'r>(
    replicas: impl Iterator<Item = &'r ReplicaSeen>
) -> impl Iterator<Item = (&'r str, &'r Arrival)> {
    replicas.flat_map(|seen| seen.arrivals.iter().map(|arrival| (&*seen.id, arrival)))
}
