/// Chooses the process's cryptography for libraries that ask for a default.
/// Calling it again changes nothing.
pub fn install_crypto() {
    if rustls::crypto::ring::default_provider()
        .install_default()
        .is_err()
    {
        log::debug!("cryptography was chosen before");
    }
}
