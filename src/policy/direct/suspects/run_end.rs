use {super::ToldMoment, crate::policy::Moment, std::time::Duration};

/// A run that had brought events for longer than this when its replica ended was no cause
/// of that: five times the longest time (102 ms) that was seen between the beginning of a
/// run that ends its replica and that end.
const EARLY: Duration = Duration::from_millis(500);

/// A run of a request that was under way when its replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunEnd {
    pub key: u32,          // drawn by the router that saw it
    pub replica: u32,      // that ended, short name of its start
    pub began: ToldMoment, // sent to the replica
    pub ended: ToldMoment, // with the replica
    pub is_early: bool,    // it had brought no event, or not for long
    pub is_excused: bool,  // the request got a whole answer since
}

impl RunEnd {
    /// A run that this router saw end now.
    pub fn seen(
        key: u32,
        replica: u32,
        began: Moment,
        first_event: Option<Moment>,
        now: Moment,
    ) -> Self {
        let is_early = first_event.is_none_or(|first| now.saturating_sub(first) <= EARLY);
        Self {
            key,
            replica,
            began: began.into(),
            ended: now.into(),
            is_early,
            is_excused: false,
        }
    }
}
