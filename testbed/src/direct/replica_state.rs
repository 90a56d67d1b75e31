use {
    super::{ReceivedRequest, ReplicaAnswer, replica_answering::CrashTiming},
    serde_json::Value,
    std::{
        collections::VecDeque,
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicUsize},
        },
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// The state of a stand-in replica: its script and faults, and what it received.
pub(super) struct ReplicaState {
    pub id: Mutex<String>,
    pub script: Mutex<VecDeque<ReplicaAnswer>>, // answers to the next requests
    pub default_answer: Mutex<ReplicaAnswer>,   // used while the script is empty
    pub received: Mutex<Vec<ReceivedRequest>>,
    pub cached_parts: Mutex<Vec<Value>>, // prompt parts, as JSON of the cache list
    pub list_delay: Mutex<Duration>,     // before the cache list is sent
    pub cache_events: watch::Sender<Vec<Value>>, // all since the start
    pub event_requests: AtomicUsize,     // received requests for cache events
    pub open_connections: AtomicUsize,
    pub total_connections: AtomicUsize, // opened since the start
    pub crash_trigger: Mutex<Option<(String, CrashTiming)>>, // text of a request that crashes it
    pub exited: watch::Sender<bool>,
    pub listener_closed: watch::Sender<bool>, // after it exited
    pub close_one_in: AtomicUsize,            // requests; 0 is none
    pub runs: AtomicUsize,                    // requests that it started to run
    pub backoff_seconds: Mutex<Option<f64>>,  // if set, all requests are refused with Retry-After
    pub refuses_cache_requests: AtomicBool,   // for the cache list and cache events
    pub extra_headers: Mutex<String>,         // header lines of all answers
    pub slow_until: Mutex<Option<Instant>>,   // end of the slow start, stated in health answers
    pub version: Mutex<Option<String>>,       // of its software, told in its events if set
}
