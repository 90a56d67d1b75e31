/// Which service counts when accounts are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TotalsMode {
    Fleet, // that of all sidecars
    Local, // that of this sidecar only: a baseline for comparison
}
