use {
    crate::ops::CONTROL_BYTES,
    std::{collections::BTreeMap, sync::Mutex},
};

/// Bytes of control messages sent, by message kind.
#[derive(Default)]
pub struct ByteCounters {
    by_kind: Mutex<BTreeMap<&'static str, u64>>, // leaf lock
}

impl ByteCounters {
    /// Counts a message of `bytes` bytes.
    pub fn add(
        &self,
        kind: &'static str,
        bytes: usize,
    ) {
        metrics::counter!(CONTROL_BYTES, "kind" => kind).increment(bytes as u64);
        let mut by_kind = self.by_kind.lock().expect("counter lock");
        *by_kind.entry(kind).or_default() += bytes as u64;
    }

    /// Bytes sent so far, by message kind.
    pub fn totals(&self) -> BTreeMap<String, u64> {
        let by_kind = self.by_kind.lock().expect("counter lock");
        by_kind
            .iter()
            .map(|(kind, bytes)| ((*kind).to_owned(), *bytes))
            .collect()
    }
}
