use {crate::fleet::AccountId, crate::policy::Moment};

/// A request that holds a slot or waits for one.
#[derive(Debug, Clone, Copy)]
pub struct SlotHold {
    pub account: AccountId,
    pub charged: f64,    // service units so far
    pub started: Moment, // only valid once it runs
}
