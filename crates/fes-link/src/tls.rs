//! Mutual TLS of links.

use std::sync::Arc;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;

/// Server name in every link certificate. Processes are reached by address; the name only states
/// that the holder belongs to the system.
pub const LINK_SERVER_NAME: &str = "fescueshift";

const ALPN_H2: &[u8] = b"h2";

/// TLS configuration of both sides of links.
#[derive(Debug, Clone)]
pub struct LinkTls {
    pub(crate) server: Arc<ServerConfig>,
    pub(crate) client: Arc<ClientConfig>,
}

impl LinkTls {
    /// Creates the configuration from decoded certificates.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::SettingsBadCertificate`] if the certificates or the key can't be used.
    pub fn new(
        authorities: Vec<CertificateDer<'static>>,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
    ) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        for certificate in authorities {
            roots.add(certificate).map_err(bad_certificate)?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let server = server_config(&provider, &roots, chain.clone(), key.clone_key())?;
        let client = client_config(provider, roots, chain, key)?;
        Ok(Self {
            server: Arc::new(server),
            client: Arc::new(client),
        })
    }
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .map_err(bad_certificate)?;
    let mut config = ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(bad_certificate)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(bad_certificate)?;
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(config)
}

fn client_config(
    provider: Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig> {
    let mut config = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(bad_certificate)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(bad_certificate)?;
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(config)
}

fn bad_certificate(error: impl std::fmt::Display) -> Error {
    Error::coded(
        ResultCode::SettingsBadCertificate,
        format!("the certificates or the private key of links can't be used: {error}"),
    )
}
