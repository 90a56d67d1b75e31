use {
    super::{ReplicaAnswer, SeenRequest, replica_answering::EndManner},
    serde_json::Value,
    std::{
        collections::VecDeque,
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicUsize},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// What a stand-in replica was told, and what it got.
pub(super) struct ReplicaState {
    pub id: Mutex<String>,
    pub script: Mutex<VecDeque<ReplicaAnswer>>,
    pub usual: Mutex<ReplicaAnswer>,
    pub seen: Mutex<Vec<SeenRequest>>,
    pub kept: Mutex<Vec<Value>>,     // parts of prompts, as it lists them
    pub list_after: Mutex<Duration>, // what listing takes
    pub events: watch::Sender<Vec<Value>>, // parts taken in and given up, all of them
    pub events_asked: AtomicUsize,
    pub open: AtomicUsize,                         // connections
    pub opened: AtomicUsize,                       // connections so far
    pub fatal: Mutex<Option<(String, EndManner)>>, // a body with this text ends it
    pub ended: watch::Sender<bool>,
    pub cuts_one_in: AtomicUsize, // requests; 0 is none
    pub runs: AtomicUsize,
    pub rest_seconds: Mutex<Option<f64>>, // all requests are turned away, and rest is asked for
    pub list_refused: AtomicBool,         // it is turned away
    pub said: Mutex<String>,              // header lines of all its answers
}
