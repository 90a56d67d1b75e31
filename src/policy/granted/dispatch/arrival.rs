use {crate::fleet::AccountId, crate::policy::GrantNumber};

/// Numbers the exchanges of one incarnation of a sidecar.
pub type ExchangeId = u64;

/// A request that reached the sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<R> {
    pub exchange: ExchangeId,
    pub router: R,
    pub account: AccountId,
    pub grant: Option<GrantNumber>, // none for an offer to an idle upstream
}
