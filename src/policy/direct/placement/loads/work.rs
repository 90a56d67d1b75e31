use {super::Load, crate::policy::Moment, std::sync::Arc};

/// Names one request at one replica.
pub type WorkNumber = u64;

/// One request that a replica was sent and has not wholly answered.
#[derive(Debug, Clone)]
pub struct Work {
    pub replica: Arc<str>,
    pub start: u32, // of the replica, short name
    pub sent: Moment,
    pub is_counted: bool, // among what is sent to a replica that starts slowly
    pub load: Load,       // what it counts for now
    pub reading: u32,     // prompt tokens that it has to read in all
    pub front_ms: f64,    // of reading believed to be in front, and of fetching
}
