use crate::policy::placement::ReplicaView;

/// Expected times of a plain request, which carries no prompt, at a replica that runs as many
/// as it has slots and queues the others in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainQueue {
    pub wait_ms: f64,  // in the replica's queue
    pub work_ms: f64,  // run time
    pub error_ms: f64, // mean lateness of answers beyond the expected time
}

impl PlainQueue {
    /// The queue of a replica with `in_flight` requests running or waiting. `mean_ms` is the mean
    /// run time at the service's other replicas, for one without samples.
    pub fn new(
        view: &ReplicaView,
        in_flight: u32,
        mean_ms: f64,
    ) -> Self {
        let work_ms = match view.plain.samples {
            0 => mean_ms,
            _ => view.plain.work_ms,
        };
        let slots = view.entry.slots.max(1);
        let queued = (in_flight + 1).saturating_sub(slots);
        Self {
            wait_ms: work_ms * f64::from(queued) / f64::from(slots),
            work_ms,
            error_ms: view.plain.error_ms,
        }
    }

    /// Expected time to the answer, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.wait_ms + self.work_ms
    }

    /// Milliseconds by which the answer is expected after the target latency. 0 for a request
    /// that need not wait, since it would not be answered sooner by a refusal or elsewhere.
    pub fn late_ms(
        &self,
        target_ms: f64,
    ) -> f64 {
        match self.wait_ms > 0.0 {
            true => (self.expected_ms() + self.error_ms - target_ms).max(0.0),
            false => 0.0,
        }
    }
}
