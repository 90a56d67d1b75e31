/// An event of a stand-in replica, as a client got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    pub number: u32,
    pub version: Option<String>, // of the replica's software, if the event tells it
}

/// The whole events in the bytes of an answer, in order. Chunk sizes may stand between events.
pub fn pieces(text: &str) -> Vec<Piece> {
    let lines: Vec<&str> = text.lines().collect();
    let events = lines.windows(3).filter_map(|lines| {
        let number = lines[0].strip_prefix("id: ")?.parse().ok()?;
        let piece = lines[1].strip_prefix("data: piece ")?;
        let version = piece.split_once(" of ").map(|(_, version)| version);
        lines[2].is_empty().then(|| Piece {
            number,
            version: version.map(str::to_owned),
        })
    });
    events.collect()
}
