/// Whether an upstream accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    Ready,
    Draining,
}
