use {
    super::{attempt::Attempt, fault_span::FaultSpan, soak_fleet::SoakFleet},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A replica that leaves, and what it got afterwards.
#[derive(Debug, Clone)]
pub struct DrainSeen {
    pub replica: String,
    pub confirmed: Instant,     // by the store
    pub arrivals: Vec<Arrival>, // since then, until it was gone
}

/// A request that reached a replica.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
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
    pub fleet: SoakFleet,
    pub attempts: Vec<Attempt>,
    pub spans: Vec<FaultSpan>,
    pub drains: Vec<DrainSeen>,
    pub changes: Vec<ChangeSeen>,
    pub runs: HashMap<String, Vec<&'static str>>, // the services that ran a request, by its id
    pub unserved: Vec<String>,                    // what did not work when all was well again
    pub lateness: Duration,                       // of the harness itself, at most
}
