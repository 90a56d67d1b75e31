//! Checks what callers and replicas observed against the documented guarantees.

use {
    super::{
        caller_request::{CallerRequest, RequestKind},
        drain_check::late_arrivals,
        fault_span::FaultSpan,
        given_up_check::{given_up_requests, lasted_to_deadline},
        notice_check::ignored_notices,
        record::Record,
        replica_slot::{EVENTS_PER_STREAM, PLAIN_BODY},
        version_check::broken_streams,
        zone_check::{cordoned_zone_arrivals, slow_start_excess},
    },
    crate::direct::{ClientAnswer, event_of_version},
    archmast::codes::ResultCode,
    std::{
        collections::HashSet,
        iter::repeat,
        time::{Duration, Instant},
    },
};

/// Time within which a configuration must be in force after the store confirmed it, or after
/// the end of a fault that hid the store. Twice the routers' setting `[catalog] apply`, since
/// the test machine runs other work as well.
const CONFIG_APPLY_LIMIT: Duration = Duration::from_secs(4);

/// Statuses that tell a caller that its request did not run and never will.
pub(super) const NOT_RUN_STATUSES: &[u16] = &[408, 421, 429, 503];

/// Returns one text for each guarantee that did not hold.
pub fn violations(record: &Record) -> Vec<String> {
    let requests = record.requests.iter();
    let mut violations: Vec<String> = requests
        .flat_map(|request| request_violations(record, request))
        .collect();
    let in_calm: HashSet<String> = violations.iter().filter_map(|text| lost_id(text)).collect();
    let given_up = given_up_requests(record).into_iter();
    violations
        .extend(given_up.filter(|text| lost_id(text).is_none_or(|id| !in_calm.contains(&id))));
    violations.extend(unsent_requests(record));
    violations.extend(late_arrivals(record).late);
    violations.extend(ignored_notices(record));
    violations.extend(cordoned_zone_arrivals(record));
    violations.extend(slow_start_excess(record));
    violations.extend(late_configurations(record));
    violations.extend(broken_streams(record));
    violations.extend(
        record
            .unserved
            .iter()
            .map(|what| format!("recover: {what}")),
    );
    violations
}

/// Id of the request that a text calls lost.
fn lost_id(text: &str) -> Option<String> {
    let id = text.strip_prefix("lost: ")?.split(' ').next()?;
    Some(id.to_owned())
}

fn request_violations(
    record: &Record,
    request: &CallerRequest,
) -> Vec<String> {
    let id = &request.id;
    let none = Vec::new();
    let runs = record.runs.get(id).unwrap_or(&none);
    let mut violations = Vec::new();
    if request.kind == RequestKind::Charge && runs.len() > 1 {
        violations.push(format!("twice: {id} ran {} times", runs.len()));
    }
    if runs
        .iter()
        .any(|service| *service != request.kind.service())
    {
        violations.push(format!("route: {id} ran at {runs:?}"));
    }
    let refused = request
        .status()
        .is_some_and(|status| NOT_RUN_STATUSES.contains(&status));
    if refused && !runs.is_empty() {
        violations.push(format!("refused: {id} got {:?} and ran", request.status()));
    }
    if let Some(why) = wrong_answer(request) {
        violations.push(format!("mixed: {id} {why}"));
    }
    if let Some(why) = lost_request(record, request, !runs.is_empty()) {
        violations.push(format!("lost: {id} at router {} {why}", request.router));
    }
    violations
}

/// Returns what is wrong with a success: it must be the replica's complete answer to this
/// very request.
fn wrong_answer(request: &CallerRequest) -> Option<String> {
    let answer = request.answer.as_ref()?;
    if answer.status != 200 || !answer.is_complete {
        return None;
    }
    if answer.header("archmast-attempt-id") != request.id {
        let other = answer.header("archmast-attempt-id");
        return Some(format!("got the answer to {other:?}"));
    }
    if answer.header("archmast-replica-signature").is_empty() {
        return Some("got a success without a signature".to_owned());
    }
    let expected = match request.kind {
        RequestKind::Events => expected_events(request),
        RequestKind::Read | RequestKind::Charge => PLAIN_BODY.to_owned(),
    };
    (answer.text() != expected).then(|| format!("got {:?}", answer.text()))
}

