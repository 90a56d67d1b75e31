use {
    super::record::{Arrival, DrainSeen, Record},
    std::time::Duration,
};

/// Requests that reached replicas after the store had confirmed that they leave.
#[derive(Debug, Default)]
pub struct LateArrivals {
    pub late: Vec<String>, // not allowed, one text each
    pub excused: usize,    // late too, but a fault had hidden the store from their router
    pub in_time: usize,
}

/// Classifies each request that reached a leaving replica by its time since the store's
/// confirmation. A router is excused while a fault interrupts it or hides the store from it,
/// and for the setting `contact` afterwards.
pub fn late_arrivals(record: &Record) -> LateArrivals {
    let senders = record.senders();
    let mut found = LateArrivals::default();
    for drain in &record.drains {
        for arrival in &drain.arrivals {
            let after = arrival.at.saturating_duration_since(drain.confirmed);
            let sender = senders.get(arrival.id.as_str()).copied();
            if after <= record.fleet.drain {
                found.in_time += 1;
            } else if sender.is_some_and(|router| record.was_store_hidden(router, arrival.at)) {
                found.excused += 1;
            } else {
                found.late.push(describe(drain, arrival, sender, after));
            }
        }
    }
    found
}

fn describe(
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
