//! Rendezvous hashing of prompts to preferred replicas, with the same result at every router.

use crate::policy::{
    mix_hashes,
    placement::{PromptShape, ReplicaView},
};

/// Number of preferred replicas of a prompt.
const MAX_PREFERRED: usize = 8;

/// A pseudo-random number from 0 to 1, derived from the request's last prompt part and the
/// replica.
pub fn random_fraction(
    prompt: &PromptShape,
    view: &ReplicaView,
) -> f64 {
    let last_part = prompt.parts.last().map_or(0, |part| part.id);
    mix_hashes(last_part, view.id_hash) as f64 / u64::MAX as f64
}

/// Indices of the preferred replicas of a prompt, best first. Adding or removing a replica
/// moves only the prompts that prefer it.
pub fn preferred_replicas(
    prompt: &PromptShape,
    usable: &[&ReplicaView],
) -> Vec<usize> {
    let key = prompt.affinity_part().unwrap_or(0);
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(MAX_PREFERRED + 1);
    for (index, view) in usable.iter().enumerate() {
        let weight = mix_hashes(key, view.id_hash);
        let position = best.partition_point(|(other, _)| *other > weight);
        if position < MAX_PREFERRED {
            best.insert(position, (weight, index));
            best.truncate(MAX_PREFERRED);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
}
