use {
    super::{KeyError, PeerName},
    crate::codes::ResultCode,
    rcgen::{
        BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer,
        KeyPair, KeyUsagePurpose,
    },
};

/// The certificate authority of a fleet, which issues the certificates of routers and sidecars.
pub struct Authority {
    certificate: String, // PEM
    private_key: String, // PEM
}

/// A certificate and its private key.
pub struct IssuedKey {
    pub certificate: String, // PEM
    pub private_key: String, // PEM
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn create() -> Result<Self, KeyError> {
        let params = authority_params()?;
        let key = KeyPair::generate().map_err(failed)?;
        let certificate = params.self_signed(&key).map_err(failed)?;
        Ok(Self {
            certificate: certificate.pem(),
            private_key: key.serialize_pem(),
        })
    }

    /// Loads an existing authority. The texts are parsed when a certificate is issued.
    pub fn from_pem(
        certificate: String,
        private_key: String,
    ) -> Self {
        Self {
            certificate,
            private_key,
        }
    }

    /// The authority's certificate as PEM, which every process needs.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// The authority's private key as PEM, which only the issuer of certificates needs.
    pub fn private_key(&self) -> &str {
        &self.private_key
    }

    /// Issues a certificate, with a new key, for a process.
    pub fn issue(
        &self,
        name: &PeerName,
    ) -> Result<IssuedKey, KeyError> {
        let issuer_key = KeyPair::from_pem(&self.private_key).map_err(failed)?;
        let issuer = Issuer::new(authority_params()?, issuer_key);
        let mut params = CertificateParams::new(vec![name.to_string()]).map_err(failed)?;
        params
            .distinguished_name
            .push(DnType::CommonName, name.to_string());
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().map_err(failed)?;
        let certificate = params.signed_by(&key, &issuer).map_err(failed)?;
        Ok(IssuedKey {
            certificate: certificate.pem(),
            private_key: key.serialize_pem(),
        })
    }
}

/// Certificate parameters, which are the same for every authority: only the keys differ.
fn authority_params() -> Result<CertificateParams, KeyError> {
    let mut params = CertificateParams::new(Vec::new()).map_err(failed)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "archmast fleet authority");
    Ok(params)
}

fn failed(error: rcgen::Error) -> KeyError {
    KeyError::new(ResultCode::BadValue, "authority", error)
}
