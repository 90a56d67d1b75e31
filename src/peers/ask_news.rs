//! Asking another router for what it has in advance of this one.

use {
    super::{CatalogNews, own_certificate::SERVER_NAME},
    crate::{
        catalog::{CatalogVersion, CordonNews},
        codes::{Fault, ResultCode},
        wire::{encode_frame, read_frame},
    },
    quinn::{Connection, Endpoint},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// How long connecting and the answer may take, each, before another router is asked:
/// one question that gets no answer leaves time for the next within the shortest
/// [catalog] apply in use (2 s).
const ASK_TIME: Duration = Duration::from_millis(600);

/// What another router told.
pub struct ToldNews {
    pub catalog: CatalogNews,
    pub cordons: Option<CordonNews>, // none by a router of a build that knows none
}

/// Connects to a router that can be asked: code 74.
pub async fn connect(
    endpoint: &Endpoint,
    address: SocketAddr,
) -> Result<Connection, Fault> {
    let connecting = endpoint
        .connect(address, SERVER_NAME)
        .map_err(Fault::unreachable)?;
    timeout(ASK_TIME, connecting)
        .await
        .map_err(Fault::unreachable)?
        .map_err(Fault::unreachable)
}

/// Asks a router for its news: codes 70 to 74. After a failure the connection is
/// closed.
pub async fn ask_news(
    connection: &Connection,
    ours: CatalogVersion,
) -> Result<ToldNews, Fault> {
    let asked = timeout(ASK_TIME, ask(connection, ours)).await;
    let answer = asked.map_err(Fault::unreachable).flatten();
    if answer.is_err() {
        connection.close(0u32.into(), b"failed");
    }
    answer
}

async fn ask(
    connection: &Connection,
    ours: CatalogVersion,
) -> Result<ToldNews, Fault> {
    let (mut send, mut recv) = connection.open_bi().await.map_err(Fault::unreachable)?;
    let question = encode_frame(&ours)?;
    send.write_all(&question)
        .await
        .map_err(Fault::unreachable)?;
    send.finish().map_err(Fault::unreachable)?;
    let catalog = read_frame(&mut recv)
        .await?
        .ok_or_else(|| Fault::new(ResultCode::FrameMalformed, "no answer"))?;
    let cordons = read_frame(&mut recv).await?;
    Ok(ToldNews { catalog, cordons })
}
