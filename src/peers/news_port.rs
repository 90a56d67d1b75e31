//! Answering other routers that ask for what this one has in advance.

use {
    super::CatalogNews,
    crate::{
        catalog::{Catalog, CatalogVersion, CordonNews},
        ops::CONTROL_BYTES,
        wire::{encode_frame, read_frame},
    },
    quinn::{Endpoint, Incoming, RecvStream, SendStream},
    std::sync::Arc,
};

/// Answers until the endpoint closes.
pub async fn serve_news(
    endpoint: Endpoint,
    catalog: Arc<Catalog>,
) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_asker(incoming, catalog.clone()));
    }
}

async fn serve_asker(
    incoming: Incoming,
    catalog: Arc<Catalog>,
) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("incoming connection of a router: {error}");
            return;
        }
    };
    while let Ok((send, recv)) = connection.accept_bi().await {
        give_news(&catalog, send, recv).await;
    }
}

async fn give_news(
    catalog: &Catalog,
    mut send: SendStream,
    mut recv: RecvStream,
) {
    let Ok(Some(theirs)) = read_frame::<CatalogVersion, _>(&mut recv).await else {
        return;
    };
    let ours = catalog.version();
    let text = catalog
        .config_text()
        .filter(|_| ours.config > theirs.config);
    // First, so that it reflects nothing that the upstreams told with it do not.
    let cordons = catalog.cordon_news();
    let news = CatalogNews {
        config: text.map(|text| text.to_string()),
        upstreams: catalog.news_after(theirs.upstreams),
    };
    let Ok(frame) = encode_frame(&news) else {
        return;
    };
    metrics::counter!(CONTROL_BYTES, "kind" => "news").increment(frame.len() as u64);
    let sent = send.write_all(&frame).await.is_ok() && give_cordons(&cordons, &mut send).await;
    if sent && send.finish().is_err() {
        log::debug!("news not finished");
    }
}

/// Gives what is known of cordons, in a frame of its own: routers of builds that know no
/// cordons read the first frame alone.
async fn give_cordons(
    cordons: &CordonNews,
    send: &mut SendStream,
) -> bool {
    let Ok(frame) = encode_frame(cordons) else {
        return true;
    };
    metrics::counter!(CONTROL_BYTES, "kind" => "news").increment(frame.len() as u64);
    send.write_all(&frame).await.is_ok()
}
