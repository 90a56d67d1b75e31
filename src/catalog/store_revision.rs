/// Bits of a packed revision that hold the store's own counter.
const COUNTER_BITS: u32 = 40;

/// A revision of the store. A store that comes back from a copy, and so has lost its newest
/// changes, begins another era and assigns their revisions again. Revisions are therefore ordered
/// by era first.
///
/// Elsewhere a revision is a `u64` in packed form, which has the same order. In era 0 it equals the
/// store's counter, as in builds without eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision {
    pub era: u64,     // rises each time the store loses changes; 0 if it reports none
    pub counter: u64, // the store's own revision
}

impl StoreRevision {
    /// The highest counter that can be packed.
    pub const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;

    /// The highest era that can be packed.
    pub const MAX_ERA: u64 = u64::MAX >> COUNTER_BITS;

    /// The packed form. Parts above their maximum count as the maximum.
    pub fn pack(self) -> u64 {
        (self.era.min(Self::MAX_ERA) << COUNTER_BITS) | self.counter.min(Self::MAX_COUNTER)
    }

    /// The parts of a packed revision.
    pub fn unpack(packed: u64) -> Self {
        Self {
            era: packed >> COUNTER_BITS,
            counter: packed & Self::MAX_COUNTER,
        }
    }
}

/// Whether a packed revision is of a later era than the one that a list reflects; never for a list
/// that reflects none (0).
pub fn begins_era(
    known: u64,
    revision: u64,
) -> bool {
    known > 0 && era_of(revision) > era_of(known)
}

/// The era of a packed revision.
pub fn era_of(packed: u64) -> u64 {
    StoreRevision::unpack(packed).era
}

/// The store's own counter of a packed revision.
pub fn counter_of(packed: u64) -> u64 {
    StoreRevision::unpack(packed).counter
}
