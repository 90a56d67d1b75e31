//! Whether the process of a neighbour that sent nothing for a while still runs.

use {
    super::{
        neighbour_connection::{ask_neighbour, open_connection},
        probe_outcome::ProbeOutcome,
    },
    std::{io, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time-out of a probe for connecting and, separately, for the answer: far more than a running
/// process needs, also one that is short of processor time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks a neighbour on a new connection for a sign of life: any answer to the check.
pub async fn probe_neighbour(
    own_address: SocketAddr,
    neighbour: SocketAddr,
) -> ProbeOutcome {
    let outcome: io::Result<()> = async {
        let stream = open_connection(own_address, neighbour, PROBE_TIMEOUT).await?;
        timeout(PROBE_TIMEOUT, ask_neighbour(stream, neighbour)).await??;
        Ok(())
    }
    .await;
    match outcome {
        Ok(()) => ProbeOutcome::Answered,
        Err(error) => {
            log::info!(neighbour = neighbour.to_string().as_str(); "neighbour does not answer: {error}");
            match error.kind() {
                io::ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
                _ => ProbeOutcome::Silent,
            }
        }
    }
}
