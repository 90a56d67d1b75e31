use {
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// How long a connection may take.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// The least time between two connections.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Waits until the upstream has ended and another listens in its place. A connection on
/// which nothing is sent shows its end at once, so that a quick restart is seen; one that
/// the upstream closes and lives on is replaced.
pub async fn upstream_restarted(address: SocketAddr) {
    let mut has_ended = false;
    loop {
        let begun = Instant::now();
        match timeout(CONNECT_TIME, TcpStream::connect(address)).await {
            Ok(Ok(_)) if has_ended => return,
            Ok(Ok(stream)) => wait_for_end(stream).await,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                if !has_ended {
                    log::info!("the upstream that left has ended");
                }
                has_ended = true;
                sleep(LOOK_PAUSE).await;
            }
            Ok(Err(error)) => log::debug!("no connection to the upstream: {error}"),
            Err(_) => log::debug!("no connection to the upstream in time"),
        }
        if !has_ended {
            sleep(LOOK_PAUSE.saturating_sub(begun.elapsed())).await;
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
