use {
    super::{
        caller_request::CallerRequest, fault::Fault, fault_span::FaultSpan, soak_fleet::SoakFleet,
        starvation::Starvation,
    },
    crate::direct::ReceivedRequest,
    serde_json::Value,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Part of a router's log line for a request that it sends to a replica.
const SENT_MESSAGE: &str = "\"message\":\"sent\"";

/// A replica that left, and the requests that reached it afterwards.
#[derive(Debug, Clone)]
pub struct DrainSeen {
    pub replica: String,
    pub confirmed: Instant,     // by the store
    pub arrivals: Vec<Arrival>, // from then until it was gone
}

/// A request that reached a replica.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
}

impl Arrival {
    /// Takes over a request that a replica stand-in received.
    pub fn of(seen: &ReceivedRequest) -> Self {
        Self {
            id: seen.attempt_id().to_owned(),
            at: seen.arrived,
        }
    }
}

/// A configuration that the store confirmed, and when a router had it in force.
#[derive(Debug, Clone)]
pub struct ChangeSeen {
    pub router: usize,
    pub version: u64,
    pub confirmed: Instant,
    pub served: Option<Instant>, // none if it never was
}

/// A zone that was cordoned, and when it was uncordoned.
#[derive(Debug, Clone)]
pub struct CordonSeen {
    pub zone: String,
    pub confirmed: Instant, // by the store
    pub uncordoned: Instant,
}

/// Slow start of a replica.
#[derive(Debug, Clone)]
pub struct StartSeen {
    pub replica: String,
    pub from: Instant, // when it was listed as slow
    pub until: Instant,
}

/// What a replica announced in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    Leaving,
    Backoff(Duration), // asked for when it refused a request
}

/// A replica that announced something, and the requests that reached it from then on.
#[derive(Debug, Clone)]
pub struct NoticeSeen {
    pub replica: String,
    pub notice: Notice,
    pub arrivals: Vec<(Arrival, bool)>, // and whether each ran
}

/// A change of the software version that serves in a slot for replicas.
#[derive(Debug, Clone)]
pub struct VersionSeen {
    pub slot: usize,
    pub version: String,
    pub from: Instant, // when its replica was listed, and the previous one as draining
}

/// All requests that reached one replica.
#[derive(Debug, Clone)]
pub struct ReplicaSeen {
    pub id: String,
    pub zone: String,
    pub arrivals: Vec<Arrival>,
}

/// What callers and replicas observed, and what was done to the fleet.
#[derive(Debug, Default)]
pub struct Record {
    pub fleet: SoakFleet,
    pub requests: Vec<CallerRequest>,
    pub spans: Vec<FaultSpan>,
    pub drains: Vec<DrainSeen>,
    pub changes: Vec<ChangeSeen>,
    pub cordons: Vec<CordonSeen>,
    pub starts: Vec<StartSeen>,
    pub notices: Vec<NoticeSeen>,
    pub versions: Vec<VersionSeen>,               // in order of time
    pub replicas: Vec<ReplicaSeen>,               // all of the run
    pub runs: HashMap<String, Vec<&'static str>>, // services that ran a request, by its id
    pub sent: HashMap<(String, String), usize>,   // router that sent it, by request and replica
    pub unserved: Vec<String>,                    // what did not work after all faults had ended
    pub lateness: Duration,                       // longest scheduling delay of the harness
    pub starvation: Starvation,                   // of the routers
}

impl Record {
    /// Router that each caller's request was sent to, by request id. Probes are not included.
    pub fn senders(&self) -> HashMap<&str, usize> {
        let requests = self.requests.iter();
        requests
            .map(|request| (request.id.as_str(), request.router))
            .collect()
    }

    /// Router that sent a request to a replica, according to its log; without a log line, the
    /// router that the caller asked. These differ when a busy router forwards the connection to
    /// a neighbour.
    pub fn sender(
        &self,
        request_id: &str,
        replica: &str,
    ) -> Option<usize> {
        let logged = self.sent.get(&(request_id.to_owned(), replica.to_owned()));
        let asked = || {
            let mut requests = self.requests.iter();
            let request = requests.find(|request| request.id == request_id)?;
            Some(request.router)
        };
        logged.copied().or_else(asked)
    }

    /// Adds the requests that a router sent to replicas, from the router's log.
    pub fn add_sent_from_log(
        &mut self,
        router: usize,
        log: &str,
    ) {
        for line in log.lines().filter(|line| line.contains(SENT_MESSAGE)) {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                continue; // truncated when the router exited
            };
            let text = |name: &str| line[name].as_str().unwrap_or("").to_owned();
            self.sent
                .insert((text("request_id"), text("replica")), router);
        }
    }

    /// Whether a router ran the other build at the given time.
    pub fn was_other_build(
        &self,
        sender: Option<usize>,
        at: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| {
            let is_of_sender =
                matches!(span.fault, Fault::OtherBuild(router) if Some(router) == sender);
            is_of_sender && span.began <= at && at <= span.ended
        })
    }

    /// Whether a router exited, was suspended or ran the other build between two moments.
    pub fn was_interrupted(
        &self,
        router: usize,
        since: Instant,
        until: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| {
            let overlaps = span.began <= until && span.ended >= since;
            overlaps && span.fault.interrupts(router)
        })
    }

    /// Whether a fault interrupted a router or hid the store from it within the setting
    /// `contact` before `at`.
    pub fn was_store_hidden(
        &self,
        router: usize,
        at: Instant,
    ) -> bool {
        let since = at - self.fleet.contact;
        let mut spans = self.spans.iter();
        spans.any(|span| {
            let overlaps = span.began <= at && span.ended >= since;
            overlaps && span.fault.hides_the_store_from(router)
        })
    }
}
