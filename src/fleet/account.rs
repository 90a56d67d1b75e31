use super::{AccountId, KeyDigest, Labels};

/// A client account: its API keys, its fair share and the default class of its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    pub id: AccountId,
    pub name: String,
    pub keys: Vec<KeyDigest>,
    pub share: f64,   // weight relative to the other accounts
    pub class: usize, // index into the classes: default for its requests
    pub labels: Labels,
}
