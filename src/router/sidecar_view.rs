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

    /// Slots that another offer may take.
    pub fn room(&self) -> u32 {
        if self.leaving {
            return 0;
        }
        self.free.saturating_sub(self.offered)
    }
}
