use crate::policy::{AnnouncedDemand, GrantNumber};

/// What a router knows of one connected sidecar.
#[derive(Default)]
pub struct SidecarView {
    pub free: u32,         // slots for offers without a grant
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
}
