use {super::SuspectDigest, std::collections::BTreeMap};

/// How often each update is sent, as a datagram may be lost.
const SENDS_PER_UPDATE: u8 = 2;

/// Digests on which updates are sent at once, in some four datagrams.
const MAX_UPDATES_AT_ONCE: usize = 32;

/// Digests on which other routers are to be told something.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    remaining_sends: BTreeMap<SuspectDigest, u8>,
}

impl UpdateQueue {
    /// Adds a digest, to be sent from now on as often as a new one.
    pub fn push(
        &mut self,
        digest: SuspectDigest,
    ) {
        self.remaining_sends.insert(digest, SENDS_PER_UPDATE);
    }

    /// The next digests to send updates on, each with one send fewer remaining from now on.
    pub fn take_due(&mut self) -> Vec<SuspectDigest> {
        let digests = self.remaining_sends.keys().copied();
        let due: Vec<SuspectDigest> = digests.take(MAX_UPDATES_AT_ONCE).collect();
        for digest in &due {
            if let Some(remaining) = self.remaining_sends.get_mut(digest) {
                *remaining -= 1;
            }
        }
        self.remaining_sends.retain(|_, remaining| *remaining > 0);
        due
    }
}
