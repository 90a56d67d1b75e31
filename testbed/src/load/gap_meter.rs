use std::collections::{BTreeMap, BTreeSet};

/// The largest difference in service per share between two accounts, counted
/// while both are backlogged. It starts anew when either is not.
#[derive(Debug, Clone, Default)]
pub struct GapMeter {
    since: BTreeMap<(String, String), f64>, // difference when both became backlogged
    pub worst: f64,
}

impl GapMeter {
    /// Takes in each account's service per share so far, and which are
    /// backlogged now. Gives the largest gap at this moment.
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
