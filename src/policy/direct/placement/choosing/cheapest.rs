use super::candidate::Candidate;

/// Tracks the candidate of least cost.
#[derive(Default)]
pub struct Cheapest<'v> {
    best: Option<(f64, Candidate<'v>)>,
}

impl<'v> Cheapest<'v> {
    /// Replaces the current candidate by one that costs less.
    pub fn consider(
        &mut self,
        cost: f64,
        candidate: Candidate<'v>,
    ) {
        if self.best.as_ref().is_none_or(|(least, _)| cost < *least) {
            self.best = Some((cost, candidate));
        }
    }

    /// Returns the cheapest candidate.
    pub fn take(self) -> Option<Candidate<'v>> {
        self.best.map(|(_, candidate)| candidate)
    }
}
