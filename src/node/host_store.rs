use {
    crate::fleet::{HostList, Revision},
    std::sync::Arc,
    tokio::sync::watch,
};

/// The newest host list that was received.
pub struct HostStore {
    current: watch::Sender<(Revision, Arc<HostList>)>,
}

impl Default for HostStore {
    fn default() -> Self {
        Self {
            current: watch::Sender::new((Revision(0), Arc::default())),
        }
    }
}

impl HostStore {
    /// Replaces the list if this one is newer. Returns whether it was.
    pub fn offer(
        &self,
        revision: Revision,
        hosts: HostList,
    ) -> bool {
        self.current.send_if_modified(|(known, list)| {
            let newer = revision > *known;
            if newer {
                *known = revision;
                *list = Arc::new(hosts);
            }
            newer
        })
    }

    /// The newest list; empty before the first.
    pub fn current(&self) -> Arc<HostList> {
        self.current.borrow().1.clone()
    }

    /// The revision of the list; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.current.borrow().0
    }

    /// A receiver of each new list. The current one counts as its first change.
    pub fn subscribe(&self) -> watch::Receiver<(Revision, Arc<HostList>)> {
        let mut receiver = self.current.subscribe();
        receiver.mark_changed();
        receiver
    }
}
