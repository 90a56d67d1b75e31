use rendezvous_hash::{DefaultNodeHasher, RendezvousNodes};

/// Orders nodes for a key by rendezvous hashing: every process derives the same order, and a node
/// that is added or removed moves only its own keys.
pub fn rendezvous<'n>(
    key: &str,
    nodes: impl Iterator<Item = &'n str>,
) -> Vec<&'n str> {
    let mut hashed: RendezvousNodes<&str, DefaultNodeHasher> = RendezvousNodes::default();
    for node in nodes {
        hashed.insert(node);
    }
    hashed.calc_candidates(&key).copied().collect()
}
