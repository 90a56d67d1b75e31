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
            CacheEventsMessage, CatalogUpdate, ErasMessage, EvidenceMessage, KnowsEras,
            LeavingMessage, PeerMessage, QueryScope, ReportBody, RouterContact, RouterReport,
            StreamAnswerMessage, StreamOriginsMessage, StreamQueryMessage, SuspectsMessage,
            ZoneSummary,
        },
        policy::{
            placement::{EngineLatency, LatencyReport, Load, PartPlacement, ReplicaReport},
            shares::AccountUsage,
            streams::{OriginFinding, SoftwareVersion, StreamKey, StreamOrigin},
            suspects::{CrashReport, SuspectDigest, SuspectReport},
        },
        wire::{decode_payload, encode_frame, encode_payload, read_frame},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
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
        is_strong: true,
        is_cleared: false,
    };
    PeerMessage::Suspects(SuspectsMessage {
        zone: 5,
        reporter: address(1),
        reports: vec![SuspectReport {
            digest: SuspectDigest::of_request("POST", "/a/b", "lot", b"body"),
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

/// The datagrams that the released build knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum ReleasedMessage {
    Report(RouterReport),
    Summary(ZoneSummary),
    Ask(RouterContact),
    Names(Vec<RouterContact>),
    Suspects(SuspectsMessage),
    Leaving(LeavingMessage),
    Evidence(EvidenceMessage),
    CacheEvents(CacheEventsMessage),
    Eras(ErasMessage),
}

fn eras() -> ErasMessage {
    ErasMessage {
        zone: 5,
        reporter: address(1),
        is_reader: false,
        era: 0,
        entries: Vec::new(),
        cordons: Vec::new(),
    }
}

fn stream_messages() -> Vec<PeerMessage> {
    let key = StreamKey(0x0102_0304_0506_0708);
    let version = SoftwareVersion(u64::MAX);
    let origin = |version| StreamOrigin {
        key,
        version,
        remaining_ms: 300,
    };
    let query = |scope| PeerMessage::StreamQuery(StreamQueryMessage { key, scope });
    let answer = |finding| {
        PeerMessage::StreamAnswer(StreamAnswerMessage {
            key,
            finding,
            passed_on: 3,
        })
    };
    vec![
        PeerMessage::StreamOrigins(StreamOriginsMessage {
            for_zone: true,
            origins: vec![origin(Some(version)), origin(None)],
        }),
        query(QueryScope::Router),
        query(QueryScope::Zone),
        query(QueryScope::PassedOn(address(1))),
        answer(OriginFinding::Unknown),
        answer(OriginFinding::Known(version)),
        answer(OriginFinding::Ambiguous),
    ]
}

#[test]
fn messages_on_streams_are_read_back_and_refused_by_the_released_build() {
    for message in stream_messages() {
        let bytes = encode_payload(&message).expect("a datagram");
        let error = decode_payload::<ReleasedMessage>(&bytes).expect_err("refused");
        assert_eq!(error.code, ResultCode::FrameMalformed);
        assert_eq!(decode_payload(&bytes), Ok(message));
    }
}

#[test]
fn the_released_build_reads_all_other_messages_as_before() {
    let leaving = LeavingMessage {
        zone: 5,
        reporter: address(1),
        starts: vec![1, u32::MAX],
    };
    let cache_events = CacheEventsMessage {
        zone: 5,
        reporter: address(1),
        replicas: Vec::new(),
    };
    let messages = [
        (
            PeerMessage::Leaving(leaving.clone()),
            ReleasedMessage::Leaving(leaving),
        ),
        (
            PeerMessage::CacheEvents(cache_events.clone()),
            ReleasedMessage::CacheEvents(cache_events),
        ),
        (PeerMessage::Eras(eras()), ReleasedMessage::Eras(eras())),
        (PeerMessage::Ask(router()), ReleasedMessage::Ask(router())),
    ];
    for (message, released) in messages {
        let bytes = encode_payload(&message).expect("a datagram");
        assert_eq!(encode_payload(&released).as_ref(), Ok(&bytes));
        assert_eq!(decode_payload(&bytes), Ok(released));
        assert_eq!(decode_payload(&bytes), Ok(message));
    }
}

/// Routers of this build and of the next one may run side by side: these bytes stay.
#[test]
fn messages_on_streams_are_encoded_to_the_same_bytes_in_every_build() {
    let hex = |message: &PeerMessage| {
        let bytes = encode_payload(message).expect("a datagram");
        let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
        digits.collect::<String>()
    };
    let encoded: Vec<String> = stream_messages().iter().map(hex).collect();
    assert_eq!(
        encoded,
        [
            "02090102080706050403020101ffffffffffffffffac02080706050403020100ac02",
            "020a080706050403020100",
            "020a080706050403020101",
            "020a080706050403020102000a00000101",
            "020b08070605040302010003",
            "020b080706050403020101ffffffffffffffff03",
            "020b08070605040302010203",
        ]
    );
}

#[test]
fn a_message_on_streams_that_is_cut_or_too_long_is_refused() {
    for message in stream_messages() {
        let bytes = encode_payload(&message).expect("a datagram");
        for length in 0..bytes.len() {
            assert!(decode_payload::<PeerMessage>(&bytes[..length]).is_err());
        }
        let longer = [bytes.as_slice(), &[0]].concat();
        assert!(decode_payload::<PeerMessage>(&longer).is_err());
    }
}
