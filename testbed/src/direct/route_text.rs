/// A route of the operator's configuration.
#[derive(Debug, Clone)]
pub struct RouteText {
    pub prefix: &'static str,
    pub service: &'static str,
    pub kind: &'static str,
    pub attempts: u32,
    pub timeout_ms: u32,
    pub resumable: bool,
    pub public: bool,
    pub regions: &'static [&'static str], // allowed regions, all if empty
    pub split: Vec<(&'static str, u32)>,  // services with their weights, in place of `service`
}

impl RouteText {
    /// A route with a timeout of ten seconds and at most two attempts.
    pub fn new(
        prefix: &'static str,
        service: &'static str,
        kind: &'static str,
    ) -> Self {
        Self {
            prefix,
            service,
            kind,
            attempts: 2,
            timeout_ms: 10_000,
            resumable: true,
            public: false,
            regions: &[],
            split: Vec::new(),
        }
    }
}
