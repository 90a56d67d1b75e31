//! Where a prompt is at home, so that every router derives the same.

use crate::policy::{
    mix_hashes,
    placement::{PromptShape, ReplicaView},
};

/// Homes of a prompt that are told apart; what is beyond them is no home.
const HOMES: usize = 8;

/// A number from 0 to 1 that looks drawn, and is the same for one request at one
/// replica.
pub fn scatter(
    prompt: &PromptShape,
    view: &ReplicaView,
) -> f64 {
    let own = prompt.parts.last().map_or(0, |part| part.id);
    mix_hashes(own, view.hash) as f64 / u64::MAX as f64
}

/// The first homes of a prompt among these replicas, by index, the first one
/// first. A replica that comes or goes moves only its own prompts.
pub fn homes(
    prompt: &PromptShape,
    usable: &[&ReplicaView],
) -> Vec<usize> {
    let home = prompt.home_part().unwrap_or(0);
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(HOMES + 1);
    for (index, view) in usable.iter().enumerate() {
        let weight = mix_hashes(home, view.hash);
        let place = best.partition_point(|(other, _)| *other > weight);
        if place < HOMES {
            best.insert(place, (weight, index));
            best.truncate(HOMES);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
}
