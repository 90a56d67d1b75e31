//! What is in progress on a relayed connection follows from the framing of its messages, however
//! their bytes are split and interleaved.

mod relayed;

use {
    archmast::direct::{AnswerEnd, ExchangeFollower, Progress},
    proptest::prelude::*,
    relayed::{Conversation, any_conversation},
};

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

fn after(
    requests: &[u8],
    answers: &[u8],
) -> (Progress, usize) {
    let mut follower = ExchangeFollower::default();
    follower.follow_request(requests);
    let count = follower.follow_answer(answers);
    (follower.progress(), count)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn progress_is_that_of_the_messages_in_any_split_and_interleaving(
        exchanges in any_conversation(),
        steps in prop::collection::vec((any::<bool>(), 1usize..60), 1..200),
    ) {
        let conversation = Conversation::new(&exchanges);
        let mut follower = ExchangeFollower::default();
        let (mut requested, mut answered) = (0, 0);
        prop_assert_eq!(follower.progress(), Progress::Idle);
        for (is_request, count) in steps {
            if is_request {
                let end = conversation.requests.len().min(requested + count);
                follower.follow_request(&conversation.requests[requested..end]);
                requested = end;
            } else {
                let end = conversation.answerable(requested).min(answered + count);
                let bytes = &conversation.answers[answered..end];
                prop_assert_eq!(follower.follow_answer(bytes), bytes.len());
                answered = end;
            }
            let expected = conversation.progress(requested, answered);
            prop_assert_eq!(follower.progress(), expected, "{} {}", requested, answered);
        }
    }

    #[test]
    fn no_bytes_make_it_panic(
        requests in prop::collection::vec(any::<u8>(), 0..300),
        answers in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut follower = ExchangeFollower::default();
        follower.follow_request(GET);
        let count = follower.follow_answer(&answers);
        prop_assert!(count <= answers.len());
        follower.follow_request(&requests);
        follower.follow_answer(&answers);
    }
}

#[test]
fn bytes_that_answer_no_request_are_not_part_of_an_answer() {
    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let surplus = [&whole[..], b"HTTP/1.1 200 OK\r\n"].concat();
    assert_eq!(after(GET, &surplus), (Progress::Idle, whole.len()));
    assert_eq!(after(b"", whole), (Progress::Idle, 0));
}

#[test]
fn malformed_messages_are_in_progress_until_the_end_of_the_connection() {
    let requests: [&[u8]; 6] = [
        b"\x16\x03\x01 no request\r\n\r\n",
        b"GET / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"GET / HTTP/1.1\r\ncontent-length: +1\r\n\r\n",
        b"GET / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n",
        b"GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nz\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
    ];
    for request in requests {
        let text = String::from_utf8_lossy(request);
        assert_eq!(after(request, b"").0, Progress::Unknown, "{text}");
    }
    let answers: [&[u8]; 3] = [
        b"\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n",
    ];
    for answer in answers {
        let text = String::from_utf8_lossy(answer);
        assert_eq!(after(GET, answer).0, Progress::Unknown, "{text}");
    }
}

/// Guards against an answer of this router behind the refusal of a head that is too long.
#[test]
fn an_answer_before_the_end_of_its_request_head_is_not_followed() {
    let answer = b"HTTP/1.1 431 Too Large\r\ncontent-length: 0\r\n\r\n";
    let expected = (Progress::Unknown, answer.len());
    assert_eq!(after(b"GET / HTTP/1.1\r\nx: ", answer), expected);
}

#[test]
fn a_head_without_an_end_takes_no_more_memory_than_a_head_may() {
    let mut follower = ExchangeFollower::default();
    follower.follow_request(b"GET / HTTP/1.1\r\n");
    for _ in 0..100 {
        follower.follow_request(&[b'x'; 4096]);
    }
    assert_eq!(follower.progress(), Progress::Unknown);
}

#[test]
fn requests_without_answers_are_bounded() {
    let mut follower = ExchangeFollower::default();
    let mut count = 0;
    while follower.has_room() {
        follower.follow_request(GET);
        count += 1;
    }
    assert_eq!(
        (count, follower.progress()),
        (1024, Progress::AnswerAwaited)
    );
    follower.follow_answer(b"HTTP/1.1 204 No Content\r\n\r\n");
    assert!(follower.has_room());
}

#[test]
fn a_body_without_length_and_chunks_ends_with_the_connection() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n";
    let expected = Progress::AnswerInPart(AnswerEnd::Close);
    assert_eq!(after(GET, answer).0, expected);
    assert_eq!(
        after(b"HEAD / HTTP/1.1\r\n\r\n", &answer[..19]).0,
        Progress::Idle
    );
}
