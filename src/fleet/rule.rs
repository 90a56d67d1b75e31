use super::Selector;

/// Binds requests to hosts, or states a share, or both.
///
/// A request may run on a host only if every rule that selects the request
/// also selects the host. Of the rules with a share that select an account's
/// labels, the last one counts.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    pub name: String,
    pub requests: Selector,   // over request labels
    pub hosts: Selector,      // over host labels, empty for all
    pub share: Option<f64>,   // in place of the account's own
    pub class: Option<usize>, // in place of the account's own
}
