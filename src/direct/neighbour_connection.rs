//! Connections to a neighbour, a less busy router of the same zone, and the check that it serves
//! callers. The kernel accepts connections and bytes for a suspended process too, so that only an
//! answer shows that a request will be looked at.

use {
    super::{gateway::Gateway, sockets::configure_outgoing_socket},
    crate::callers::{ReplyBody, full_body},
    bytes::Bytes,
    http_body_util::{BodyExt, Empty},
    hyper::{
        Method, Request, Response, StatusCode,
        client::conn::http1,
        header::{CONNECTION, HOST},
        http::response::Parts,
    },
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpSocket, TcpStream},
        time::timeout,
    },
};

/// Time-out for connecting to the neighbour and, separately, for its answer to the check: about a
/// hundred round trips inside a zone.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time-out for connecting to a neighbour that is not checked: a router that lags may look at the
/// connection this late.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Target of the check, a request `OPTIONS *`, which no route serves.
const CHECK_TARGET: &str = "*";

/// Connects to a neighbour from this router's own address, by which the neighbour sees that the
/// connection was forwarded already, and checks that it serves callers if it did not show that
/// lately. Fails if it does not answer in time, or refuses requests.
pub async fn connect_to_neighbour(
    gateway: &Gateway,
    neighbour: SocketAddr,
) -> io::Result<TcpStream> {
    let own_address = gateway.settings().caller_listen;
    let checks = &gateway.neighbour_checks;
    if checks.is_dispensable(gateway, neighbour) {
        return open_connection(own_address, neighbour, CONNECT_TIMEOUT).await;
    }
    let started = gateway.now();
    match open_checked(own_address, neighbour).await {
        Ok(stream) => {
            checks.record(gateway.now(), neighbour);
            Ok(stream)
        }
        // A neighbour that reported meanwhile runs: this router was late itself.
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            let now = gateway.now();
            let waited = now.saturating_sub(started);
            match gateway.peers.has_recent_report(now, waited, neighbour) {
                true => open_connection(own_address, neighbour, CONNECT_TIMEOUT).await,
                false => Err(error),
            }
        }
        Err(error) => Err(error),
    }
}

async fn open_checked(
    own_address: SocketAddr,
    neighbour: SocketAddr,
) -> io::Result<TcpStream> {
    let stream = open_connection(own_address, neighbour, CHECK_TIMEOUT).await?;
    timeout(CHECK_TIMEOUT, check(stream, neighbour)).await?
}

/// Opens a connection to a neighbour from this router's own address.
pub(super) async fn open_connection(
    own_address: SocketAddr,
    neighbour: SocketAddr,
    limit: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(own_address.ip(), 0))?;
    let stream = timeout(limit, socket.connect(neighbour)).await??;
    configure_outgoing_socket(&stream);
    Ok(stream)
}

/// Sends the check on a new connection and returns the connection after a good answer.
async fn check(
    stream: TcpStream,
    neighbour: SocketAddr,
) -> io::Result<TcpStream> {
    let (head, stream) = ask_neighbour(stream, neighbour).await?;
    // Builds without this check answer that no route has this target.
    let serves = head.status.is_success() || head.status == StatusCode::NOT_FOUND;
    if !serves || head.headers.contains_key(CONNECTION) {
        let detail = format!("the neighbour refuses: {}", head.status);
        return Err(io::Error::other(detail));
    }
    Ok(stream)
}

/// Sends the check on a new connection. Returns the head of the answer, and the connection.
pub(super) async fn ask_neighbour(
    stream: TcpStream,
    neighbour: SocketAddr,
) -> io::Result<(Parts, TcpStream)> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    let request = Request::builder()
        .method(Method::OPTIONS)
        .uri(CHECK_TARGET)
        .header(HOST, neighbour.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    // The connection ends, and gives its socket back, when the sender is dropped.
    let exchange = async move {
        let (head, body) = sender.send_request(request).await?.into_parts();
        body.collect().await?;
        Ok::<Parts, hyper::Error>(head)
    };
    let (answered, ended) = tokio::join!(exchange, connection.without_shutdown());
    let head = answered.map_err(io::Error::other)?;
    let socket = ended.map_err(io::Error::other)?.io;
    Ok((head, socket.into_inner()))
}

/// Whether a request is the check of another router.
pub fn is_neighbour_check<B>(request: &Request<B>) -> bool {
    request.method() == Method::OPTIONS && request.uri().path() == CHECK_TARGET
}

/// The answer to another router's check: whether requests would be refused.
pub fn answer_neighbour_check(gateway: &Gateway) -> Response<ReplyBody> {
    let refuses = gateway.is_stopping()
        || gateway.is_unconfirmed()
        || gateway.processor.is_lagging()
        || !gateway.callers.has_room()
        || !gateway.version_in_use().is_complete();
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = match refuses {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NO_CONTENT,
    };
    response
}
