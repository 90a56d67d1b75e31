//! Routers of the last released build and of this build run side by side during an upgrade. The
//! messages of the released build are recorded in `messages/landed`: this build must read them, and
//! must encode the same messages to the same bytes, since the released build refuses a message that
//! is longer than it expects.
//!
//! How a message may change is described in docs/DEVELOPERS.md.

use {
    archmast::{
        catalog::{
            CarriedCordon, CarriedEntry, CatalogVersion, Cordon, CordonSnapshot, UpstreamRecord,
            UpstreamUpdate,
        },
        codes::ResultCode,
        peers::{
            CatalogUpdate, ErasMessage, KnowsEras, PeerMessage, ReportBody, RouterContact,
            RouterReport, SuspectsMessage, ZoneSummary,
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

fn report_body() -> ReportBody {
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
        body: report_body(),
    })
}

fn summary() -> PeerMessage {
    PeerMessage::Summary(ZoneSummary {
        zone: 5,
        representative: address(1),
        update_address: address(2),
        incarnation: 1_700_000_000_000,
        sequence: 78,
        routers: 10,
        version: version(),
        body: report_body(),
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
    let crash = CrashReport {
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
            crashes: vec![crash],
        }],
    })
}

fn update() -> CatalogUpdate {
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

/// Checks that a recorded datagram decodes to this message, which encodes to the same bytes.
fn check_datagram(
    recorded: &[u8],
    message: PeerMessage,
) {
    assert_eq!(encode_payload(&message).as_deref(), Ok(recorded));
    assert_eq!(decode_payload::<PeerMessage>(recorded), Ok(message));
}

/// The same for a frame of a stream.
async fn check_frame<T>(
    recorded: &[u8],
    message: T,
) where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(encode_frame(&message).as_deref(), Ok(recorded));
    let mut stream = recorded;
    assert_eq!(read_frame::<T, _>(&mut stream).await, Ok(Some(message)));
}

#[test]
fn datagrams_of_the_released_build_are_read_and_sent_alike() {
    check_datagram(include_bytes!("messages/landed/report"), report());
    check_datagram(include_bytes!("messages/landed/sum"), summary());
    check_datagram(
        include_bytes!("messages/landed/ask"),
        PeerMessage::Ask(router()),
    );
    check_datagram(
        include_bytes!("messages/landed/names"),
        PeerMessage::Names(vec![router()]),
    );
    check_datagram(include_bytes!("messages/landed/suspects"), suspects());
}

#[tokio::test]
async fn questions_and_updates_of_the_released_build_are_read_and_sent_alike() {
    check_frame(include_bytes!("messages/landed/question"), version()).await;
    check_frame(include_bytes!("messages/landed/news"), update()).await;
}

#[tokio::test]
async fn data_after_an_update_is_read_only_by_builds_that_know_it() {
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
    assert_eq!(read_frame(&mut stream).await, Ok(Some(update())));
    assert_eq!(read_frame(&mut stream).await, Ok(Some(cordons)));
    // The released build sends nothing after its update.
    let mut alone = include_bytes!("messages/landed/news").as_slice();
    assert_eq!(read_frame(&mut alone).await, Ok(Some(update())));
    assert_eq!(read_frame::<CordonSnapshot, _>(&mut alone).await, Ok(None));
}

#[test]
fn a_message_of_an_unknown_kind_or_with_extra_bytes_is_refused_as_malformed() {
    let mut longer = include_bytes!("messages/landed/report").to_vec();
    longer.push(0);
    let mut unknown = include_bytes!("messages/landed/ask").to_vec();
    unknown[1] = 250; // the kind
    for bytes in [longer, unknown] {
        let error = decode_payload::<PeerMessage>(&bytes).expect_err("refused");
        assert_eq!(error.code, ResultCode::FrameMalformed);
    }
}

/// The released build refuses datagrams on eras and reads a request for an update without the
/// frame behind it.
#[tokio::test]
async fn what_is_told_of_eras_leaves_the_released_messages_as_they_are() {
    let message = PeerMessage::Eras(ErasMessage {
        zone: 5,
        reporter: address(1),
        is_reader: true,
        era: 2,
        entries: vec![CarriedEntry {
            record: update().upstreams.records[1].clone(),
            remaining_ms: Some(900),
        }],
        cordons: vec![CarriedCordon {
            zone: "z-1".to_owned(),
            remaining_ms: 3000,
        }],
    });
    let bytes = encode_payload(&message).expect("a datagram");
    assert_eq!(decode_payload(&bytes), Ok(message));
    let mut request = include_bytes!("messages/landed/question").to_vec();
    request.extend(encode_frame(&KnowsEras).expect("a frame"));
    let mut stream = request.as_slice();
    assert_eq!(read_frame(&mut stream).await, Ok(Some(version())));
    assert_eq!(read_frame(&mut stream).await, Ok(Some(KnowsEras)));
    let mut alone = include_bytes!("messages/landed/question").as_slice();
    assert_eq!(read_frame(&mut alone).await, Ok(Some(version())));
    assert_eq!(read_frame::<KnowsEras, _>(&mut alone).await, Ok(None));
}
