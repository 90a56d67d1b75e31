use {
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// How long the upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The minimum time between two connection attempts.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the upstream's process has ended and another listens at its address.
///
/// An idle connection is kept open, because it closes as soon as the process ends: this
/// detects even a quick restart. The process counts as ended once a new connection is
/// refused, so an upstream that merely closes idle connections is connected to again.
pub async fn wait_for_upstream_restart(address: SocketAddr) {
    let mut has_ended = false;
    loop {
        let begun = Instant::now();
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) if has_ended => return,
            Ok(Ok(stream)) => wait_for_end(stream).await,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                if !has_ended {
                    log::info!("the upstream that left has ended");
                }
                has_ended = true;
                sleep(MIN_CONNECT_INTERVAL).await;
            }
            Ok(Err(error)) => log::debug!("no connection to the upstream: {error}"),
            Err(_) => log::debug!("the upstream did not accept a connection in time"),
        }
        if !has_ended {
            sleep(MIN_CONNECT_INTERVAL.saturating_sub(begun.elapsed())).await;
        }
    }
}

async fn wait_for_end(mut stream: TcpStream) {
    let mut byte = [0];
    match stream.read(&mut byte).await {
        Ok(_) => log::debug!("the upstream closed a connection"),
        Err(error) => log::debug!("the upstream broke a connection off: {error}"),
    }
}
