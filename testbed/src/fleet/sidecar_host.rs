use {
    super::{Process, SidecarPlan, UpstreamPlan},
    crate::{
        proxy::{TcpProxy, UdpProxy},
        standin::{Engine, PlainService, RunLog},
    },
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
};

/// A stand-in behind a sidecar.
pub enum Upstream {
    Engine(Engine),
    Plain(PlainService),
}

impl Upstream {
    /// Starts what the plan says.
    pub async fn start(
        ip: IpAddr,
        plan: &UpstreamPlan,
    ) -> Self {
        match plan {
            UpstreamPlan::Engine(settings) => Self::Engine(Engine::start(ip, *settings).await),
            UpstreamPlan::Plain { slots, time } => {
                Self::Plain(PlainService::start(ip, *slots, *time).await)
            }
        }
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Plain(service) => service.address,
        }
    }

    /// What ran here.
    pub fn log(&self) -> &Arc<RunLog> {
        match self {
            Self::Engine(engine) => &engine.log,
            Self::Plain(service) => &service.log,
        }
    }

    /// The engine, where it is one.
    pub fn engine(&self) -> &Engine {
        match self {
            Self::Engine(engine) => engine,
            Self::Plain(_) => panic!("a plain service is no engine"),
        }
    }

    /// The plain service, where it is one.
    pub fn plain(&self) -> &PlainService {
        match self {
            Self::Plain(service) => service,
            Self::Engine(_) => panic!("an engine is no plain service"),
        }
    }
}

/// One sidecar's process, its upstream, and the proxies on both sides.
pub struct SidecarHost {
    pub plan: SidecarPlan,
    pub process: Process,
    pub upstream: Upstream,
    pub link: UdpProxy,          // between routers and the sidecar
    pub upstream_link: TcpProxy, // between the sidecar and its upstream
    pub operator: SocketAddr,
    pub source: SocketAddr, // from which its packets come
}
