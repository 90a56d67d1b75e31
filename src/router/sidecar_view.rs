use crate::policy::{AnnouncedDemand, GrantNumber};

/// What a router knows of one connected sidecar.
#[derive(Default)]
pub struct SidecarView {
    pub free: u32,         // slots for offers without a grant, as last told
    pub offered: u32,      // offers of this router that have not ended
    pub seen: GrantNumber, // newest grant
    pub announced: AnnouncedDemand,
    pub leaving: bool,
}

impl SidecarView {
    /// A sidecar of which nothing else is known yet.
    pub fn new(leaving: bool) -> Self {
        Self {
            leaving,
            ..Self::default()
        }
    }

    /// Another connection to the same life of the sidecar: what was told on an
    /// earlier one may be lost, so it is told again. The grants that were seen
    /// stay seen, or the sidecar would count them against what is told.
    pub fn connected_again(
        &mut self,
        leaving: bool,
    ) {
        self.announced.clear();
        self.leaving |= leaving;
    }

    /// Slots that another offer may take.
    pub fn room(&self) -> u32 {
        if self.leaving {
            return 0;
        }
        self.free.saturating_sub(self.offered)
    }
}
