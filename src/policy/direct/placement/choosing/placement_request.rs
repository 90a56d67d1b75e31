use {
    crate::{
        policy::{placement::PromptShape, shares::ShareStatus, streams::SoftwareVersion},
        routing::{AllowedRegions, EngineSpec},
    },
    std::{sync::Arc, time::Duration},
};

/// A request for which a replica is to be chosen.
#[derive(Debug)]
pub struct PlacementRequest<'r> {
    pub service: &'r str,
    pub zone: &'r str, // of this router
    pub engine: Option<EngineSpec>,
    pub prompt: Option<&'r PromptShape>,
    pub target_latency: Duration, // the shortest among the service's routes
    pub target_pause: Option<Duration>, // of its route: longest allowed pause between events
    pub share_status: ShareStatus, // of its account, relative to its fair share
    pub tried: &'r [Arc<str>],    // replicas that it was sent to before
    pub regions: Option<&'r AllowedRegions>, // where it may be served; anywhere if none
    pub version: Option<SoftwareVersion>, // that began its stream; any if none
}
