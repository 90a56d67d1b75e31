/// Decides whether this process reads the store itself or receives the catalog from others
/// that do.
pub trait ReaderRole: Send + Sync + 'static {
    /// Whether this process is to read the store now.
    fn is_reader(&self) -> bool;

    /// Records whether the store answered the last call.
    fn record_call(
        &self,
        answered: bool,
    );
}

/// The role of a process that always reads the store itself.
#[derive(Debug, Clone, Copy)]
pub struct AlwaysReader;

impl ReaderRole for AlwaysReader {
    fn is_reader(&self) -> bool {
        true
    }

    fn record_call(
        &self,
        _answered: bool,
    ) {
    }
}
