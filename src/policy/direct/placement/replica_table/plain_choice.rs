//! Choice of the replica for a plain request, which carries no prompt.
//!
//! The choice compares the expected wait with the target latency, not the numbers of queued
//! requests. A zone may have only one replica of a service, the callers of one zone may cause
//! several times the load of another, and queue lengths are known with a delay.

use {
    super::{
        ReplicaTable,
        choice::{FAILURE_PENALTY_MS, is_near},
    },
    crate::policy::{
        Moment, mix_hashes,
        placement::{Choice, PlacementRequest, ReplicaView, choosing::PlainQueue},
    },
    std::time::Duration,
};

/// Assumed run time of a plain request before any was answered.
const INITIAL_WORK_MS: f64 = 10.0;

/// Cost of each request in flight, as a fraction of the wait that a queued one causes. It
/// spreads requests over idle replicas, but does not outweigh the cost of another zone.
const IN_FLIGHT_COST: f64 = 0.1;

impl ReplicaTable {
    /// Chooses the replica with the earliest expected answer, or refuses the request if it would
    /// have to wait and be answered after the target latency everywhere.
    pub(super) fn choose_plain(
        &self,
        now: Moment,
        request: &PlacementRequest,
        usable: &[&ReplicaView],
    ) -> Choice {
        let target_ms = request.target_latency.as_secs_f64() * 1000.0 * self.settings.aim_share;
        let mean_ms = mean_work_ms(usable);
        let mut best: Option<(f64, PlainQueue, &ReplicaView)> = None;
        let mut min_late_ms = f64::MAX;
        for view in usable {
            let in_flight = view.load(now, self.max_report_age()).running;
            let queue = PlainQueue::new(view, in_flight, mean_ms);
            let late_ms = queue.late_ms(target_ms);
            min_late_ms = min_late_ms.min(late_ms);
            if late_ms > 0.0 {
                continue;
            }
            let cost = self.plain_cost_ms(request, view, in_flight, &queue);
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, queue, view));
            }
        }
        match best {
            Some((_, queue, view)) => Choice::Send {
                replica: view.entry.id.clone(),
                prefill_tokens: 0,
                fetch_from: None,
                queue_ms: queue.wait_ms,
                pauses_ms: 0.0,
                expected: Duration::from_secs_f64(queue.expected_ms() / 1000.0),
            },
            None => self.refuse(request, min_late_ms),
        }
    }

    /// Cost in milliseconds of a plain request at a replica with so many in flight. Among
    /// replicas without a queue the least loaded one is cheapest, with ties broken at random.
    fn plain_cost_ms(
        &self,
        request: &PlacementRequest,
        view: &ReplicaView,
        in_flight: u32,
        queue: &PlainQueue,
    ) -> f64 {
        let mut cost = queue.expected_ms() + FAILURE_PENALTY_MS * view.health.failure_rate();
        if !is_near(request, view) {
            cost += self.settings.plain_zone_penalty.as_secs_f64() * 1000.0;
        }
        let step_ms = queue.work_ms / f64::from(view.entry.slots.max(1));
        let draw = (mix_hashes(view.id_hash, self.next_id) >> 40) as f64 / f64::from(1 << 24);
        cost + step_ms * IN_FLIGHT_COST * (f64::from(in_flight) + draw)
    }
}

/// Mean run time of plain requests over the replicas with samples, or the initial assumption.
fn mean_work_ms(usable: &[&ReplicaView]) -> f64 {
    let sampled = usable.iter().filter(|view| view.plain.samples > 0);
    let times: Vec<f64> = sampled.map(|view| view.plain.work_ms).collect();
    match times.len() {
        0 => INITIAL_WORK_MS,
        count => times.iter().sum::<f64>() / count as f64,
    }
}
