use {
    super::{Process, SidecarPlan, UpstreamPlan},
    crate::{
        proxy::{TcpProxy, UdpProxy},
        standin::{Engine, FramedService, PlainService, RunLog},
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
    Framed(FramedService),
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
            UpstreamPlan::Framed { .. } => Self::Framed(FramedService::start(ip).await),
        }
    }

    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Plain(service) => service.address,
            Self::Framed(service) => service.address,
        }
    }

    /// The log of requests that reached it.
    pub fn log(&self) -> &Arc<RunLog> {
        match self {
            Self::Engine(engine) => &engine.log,
            Self::Plain(service) => &service.log,
            Self::Framed(service) => &service.log,
        }
    }

    /// The engine. Panics if it is another upstream.
    pub fn engine(&self) -> &Engine {
        match self {
            Self::Engine(engine) => engine,
            _ => panic!("the upstream is not an engine"),
        }
    }

    /// The plain service. Panics if it is another upstream.
    pub fn plain(&self) -> &PlainService {
        match self {
            Self::Plain(service) => service,
            _ => panic!("the upstream is not a plain service"),
        }
    }

    /// The service with framed answers. Panics if it is another upstream.
    pub fn framed(&self) -> &FramedService {
        match self {
            Self::Framed(service) => service,
            _ => panic!("the upstream is not a framed service"),
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
