use {
    super::{attempt::Attempt, fault_span::FaultSpan},
    std::{collections::HashMap, time::Instant},
};

/// A replica that was told to leave, and what it got afterwards.
#[derive(Debug, Clone)]
pub struct DrainSeen {
    pub replica: String,
    pub span: FaultSpan,   // from the word to the check
    pub when_due: usize,   // requests seen when new ones had to end
    pub at_the_end: usize, // and when it was gone
}

/// A configuration that the store confirmed, and when a router served it.
#[derive(Debug, Clone)]
pub struct ChangeSeen {
    pub router: usize,
    pub version: u64,
    pub confirmed: Instant,
    pub served: Option<Instant>, // none if it never did
}

/// What callers and replicas saw, and what was done to the fleet.
#[derive(Debug, Default)]
pub struct Record {
    pub attempts: Vec<Attempt>,
    pub spans: Vec<FaultSpan>,
    pub drains: Vec<DrainSeen>,
    pub changes: Vec<ChangeSeen>,
    pub runs: HashMap<String, Vec<&'static str>>, // the services that ran a request, by its id
    pub unserved: Vec<String>,                    // what did not work when all was well again
}
