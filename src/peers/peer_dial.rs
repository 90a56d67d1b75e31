//! One connection that this router opened to another, and what goes over it.

use {
    super::{CatalogNews, PeerLink, own_certificate::SERVER_NAME},
    crate::{
        catalog::CatalogVersion,
        codes::{Fault, ResultCode},
        wire::{encode_frame, read_frame},
    },
    bytes::Bytes,
    quinn::Connection,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::broadcast::error::RecvError, time::timeout},
};

/// How long connecting and questions may take.
const DIAL_TIME: Duration = Duration::from_millis(1500);
const QUESTION_TIME: Duration = Duration::from_millis(1500);

/// Pause after a lost connection, at least; up to twice that, at random.
const DIAL_PAUSE: Duration = Duration::from_millis(300);

/// Keeps a connection to a router for as long as it is known.
pub async fn keep_peer(
    link: Arc<PeerLink>,
    address: SocketAddr,
) {
    let mut was_up = false;
    while link.gateway.peers.knows(address) {
        match dial(&link, address).await {
            Ok(connection) => {
                was_up = true;
                let error = serve(&link, address, &connection).await;
                log::info!(peer = address.to_string().as_str(); "router lost: {error}");
            }
            Err(error) if was_up => {
                was_up = false;
                log::info!(peer = address.to_string().as_str(); "router not reached: {error}");
            }
            Err(error) => log::debug!("router {address} not reached: {error}"),
        }
        tokio::time::sleep(DIAL_PAUSE.mul_f64(1.0 + rand::random::<f64>())).await;
    }
}

async fn dial(
    link: &PeerLink,
    address: SocketAddr,
) -> Result<Connection, Fault> {
    let connecting = link
        .endpoint
        .connect(address, SERVER_NAME)
        .map_err(Fault::unreachable)?;
    timeout(DIAL_TIME, connecting)
        .await
        .map_err(Fault::unreachable)?
        .map_err(Fault::unreachable)
}

/// Sends reports, and asks for news when the peer is ahead, until it is lost.
async fn serve(
    link: &Arc<PeerLink>,
    address: SocketAddr,
    connection: &Connection,
) -> Fault {
    let mut reports = link.reports.subscribe();
    let mut heard = link.heard.subscribe();
    link.tell_now();
    loop {
        tokio::select! {
            report = reports.recv() => match report {
                Ok(report) => {
                    if let Err(error) = send_report(connection, report).await {
                        return error;
                    }
                }
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return Fault::unreachable("stopping"),
            },
            error = connection.closed() => return Fault::unreachable(error),
            _ = heard.changed() => {
                if let Err(error) = ask_if_behind(link, address, connection).await {
                    log::debug!("router {address} gave no news: {error}");
                }
            }
        }
    }
}

async fn send_report(
    connection: &Connection,
    report: Bytes,
) -> Result<(), Fault> {
    let mut stream = connection.open_uni().await.map_err(Fault::unreachable)?;
    stream
        .write_all(&report)
        .await
        .map_err(Fault::unreachable)?;
    stream.finish().map_err(Fault::unreachable)
}

/// Fetches what the peer has in advance of this router.
async fn ask_if_behind(
    link: &PeerLink,
    address: SocketAddr,
    connection: &Connection,
) -> Result<(), Fault> {
    let theirs = link.gateway.peers.version(address);
    let ours = link.gateway.catalog.version();
    let behind = theirs.config > ours.config || theirs.upstreams > ours.upstreams;
    if !behind {
        return Ok(());
    }
    let news = timeout(QUESTION_TIME, ask(connection, ours))
        .await
        .map_err(Fault::unreachable)??;
    let from = address.to_string();
    if let Some(text) = &news.config {
        link.gateway.catalog.offer_config(text, &from)?;
    }
    let catalog = &link.gateway.catalog;
    catalog.offer_records(news.records, news.upstreams_at, &from);
    Ok(())
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
