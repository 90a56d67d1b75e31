//! Runs the router and sidecar programs of the granted form on free loopback ports,
//! with stand-ins for the platform and the upstreams and proxies between all of them.

mod caller;
mod deployments;
mod fleet;
mod ini_text;
mod loopback;
mod outcome;
mod plan;
mod process;
mod resident_bytes;
mod sidecar_host;
mod starter;
mod streaming_nonces;
mod tcp_state;
mod throttle;
mod wait;

pub use {
    caller::{Caller, nonce},
    deployments::{Deployment, Work, account_key, association, parking},
    fleet::{Fleet, RouterHost},
    ini_text::{FleetText, overlay},
    loopback::Loopback,
    outcome::Outcome,
    plan::{FleetPlan, SidecarPlan, UpstreamPlan},
    process::{Process, program_path},
    resident_bytes::resident_bytes,
    sidecar_host::{SidecarHost, Upstream},
    streaming_nonces::StreamingNonces,
    tcp_state::is_closed_by_peer,
    throttle::Throttle,
    wait::{wait_until, wait_until_async},
};
