//! The software version at which a stream goes on, once it has begun: replicas of several versions
//! may serve one service, and what two of them write does not fit together. A caller may take up
//! a stream that broke off at any router.

use {
    super::{exchange::Exchange, gateway::Gateway, request_reader::header_text},
    crate::{
        codes::{ErrorAnswer, ResultCode},
        policy::streams::SoftwareVersion,
        routing::Route,
    },
    hyper::HeaderMap,
    std::{sync::Arc, time::Duration},
};

/// Retry-After where the version of a stream is unknown: the routers that know it may be out of
/// reach for a while.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The origin of a stream is kept for at least this long: a caller may wait for longer than the
/// route's time-out, and take its stream up until then.
const MIN_ORIGIN_RETENTION: Duration = Duration::from_secs(60);

/// The software version at which the stream began that a request takes up; `None` if it takes up
/// none. Fails with `StreamUnknown` if the version is not known for certain.
pub async fn taken_up_version(
    gateway: &Gateway,
    route: &Route,
    headers: &HeaderMap,
    time_left: Duration,
) -> Result<Option<SoftwareVersion>, ErrorAnswer> {
    let names = &gateway.dialect.names;
    if !route.kind.is_resumable_stream() || header_text(headers, &names.last_event).is_empty() {
        return Ok(None);
    }
    let version = match header_text(headers, &names.resumes) {
        // Not looked up, as the caller does not name it: certain only where there is no choice.
        "" => gateway
            .replica_table()
            .only_version(route.allowed_services()),
        first_attempt => gateway.find_stream_origin(first_attempt, time_left).await,
    };
    let unknown = || ErrorAnswer::new(ResultCode::StreamUnknown).retry_after(UNKNOWN_RETRY_AFTER);
    version.map(Some).ok_or_else(unknown)
}

/// The service for a request: one with replicas of the version at which its stream goes on, if
/// there is any, and one by weight otherwise.
pub fn pick_service<'r>(
    gateway: &Gateway,
    route: &'r Route,
    version: Option<SoftwareVersion>,
) -> Option<&'r Arc<str>> {
    let of_version = version.and_then(|version| {
        let replica_table = gateway.replica_table();
        route
            .allowed_services()
            .find(|service| replica_table.serves_version(service, version))
    });
    of_version.or_else(|| route.pick_service(rand::random()))
}

impl Exchange {
    /// Records that an event of the last attempt arrived completely. From its first event on, a
    /// stream goes on at the software version of its replica only.
    pub fn record_event(&mut self) {
        self.record_survival();
        let now = self.gateway.now();
        let Some(attempt) = self
            .last_attempt
            .as_mut()
            .filter(|attempt| attempt.first_event_at.is_none())
        else {
            return;
        };
        attempt.first_event_at = Some(now);
        let version = attempt.entry.software_version();
        self.stream_version = Some(version);
        if self.call.route.kind.is_resumable_stream() {
            self.record_origin(version);
        }
    }

    /// Records where the stream began, under this request and under the one that it takes up.
    fn record_origin(
        &self,
        version: SoftwareVersion,
    ) {
        let names = &self.gateway.dialect.names;
        let taken_up = header_text(&self.call.headers, &names.resumes);
        let time_left = self.call.time_left(self.gateway.now());
        let kept_for = time_left.max(MIN_ORIGIN_RETENTION);
        for request_id in [self.call.request_id.as_str(), taken_up] {
            self.gateway
                .record_stream_origin(request_id, version, kept_for);
        }
    }
}
