use crate::{codes::ErrorAnswer, policy::shares::AccountShare};

/// Why a call ended without an answer, and how its account stood when it was last placed.
pub struct Unanswered {
    pub error: ErrorAnswer,
    pub share: Option<AccountShare>,
}
