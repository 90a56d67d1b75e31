//! Observed pauses of streams, and their expected cost in the choice of a replica. A stream is
//! late if one of its pauses between events exceeds the target of its route.

use {
    super::ReplicaTable,
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment,
            placement::{
                PauseEstimate, PauseEvidence, PauseRisk, PlacementRequest, PromptShape,
                ReplicaView, choosing::Candidate, late_fraction,
            },
        },
    },
    std::time::Duration,
};

impl ReplicaTable {
    /// Adds observations of streams at a replica. Returns the rate of late streams per second
    /// watched if it has changed markedly.
    pub fn record_pauses(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        evidence: PauseEvidence,
    ) -> Option<f32> {
        let target_pause = self.target_pauses.shortest(now, &replica.service);
        let times = self.engine_latency(&replica.service);
        let age = self.max_report_age();
        let view = self.same_start(replica)?;
        view.observations.record_pauses(now, evidence);
        if let Some(target_pause) = target_pause {
            let queue_ms = view
                .pace
                .of(times)
                .prefill_ms(view.load(now, age).prefill_tokens);
            let target_s = target_pause.as_secs_f64();
            let pauses = (f64::from(evidence.watched_s) / target_s).min(1.0);
            let expected = pauses * late_fraction(queue_ms, target_s * 1000.0);
            view.pauses.record_late(now, expected, evidence.late.into());
        }
        let all = view.observations.pauses(now);
        view.pause_estimate = PauseEstimate::new(now, all, &view.pauses);
        view.pauses.rate_change(now, all)
    }

    /// Records a stream with an output limit of `tokens` that ended regularly at a replica,
    /// `took` after its first event.
    pub fn record_stream(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        tokens: u32,
        took: Duration,
    ) {
        let expected_s = self.stream_durations.expected_s(&replica.service, tokens);
        self.stream_durations.record(&replica.service, tokens, took);
        let expected_s = expected_s.filter(|expected_s| *expected_s > 0.0);
        if let Some((view, expected_s)) = self.same_start(replica).zip(expected_s) {
            view.pauses.record_run(now, took.as_secs_f64() / expected_s);
        }
    }

    /// The expected cost of late streams for a request. None if no route of its service has a
    /// target pause, or hardly any stream is late.
    pub(super) fn pause_risk(
        &self,
        now: Moment,
        request: &PlacementRequest,
        prompt: &PromptShape,
        usable: &[&ReplicaView],
    ) -> Option<PauseRisk> {
        let shortest = self.target_pauses.shortest(now, request.service);
        let target_pause = shortest.into_iter().chain(request.target_pause).min()?;
        let tokens = request.target_pause.map_or(0, |_| prompt.output_tokens);
        let run_s = self.stream_durations.expected_s(request.service, tokens)?;
        let mean_run_s = self.stream_durations.mean_s(request.service)?;
        let estimates = usable.iter().map(|view| view.pause_estimate);
        PauseRisk::new(
            request.target_latency,
            target_pause,
            run_s,
            mean_run_s,
            estimates,
        )
    }

    /// Sets the expected cost of late streams at a candidate, where `running` requests run.
    pub(super) fn set_pause_costs(
        risk: &PauseRisk,
        running: u32,
        candidate: &mut Candidate,
    ) {
        let estimate = candidate.plan.view.pause_estimate;
        let own_ms = candidate.times.prefill_ms(candidate.plan.prefill_tokens);
        candidate.others_late = risk.others_late(estimate, running, candidate.queue_ms, own_ms);
        candidate.pauses_ms = risk.own_ms(estimate) + risk.cost_ms(candidate.others_late);
    }
}
