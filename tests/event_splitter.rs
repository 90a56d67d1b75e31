//! Streams are forwarded in complete events, however their bytes arrive.

use {
    archmast::direct::{EventEnd, EventSplitter},
    proptest::prelude::*,
};

fn stream(
    events: usize,
    end: &str,
) -> Vec<u8> {
    (1..=events)
        .flat_map(|id| format!("id: {id}\ndata: piece {id}{end}").into_bytes())
        .collect()
}

proptest! {
    #[test]
    fn any_chunks_of_input_give_the_same_bytes(
        cuts in prop::collection::vec(1usize..40, 1..60),
        carriage_return in any::<bool>(),
    ) {
        let bytes = stream(12, if carriage_return { "\r\n\r\n" } else { "\n\n" });
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        let (mut at, mut cut) = (0, cuts.iter().cycle());
        while at < bytes.len() {
            let next = (at + cut.next().expect("endless")).min(bytes.len());
            if let Some(events) = splitter.push(&bytes[at..next]) {
                let whole = events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n");
                prop_assert!(whole);
                forwarded.extend_from_slice(&events);
            }
            at = next;
        }
        prop_assert_eq!(splitter.last_id(), Some("12"));
        prop_assert!(splitter.take_partial().is_empty());
        prop_assert_eq!(forwarded, bytes);
    }
}

#[test]
fn a_partial_event_is_held_back_and_can_be_discarded() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").as_deref(),
        Some(&b"id: 1\ndata: a\n\n"[..])
    );
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_eq!(
        splitter.push(b"id: 2\ndata: b\n\n").as_deref(),
        Some(&b"id: 2\ndata: b\n\n"[..])
    );
    assert_eq!(splitter.last_id(), Some("2"));
}

#[test]
fn bytes_after_the_last_event_are_available_at_the_end_of_the_stream() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\n\ndata: tail");
    assert_eq!(&splitter.take_partial()[..], b"data: tail");
}

#[test]
fn a_stream_ends_inside_an_event_unless_only_blank_lines_and_comments_follow_the_last_one() {
    let cases: [(&[u8], bool); 9] = [
        (b"", false),
        (b"id: 1\n\n", false),
        (b"id: 1\n\n\r\n", false),
        (b"id: 1\r\r", false),
        (b"id: 1\n\n: idle\n", false),
        (b"id: 1\n\n: id", true),
        (b"id: 1\n\nid: 2", true),
        (b"id: 1\n\nid: 2\n", true),
        (b"id: 1\r\n\r\nid: 2\r\ndata: b\r\n", true),
    ];
    for (bytes, is_inside) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(bytes);
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(splitter.is_inside_event(), is_inside, "{text:?}");
    }
}

#[test]
fn an_empty_id_leaves_no_event_after_which_the_stream_goes_on() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid:\ndata: b\n\n");
    assert_eq!(splitter.last_id(), None);
}

#[test]
fn an_id_that_is_too_long_for_a_header_resumes_no_stream() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\n\n");
    let id = "9".repeat(100_000);
    splitter.push(format!("id: {id}\ndata: a\n\n").as_bytes());
    assert_eq!(splitter.last_id(), None);
    splitter.push(b"id: 3\n\n");
    assert_eq!(splitter.last_id(), Some("3"));
}

proptest! {
    /// What holds no bytes finds the same end as what holds them.
    #[test]
    fn the_end_of_a_stream_is_found_without_its_bytes(
        tokens in prop::collection::vec(0usize..3, 0..24),
        line_end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        cut in 1usize..5,
    ) {
        let text: String = tokens.iter().map(|token| ["a", ":", line_end][*token]).collect();
        let (mut splitter, mut end) = (EventSplitter::default(), EventEnd::default());
        for piece in text.as_bytes().chunks(cut) {
            splitter.push(piece);
            end.push(piece);
        }
        prop_assert_eq!(end.is_inside_event(), splitter.is_inside_event(), "{:?}", text);
    }
}
