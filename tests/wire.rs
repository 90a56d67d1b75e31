//! Encoding and decoding of the messages between processes, and of bytes that are no message.

use {
    archmast::{
        codes::ResultCode,
        fleet::{AccountId, Revision},
        policy::{DemandLine, Grant},
        wire::{
            AnswerFrame, ControlMessage, Envelope, MAX_FRAME_BYTES, PROTOCOL_VERSION, StreamOpen,
            decode_payload, encode_frame, read_frame,
        },
    },
    proptest::prelude::*,
};

fn envelope(message: ControlMessage) -> Envelope {
    Envelope {
        revision: Revision(3),
        digest: "0123abcd".to_owned(),
        message,
    }
}

#[test]
fn a_frame_reads_back_the_same() {
    let message = envelope(ControlMessage::Demand {
        newest_grant: 9,
        lines: vec![DemandLine {
            account: AccountId(1),
            count: 64,
            patience_ms: 1_500,
            waited_ms: 3,
        }],
    });
    let frame = encode_frame(&message).expect("a frame");
    assert_eq!(decode_payload::<Envelope>(&frame[4..]), Ok(message));
}

#[test]
fn an_unknown_version_is_a_numbered_error() {
    let grant = Grant {
        number: 1,
        account: AccountId(1),
    };
    let mut frame = encode_frame(&envelope(ControlMessage::Grants(vec![grant]))).expect("a frame");
    frame[4] = PROTOCOL_VERSION + 1;
    let error = decode_payload::<Envelope>(&frame[4..]).expect_err("a fault");
    assert_eq!(error.code, ResultCode::VersionUnknown);
    assert_eq!(error.code.number(), 70);
}

#[tokio::test]
async fn a_frame_over_the_bound_is_refused_before_it_is_read() {
    let mut bytes = ((MAX_FRAME_BYTES + 1) as u32).to_be_bytes().to_vec();
    bytes.push(PROTOCOL_VERSION);
    let error = read_frame::<Envelope, _>(&mut bytes.as_slice())
        .await
        .expect_err("a fault");
    assert_eq!(error.code, ResultCode::FrameTooLarge);
}

#[tokio::test]
async fn a_frame_cut_anywhere_is_an_error_and_never_a_shorter_message() {
    let frame = encode_frame(&AnswerFrame::Chunk(vec![7; 100])).expect("a frame");
    for length in 1..frame.len() {
        let cut = read_frame::<AnswerFrame, _>(&mut &frame[..length]).await;
        assert!(cut.is_err(), "{length} bytes gave {cut:?}");
    }
}

proptest! {
    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut versioned = vec![PROTOCOL_VERSION];
        versioned.extend_from_slice(&bytes);
        for payload in [&bytes, &versioned] {
            let _envelope = decode_payload::<Envelope>(payload);
            let _open = decode_payload::<StreamOpen>(payload);
            let _answer = decode_payload::<AnswerFrame>(payload);
        }
    }
}
