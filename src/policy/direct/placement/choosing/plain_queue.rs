use crate::policy::placement::ReplicaView;

/// How a plain request would fare at a replica: some run there at once, the others wait
/// for these in the order in which they came.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainQueue {
    pub wait_ms: f64,  // until it begins to run
    pub work_ms: f64,  // that it runs for
    pub error_ms: f64, // by which answers usually come later than that
}

impl PlainQueue {
    /// The queue of a replica where so many are, running or waiting. `usual_ms` is what
    /// requests take at its fellows.
    pub fn new(
        view: &ReplicaView,
        there: u32,
        usual_ms: f64,
    ) -> Self {
        let work_ms = match view.plain.samples {
            0 => usual_ms,
            _ => view.plain.work_ms,
        };
        let slots = view.entry.slots.max(1);
        let before = (there + 1).saturating_sub(slots);
        Self {
            wait_ms: work_ms * f64::from(before) / f64::from(slots),
            work_ms,
            error_ms: view.plain.error_ms,
        }
    }

    /// Milliseconds until its answer.
    pub fn expected_ms(&self) -> f64 {
        self.wait_ms + self.work_ms
    }

    /// By how many milliseconds the answer is late for an aim; 0 where it need not wait,
    /// since it would be no sooner elsewhere or later.
    pub fn late_ms(
        &self,
        aim_ms: f64,
    ) -> f64 {
        match self.wait_ms > 0.0 {
            true => (self.expected_ms() + self.error_ms - aim_ms).max(0.0),
            false => 0.0,
        }
    }
}
