use {
    super::{
        ReceivedRequest, ReplicaAnswer, ReplicaRun, replica_answering::CrashTiming,
        run_guard::RunGuard,
    },
    serde_json::Value,
    std::{
        collections::VecDeque,
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicUsize},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep_until},
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
    pub paused_until: Mutex<Option<Instant>>, // nothing is written before
    pub run_times: Mutex<Vec<ReplicaRun>>,    // of the requests that it took, in order
}

impl ReplicaState {
    /// Waits for the end of the pause, if there is one.
    pub async fn wait_while_paused(&self) {
        loop {
            let until = *self.paused_until.lock().expect("lock");
            let Some(until) = until.filter(|until| *until > Instant::now()) else {
                return;
            };
            sleep_until(until.into()).await;
        }
    }

    /// Records that it works on a request until the returned guard is dropped.
    pub fn begin_run(
        &self,
        request: &ReceivedRequest,
    ) -> RunGuard<'_> {
        let mut run_times = self.run_times.lock().expect("lock");
        run_times.push(ReplicaRun {
            request_id: request.attempt_id().to_owned(),
            began: Instant::now(),
            ended: None,
        });
        RunGuard {
            state: self,
            index: run_times.len() - 1,
        }
    }
}
