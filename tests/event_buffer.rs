//! Streams of events are forwarded in complete events, however their bytes arrive and whichever
//! line ends they use.

use {archmast::router::EventBuffer, proptest::prelude::*};

/// Pushes `text` in pieces of these lengths, repeated, and returns each piece of output.
fn push_in_pieces(
    buffer: &mut EventBuffer,
    text: &str,
    lengths: &[usize],
) -> Vec<String> {
    let (mut rest, mut lengths) = (text.as_bytes(), lengths.iter().cycle());
    let mut output = Vec::new();
    while !rest.is_empty() {
        let length = *lengths.next().expect("endless");
        let (piece, after) = rest.split_at(length.min(rest.len()));
        output.extend(buffer.push(piece).map(|bytes| text_of(&bytes)));
        rest = after;
    }
    output
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// Whether a reader of the stream would wait for the end of an event after these lines.
fn has_open_event(text: &str) -> bool {
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let mut is_open = false;
    for line in text.lines() {
        is_open = match line.chars().next() {
            None => false,
            Some(':') => is_open,
            Some(_) => true,
        };
    }
    is_open
}

fn line() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["", "", "data: a", "id: 1", ": comment", "data"])
}

fn line_end() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["\n", "\r\n", "\r"])
}

proptest! {
    #[test]
    fn complete_events_are_passed_on_and_partial_ones_held_back(
        lines in prop::collection::vec(line(), 0..30),
        end in line_end(),
        lengths in prop::collection::vec(1usize..12, 1..20),
        partial in prop::sample::select(vec!["", "d", "data: b", ": c"]),
    ) {
        let whole: String = lines.iter().map(|line| format!("{line}{end}")).collect();
        let text = format!("{whole}{partial}");
        let mut buffer = EventBuffer::default();
        let output = push_in_pieces(&mut buffer, &text, &lengths);
        let mut passed_on = String::new();
        for piece in &output {
            passed_on.push_str(piece);
            prop_assert!(!has_open_event(&passed_on), "{passed_on:?}");
        }
        prop_assert!(text.starts_with(&passed_on));
        prop_assert_eq!(buffer.held_bytes(), text.len() - passed_on.len());
        prop_assert_eq!(buffer.is_inside_event(), passed_on.len() < text.len());
        let is_open = has_open_event(&whole) || !partial.is_empty();
        prop_assert_eq!(buffer.is_inside_event(), is_open, "{:?}", text);
    }
}

#[test]
fn an_event_is_passed_on_with_its_blank_line() {
    let mut buffer = EventBuffer::default();
    assert_eq!(buffer.push(b"id: 1\ndata: a\n"), None);
    assert!(buffer.is_inside_event());
    assert_eq!(
        buffer.push(b"\nid: 2").as_deref(),
        Some(&b"id: 1\ndata: a\n\n"[..])
    );
    assert_eq!(buffer.held_bytes(), 5);
}

#[test]
fn the_second_half_of_a_line_end_is_no_blank_line() {
    let mut buffer = EventBuffer::default();
    assert_eq!(buffer.push(b"data: a\r"), None);
    assert_eq!(buffer.push(b"\n"), None);
    assert_eq!(buffer.push(b"\r").as_deref(), Some(&b"data: a\r\n\r"[..]));
    assert_eq!(buffer.push(b"\n").as_deref(), Some(&b"\n"[..]));
    assert!(!buffer.is_inside_event());
}

#[test]
fn a_comment_is_held_back_only_inside_an_event() {
    let mut buffer = EventBuffer::default();
    assert_eq!(buffer.push(b": ping\n").as_deref(), Some(&b": ping\n"[..]));
    assert_eq!(buffer.push(b"data: a\n: ping\n"), None);
    assert!(buffer.push(b"\n").is_some());
}

#[test]
fn bytes_between_events_are_counted_from_the_last_event_on() {
    let mut buffer = EventBuffer::default();
    buffer.push(b": a\n\n\r\n");
    assert_eq!(buffer.bytes_between_events(), 6);
    buffer.push(b"data: piece\n");
    assert_eq!(buffer.bytes_between_events(), 0);
    buffer.push(b"\n");
    assert_eq!(buffer.bytes_between_events(), 0);
    buffer.push(b": a\n");
    assert_eq!(buffer.bytes_between_events(), 4);
}
