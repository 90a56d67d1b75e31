use {
    super::PromptShape,
    crate::routing::EngineFacts,
    std::{sync::Arc, time::Duration},
};

/// A request that looks for a replica.
#[derive(Debug)]
pub struct PlacementRequest<'r> {
    pub service: &'r str,
    pub zone: &'r str, // of this router
    pub engine: Option<EngineFacts>,
    pub prompt: Option<&'r PromptShape>,
    pub aim: Duration,              // shortest among the service's routes
    pub over_for: Option<Duration>, // until its account is within its share again
    pub tried: &'r [Arc<str>],      // replicas it was sent to before
}
