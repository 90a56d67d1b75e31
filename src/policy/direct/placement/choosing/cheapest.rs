use super::candidate::Candidate;

/// The candidate that costs least of those it was shown.
#[derive(Default)]
pub struct Cheapest<'v> {
    found: Option<(f64, Candidate<'v>)>,
}

impl<'v> Cheapest<'v> {
    /// Keeps a candidate if it costs less than the one kept.
    pub fn show(
        &mut self,
        cost: f64,
        candidate: Candidate<'v>,
    ) {
        if self.found.as_ref().is_none_or(|(least, _)| cost < *least) {
            self.found = Some((cost, candidate));
        }
    }

    /// The one kept.
    pub fn take(self) -> Option<Candidate<'v>> {
        self.found.map(|(_, candidate)| candidate)
    }
}
