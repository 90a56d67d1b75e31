//! Asking another router for what it has in advance of this one.

use {
    super::{CatalogNews, own_certificate::SERVER_NAME},
    crate::{
        catalog::CatalogVersion,
        codes::{Fault, ResultCode},
        wire::{encode_frame, read_frame},
    },
    quinn::{Connection, Endpoint},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// How long connecting and the answer may take, each.
const ASK_TIME: Duration = Duration::from_millis(1500);

/// Asks a router for its news: codes 70 to 74.
pub async fn ask_news(
    endpoint: &Endpoint,
    address: SocketAddr,
    ours: CatalogVersion,
) -> Result<CatalogNews, Fault> {
    let connecting = endpoint
        .connect(address, SERVER_NAME)
        .map_err(Fault::unreachable)?;
    let connection = timeout(ASK_TIME, connecting)
        .await
        .map_err(Fault::unreachable)?
        .map_err(Fault::unreachable)?;
    let answer = timeout(ASK_TIME, ask(&connection, ours)).await;
    connection.close(0u32.into(), b"done");
    answer.map_err(Fault::unreachable)?
}

async fn ask(
    connection: &Connection,
    ours: CatalogVersion,
) -> Result<CatalogNews, Fault> {
    let (mut send, mut recv) = connection.open_bi().await.map_err(Fault::unreachable)?;
    let question = encode_frame(&ours)?;
    send.write_all(&question)
        .await
        .map_err(Fault::unreachable)?;
    send.finish().map_err(Fault::unreachable)?;
    read_frame(&mut recv)
        .await?
        .ok_or_else(|| Fault::new(ResultCode::FrameMalformed, "no answer"))
}
