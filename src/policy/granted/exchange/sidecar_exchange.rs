/// A sidecar's side of one request. It may say "not run" only before it has
/// begun to send the request upstream, or when the upstream refused the
/// connection, and then never starts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SidecarExchange {
    Received,
    HandedBack, // said "not run"; final
    Started,    // bytes may have reached the upstream
    Ended,
}

impl SidecarExchange {
    /// Decides to send the request upstream. False if it was handed back.
    pub fn start(&mut self) -> bool {
        let may_start = *self == Self::Received;
        if may_start {
            *self = Self::Started;
        }
        may_start
    }

    /// Decides to hand the request back. False if it has started.
    pub fn hand_back(&mut self) -> bool {
        let may_hand_back = *self == Self::Received;
        if may_hand_back {
            *self = Self::HandedBack;
        }
        may_hand_back
    }

    /// The upstream refused the connection, so nothing reached it.
    pub fn refused_by_upstream(&mut self) -> bool {
        let was_started = *self == Self::Started;
        if was_started {
            *self = Self::HandedBack;
        }
        was_started
    }

    /// The upstream's answer ended, in whatever way.
    pub fn end(&mut self) {
        if *self == Self::Started {
            *self = Self::Ended;
        }
    }
}
