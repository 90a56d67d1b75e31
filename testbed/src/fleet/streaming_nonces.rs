use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
};

/// The nonces of chat requests whose callers have received the first events of a stream and not
/// yet its end. Copies share the set.
#[derive(Debug, Clone, Default)]
pub struct StreamingNonces(Arc<Mutex<HashSet<String>>>);

impl StreamingNonces {
    /// The nonces now.
    pub fn current(&self) -> HashSet<String> {
        self.0.lock().expect("nonce lock").clone()
    }

    pub(super) fn insert(
        &self,
        nonce: &str,
    ) {
        self.0.lock().expect("nonce lock").insert(nonce.to_owned());
    }

    pub(super) fn remove(
        &self,
        nonce: &str,
    ) {
        self.0.lock().expect("nonce lock").remove(nonce);
    }
}
