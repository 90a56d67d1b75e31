use {
    crate::{
        link::Peer,
        policy::{GrantNumber, ShedRequest},
    },
    std::sync::Arc,
};

/// What a waiting request is told.
pub enum Turn {
    Granted { peer: Arc<Peer>, grant: GrantNumber },
    Shed(ShedRequest),
}
