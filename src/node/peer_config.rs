use {
    super::Node,
    crate::{
        codes::{Fault, ResultCode},
        fleet::{HostList, Revision, VersionedConfig},
        link::Peer,
        wire::{ConfigFrame, StreamOpen, encode_frame, read_frame},
    },
    quinn::{RecvStream, SendStream},
    std::{collections::BTreeMap, sync::Arc},
};

/// Fetches the configuration and host list that a peer has, when newer.
pub async fn fetch_from_peer(
    node: &Node,
    peer: &Peer,
) -> Result<(), Fault> {
    let mut parts = node.config.held_parts();
    let open = StreamOpen::FetchConfig {
        have: parts.keys().cloned().collect(),
    };
    let (_send, mut recv) = peer.open(&open).await?;
    let mut root: Option<(Revision, String)> = None;
    loop {
        match next_bundle(&mut recv).await? {
            ConfigFrame::Root { revision, text } => root = Some((revision, text)),
            ConfigFrame::Part { digest, text } => {
                parts.insert(digest, text.into());
            }
            ConfigFrame::Hosts { revision, hosts } => {
                node.hosts.offer(revision, hosts);
            }
            ConfigFrame::End => break,
        }
    }
    if let Some((revision, text)) = root {
        let needed = VersionedConfig::needed_parts(&text).unwrap_or_default();
        parts.retain(|digest, _| needed.contains(digest));
        node.config
            .offer(revision, text.into(), parts, &peer.host)
            .await;
    }
    Ok(())
}

/// Answers a peer that fetches, leaving out the parts it has.
pub async fn serve_config(
    node: &Node,
    have: &[String],
    mut send: SendStream,
) -> Result<(), Fault> {
    if let Some(config) = node.config.current() {
        let root = ConfigFrame::Root {
            revision: config.revision,
            text: config.root.to_string(),
        };
        write_bundle(&mut send, &root).await?;
        write_parts(&mut send, &config.parts, have).await?;
    }
    let hosts = ConfigFrame::Hosts {
        revision: node.hosts.revision(),
        hosts: HostList::clone(&node.hosts.current()),
    };
    write_bundle(&mut send, &hosts).await?;
    write_bundle(&mut send, &ConfigFrame::End).await?;
    send.finish().map_err(Fault::unreachable)
}

async fn write_parts(
    send: &mut SendStream,
    parts: &BTreeMap<String, Arc<str>>,
    have: &[String],
) -> Result<(), Fault> {
    for (digest, text) in parts {
        if have.contains(digest) {
            continue;
        }
        let part = ConfigFrame::Part {
            digest: digest.clone(),
            text: text.to_string(),
        };
        write_bundle(send, &part).await?;
    }
    Ok(())
}

async fn write_bundle(
    send: &mut SendStream,
    bundle: &ConfigFrame,
) -> Result<(), Fault> {
    let frame = encode_frame(bundle)?;
    send.write_all(&frame).await.map_err(Fault::unreachable)
}

async fn next_bundle(recv: &mut RecvStream) -> Result<ConfigFrame, Fault> {
    read_frame(recv)
        .await?
        .ok_or_else(|| Fault::new(ResultCode::PeerUnreachable, "cut configuration"))
}
