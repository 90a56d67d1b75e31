use {
    super::{ConnectionLoad, Phase, Usage},
    std::time::Duration,
};

/// Well-behaved callers send a request within this time, over the network of one site or between
/// sites.
const USUAL_SENDING_TIME: Duration = Duration::from_secs(1);

/// A connection that was used within this time may carry its next request already.
const MIN_IDLE_TIME: Duration = Duration::from_millis(300);

/// The order of classes in which connections are closed. All that wait for their caller may be:
/// those first that keep others out longest for the least. `None` for connections whose caller
/// waits for the router.
pub fn eviction_class(load: &ConnectionLoad) -> Option<u8> {
    match load.phase {
        Phase::Refused => Some(0),
        Phase::Receiving if load.age >= USUAL_SENDING_TIME => Some(1),
        Phase::Idle if load.age >= MIN_IDLE_TIME => Some(2),
        Phase::Receiving => Some(3),
        Phase::Answering if load.waits_for_caller => Some(4),
        Phase::Idle | Phase::Answering => None,
    }
}

/// The connections to close so that nothing is taken beyond the limits, or as much less as is
/// possible. Within a class, those go first whose callers have let the process wait longest.
pub fn choose_evicted(
    loads: impl IntoIterator<Item = ConnectionLoad>,
    excess: Usage,
) -> Vec<ConnectionLoad> {
    let candidates = loads.into_iter();
    let candidates = candidates.filter_map(|load| Some((eviction_class(&load)?, load)));
    let mut candidates: Vec<(u8, ConnectionLoad)> = candidates.collect();
    candidates.sort_by_key(|(class, load)| (*class, std::cmp::Reverse(load.age), load.id));
    let mut left = excess;
    let needed = candidates.into_iter().take_while(|(_, load)| {
        let is_needed = !left.is_none();
        left = left.beyond(load.usage);
        is_needed
    });
    needed.map(|(_, load)| load).collect()
}
