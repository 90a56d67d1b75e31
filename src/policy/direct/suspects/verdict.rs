use {super::TrialClaim, std::time::Duration};

/// Whether a request may be sent to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Free,
    /// It was held back until now, and this router has claimed the fleet's trial.
    Claimed(TrialClaim),
    /// It is held back for this time.
    Held(Duration),
}
