//! Checks each request that ended without a whole answer or a refusal: its router, its replicas or
//! the links between them must have had trouble.

use {
    super::{
        caller_request::CallerRequest, checks::NOT_RUN_STATUSES, fault_span::FaultSpan,
        record::Record, replica_slot::slot_of,
    },
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// A request that lasted until this long before its deadline was not given up early.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// The routers that sent a request, and the replicas' slots.
#[derive(Debug, Default)]
struct Route {
    routers: HashSet<usize>,
    slots: HashSet<usize>,
}

/// Returns one text for each request that routers gave up, while nothing but planned work, pauses
/// of sound replicas and faults elsewhere went on.
pub fn given_up_requests(record: &Record) -> Vec<String> {
    let mut routes: HashMap<&str, Route> = HashMap::new();
    for ((request, replica), router) in &record.sent {
        let route = routes.entry(request).or_default();
        route.routers.insert(*router);
        route.slots.extend(slot_of(replica));
    }
    for replica in &record.replicas {
        for arrival in &replica.arrivals {
            let route = routes.entry(&arrival.id).or_default();
            route.slots.extend(slot_of(&replica.id));
        }
    }
    let requests = record.requests.iter();
    let given_up = requests.filter_map(|request| {
        let route = routes.get(&*request.id)?;
        let why = how_it_ended(request, record)?;
        let spans = record.spans.iter();
        let mut around = spans.filter(|span| span.affects(request.sent, request.ended));
        let is_excused = around.any(|span| is_trouble(record, span, request, route));
        (!is_excused).then(|| {
            let slots = &route.slots;
            format!(
                "lost: {} at router {} {why}, sent to replicas of {slots:?}",
                request.id, request.router
            )
        })
    });
    let mut given_up: Vec<String> = given_up.collect();
    given_up.sort();
    given_up
}

/// Whether a request ended because the time of its caller was over. One that was still held after
/// that did not.
pub(super) fn lasted_to_deadline(request: &CallerRequest) -> bool {
    let took = request.ended.saturating_duration_since(request.sent);
    request.answer.is_some() && took + DEADLINE_MARGIN >= request.deadline
}

/// How a request ended that reached a replica, unless it was answered, refused or out of time.
fn how_it_ended(
    request: &CallerRequest,
    record: &Record,
) -> Option<String> {
    if lasted_to_deadline(request) {
        return None;
    }
    let took = request.ended.saturating_duration_since(request.sent);
    let Some(answer) = &request.answer else {
        return Some(format!("got no answer after {} ms", took.as_millis()));
    };
    let ran = record.runs.contains_key(&request.id);
    let is_refused = NOT_RUN_STATUSES.contains(&answer.status) && !ran;
    if answer.is_whole_success() || is_refused {
        return None;
    }
    Some(format!(
        "got {} (code {:?}, whole: {}) after {} ms",
        answer.status,
        answer.code(),
        answer.is_complete,
        took.as_millis()
    ))
}

/// Whether a fault explains that this request got no whole answer.
fn is_trouble(
    record: &Record,
    span: &FaultSpan,
    request: &CallerRequest,
    route: &Route,
) -> bool {
    let fault = &span.fault;
    if fault.breaks_callers_of(request.router) {
        return true;
    }
    // What a killed router logged last is lost, so that any may have sent it on.
    let unknown = match route.routers.is_empty() {
        true => 0..record.fleet.routers(),
        false => 0..0,
    };
    let known = route.routers.iter().copied().chain([request.router]);
    let mut routers = known.chain(unknown);
    if !fault.is_planned() && routers.any(|router| fault.interrupts(router)) {
        return true;
    }
    // A router that could not hear that a replica leaves uses it until it is gone.
    let could_not_hear = || {
        let mut routers = route.routers.iter();
        routers.any(|router| record.was_store_hidden(*router, request.ended))
    };
    route.slots.iter().any(|slot| fault.disturbs_replica(*slot))
        && (!fault.is_planned() || could_not_hear())
}
