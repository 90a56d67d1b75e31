use {
    crate::{
        link::Peer,
        policy::{GrantNumber, Shed},
    },
    std::sync::Arc,
};

/// What a waiting request is told.
pub enum Turn {
    Granted { peer: Arc<Peer>, grant: GrantNumber },
    Shed(Shed),
}
