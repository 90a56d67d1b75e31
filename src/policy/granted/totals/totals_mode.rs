/// Which service counts towards an account's place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TotalsMode {
    Fleet, // what all sidecars served
    Local, // what this sidecar served: a baseline
}
