use std::collections::{BTreeMap, BTreeSet};

/// Measures the fairness gap: the largest difference in service per share that two
/// accounts accumulate while both are backlogged. A pair's difference restarts at zero
/// when either account is not backlogged.
#[derive(Debug, Clone, Default)]
pub struct GapMeter {
    since: BTreeMap<(String, String), f64>, // a pair's difference when both became backlogged
    pub worst: f64,                         // largest gap of all observations
}

impl GapMeter {
    /// Records each account's service per share since the start and the accounts that are
    /// backlogged now. Returns the present gap.
    pub fn observe(
        &mut self,
        per_share: &BTreeMap<String, f64>,
        backlogged: &BTreeSet<String>,
    ) -> f64 {
        self.since
            .retain(|(a, b), _| backlogged.contains(a) && backlogged.contains(b));
        let mut largest = 0.0;
        for (a, service_a) in per_share {
            for (b, service_b) in per_share.range::<String, _>(a..) {
                if a == b || !backlogged.contains(a) || !backlogged.contains(b) {
                    continue;
                }
                let difference = service_a - service_b;
                let start = self
                    .since
                    .entry((a.clone(), b.clone()))
                    .or_insert(difference);
                largest = f64::max(largest, (difference - *start).abs());
            }
        }
        self.worst = self.worst.max(largest);
        largest
    }
}
