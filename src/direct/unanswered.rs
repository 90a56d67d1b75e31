use crate::{codes::ErrorAnswer, policy::shares::AccountShare};

/// The error of a call that no replica answered, and its account's share at the last
/// placement.
pub struct Unanswered {
    pub error: ErrorAnswer,
    pub share: Option<AccountShare>,
}
