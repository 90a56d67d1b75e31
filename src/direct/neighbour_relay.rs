//! Forwards callers' connections to a neighbour, a less busy router of the same zone, while
//! this router is short of processor time.
//!
//! The load balancer spreads callers by a hash, so a caller that sends more than a small host
//! can serve reaches the same host again and again, also after refusals.

use {
    super::sockets::configure_outgoing_socket,
    crate::codes::{ErrorAnswer, ResultCode},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, Interest},
        net::{TcpSocket, TcpStream},
        sync::watch,
        time::timeout,
    },
};

/// Time-out for connecting to the neighbour: about a hundred round trips inside a zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Size of the relay buffer for each direction.
const BUFFER_BYTES: usize = 8 * 1024;

/// While the router stops, a connection without traffic for this long counts as idle: longer
/// than the pauses within streams.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Connects to a neighbour from this router's own address, by which the neighbour sees that the
/// connection was forwarded already.
pub async fn connect_to_neighbour(
    own_address: SocketAddr,
    neighbour: SocketAddr,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(own_address.ip(), 0))?;
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(neighbour)).await??;
    configure_outgoing_socket(&stream);
    Ok(stream)
}

/// Relays bytes in both directions until one end closes. If the neighbour closes between a
/// request and its answer, the caller gets an error answer.
pub async fn relay_to_neighbour(
    mut caller: TcpStream,
    mut neighbour: TcpStream,
    mut closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut from_caller = vec![0; BUFFER_BYTES];
    let mut from_neighbour = vec![0; BUFFER_BYTES];
    let mut awaits_answer = false;
    if caller.ready(Interest::READABLE).await?.is_read_closed() {
        // The caller disconnected while its request waited here: it must not be run.
        return Ok(());
    }
    loop {
        let is_closing = *closing.borrow();
        tokio::select! {
            read = caller.read(&mut from_caller) => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                awaits_answer = true;
                neighbour.write_all(&from_caller[..count]).await?;
            }
            read = neighbour.read(&mut from_neighbour) => {
                let count = read.unwrap_or(0);
                if count == 0 && awaits_answer {
                    return caller.write_all(lost_answer_response().as_bytes()).await;
                }
                if count == 0 {
                    return Ok(());
                }
                awaits_answer = false;
                caller.write_all(&from_neighbour[..count]).await?;
            }
            changed = closing.changed(), if !is_closing => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            () = tokio::time::sleep(STOPPING_IDLE_TIMEOUT), if is_closing && !awaits_answer => {
                return Ok(());
            }
        }
    }
}

/// The answer for a caller whose request was relayed to a neighbour that closed the connection:
/// the request may have run.
fn lost_answer_response() -> String {
    let error = ErrorAnswer::new(ResultCode::OutcomeUnknown);
    let body = error.to_json("");
    format!(
        "HTTP/1.1 {} Bad Gateway\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        error.status(),
        body.len(),
    )
}
