//! Routers of the last landed build and of this one run side by side while machines are
//! replaced. What that build sends is kept here as files, which this one must read; and
//! what this one sends of the same kinds must be the same bytes, since that build refuses
//! a message that is longer than it knows.
//!
//! How a message may change is in docs/DEVELOPERS.md.

use {
    archmast::{
        catalog::{CatalogVersion, Cordon, CordonSnapshot, UpstreamRecord, UpstreamUpdate},
        codes::ResultCode,
        peers::{
            CatalogUpdate, PeerMessage, ReportBody, RouterContact, RouterReport, SuspectsMessage,
            ZoneSummary,
        },
        policy::{
            placement::{EngineLatency, LatencyReport, Load, PartPlacement, ReplicaReport},
            shares::AccountUsage,
            suspects::{CrashReport, RequestDigest, SuspectReport},
        },
        wire::{decode_payload, encode_frame, encode_payload, read_frame},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt::Debug, net::SocketAddr},
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn version() -> CatalogVersion {
    CatalogVersion {
        config: 7,
        upstreams: 300,
    }
}

fn figures() -> ReportBody {
    ReportBody {
        replicas: vec![ReplicaReport {
            start_hash: 0xfeed_beef,
            load: Load {
                running: 3,
                prefill_tokens: 4000,
                kv_tokens: 5000,
            },
            placed_tokens: 1 << 40,
            is_ejected: true,
        }],
        accounts: vec![(
            9,
            AccountUsage {
                requested: 1.5,
                allocated: 0.25,
            },
        )],
        placements: vec![PartPlacement {
            start_hash: 2,
            part: u64::MAX,
            shared: true,
        }],
        latency_reports: vec![LatencyReport {
            service_hash: 4,
            times: EngineLatency {
                fixed_ms: 40.0,
                token_ms: 0.03,
                residual_ms: 12.0,
            },
            samples: 5000,
        }],
    }
}

fn report() -> PeerMessage {
    PeerMessage::Report(RouterReport {
        address: address(1),
        update_address: address(2),
        caller_address: address(3),
        zone: 5,
        incarnation: 1_700_000_000_000,
        sequence: 77,
        is_leaving: true,
        busy_percent: 40,
        millicores: 90,
        is_store_unavailable: true,
        version: version(),
        body: figures(),
    })
}

fn sum() -> PeerMessage {
    PeerMessage::Summary(ZoneSummary {
        zone: 5,
        representative: address(1),
        update_address: address(2),
        incarnation: 1_700_000_000_000,
        sequence: 78,
        routers: 10,
        version: version(),
        body: figures(),
        members: vec![address(4), address(5)],
    })
}

fn router() -> RouterContact {
    RouterContact {
        address: address(6),
        zone: 8,
    }
}

fn suspects() -> PeerMessage {
    let end = CrashReport {
        key: 11,
        replica: 12,
        started_ago_ms: 2000,
        crashed_ago_ms: 1000,
        is_early: true,
        is_cleared: false,
    };
    PeerMessage::Suspects(SuspectsMessage {
        zone: 5,
        reporter: address(1),
        reports: vec![SuspectReport {
            request: RequestDigest::new("POST", "/a/b", "lot", b"body"),
            account: 13,
            crashes: vec![end],
        }],
    })
}

fn news() -> CatalogUpdate {
    CatalogUpdate {
        config: Some("{\"version\":7}".to_owned()),
        upstreams: UpstreamUpdate {
            records: vec![
                UpstreamRecord {
                    id: "i-a".to_owned(),
                    revision: 299,
                    text: Some("{}".to_owned()),
                },
                UpstreamRecord {
                    id: "i-b".to_owned(),
                    revision: 300,
                    text: None,
                },
            ],
            revision: 300,
            is_snapshot: false,
        },
    }
}

/// A datagram of the landed build reads as this message, which is sent as the same bytes.
fn datagram_is_kept(
    kept: &[u8],
    message: PeerMessage,
) {
    assert_eq!(encode_payload(&message).as_deref(), Ok(kept));
    assert_eq!(decode_payload::<PeerMessage>(kept), Ok(message));
}

/// The same for a frame of a stream.
async fn frame_is_kept<T>(
    kept: &[u8],
    message: T,
) where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(encode_frame(&message).as_deref(), Ok(kept));
    let mut stream = kept;
    assert_eq!(read_frame::<T, _>(&mut stream).await, Ok(Some(message)));
}

#[test]
fn datagrams_of_the_landed_build_are_read_and_sent_alike() {
    datagram_is_kept(include_bytes!("messages/landed/report"), report());
    datagram_is_kept(include_bytes!("messages/landed/sum"), sum());
    datagram_is_kept(
        include_bytes!("messages/landed/ask"),
        PeerMessage::Ask(router()),
    );
    datagram_is_kept(
        include_bytes!("messages/landed/names"),
        PeerMessage::Names(vec![router()]),
    );
    datagram_is_kept(include_bytes!("messages/landed/suspects"), suspects());
}

#[tokio::test]
async fn questions_and_news_of_the_landed_build_are_read_and_sent_alike() {
    frame_is_kept(include_bytes!("messages/landed/question"), version()).await;
    frame_is_kept(include_bytes!("messages/landed/news"), news()).await;
}

#[tokio::test]
async fn what_follows_the_news_is_read_by_builds_that_know_it_and_by_no_other() {
    let cordons = CordonSnapshot {
        cordons: vec![Cordon {
            zone: "z-1".to_owned(),
            revision: 299,
        }],
        revision: 300,
    };
    let mut bytes = include_bytes!("messages/landed/news").to_vec();
    bytes.extend(encode_frame(&cordons).expect("a frame"));
    let mut stream = bytes.as_slice();
    assert_eq!(read_frame(&mut stream).await, Ok(Some(news())));
    assert_eq!(read_frame(&mut stream).await, Ok(Some(cordons)));
    // The landed build sends nothing after its news.
    let mut alone = include_bytes!("messages/landed/news").as_slice();
    assert_eq!(read_frame(&mut alone).await, Ok(Some(news())));
    assert_eq!(read_frame::<CordonSnapshot, _>(&mut alone).await, Ok(None));
}

#[test]
fn a_message_of_an_unknown_kind_or_with_more_in_it_is_refused_by_number() {
    let mut longer = include_bytes!("messages/landed/report").to_vec();
    longer.push(0);
    let mut unknown = include_bytes!("messages/landed/ask").to_vec();
    unknown[1] = 250; // the kind
    for bytes in [longer, unknown] {
        let error = decode_payload::<PeerMessage>(&bytes).expect_err("refused");
        assert_eq!(error.code, ResultCode::FrameMalformed);
    }
}
