use super::{AccountId, KeyDigest, Labels};

/// A client account: who may call, and what it is owed.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    pub id: AccountId,
    pub name: String,
    pub keys: Vec<KeyDigest>,
    pub share: f64,   // relative to the other accounts
    pub class: usize, // index of the class its requests have by default
    pub labels: Labels,
}
