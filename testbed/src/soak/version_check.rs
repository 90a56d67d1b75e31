//! Checks the streams of events over all tries of their callers: events in order, all of one
//! software version, and enough of those that are taken up go on.

use {
    super::{
        caller_request::{CallerRequest, RequestKind},
        fault::Fault,
        record::Record,
        replica_slot::EVENTS_PER_STREAM,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        time::{Duration, Instant},
    },
};

/// Streams of which the events may be of several versions in a run.
const MAX_MIXED_STREAMS: usize = 2;

/// Streams taken up in a run from which on the share that goes on counts.
const MIN_TAKEN_UP: usize = 12;

/// A replica serves from this long after it was listed.
const SERVING_DELAY: Duration = Duration::from_secs(1);

/// A stream is expected to go on while this many replicas of its version serve.
const MIN_REPLICAS: usize = 2;

/// What became of the streams of a run.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct StreamCounts {
    pub taken_up: usize, // requests that go on with a stream that broke
    pub refused: usize,  // of those, with status 503
    pub expected: usize, // breaks of streams that should have gone on, see `broken_streams`
    pub went_on: usize,  // of those, after which the stream went on at its version
    pub new: usize,      // requests for new streams at undisturbed routers
    pub begun: usize,    // of those, with an event
    pub mixed: usize,    // streams with events of several versions
}

impl fmt::Display for StreamCounts {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        if self.taken_up == 0 {
            return Ok(());
        }
        write!(
            f,
            ", {} of {} streams begun, {} taken up ({} refused), {} of {} expected went on, \
             {} of several versions",
            self.begun,
            self.new,
            self.taken_up,
            self.refused,
            self.went_on,
            self.expected,
            self.mixed
        )
    }
}

/// Returns one text for each cut answer whose events have gaps or repetitions, for more streams of
/// several versions than allowed, and for too few streams that go on. One should go on if it is
/// taken up at an undisturbed router that may know it, while replicas of its version serve.
pub fn broken_streams(record: &Record) -> Vec<String> {
    let mut broken: Vec<String> = event_requests(record).filter_map(disordered).collect();
    let mixed = mixed_streams(record);
    if mixed.len() > MAX_MIXED_STREAMS {
        broken.extend(mixed.into_iter().map(|(stream, versions)| {
            format!("order: {stream} got events of the versions {versions:?}")
        }));
    }
    let counts = stream_counts(record);
    let share_of_taken_up = counts.went_on as f64 / counts.expected.max(1) as f64;
    let share_of_new = counts.begun as f64 / counts.new.max(1) as f64;
    if counts.expected >= MIN_TAKEN_UP && share_of_taken_up < share_of_new / 2.0 {
        broken.push(format!(
            "lost: {} of {} streams taken up went on, and {} of {} new ones began",
            counts.went_on, counts.expected, counts.begun, counts.new
        ));
    }
    broken
}

/// Counts the streams of a run and the requests that take them up.
pub fn stream_counts(record: &Record) -> StreamCounts {
    let versions = versions_of_streams(record);
    let mut counts = StreamCounts {
        mixed: mixed_streams(record).len(),
        ..StreamCounts::default()
    };
    let mut breaks: BTreeMap<(&str, u32), bool> = BTreeMap::new(); // whether the stream went on
    for request in event_requests(record) {
        let is_undisturbed = !was_disturbed(record, request);
        let pieces = request.pieces();
        if request.resumes.is_none() {
            counts.new += usize::from(is_undisturbed);
            counts.begun += usize::from(is_undisturbed && !pieces.is_empty());
            continue;
        }
        counts.taken_up += 1;
        counts.refused += usize::from(request.status() == Some(503));
        let Some(version) = versions.get(request.stream()).and_then(|seen| seen.first()) else {
            continue;
        };
        if is_undisturbed
            && !was_forgotten(record, request)
            && serving(record, version, request) >= MIN_REPLICAS
        {
            let first = pieces.first().and_then(|piece| piece.version.as_deref());
            let stream_break = (request.stream(), request.last_event_before());
            *breaks.entry(stream_break).or_default() |= first == Some(version);
        }
    }
    counts.expected = breaks.len();
    counts.went_on = breaks.into_values().filter(|went_on| *went_on).count();
    counts
}

