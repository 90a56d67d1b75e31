//! Numbers that every router derives alike.

use {
    super::{PromptShape, ReplicaView},
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// A short name of a replica for messages between routers.
pub fn replica_key(id: &str) -> u32 {
    hash_of(&id) as u32
}

/// A hash that is the same in every process.
pub fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 that looks drawn, and is the same for one request at one
/// replica.
pub fn scatter(
    prompt: &PromptShape,
    view: &ReplicaView,
) -> f64 {
    let own = prompt.parts.last().map_or(0, |part| part.id);
    hash_of(&(own, &*view.entry.id)) as f64 / u64::MAX as f64
}

/// The rank of each replica for a prompt: 0 is its home. Every router derives
/// the same, and a replica that comes or goes moves only its own prompts.
pub fn homes(
    prompt: &PromptShape,
    usable: &[&ReplicaView],
) -> Vec<u32> {
    let home = prompt.home_part().unwrap_or(0);
    let weights: Vec<u64> = usable
        .iter()
        .map(|view| hash_of(&(home, &*view.entry.id)))
        .collect();
    let mut by_weight: Vec<usize> = (0..weights.len()).collect();
    by_weight.sort_unstable_by_key(|index| std::cmp::Reverse(weights[*index]));
    let mut ranks = vec![0; weights.len()];
    for (rank, index) in by_weight.into_iter().enumerate() {
        ranks[index] = rank as u32;
    }
    ranks
}
