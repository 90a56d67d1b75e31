use {
    super::record::{Arrival, DrainSeen, Record},
    std::time::Duration,
};

/// What reached replicas after they had left.
#[derive(Debug, Default)]
pub struct LateArrivals {
    pub late: Vec<String>, // the broken promises, in words
    pub excused: usize,    // late too, but their router, or the store, was in trouble
    pub in_time: usize,
}

/// Holds each request that reached a leaving replica against the store's word. A router
/// is not held to it while it, or the store, is in trouble, nor for `contact` after.
pub fn late_arrivals(record: &Record) -> LateArrivals {
    let senders = record.senders();
    let mut found = LateArrivals::default();
    for drain in &record.drains {
        for arrival in &drain.arrivals {
            let after = arrival.at.saturating_duration_since(drain.confirmed);
            let sender = senders.get(arrival.id.as_str()).copied();
            if after <= record.fleet.drain {
                found.in_time += 1;
            } else if sender.is_some_and(|router| record.excuses(router, arrival.at)) {
                found.excused += 1;
            } else {
                found.late.push(in_words(drain, arrival, sender, after));
            }
        }
    }
    found
}

fn in_words(
    drain: &DrainSeen,
    arrival: &Arrival,
    sender: Option<usize>,
    after: Duration,
) -> String {
    let sender = sender.map_or("a probe".to_owned(), |router| format!("router {router}"));
    format!(
        "drain: {} got {} of {sender} {} ms after the store had confirmed that it leaves",
        drain.replica,
        arrival.id,
        after.as_millis()
    )
}
