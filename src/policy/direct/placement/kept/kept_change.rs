use super::KeptNews;

/// What the events of a replica's memory changed in what is believed.
#[derive(Debug, PartialEq, Eq)]
pub struct KeptChange {
    pub news: KeptNews,  // with the events only that changed something
    pub heard: usize,    // events
    pub taken: usize,    // parts that were not believed to be kept
    pub given_up: usize, // parts that were
    pub is_anew: bool,   // all that was kept before is lost
}
