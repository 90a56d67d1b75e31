//! What is seen of the pauses of streams, and what placing a request does to them.

use {
    super::ReplicaBoard,
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment,
            placement::{
                PauseEvidence, PauseRisk, PauseSight, PlacementRequest, PromptShape, ReplicaView,
                broken_share, choosing::Candidate,
            },
        },
    },
    std::time::Duration,
};

impl ReplicaBoard {
    /// Streams at a replica were watched. Gives the streams a second watched that paused
    /// for too long there, if that is news.
    pub fn see_pauses(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        seen: PauseEvidence,
    ) -> Option<f32> {
        let aim = self.pause_aims.shortest(now, &replica.service);
        let times = self.engine_times(&replica.service);
        let age = self.belief_age();
        let view = self.same_start(replica)?;
        view.seen.see_pauses(now, seen);
        if let Some(aim) = aim {
            let front_ms = view.pace.of(times).reading_ms(view.load(now, age).reading);
            let aim_s = aim.as_secs_f64();
            let pauses = (f64::from(seen.watched_s) / aim_s).min(1.0);
            let expected = pauses * broken_share(front_ms, aim_s * 1000.0);
            view.pauses.see(now, expected, seen.broken.into());
        }
        let all = view.seen.pauses(now);
        view.pause_sight = PauseSight::new(now, all, &view.pauses);
        view.pauses.news(now, all)
    }

    /// A stream ended whole at a replica that might generate so many tokens and took so
    /// long after its first event.
    pub fn learn_run(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        tokens: u32,
        took: Duration,
    ) {
        let usual_s = self.run_lengths.expected_s(&replica.service, tokens);
        self.run_lengths.learn(&replica.service, tokens, took);
        let usual_s = usual_s.filter(|usual_s| *usual_s > 0.0);
        if let Some((view, usual_s)) = self.same_start(replica).zip(usual_s) {
            view.pauses.see_run(now, took.as_secs_f64() / usual_s);
        }
    }

    /// What pauses are to weigh for a request. None where no route of its service says
    /// how long they may be, and where hardly one breaks.
    pub(super) fn pause_risk(
        &self,
        now: Moment,
        request: &PlacementRequest,
        prompt: &PromptShape,
        usable: &[&ReplicaView],
    ) -> Option<PauseRisk> {
        let shortest = self.pause_aims.shortest(now, request.service);
        let aim = shortest.into_iter().chain(request.pause_aim).min()?;
        let tokens = request.pause_aim.map_or(0, |_| prompt.output_tokens);
        let run_s = self.run_lengths.expected_s(request.service, tokens)?;
        let usual_s = self.run_lengths.usual_s(request.service)?;
        let seen = usable.iter().map(|view| view.pause_sight);
        PauseRisk::new(request.aim, aim, run_s, usual_s, seen)
    }

    /// Puts in what pauses are expected to do where a candidate runs.
    pub(super) fn weigh_pauses(
        risk: &PauseRisk,
        running: u32,
        candidate: &mut Candidate,
    ) {
        let sight = candidate.offer.view.pause_sight;
        let own_ms = candidate.times.reading_ms(candidate.offer.reading);
        candidate.others_late = risk.others_late(sight, running, candidate.front_ms, own_ms);
        candidate.pauses_ms = risk.own_ms(sight) + risk.cost_ms(candidate.others_late);
    }
}
