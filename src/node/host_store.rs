use {
    crate::fleet::{HostList, Revision},
    std::sync::Arc,
    tokio::sync::watch,
};

/// The newest host list seen.
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
    /// Takes over a list unless it is older than the one known.
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

    /// The list.
    pub fn current(&self) -> Arc<HostList> {
        self.current.borrow().1.clone()
    }

    /// The list's revision, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.current.borrow().0
    }

    /// A receiver that sees each new list, and first the one that is known.
    pub fn subscribe(&self) -> watch::Receiver<(Revision, Arc<HostList>)> {
        let mut receiver = self.current.subscribe();
        receiver.mark_changed();
        receiver
    }
}
