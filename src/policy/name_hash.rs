use std::hash::{DefaultHasher, Hash, Hasher};

/// Multipliers of the SplitMix64 finalizer.
const FACTORS: (u64, u64) = (0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb);

/// A 32-bit hash that stands for the name of a replica, account, service or availability zone in
/// messages between routers. It is the same in every process.
pub fn name_hash(name: &str) -> u32 {
    stable_hash(&name) as u32
}

/// A hash that is the same in every process.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Combines two hashes without hashing both again, which is cheap enough for a choice among 160
/// replicas that needs 320 combinations.
pub fn mix_hashes(
    left: u64,
    right: u64,
) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(FACTORS.0);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(FACTORS.1);
    mixed ^ (mixed >> 31)
}
