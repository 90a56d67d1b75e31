use {
    crate::{
        policy::{placement::PromptShape, shares::ShareStatus},
        routing::{AllowedRegions, EngineSpec},
    },
    std::{sync::Arc, time::Duration},
};

/// A request that looks for a replica.
#[derive(Debug)]
pub struct PlacementRequest<'r> {
    pub service: &'r str,
    pub zone: &'r str, // of this router
    pub engine: Option<EngineSpec>,
    pub prompt: Option<&'r PromptShape>,
    pub aim: Duration,                       // shortest among the service's routes
    pub pause_aim: Option<Duration>,         // of its route: longest pause between events
    pub standing: ShareStatus,               // of its account
    pub tried: &'r [Arc<str>],               // replicas it was sent to before
    pub regions: Option<&'r AllowedRegions>, // where it may be served; anywhere if none
}
