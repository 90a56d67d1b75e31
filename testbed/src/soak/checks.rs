//! The promises, held against what callers and replicas saw.

use {
    super::{
        attempt::{Attempt, Kind},
        drain_check::late_arrivals,
        fault_span::FaultSpan,
        notice_check::unheeded,
        record::Record,
        replica_slot::{EVENTS, PLAIN_BODY},
        zone_check::{emptied, overrun},
    },
    crate::direct::{ClientAnswer, event},
    archmast::codes::ResultCode,
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
};

/// Within this time of its confirmation, or of the end of what hid the store, a
/// configuration is in force: twice the routers' [catalog] apply, since the machine's
/// other work takes its time too.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Statuses that say that a request did not run and never will.
const NOT_RUN: &[u16] = &[408, 421, 429, 503];

/// Each broken promise, in words.
pub fn broken(record: &Record) -> Vec<String> {
    let attempts = record.attempts.iter();
    let mut broken: Vec<String> = attempts
        .flat_map(|attempt| broken_by(record, attempt))
        .collect();
    broken.extend(unasked(record));
    broken.extend(late_arrivals(record).late);
    broken.extend(unheeded(record));
    broken.extend(emptied(record));
    broken.extend(overrun(record));
    broken.extend(outdated(record));
    broken.extend(
        record
            .unserved
            .iter()
            .map(|what| format!("recover: {what}")),
    );
    broken
}

fn broken_by(
    record: &Record,
    attempt: &Attempt,
) -> Vec<String> {
    let id = &attempt.id;
    let none = Vec::new();
    let runs = record.runs.get(id).unwrap_or(&none);
    let mut broken = Vec::new();
    if attempt.kind == Kind::Charge && runs.len() > 1 {
        broken.push(format!("twice: {id} ran {} times", runs.len()));
    }
    if runs
        .iter()
        .any(|service| *service != attempt.kind.service())
    {
        broken.push(format!("route: {id} ran at {runs:?}"));
    }
    let refused = attempt
        .status()
        .is_some_and(|status| NOT_RUN.contains(&status));
    if refused && !runs.is_empty() {
        broken.push(format!("refused: {id} got {:?} and ran", attempt.status()));
    }
    if let Some(why) = mixed(attempt) {
        broken.push(format!("mixed: {id} {why}"));
    }
    if let Some(why) = lost(record, attempt, !runs.is_empty()) {
        broken.push(format!("lost: {id} at router {} {why}", attempt.router));
    }
    broken
}

/// A success must be the replica's whole answer to this very request.
fn mixed(attempt: &Attempt) -> Option<String> {
    let answer = attempt.answer.as_ref()?;
    if answer.status != 200 || !answer.is_complete {
        return None;
    }
    if answer.header("archmast-attempt-id") != attempt.id {
        let other = answer.header("archmast-attempt-id");
        return Some(format!("got the answer to {other:?}"));
    }
    if answer.header("archmast-replica-signature").is_empty() {
        return Some("got a success without a signature".to_owned());
    }
    let expected = match attempt.kind {
        Kind::Events => (1..=EVENTS).map(event).collect(),
        Kind::Read | Kind::Charge => PLAIN_BODY.to_owned(),
    };
    (answer.text() != expected).then(|| format!("got {:?}", answer.text()))
}

/// Where nothing but planned work was going on, every request is served, or
/// refused by a router that stops.
fn lost(
    record: &Record,
    attempt: &Attempt,
    ran: bool,
) -> Option<String> {
    let touching = |span: &&FaultSpan| span.touches(attempt.sent, attempt.ended);
    let mut around = record.spans.iter().filter(touching);
    if around.any(|span| !span.fault.is_planned()) {
        return None;
    }
    let Some(answer) = &attempt.answer else {
        return Some("got no answer in calm".to_owned());
    };
    if is_starved(record, attempt, answer) {
        return None;
    }
    let served = answer.status == 200 && answer.is_complete;
    let crossed = answer.status == 0 && !ran;
    let refused = NOT_RUN.contains(&answer.status);
    let calm = !record.spans.iter().any(|span| touching(&span));
    let fine = served || (!calm && (crossed || refused));
    (!fine).then(|| {
        format!(
            "got {} (code {:?}, whole: {}) with ran = {ran}",
            answer.status,
            answer.code(),
            answer.is_complete
        )
    })
}

/// Requests that routers refused for want of processor while the machine gave them none.
pub fn starved_refusals(record: &Record) -> usize {
    let attempts = record.attempts.iter();
    let answered = attempts.filter_map(|attempt| Some((attempt, attempt.answer.as_ref()?)));
    let starved = answered.filter(|(attempt, answer)| is_starved(record, attempt, answer));
    starved.count()
}

/// Whether a router refused for want of processor, and the machine gave it none: that it
/// does so then is what it promises.
fn is_starved(
    record: &Record,
    attempt: &Attempt,
    answer: &ClientAnswer,
) -> bool {
    let is_busy = answer.code() == Some(ResultCode::RouterBusy.number().into());
    is_busy
        && record
            .starvation
            .explains_refusal(attempt.router, attempt.ended)
}

fn unasked(record: &Record) -> Vec<String> {
    let known: HashSet<&str> = record.attempts.iter().map(|a| a.id.as_str()).collect();
    let runs = record.runs.keys();
    runs.filter(|id| !known.contains(id.as_str()) && !id.starts_with("probe"))
        .map(|id| format!("unasked: {id:?} ran, and nobody sent it"))
        .collect()
}

/// A confirmed configuration is in force in time, counted from the end of what kept a
/// router from hearing of it.
fn outdated(record: &Record) -> Vec<String> {
    let mut outdated = Vec::new();
    for change in &record.changes {
        let until = change.served;
        let hiding = |span: &&FaultSpan| {
            let hides = span.fault.hides_the_store_from(change.router);
            hides && until.is_none_or(|until| span.began <= until)
        };
        let ends = record.spans.iter().filter(hiding).map(|span| span.ended);
        let due = ends.fold(change.confirmed, Instant::max) + IN_FORCE;
        if until.is_none_or(|until| until > due) {
            let took = until.map(|until| until - change.confirmed);
            outdated.push(format!(
                "config: version {} was in force at router {} after {took:?}",
                change.version, change.router
            ));
        }
    }
    outdated
}
