//! QUIC configurations with a self-signed certificate: connections are encrypted but not
//! authenticated.

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

/// The ALPN protocol name of connections between routers.
const PROTOCOL: &[u8] = b"archmast-routers/1";

/// The server name in every certificate. Routers are identified by address instead.
pub const SERVER_NAME: &str = "archmast-router";

/// Idle time-out of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Round-trip time assumed until it is measured.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(20);

/// Concurrent streams that a peer may open: unidirectional ones, and bidirectional ones for
/// requests.
const MAX_UNI_STREAMS: u32 = 64;
const MAX_REQUEST_STREAMS: u32 = 8;

/// Server and client configuration with a newly generated certificate. Fails with
/// `StartFailed`.
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
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok())
        .initial_rtt(INITIAL_ROUND_TRIP)
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_UNI_STREAMS))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_REQUEST_STREAMS));
    transport
}

/// Accepts any certificate whose private key the server holds.
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
