use {
    super::held_bytes::HeldBytes,
    crate::{
        policy::{Moment, placement::PromptShape, suspects::RequestDigest},
        routing::{AllowedRegions, EngineSpec, Route},
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, Uri},
    std::{sync::Arc, time::Duration},
};

/// One attempt of a caller, read whole and allowed.
#[derive(Debug)]
pub struct Call {
    pub request_id: String,
    pub method: Method,
    pub target: Uri,        // path and query
    pub headers: HeaderMap, // as they are passed on
    pub body: Bytes,
    pub _held: HeldBytes, // counted until the call is over: its body may be sent again
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub engine: Option<EngineSpec>,
    pub service_aim: Duration,  // the shortest among the service's routes
    pub max_connections: usize, // to one replica, from all routers
    pub account: Option<Arc<str>>,
    pub regions: Option<AllowedRegions>, // where it may be served; anywhere if none
    pub prompt: Option<PromptShape>,
    pub config_version: u64,
    pub arrived: Moment,
    pub until: Moment, // when it must be answered at the latest
}

impl Call {
    /// What is left of its time.
    pub fn time_left(
        &self,
        now: Moment,
    ) -> Duration {
        self.until.saturating_sub(now)
    }

    /// What it is, whatever its id.
    pub fn digest(&self) -> RequestDigest {
        let account = self.account.as_deref().unwrap_or("");
        let target = self.target.to_string();
        RequestDigest::new(self.method.as_str(), &target, account, &self.body)
    }

    /// What it asks for, in tokens.
    pub fn tokens(&self) -> f32 {
        let prompt = self.prompt.as_ref();
        prompt.map_or(0.0, |prompt| {
            (prompt.tokens() + 2 * prompt.output_tokens) as f32
        })
    }
}
