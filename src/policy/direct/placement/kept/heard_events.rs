use super::KeptEvent;

/// What is new among events that were heard.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HeardEvents {
    pub is_anew: bool, // the memory is another one: what was kept before is lost
    pub has_gap: bool, // events before or between are missing
    pub events: Vec<KeptEvent>,
}
