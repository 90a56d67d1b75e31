use {
    super::{
        attempt::Attempt, fault::Fault, fault_span::FaultSpan, soak_fleet::SoakFleet,
        starvation::Starvation,
    },
    crate::direct::ReceivedRequest,
    serde_json::Value,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// In the line of a router's log for a request that it sends to a replica.
const SENT: &str = "\"message\":\"sent\"";

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

impl Arrival {
    /// A request as a stand-in saw it.
    pub fn of(seen: &ReceivedRequest) -> Self {
        Self {
            id: seen.attempt_id().to_owned(),
            at: seen.arrived,
        }
    }
}

/// A configuration that the store confirmed, and when a router served it.
#[derive(Debug, Clone)]
pub struct ChangeSeen {
    pub router: usize,
    pub version: u64,
    pub confirmed: Instant,
    pub served: Option<Instant>, // none if it never did
}

/// A zone that was emptied, and when it was taken back.
#[derive(Debug, Clone)]
pub struct CordonSeen {
    pub zone: String,
    pub confirmed: Instant, // by the store
    pub taken_back: Instant,
}

/// A replica's slow start.
#[derive(Debug, Clone)]
pub struct StartSeen {
    pub replica: String,
    pub from: Instant, // it was listed as slow
    pub until: Instant,
}

/// What a replica said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    Leaves,
    Rests(Duration), // it turned requests away
}

/// A replica that said something of itself, and what it got from then on.
#[derive(Debug, Clone)]
pub struct NoticeSeen {
    pub replica: String,
    pub notice: Notice,
    pub arrivals: Vec<(Arrival, bool)>, // and whether each ran
}

/// All that reached one replica.
#[derive(Debug, Clone)]
pub struct ReplicaSeen {
    pub id: String,
    pub zone: String,
    pub arrivals: Vec<Arrival>,
}

/// What callers and replicas saw, and what was done to the fleet.
#[derive(Debug, Default)]
pub struct Record {
    pub fleet: SoakFleet,
    pub attempts: Vec<Attempt>,
    pub spans: Vec<FaultSpan>,
    pub drains: Vec<DrainSeen>,
    pub changes: Vec<ChangeSeen>,
    pub cordons: Vec<CordonSeen>,
    pub starts: Vec<StartSeen>,
    pub notices: Vec<NoticeSeen>,
    pub replicas: Vec<ReplicaSeen>, // all that there were
    pub runs: HashMap<String, Vec<&'static str>>, // the services that ran a request, by its id
    pub sent: HashMap<(String, String), usize>, // request and replica: the router that sent it
    pub unserved: Vec<String>,      // what did not work when all was well again
    pub lateness: Duration,         // of the harness itself, at most
    pub starvation: Starvation,     // of the routers
}

impl Record {
    /// The router that each request was sent to; probes are none of them.
    pub fn senders(&self) -> HashMap<&str, usize> {
        let attempts = self.attempts.iter();
        attempts
            .map(|attempt| (attempt.id.as_str(), attempt.router))
            .collect()
    }

    /// The router that sent a request to a replica, by its own log; where that has no line
    /// of it, the one that the caller asked. A busy router hands connections on, and then its
    /// neighbour sends.
    pub fn sender(
        &self,
        request: &str,
        replica: &str,
    ) -> Option<usize> {
        let logged = self.sent.get(&(request.to_owned(), replica.to_owned()));
        let asked = || {
            let mut attempts = self.attempts.iter();
            let attempt = attempts.find(|attempt| attempt.id == request)?;
            Some(attempt.router)
        };
        logged.copied().or_else(asked)
    }

    /// Takes in which requests a router sent to which replicas, by its log.
    pub fn read_sent(
        &mut self,
        router: usize,
        log: &str,
    ) {
        for line in log.lines().filter(|line| line.contains(SENT)) {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                continue; // cut by the router's end
            };
            let text = |name: &str| line[name].as_str().unwrap_or("").to_owned();
            self.sent
                .insert((text("request_id"), text("replica")), router);
        }
    }

    /// Whether a router ran as the other build at a moment.
    pub fn was_other_build(
        &self,
        sender: Option<usize>,
        at: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| {
            let is_its = matches!(span.fault, Fault::OtherBuild(router) if Some(router) == sender);
            is_its && span.began <= at && at <= span.ended
        })
    }

    /// Whether a router ended or stood still between two moments, or ran as the other build.
    pub fn starts_anew(
        &self,
        router: usize,
        since: Instant,
        until: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| {
            let meets = span.began <= until && span.ended >= since;
            meets && span.fault.interrupts(router)
        })
    }

    /// Whether a router, or the store as it sees it, was in trouble within `contact`
    /// before a moment.
    pub fn excuses(
        &self,
        router: usize,
        at: Instant,
    ) -> bool {
        let since = at - self.fleet.contact;
        let mut spans = self.spans.iter();
        spans.any(|span| {
            let meets = span.began <= at && span.ended >= since;
            meets && span.fault.hides_the_store_from(router)
        })
    }
}
