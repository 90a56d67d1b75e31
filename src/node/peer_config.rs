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

/// Fetches the configuration and host list of a peer, and puts them into force if they are newer.
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
        match read_config_frame(&mut recv).await? {
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

/// Sends a peer the configuration in force and the host list. `have` are the digests of the parts
/// that the peer has already; these are left out.
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
        write_config_frame(&mut send, &root).await?;
        write_parts(&mut send, &config.parts, have).await?;
    }
    let hosts = ConfigFrame::Hosts {
        revision: node.hosts.revision(),
        hosts: HostList::clone(&node.hosts.current()),
    };
    write_config_frame(&mut send, &hosts).await?;
    write_config_frame(&mut send, &ConfigFrame::End).await?;
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
        write_config_frame(send, &part).await?;
    }
    Ok(())
}

async fn write_config_frame(
    send: &mut SendStream,
    frame: &ConfigFrame,
) -> Result<(), Fault> {
    let frame = encode_frame(frame)?;
    send.write_all(&frame).await.map_err(Fault::unreachable)
}

async fn read_config_frame(recv: &mut RecvStream) -> Result<ConfigFrame, Fault> {
    read_frame(recv).await?.ok_or_else(|| {
        Fault::new(
            ResultCode::PeerUnreachable,
            "the peer closed the stream before the configuration was complete",
        )
    })
}
