/// Whether this process reads the store for itself, or leaves that to others that
/// tell it what they read.
pub trait ReadDuty: Send + Sync + 'static {
    /// Whether it reads now.
    fn is_mine(&self) -> bool;

    /// How its last call went.
    fn went(
        &self,
        answered: bool,
    );
}

/// A process that always reads for itself.
#[derive(Debug, Clone, Copy)]
pub struct AlwaysReads;

impl ReadDuty for AlwaysReads {
    fn is_mine(&self) -> bool {
        true
    }

    fn went(
        &self,
        _answered: bool,
    ) {
    }
}
