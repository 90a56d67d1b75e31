use {super::FleetText, crate::standin::EngineSettings, std::time::Duration};

/// Requests that a framed service runs at once.
const FRAMED_SLOTS: usize = 4;

/// The stand-in upstream behind a sidecar.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamPlan {
    Engine(EngineSettings),
    Plain { slots: usize, time: Duration },
    Framed { slots: usize, is_model: bool },
}

impl UpstreamPlan {
    /// Number of requests that it runs at once.
    pub fn slots(&self) -> usize {
        match self {
            Self::Engine(settings) => settings.slots,
            Self::Plain { slots, .. } | Self::Framed { slots, .. } => *slots,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Engine(_) | Self::Framed { is_model: true, .. } => "model",
            Self::Plain { .. } | Self::Framed { .. } => "plain",
        }
    }
}

/// One sidecar with its upstream.
#[derive(Debug, Clone)]
pub struct SidecarPlan {
    pub host: String,
    pub zone: String,
    pub labels: String,
    pub upstream: UpstreamPlan,
}

/// Description of a fleet to start.
#[derive(Debug, Clone, Default)]
pub struct FleetPlan {
    pub routers: Vec<(String, String)>, // host and zone
    pub sidecars: Vec<SidecarPlan>,
    pub config: FleetText,                       // without the hosts' labels
    pub router_settings: Vec<(String, String)>,  // section.key and value
    pub sidecar_settings: Vec<(String, String)>, // section.key and value
    pub one_way_delay: Duration, // delay added to each packet between routers and sidecars
}

impl FleetPlan {
    /// A plan with this configuration, without hosts. Some waiting times are set shorter
    /// than shipped, to speed tests up.
    pub fn new(config: FleetText) -> Self {
        Self {
            config,
            ..Self::default()
        }
        .set_both("platform.retry_pause", "300 ms")
        .set_both("platform.bootstrap_wait", "1 s")
        .set_router("stop.balancer_lag", "300 ms")
        .set_sidecar("once.key_quarantine", "0 ms")
    }

    /// Adds `count` routers, spread over three zones.
    pub fn routers(
        mut self,
        count: usize,
    ) -> Self {
        for index in 0..count {
            self.routers
                .push((format!("r{}", index + 1), format!("z{}", index % 3 + 1)));
        }
        self
    }

    /// Adds `count` engines with their sidecars, spread over three zones.
    pub fn engines(
        self,
        count: usize,
        settings: EngineSettings,
    ) -> Self {
        self.upstreams(count, "m", UpstreamPlan::Engine(settings))
    }

    /// Adds `count` plain services with their sidecars, spread over three zones. Each
    /// runs `slots` requests at once and takes `time` for each.
    pub fn plains(
        self,
        count: usize,
        slots: usize,
        time: Duration,
    ) -> Self {
        self.upstreams(count, "p", UpstreamPlan::Plain { slots, time })
    }

    /// Adds `count` services whose answers are framed as the test says, with their sidecars.
    /// They serve a group of models, or a plain one.
    pub fn framed(
        self,
        count: usize,
        is_model: bool,
    ) -> Self {
        let slots = FRAMED_SLOTS;
        self.upstreams(count, "f", UpstreamPlan::Framed { slots, is_model })
    }

    /// Sets a setting (`section.key`) of all routers.
    pub fn set_router(
        mut self,
        key: &str,
        value: &str,
    ) -> Self {
        self.router_settings
            .push((key.to_owned(), value.to_owned()));
        self
    }

    /// Sets a setting (`section.key`) of all sidecars.
    pub fn set_sidecar(
        mut self,
        key: &str,
        value: &str,
    ) -> Self {
        self.sidecar_settings
            .push((key.to_owned(), value.to_owned()));
        self
    }

    /// Sets a setting (`section.key`) of all routers and sidecars.
    pub fn set_both(
        self,
        key: &str,
        value: &str,
    ) -> Self {
        self.set_router(key, value).set_sidecar(key, value)
    }

    /// Delays every packet between routers and sidecars by this much.
    pub fn one_way_delay(
        mut self,
        delay: Duration,
    ) -> Self {
        self.one_way_delay = delay;
        self
    }

    /// The fleet configuration including the hosts' labels.
    pub fn config_text(&self) -> FleetText {
        self.sidecars
            .iter()
            .fold(self.config.clone(), |text, sidecar| {
                text.host(&sidecar.host, &sidecar.labels)
            })
    }

    fn upstreams(
        mut self,
        count: usize,
        letter: &str,
        upstream: UpstreamPlan,
    ) -> Self {
        for index in 0..count {
            self.sidecars.push(SidecarPlan {
                host: format!("{letter}{}", index + 1),
                zone: format!("z{}", index % 3 + 1),
                labels: format!("kind={}, number={}", upstream.kind(), index + 1),
                upstream,
            });
        }
        self
    }
}
