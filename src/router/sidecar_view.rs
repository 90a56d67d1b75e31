use crate::policy::{AnnouncedDemand, GrantNumber};

/// What a router knows about one connected sidecar.
#[derive(Default)]
pub struct SidecarView {
    pub free_slots: u32,            // announced as free for requests without a grant
    pub open_offers: u32,           // requests sent without a grant that have not ended
    pub newest_grant: GrantNumber,  // newest grant received
    pub announced: AnnouncedDemand, // demand announced to it so far
    pub leaving: bool,              // takes no new requests
}

impl SidecarView {
    /// The state of a sidecar that has just connected.
    pub fn new(leaving: bool) -> Self {
        Self {
            leaving,
            ..Self::default()
        }
    }

    /// Records another connection to the same incarnation of the sidecar. Demand announced on
    /// an earlier connection may be lost, so it is announced again. The newest grant is
    /// kept: otherwise the sidecar would subtract grants from demand that already excludes
    /// them.
    pub fn reconnect(
        &mut self,
        leaving: bool,
    ) {
        self.announced.clear();
        self.leaving |= leaving;
    }

    /// The number of further requests that may be sent without a grant.
    pub fn available_slots(&self) -> u32 {
        if self.leaving {
            return 0;
        }
        self.free_slots.saturating_sub(self.open_offers)
    }
}
