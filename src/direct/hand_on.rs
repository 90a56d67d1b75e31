//! Handing callers' connections on to a neighbour, where this router is short of
//! processor and others of its zone are not.
//!
//! The balancer spreads callers by a hash: one caller that asks for more than a
//! small host bears meets the same host again and again, also when it is refused.

use {
    super::sockets::watch_over,
    crate::codes::{ErrorAnswer, ResultCode},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, Interest},
        net::{TcpSocket, TcpStream},
        sync::watch,
        time::timeout,
    },
};

/// How long the connection to the neighbour may take: some hundred round trips
/// inside a zone.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// Bytes that are passed on at once.
const BUFFER: usize = 8 * 1024;

/// While the router stops, a connection that was silent this long is at rest: longer
/// than streams pause.
const QUIET: Duration = Duration::from_millis(2500);

/// Connects to a neighbour, from this router's own address, by which the neighbour
/// knows that the callers were handed on already.
pub async fn connect_to_neighbour(
    own: SocketAddr,
    neighbour: SocketAddr,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(own.ip(), 0))?;
    let stream = timeout(CONNECT_TIME, socket.connect(neighbour)).await??;
    watch_over(&stream);
    Ok(stream)
}

/// Passes bytes on until one end closes. A caller whose neighbour is gone before its
/// answer began is told so.
pub async fn pass_on(
    mut caller: TcpStream,
    mut neighbour: TcpStream,
    mut closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut from_caller = vec![0; BUFFER];
    let mut from_neighbour = vec![0; BUFFER];
    let mut awaits_answer = false;
    if caller.ready(Interest::READABLE).await?.is_read_closed() {
        // It left while its request waited here: nobody is to run that.
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
                    return caller.write_all(lost_answer().as_bytes()).await;
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
            () = tokio::time::sleep(QUIET), if is_closing && !awaits_answer => {
                return Ok(());
            }
        }
    }
}

/// What a caller gets whose request went to a neighbour that is gone: it may have
/// run.
fn lost_answer() -> String {
    let error = ErrorAnswer::new(ResultCode::OutcomeUnknown);
    let body = error.to_json("");
    format!(
        "HTTP/1.1 {} Bad Gateway\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        error.status(),
        body.len(),
    )
}
