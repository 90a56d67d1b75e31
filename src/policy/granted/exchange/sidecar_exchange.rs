/// A sidecar's state of one request. The sidecar may report "not run" only before it has begun to
/// send the request upstream, or when the upstream refused the connection, and never starts the
/// request after that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SidecarExchange {
    Received,
    HandedBack, // reported "not run"; final
    Started,    // bytes may have reached the upstream
    Ended,
}

impl SidecarExchange {
    /// Starts to send the request upstream. Returns false if it was handed back.
    pub fn start(&mut self) -> bool {
        let may_start = *self == Self::Received;
        if may_start {
            *self = Self::Started;
        }
        may_start
    }

    /// Hands the request back. Returns false if it has started.
    pub fn hand_back(&mut self) -> bool {
        let may_hand_back = *self == Self::Received;
        if may_hand_back {
            *self = Self::HandedBack;
        }
        may_hand_back
    }

    /// Records that the upstream refused the connection, so that nothing reached it. Returns
    /// whether the request had started.
    pub fn refused_by_upstream(&mut self) -> bool {
        let was_started = *self == Self::Started;
        if was_started {
            *self = Self::HandedBack;
        }
        was_started
    }

    /// Records that the upstream's answer ended, in whatever way.
    pub fn end(&mut self) {
        if *self == Self::Started {
            *self = Self::Ended;
        }
    }
}
