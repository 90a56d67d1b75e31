//! Certificates that each process makes for itself: they encrypt, and prove
//! nothing.

use {
    crate::codes::{Fault, ResultCode},
    quinn::{
        ClientConfig, ServerConfig, TransportConfig, VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{
        DigitallySignedStruct, SignatureScheme,
        client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
        crypto::CryptoProvider,
        pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName, UnixTime},
    },
    std::{sync::Arc, time::Duration},
};

/// The protocol name that both ends of a connection must agree on.
const PROTOCOL: &[u8] = b"archmast-routers/1";

/// The name in every certificate; addresses are what routers are known by.
pub const SERVER_NAME: &str = "archmast-router";

/// Silence after which a connection counts as lost.
const IDLE_TIME: Duration = Duration::from_millis(2500);

/// A guess of the round trip, before it is measured.
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(20);

/// Reports and questions that a peer may have under way.
const REPORT_STREAMS: u32 = 64;
const QUESTION_STREAMS: u32 = 8;

/// Both sides of QUIC with a certificate made just now: code 93.
pub fn quic_configs() -> Result<(ServerConfig, ClientConfig), Fault> {
    let failed = |error: &dyn std::fmt::Display| Fault::new(ResultCode::StartFailed, error);
    let made = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()])
        .map_err(|error| failed(&error))?;
    let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let versions = &[&rustls::version::TLS13];
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(|error| failed(&error))?
        .with_no_client_auth()
        .with_single_cert(vec![made.cert.der().clone()], key.into())
        .map_err(|error| failed(&error))?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(|error| failed(&error))?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
        .with_no_client_auth();
    client.alpn_protocols = vec![PROTOCOL.to_vec()];
    let server = QuicServerConfig::try_from(server).map_err(|error| failed(&error))?;
    let client = QuicClientConfig::try_from(client).map_err(|error| failed(&error))?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    let mut client = ClientConfig::new(Arc::new(client));
    let transport = Arc::new(transport());
    server.transport_config(transport.clone());
    client.transport_config(transport);
    Ok((server, client))
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(IDLE_TIME.try_into().ok())
        .initial_rtt(FIRST_ROUND_TRIP)
        .max_concurrent_uni_streams(VarInt::from_u32(REPORT_STREAMS))
        .max_concurrent_bidi_streams(VarInt::from_u32(QUESTION_STREAMS));
    transport
}

/// Takes any certificate, as long as its owner has the key.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
