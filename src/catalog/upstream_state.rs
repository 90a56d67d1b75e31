/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    Ready,
    Draining,
}
