use {
    crate::{
        ops::{CALLERS_CLOSED, CALLERS_REFUSED},
        policy::callers::{Phase, Usage},
    },
    std::{collections::BTreeMap, sync::Mutex},
};

/// Counts the connections that were closed, and the ones and the requests that were refused, since
/// memory or descriptors ran out, for a line of each class once in a while.
#[derive(Default)]
pub(super) struct LedgerLog(Mutex<Counts>); // a leaf lock

#[derive(Default)]
struct Counts {
    closed: BTreeMap<Phase, u64>,
    refused: BTreeMap<&'static str, u64>,
}

impl LedgerLog {
    /// Counts a connection that is closed to make room.
    pub fn record_closed(
        &self,
        phase: Phase,
    ) {
        metrics::counter!(CALLERS_CLOSED, "phase" => phase.name()).increment(1);
        *self.counts().closed.entry(phase).or_default() += 1;
    }

    /// Counts what was refused: a `connection` or a `request`.
    pub fn record_refused(
        &self,
        what: &'static str,
    ) {
        metrics::counter!(CALLERS_REFUSED, "what" => what).increment(1);
        *self.counts().refused.entry(what).or_default() += 1;
    }

    /// Logs what was counted since the last call, a line for each class.
    pub fn write_lines(
        &self,
        taken: Usage,
        limits: Usage,
    ) {
        let Counts { closed, refused } = std::mem::take(&mut *self.counts());
        for (phase, count) in closed {
            log::warn!(
                phase = phase.name(), count = count,
                bytes = taken.bytes, max_bytes = limits.bytes,
                descriptors = taken.descriptors, max_descriptors = limits.descriptors;
                "connections of callers closed: memory or descriptors ran out"
            );
        }
        for (what, count) in refused {
            log::warn!(
                what = what, count = count,
                bytes = taken.bytes, max_bytes = limits.bytes,
                descriptors = taken.descriptors, max_descriptors = limits.descriptors;
                "callers refused: memory or descriptors ran out"
            );
        }
    }

    fn counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.0.lock().expect("ledger log lock")
    }
}
