use {super::ReplicaPace, std::sync::Arc};

/// A lasting change in the pace of a replica, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceChange {
    pub replica: Arc<str>,
    pub before: f64, // lasting pace as of the previous log line
    pub pace: ReplicaPace,
    pub samples: f32, // decayed number of samples of the lasting pace
}
