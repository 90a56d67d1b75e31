//! Serves catalog updates over QUIC to routers whose catalog is older.

use {
    super::{CatalogUpdate, KnowsEras},
    crate::{
        catalog::{Catalog, CatalogVersion, CordonSnapshot, StoreRevision, era_of},
        ops::CONTROL_BYTES,
        wire::{encode_frame, read_frame},
    },
    quinn::{Endpoint, Incoming, RecvStream, SendStream},
    std::sync::Arc,
};

/// Accepts connections until the endpoint closes.
pub async fn serve_updates(
    endpoint: Endpoint,
    catalog: Arc<Catalog>,
) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_connection(incoming, catalog.clone()));
    }
}

async fn serve_connection(
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
        answer_request(&catalog, send, recv).await;
    }
}

async fn answer_request(
    catalog: &Catalog,
    mut send: SendStream,
    mut recv: RecvStream,
) {
    let Ok(Some(mut peer_version)) = read_frame::<CatalogVersion, _>(&mut recv).await else {
        return;
    };
    let knows_eras = matches!(read_frame::<KnowsEras, _>(&mut recv).await, Ok(Some(_)));
    let own_version = catalog.version();
    if !knows_eras {
        let revision = StoreRevision {
            era: era_of(own_version.upstreams),
            counter: peer_version.upstreams,
        };
        peer_version.upstreams = revision.pack();
    }
    let text = catalog
        .config_text()
        .filter(|_| own_version.config > peer_version.config);
    // Taken before the upstreams, so that the cordons are of no later revision than those.
    let mut cordons = catalog.cordon_snapshot();
    let mut update = CatalogUpdate {
        config: text.map(|text| text.to_string()),
        upstreams: catalog.upstream_update_after(peer_version.upstreams),
    };
    if !knows_eras {
        update.upstreams.remove_era();
        cordons.remove_era();
    }
    let Ok(frame) = encode_frame(&update) else {
        return;
    };
    metrics::counter!(CONTROL_BYTES, "kind" => "news").increment(frame.len() as u64);
    let sent = send.write_all(&frame).await.is_ok() && send_cordons(&cordons, &mut send).await;
    if sent && send.finish().is_err() {
        log::debug!("catalog update: the peer closed the stream before its end");
    }
}

/// Sends the cordons in a frame of their own: routers of builds without support for cordons
/// read the first frame only.
async fn send_cordons(
    cordons: &CordonSnapshot,
    send: &mut SendStream,
) -> bool {
    let Ok(frame) = encode_frame(cordons) else {
        return true;
    };
    metrics::counter!(CONTROL_BYTES, "kind" => "news").increment(frame.len() as u64);
    send.write_all(&frame).await.is_ok()
}
