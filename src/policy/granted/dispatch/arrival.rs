use {crate::fleet::AccountId, crate::policy::GrantNumber};

/// Number of an exchange within one incarnation of a sidecar.
pub type ExchangeId = u64;

/// A request that reached the sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<R> {
    pub exchange: ExchangeId,
    pub router: R,
    pub account: AccountId,
    pub grant: Option<GrantNumber>, // `None` if sent without one, to an idle upstream
}
