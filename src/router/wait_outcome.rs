use {
    crate::{
        link::Peer,
        policy::{GrantNumber, ShedRequest},
    },
    std::sync::Arc,
};

/// How a request's wait in the queue ended.
pub enum WaitOutcome {
    Granted { peer: Arc<Peer>, grant: GrantNumber },
    Shed(ShedRequest),
}
