//! Fetches from another router the parts of its catalog that are newer than this router's.

use {
    super::{CatalogUpdate, KnowsEras, self_signed_certificate::SERVER_NAME},
    crate::{
        catalog::{CatalogVersion, CordonSnapshot},
        codes::{Fault, ResultCode},
        wire::{encode_frame, read_frame},
    },
    quinn::{Connection, Endpoint},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time-out for connecting and, separately, for the answer. After one request without an
/// answer there is time for another within 2 s, the shortest `[catalog] apply` in use.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// The answer of another router.
pub struct FetchedUpdate {
    pub catalog: CatalogUpdate,
    pub cordons: Option<CordonSnapshot>, // none from builds without support for cordons
}

/// Connects to the QUIC endpoint of another router. Fails with `PeerUnreachable`.
pub async fn connect(
    endpoint: &Endpoint,
    address: SocketAddr,
) -> Result<Connection, Fault> {
    let connecting = endpoint
        .connect(address, SERVER_NAME)
        .map_err(Fault::unreachable)?;
    timeout(REQUEST_TIMEOUT, connecting)
        .await
        .map_err(Fault::unreachable)?
        .map_err(Fault::unreachable)
}

/// Requests everything newer than `own_version`, and closes the connection on failure. Fails
/// with `PeerUnreachable`, or as [`read_frame`] does for an invalid answer.
pub async fn fetch_update(
    connection: &Connection,
    own_version: CatalogVersion,
) -> Result<FetchedUpdate, Fault> {
    let exchange = timeout(REQUEST_TIMEOUT, request(connection, own_version)).await;
    let answer = exchange.map_err(Fault::unreachable).flatten();
    if answer.is_err() {
        connection.close(0u32.into(), b"failed");
    }
    answer
}

async fn request(
    connection: &Connection,
    own_version: CatalogVersion,
) -> Result<FetchedUpdate, Fault> {
    let (mut send, mut recv) = connection.open_bi().await.map_err(Fault::unreachable)?;
    let mut request = encode_frame(&own_version)?;
    request.extend(encode_frame(&KnowsEras)?);
    send.write_all(&request).await.map_err(Fault::unreachable)?;
    send.finish().map_err(Fault::unreachable)?;
    let catalog = read_frame(&mut recv)
        .await?
        .ok_or_else(|| Fault::new(ResultCode::FrameMalformed, "stream ended before an answer"))?;
    let cordons = read_frame(&mut recv).await?;
    Ok(FetchedUpdate { catalog, cordons })
}
