//! What is seen of the pauses of streams, and what placing a request does to them.

use {
    super::ReplicaBoard,
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment,
            placement::{
                PaceEvidence, PauseEvidence, PauseRisk, PlacementRequest, PromptShape, ReplicaView,
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
        view.seen.see(now, PaceEvidence::default(), seen);
        if let Some(aim) = aim {
            let front_ms = times.reading_ms(view.load(now, age).reading);
            let aim_s = aim.as_secs_f64();
            let pauses = (f64::from(seen.watched_s) / aim_s).min(1.0);
            let expected = pauses * broken_share(front_ms, aim_s * 1000.0);
            view.pauses.see(now, expected, seen.broken.into());
        }
        let all = view.seen.pauses(now);
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
        let seen = usable.iter();
        let seen = seen.map(|view| (view.seen.pauses(now), view.pauses));
        PauseRisk::new(now, request.aim, aim, run_s, usual_s, seen)
    }

    /// What a candidate is expected to cost by pauses, its own and those of the streams
    /// that run there, in milliseconds.
    pub(super) fn pauses_ms(
        &self,
        now: Moment,
        risk: &PauseRisk,
        running: u32,
        candidate: &Candidate,
    ) -> f64 {
        let view = candidate.offer.view;
        let own_ms = candidate.reading_ms(candidate.offer.reading);
        let others_ms = risk.others_ms(view.pauses, running, candidate.front_ms, own_ms);
        risk.own_ms(view.seen.pauses(now), view.pauses) + others_ms
    }
}