fn event_requests(record: &Record) -> impl Iterator<Item = &CallerRequest> {
    let requests = record.requests.iter();
    requests.filter(|request| request.kind == RequestKind::Events)
}

/// Returns what is wrong with the events of an answer that is cut. Complete ones are compared in
/// full with what the replica sent.
fn disordered(request: &CallerRequest) -> Option<String> {
    if request.answer.as_ref()?.is_complete {
        return None;
    }
    let numbers: Vec<u32> = request.pieces().iter().map(|piece| piece.number).collect();
    let last = request.last_event_before();
    let is_in_order = numbers
        .iter()
        .copied()
        .eq(last + 1..=last + numbers.len() as u32);
    let is_sound = is_in_order && numbers.last().is_none_or(|last| *last <= EVENTS_PER_STREAM);
    (!is_sound).then(|| {
        format!(
            "order: {} got the events {numbers:?} after event {last}",
            request.id
        )
    })
}

/// The versions that made each stream's events, in the order in which its caller got them.
fn versions_of_streams(record: &Record) -> BTreeMap<&str, Vec<String>> {
    let mut tries: Vec<&CallerRequest> = event_requests(record).collect();
    tries.sort_by_key(|request| request.sent);
    let mut streams: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for request in tries {
        let versions = request
            .pieces()
            .into_iter()
            .filter_map(|piece| piece.version);
        streams
            .entry(request.stream())
            .or_default()
            .extend(versions);
    }
    streams
}

fn mixed_streams(record: &Record) -> Vec<(&str, BTreeSet<String>)> {
    let streams = versions_of_streams(record).into_iter();
    streams
        .map(|(stream, versions)| (stream, versions.into_iter().collect::<BTreeSet<String>>()))
        .filter(|(_, versions)| versions.len() > 1)
        .collect()
}

/// Whether the router, its callers' connections or the store for it had a fault within the
/// setting `contact` before the request or until its end.
fn was_disturbed(
    record: &Record,
    request: &CallerRequest,
) -> bool {
    let since = request.sent - record.fleet.contact;
    let router = request.router;
    let mut spans = record.spans.iter();
    spans.any(|span| {
        let overlaps = span.began <= request.ended && span.ended >= since;
        let disturbs = span.fault.hides_the_store_from(router);
        overlaps && (disturbs || span.fault.breaks_callers_of(router))
    })
}

/// Whether all routers were killed between the start of the stream and the end of a request that
/// takes it up, so that none of them knows which version began it.
fn was_forgotten(
    record: &Record,
    request: &CallerRequest,
) -> bool {
    let mut requests = record.requests.iter();
    let first = requests.find(|first| first.id == request.stream());
    let Some(first) = first else {
        return false;
    };
    let mut spans = record.spans.iter();
    spans.any(|span| {
        let is_between = span.ended >= first.sent && span.began <= request.ended;
        is_between && span.fault == Fault::KillAllRouters
    })
}

/// Number of replicas of a version that served throughout a request, without a fault within the
/// setting `contact` before it.
fn serving(
    record: &Record,
    version: &str,
    request: &CallerRequest,
) -> usize {
    let slots: BTreeSet<usize> = record.versions.iter().map(|seen| seen.slot).collect();
    let is_serving = |slot: &usize| {
        let mut changes = record.versions.iter().filter(|seen| seen.slot == *slot);
        let by: Instant = request.sent - SERVING_DELAY;
        let last = changes.clone().rfind(|seen| seen.from <= by);
        let is_changed = changes.any(|seen| seen.from > by && seen.from <= request.ended);
        last.is_some_and(|last| last.version == version) && !is_changed
    };
    let is_sound = |slot: &usize| {
        let since = request.sent - record.fleet.contact;
        let mut spans = record.spans.iter();
        !spans.any(|span| {
            let overlaps = span.began <= request.ended && span.ended >= since;
            overlaps && span.fault.disturbs_replica(*slot)
        })
    };
    let slots = slots.into_iter();
    slots
        .filter(|slot| is_serving(slot) && is_sound(slot))
        .count()
}
