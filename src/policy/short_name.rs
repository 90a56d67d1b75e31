use std::hash::{DefaultHasher, Hash, Hasher};

/// Odd constants of a 64-bit finalizer (the one of SplitMix64).
const FACTORS: (u64, u64) = (0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb);

/// A short name for messages between routers, of a replica, an account, a
/// service or an availability zone. The same in every process.
pub fn short_name(name: &str) -> u32 {
    stable_hash(&name) as u32
}

/// A hash that is the same in every process.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Two numbers that are hashes already, made one without hashing both anew: a choice
/// among 160 replicas needs 320 of them.
pub fn mix(
    left: u64,
    right: u64,
) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(FACTORS.0);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(FACTORS.1);
    mixed ^ (mixed >> 31)
}
