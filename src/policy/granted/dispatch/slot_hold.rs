use {crate::fleet::AccountId, crate::policy::Moment};

/// A request that holds a slot, or a place among those that wait for one.
#[derive(Debug, Clone, Copy)]
pub struct SlotHold {
    pub account: AccountId,
    pub charged: f64,    // service units so far
    pub started: Moment, // meaningful once running
}
