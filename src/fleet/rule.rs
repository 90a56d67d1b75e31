use super::Selector;

/// Restricts requests to hosts, or sets a share or a class.
///
/// A request may run on a host only if every rule that selects the request also selects the host.
/// Of the rules with a share that select an account's labels, the last one applies; of those with
/// a class that select a request, likewise.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    pub name: String,
    pub requests: Selector,   // by their labels
    pub hosts: Selector,      // by their labels; empty for all
    pub share: Option<f64>,   // replaces the account's
    pub class: Option<usize>, // replaces the account's; index into the classes
}
