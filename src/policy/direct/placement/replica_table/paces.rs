//! Pace of each replica: the time that it takes relative to its service's engines on average.

use {
    super::ReplicaTable,
    crate::policy::{
        Moment,
        placement::{
            BaselinePace, EngineLatency, ExpectedTimes, FirstToken, InFlightRequest, PaceChange,
            PaceEvidence, ReplicaPace, ReplicaView,
        },
    },
    std::{collections::HashMap, sync::Arc},
};

/// Multiple of the expected time, at the replica's lasting pace, after which an awaited first
/// token is overdue and counts as evidence.
const OVERDUE_FACTOR: f64 = 2.0;

/// Added to that time, for the error of short expected times.
const OVERDUE_MARGIN_MS: f64 = 30.0;

/// Factor by which a lasting pace must differ from the last reported one to be reported.
const REPORTED_CHANGE: f64 = 1.5;

impl ReplicaTable {
    /// Adds the sample of a first token to the replica's pace and, scaled to the average pace,
    /// to the service's model. Returns the modelled times if they have changed markedly.
    pub(super) fn record_pace(
        &mut self,
        now: Moment,
        request: &InFlightRequest,
        expected: ExpectedTimes,
    ) -> Option<EngineLatency> {
        let took = now.saturating_sub(request.sent);
        let view = self.replicas.get_mut(&request.replica)?;
        let first_token = FirstToken {
            tokens: request.prefill_tokens,
            queue_ms: expected.queue_ms,
            took: took.div_f64(view.pace.lasting),
        };
        let sample = PaceEvidence::sample(took, expected.first_ms);
        view.observations.pace.record(now, sample);
        let changed_times = self.latency_models.record(&view.entry.service, first_token);
        let evidence = zone_evidence(view, now, &self.baseline_paces);
        view.pace = ReplicaPace::new(evidence);
        self.refresh_estimates(now);
        changed_times
    }

    /// Mean pace that this router observes of a service.
    pub(super) fn baseline_pace(
        &self,
        service: &str,
    ) -> BaselinePace {
        self.baseline_paces
            .get(service)
            .copied()
            .unwrap_or_default()
    }

    /// Replicas whose lasting pace has changed since it was last returned, at most `max` of
    /// them.
    pub fn take_pace_changes(
        &mut self,
        now: Moment,
        max: usize,
    ) -> Vec<PaceChange> {
        self.refresh_estimates(now);
        let baselines = &self.baseline_paces;
        let views = self.replicas.values_mut();
        let changed = views.filter(|view| {
            let factor = view.pace.lasting / view.logged_pace;
            factor.max(1.0 / factor) >= REPORTED_CHANGE
        });
        let changes = changed.take(max).map(|view| PaceChange {
            replica: view.entry.id.clone(),
            before: std::mem::replace(&mut view.logged_pace, view.pace.lasting),
            pace: view.pace,
            samples: zone_evidence(view, now, baselines).lasting.weight,
        });
        changes.collect()
    }

    /// Number of replicas whose current pace is above `factor`.
    pub fn count_slower_than(
        &self,
        factor: f64,
    ) -> usize {
        let slow = self.replicas.values().filter(|view| view.pace.now > factor);
        slow.count()
    }

    /// Recomputes the evidence of first tokens that are overdue.
    pub(super) fn refresh_overdue(
        &mut self,
        now: Moment,
    ) {
        for view in self.replicas.values_mut() {
            view.observations.pace.set_overdue(PaceEvidence::default());
        }
        let mut overdue: HashMap<Arc<str>, PaceEvidence> = HashMap::new();
        for request in self.in_flight.values_mut() {
            let waited = now.saturating_sub(request.sent);
            let Some(expected) = request.expected else {
                continue;
            };
            let view = self.replicas.get(&request.replica);
            let Some(view) = view.filter(|view| view.start_hash == request.start_hash) else {
                continue;
            };
            let max_ms = expected.first_ms * view.pace.lasting * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
            if waited.as_secs_f64() * 1000.0 > max_ms {
                request.overdue = Some((now, waited));
                *overdue.entry(request.replica.clone()).or_default() +=
                    PaceEvidence::overdue(waited, expected.first_ms);
            }
        }
        for (replica, overdue) in overdue {
            if let Some(view) = self.replicas.get_mut(&replica) {
                view.observations.pace.set_overdue(overdue);
            }
        }
    }
}

/// Evidence of all routers of the zone on a replica's pace; `baselines` are this router's mean
/// paces by service.
pub(super) fn zone_evidence(
    view: &ReplicaView,
    now: Moment,
    baselines: &HashMap<Arc<str>, BaselinePace>,
) -> PaceEvidence {
    let baseline = baselines.get(&view.entry.service).copied();
    view.observations
        .pace
        .all(now, baseline.unwrap_or_default())
}
