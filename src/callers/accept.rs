use {
    super::{CallerLedger, CallerSlot},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of callers until the task is aborted. `serve` starts to serve one; those that
/// there is no room for are closed.
pub async fn accept_callers(
    listener: TcpListener,
    ledger: &Arc<CallerLedger>,
    serve: impl Fn(TcpStream, SocketAddr, Arc<CallerSlot>),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                if let Some(slot) = ledger.open().await {
                    serve(stream, from, slot);
                }
            }
            Err(error) => {
                log::warn!("cannot accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
