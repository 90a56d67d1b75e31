use {
    super::{KeyError, PeerName},
    crate::{codes::ResultCode, conf::LinkSettings},
    rustls::{
        ClientConfig, RootCertStore, ServerConfig,
        crypto::CryptoProvider,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        server::WebPkiClientVerifier,
    },
    std::{fmt::Display, sync::Arc},
};

/// The ALPN protocol of connections between routers and sidecars.
const PROTOCOL: &[u8] = b"archmast/1";

/// A process's certificate and key, and the authority whose certificates it accepts.
pub struct Identity {
    certificate: Vec<CertificateDer<'static>>,
    private_key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    provider: Arc<CryptoProvider>,
}

impl Identity {
    /// Reads the files that the settings name. Fails with `ResultCode::SettingsFileMissing` (10) or
    /// `BadValue` (15).
    pub fn read(settings: &LinkSettings) -> Result<Self, KeyError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&settings.authority)? {
            roots
                .add(certificate)
                .map_err(|error| unusable(&settings.authority, error))?;
        }
        Ok(Self {
            certificate: read_certificates(&settings.certificate)?,
            private_key: PrivateKeyDer::from_pem_file(&settings.private_key)
                .map_err(|error| unreadable(&settings.private_key, error))?,
            roots: Arc::new(roots),
            provider: Arc::new(rustls::crypto::ring::default_provider()),
        })
    }

    /// The name in this process's own certificate.
    pub fn name(&self) -> Option<PeerName> {
        peer_name(&self.certificate)
    }

    /// TLS settings for accepting connections. Peers need a certificate of the authority.
    pub fn server_config(&self) -> Result<ServerConfig, KeyError> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), self.provider.clone())
                .build()
                .map_err(|error| unusable("authority", error))?;
        let mut config = ServerConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| unusable("certificate", error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificate.clone(), self.private_key.clone_key())
            .map_err(|error| unusable("certificate", error))?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(config)
    }

    /// TLS settings for opening connections.
    pub fn client_config(&self) -> Result<ClientConfig, KeyError> {
        let mut config = ClientConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| unusable("certificate", error))?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.certificate.clone(), self.private_key.clone_key())
            .map_err(|error| unusable("certificate", error))?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(config)
    }
}

/// The peer's name in its certificate, the first of a verified chain.
pub fn peer_name(chain: &[CertificateDer]) -> Option<PeerName> {
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    certificate.valid_dns_names().find_map(PeerName::parse)
}

fn read_certificates(file: &str) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(file)
        .map_err(|error| unreadable(file, error))?
        .collect::<Result<_, _>>()
        .map_err(|error| unusable(file, error))?;
    if certificates.is_empty() {
        return Err(unusable(file, "contains no certificate"));
    }
    Ok(certificates)
}

fn unreadable(
    file: &str,
    error: impl Display,
) -> KeyError {
    KeyError::new(ResultCode::SettingsFileMissing, file, error)
}

fn unusable(
    file: &str,
    error: impl Display,
) -> KeyError {
    KeyError::new(ResultCode::BadValue, file, error)
}
