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

/// The stand-in upstream behind a sidecar.
pub enum Upstream {
    Engine(Engine),
    Plain(PlainService),
}

impl Upstream {
    /// Starts the upstream that the plan describes.
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

    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Plain(service) => service.address,
        }
    }

    /// The log of requests that reached it.
    pub fn log(&self) -> &Arc<RunLog> {
        match self {
            Self::Engine(engine) => &engine.log,
            Self::Plain(service) => &service.log,
        }
    }

    /// The engine. Panics if it is a plain service.
    pub fn engine(&self) -> &Engine {
        match self {
            Self::Engine(engine) => engine,
            Self::Plain(_) => panic!("the upstream is a plain service, not an engine"),
        }
    }

    /// The plain service. Panics if it is an engine.
    pub fn plain(&self) -> &PlainService {
        match self {
            Self::Plain(service) => service,
            Self::Engine(_) => panic!("the upstream is an engine, not a plain service"),
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
    pub operator: SocketAddr,    // HTTP address for operators
    pub source: SocketAddr,      // source address of its UDP packets
}
