//! Where the next request goes that is no prompt.
//!
//! A zone may have one replica of such a service, callers of one zone may ask for several times
//! the work of another, and routers know late what is in front of a replica: what counts is the
//! expected wait against the aim, and not how many are in front.

use {
    super::{
        ReplicaBoard,
        board_choice::{AVOIDED_PENALTY, is_near},
    },
    crate::policy::{
        Moment, mix_hashes,
        placement::{Choice, PlacementRequest, ReplicaView, choosing::PlainQueue},
    },
    std::time::Duration,
};

/// What a plain request is believed to take before any was answered.
const FIRST_WORK_MS: f64 = 10.0;

/// How much a request that makes nobody wait counts, as a part of what one that does makes
/// the next wait: enough to go round, too little to cross a zone for.
const SPREAD: f64 = 0.1;

impl ReplicaBoard {
    /// Decides where a request goes that is no prompt: where its answer is expected soonest,
    /// or nowhere if it would come after the aim.
    pub(super) fn choose_plain(
        &self,
        now: Moment,
        request: &PlacementRequest,
        usable: &[&ReplicaView],
    ) -> Choice {
        let aim_ms = request.aim.as_secs_f64() * 1000.0 * self.settings.aim_share;
        let usual_ms = usual_work_ms(usable);
        let mut best: Option<(f64, PlainQueue, &ReplicaView)> = None;
        let mut soonest = f64::MAX;
        for view in usable {
            let there = view.load(now, self.belief_age()).running;
            let queue = PlainQueue::new(view, there, usual_ms);
            let late_ms = queue.late_ms(aim_ms);
            soonest = soonest.min(late_ms);
            if late_ms > 0.0 {
                continue;
            }
            let cost = self.plain_cost_ms(request, view, there, &queue);
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, queue, view));
            }
        }
        match best {
            Some((_, queue, view)) => Choice::Send {
                replica: view.entry.id.clone(),
                reading: 0,
                fetch_from: None,
                front_ms: queue.wait_ms,
                pauses_ms: 0.0,
                expected: Duration::from_secs_f64(queue.expected_ms() / 1000.0),
            },
            None => self.refuse(request, soonest),
        }
    }

    /// What a plain request costs at a replica where so many are, in milliseconds. Where none
    /// waits the less busy one goes first, and among replicas alike one is drawn.
    fn plain_cost_ms(
        &self,
        request: &PlacementRequest,
        view: &ReplicaView,
        there: u32,
        queue: &PlainQueue,
    ) -> f64 {
        let mut cost = queue.expected_ms() + AVOIDED_PENALTY * view.health.failure_rate();
        if !is_near(request, view) {
            cost += self.settings.plain_zone_penalty.as_secs_f64() * 1000.0;
        }
        let step_ms = queue.work_ms / f64::from(view.entry.slots.max(1));
        let draw = (mix_hashes(view.hash, self.next_work) >> 40) as f64 / f64::from(1 << 24);
        cost + step_ms * SPREAD * (f64::from(there) + draw)
    }
}

/// What a plain request takes where it was learnt, on average; the first guess where it was
/// learnt nowhere.
fn usual_work_ms(usable: &[&ReplicaView]) -> f64 {
    let learnt = usable.iter().filter(|view| view.plain.samples > 0);
    let times: Vec<f64> = learnt.map(|view| view.plain.work_ms).collect();
    match times.len() {
        0 => FIRST_WORK_MS,
        count => times.iter().sum::<f64>() / count as f64,
    }
}
