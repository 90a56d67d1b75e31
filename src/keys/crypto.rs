/// Installs `ring` as the default cryptography provider of `rustls`, for libraries that use the
/// default. Further calls have no effect.
pub fn install_crypto() {
    if rustls::crypto::ring::default_provider()
        .install_default()
        .is_err()
    {
        log::debug!("a cryptography provider is already installed");
    }
}
