use {
    crate::fleet::AccountId,
    crate::policy::Moment,
    serde::{Deserialize, Serialize},
};

/// Number of a grant within one incarnation of a sidecar, from 1.
pub type GrantNumber = u64;

/// Permission for a router to send one request of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub number: GrantNumber,
    pub account: AccountId,
}

/// A grant as its sidecar keeps it until it is used or declined, or expires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssuedGrant<R> {
    pub grant: Grant,
    pub router: R,
    pub issued: Moment,
    pub expires: Moment,
    pub charge: f64, // service units charged in advance
}