/// The rest of the stream. Which versions made the events is checked with the whole stream.
fn expected_events(request: &CallerRequest) -> String {
    let pieces = request.pieces().into_iter();
    let versions = pieces.map(|piece| piece.version).chain(repeat(None));
    let numbers = request.last_event_before() + 1..=EVENTS_PER_STREAM;
    numbers
        .zip(versions)
        .map(|(number, version)| event_of_version(number, version.as_deref()))
        .collect()
}

/// Returns how a request was lost. While nothing but planned work and pauses of sound replicas
/// went on, every request must be served, or refused by a router that stops.
fn lost_request(
    record: &Record,
    request: &CallerRequest,
    ran: bool,
) -> Option<String> {
    let affecting = |span: &&FaultSpan| span.affects(request.sent, request.ended);
    let mut around = record.spans.iter().filter(affecting);
    if around.any(|span| !span.fault.is_planned() && !span.fault.is_pause()) {
        return None;
    }
    let mut pauses = record.spans.iter().filter(affecting);
    if pauses.any(|span| span.fault.is_pause()) && lasted_to_deadline(request) {
        return None;
    }
    let Some(answer) = &request.answer else {
        return Some("got no answer in calm".to_owned());
    };
    if is_starved(record, request, answer) {
        return None;
    }
    let served = answer.status == 200 && answer.is_complete;
    let closed_unread = answer.status == 0 && !ran;
    let refused = NOT_RUN_STATUSES.contains(&answer.status);
    let no_fault_active = !record.spans.iter().any(|span| affecting(&span));
    // Whether streams that are taken up go on is checked with all of them together.
    if refused && !ran && request.resumes.is_some() {
        return None;
    }
    let is_allowed = served || (!no_fault_active && (closed_unread || refused));
    (!is_allowed).then(|| {
        format!(
            "got {} (code {:?}, whole: {}) with ran = {ran}",
            answer.status,
            answer.code(),
            answer.is_complete
        )
    })
}

/// Number of requests that routers refused for lack of processor while the machine gave them
/// none.
pub fn starved_refusals(record: &Record) -> usize {
    let requests = record.requests.iter();
    let answered = requests.filter_map(|request| Some((request, request.answer.as_ref()?)));
    let starved = answered.filter(|(request, answer)| is_starved(record, request, answer));
    starved.count()
}

/// Whether a router refused for lack of processor while the machine gave it none. Such a
/// refusal breaks no guarantee.
fn is_starved(
    record: &Record,
    request: &CallerRequest,
    answer: &ClientAnswer,
) -> bool {
    let is_busy = answer.code() == Some(ResultCode::RouterBusy.number().into());
    is_busy
        && record
            .starvation
            .explains_refusal(request.router, request.ended)
}

fn unsent_requests(record: &Record) -> Vec<String> {
    let known: HashSet<&str> = record
        .requests
        .iter()
        .map(|request| request.id.as_str())
        .collect();
    let runs = record.runs.keys();
    runs.filter(|id| !known.contains(id.as_str()) && !id.starts_with("probe"))
        .map(|id| format!("unasked: {id:?} ran, and nobody sent it"))
        .collect()
}

/// Configurations that came into force too late, counted from the end of the faults that hid
/// the store from the router.
fn late_configurations(record: &Record) -> Vec<String> {
    let mut late_configurations = Vec::new();
    for change in &record.changes {
        let served = change.served;
        let hiding = |span: &&FaultSpan| {
            let hides = span.fault.hides_the_store_from(change.router);
            hides && served.is_none_or(|served| span.began <= served)
        };
        let ends = record.spans.iter().filter(hiding).map(|span| span.ended);
        let due = ends.fold(change.confirmed, Instant::max) + CONFIG_APPLY_LIMIT;
        if served.is_none_or(|served| served > due) {
            let took = served.map(|served| served - change.confirmed);
            late_configurations.push(format!(
                "config: version {} was in force at router {} after {took:?}",
                change.version, change.router
            ));
        }
    }
    late_configurations
}
