use {super::ReplicaPace, std::sync::Arc};

/// A replica that is believed to be lastingly quicker or slower than before.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceNews {
    pub replica: Arc<str>,
    pub before: f64, // its lasting pace as it was last news
    pub pace: ReplicaPace,
    pub samples: f32, // what that was learnt from, faded by age
}
