/// A part of prompts that a replica says it keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptPart {
    pub part: u64,
    pub tokens: u32, // kept of it
}
