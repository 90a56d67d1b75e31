/// What happened next in one direction of a relay.
pub enum Step {
    Received,
    Sent,
    SourceClosed,
    SourceFailed,
    TargetClosed,
}
