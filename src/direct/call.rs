use {
    crate::{
        callers::{HeldBytes, RequestBody},
        policy::{
            Moment, placement::PromptShape, streams::SoftwareVersion, suspects::SuspectDigest,
        },
        routing::{AllowedRegions, EngineSpec, Route},
    },
    hyper::{HeaderMap, Method, Uri},
    std::{sync::Arc, time::Duration},
};

/// Parts of one prompt that may be suspected of crashing replicas, and that are logged.
const MAX_SUSPECT_PARTS: usize = 32;

/// A caller's request, read completely, with the route and service that it was matched to.
#[derive(Debug)]
pub struct Call {
    pub request_id: String,
    pub method: Method,
    pub target: Uri,        // path and query
    pub headers: HeaderMap, // those that replicas get
    pub body: RequestBody,
    pub _body_memory: HeldBytes, // counted until the call is over, as the body may be sent again
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub engine: Option<EngineSpec>,
    pub shortest_target_latency: Duration, // over the service's routes
    pub max_connections: usize,            // to one replica, over all routers
    pub account: Option<Arc<str>>,
    pub regions: Option<AllowedRegions>, // regions that may serve it; all if `None`
    pub prompt: Option<PromptShape>,
    pub stream_version: Option<SoftwareVersion>, // of the stream that the caller takes up
    pub config_version: u64,
    pub arrived: Moment,
    pub deadline: Moment,
}

impl Call {
    /// Time left until the deadline.
    pub fn time_left(
        &self,
        now: Moment,
    ) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Identifies requests of equal method, target, account and body, whatever their ids.
    pub fn digest(&self) -> SuspectDigest {
        let account = self.account.as_deref().unwrap_or("");
        let target = self.target.to_string();
        SuspectDigest::of_request(self.method.as_str(), &target, account, &self.body)
    }

    /// The digests of its prompt's parts without the last one, which is its own; empty without a
    /// prompt.
    pub fn part_digests(&self) -> Vec<SuspectDigest> {
        let parts = self.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let digests = shared.iter().take(MAX_SUSPECT_PARTS);
        let digests = digests.map(|part| SuspectDigest::of_part(&self.service, part.id));
        let mut digests: Vec<SuspectDigest> = digests.collect();
        digests.sort_unstable();
        digests.dedup();
        digests
    }

    /// The ids of its prompt's parts, for logs; empty without a prompt.
    pub fn part_ids(&self) -> String {
        let parts = self.prompt.iter().flat_map(|prompt| &prompt.parts);
        let ids: Vec<String> = parts
            .take(MAX_SUSPECT_PARTS)
            .map(|part| format!("{:x}", part.id))
            .collect();
        ids.join(",")
    }

    /// The cost that the account is charged, in tokens.
    pub fn tokens(&self) -> f32 {
        cost(self.prompt.as_ref())
    }
}

/// What a request with this prompt costs its account, in tokens; an output token counts twice. Zero
/// without a prompt.
pub(super) fn cost(prompt: Option<&PromptShape>) -> f32 {
    prompt.map_or(0.0, |prompt| {
        (prompt.tokens() + 2 * prompt.output_tokens) as f32
    })
}
