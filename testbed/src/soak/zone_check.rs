//! Checks the requests that reached replicas of cordoned zones, and replicas in their slow
//! start.

use {
    super::record::{Arrival, Record, ReplicaSeen},
    std::time::{Duration, Instant},
};

/// Window in which requests to a replica in its slow start are counted.
const COUNTING_SPAN: Duration = Duration::from_secs(1);

/// Returns one text for each request that reached a cordoned zone later than allowed. A
/// router is excused while a fault interrupts it or hides the store from it, and for the
/// setting `contact` afterwards.
pub fn cordoned_zone_arrivals(record: &Record) -> Vec<String> {
    let mut late = Vec::new();
    let senders = record.senders();
    for cordon in &record.cordons {
        let from = cordon.confirmed + record.fleet.evacuate;
        let in_zone = record
            .replicas
            .iter()
            .filter(|seen| seen.zone == cordon.zone);
        for (replica, arrival) in arrivals(in_zone) {
            let is_late = arrival.at > from && arrival.at < cordon.uncordoned;
            if !is_late {
                continue;
            }
            let sender = senders.get(&*arrival.id).copied();
            let excused = sender.is_some_and(|router| record.was_store_hidden(router, arrival.at));
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

/// Returns one text for each replica that received more than its limit in some second of its
/// slow start. Only requests of routers that ran the other build are excused. The window is
/// shortened by the lateness of the harness, since requests that were sent within a second
/// may be read within a shorter time.
pub fn slow_start_excess(record: &Record) -> Vec<String> {
    let span = COUNTING_SPAN.saturating_sub(record.lateness);
    let mut slow_start_excess = Vec::new();
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
        let peak = (0..at.len()).map(|last| {
            let within = |other: &&Instant| at[last] - **other < span;
            at[..=last].iter().filter(within).count()
        });
        let peak = peak.max().unwrap_or(0);
        if peak > record.fleet.slow_per_second {
            slow_start_excess.push(format!(
                "start: {} got {peak} requests in a second, and bears {}",
                start.replica, record.fleet.slow_per_second
            ));
        }
    }
    slow_start_excess
}

fn arrivals<'r>(
    replicas: impl Iterator<Item = &'r ReplicaSeen>
) -> impl Iterator<Item = (&'r str, &'r Arrival)> {
    replicas.flat_map(|seen| seen.arrivals.iter().map(|arrival| (&*seen.id, arrival)))
}
