use {super::AllowedRegions, std::sync::Arc};

/// A client account as the configuration lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountEntry {
    pub name: Arc<str>,
    pub keys: Vec<String>, // API keys; any of them authenticates the account
    pub regions: Option<AllowedRegions>, // none: no restriction
}
