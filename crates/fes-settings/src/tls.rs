//! Certificates and private keys for links between processes and for client-facing QUIC.

use std::path::Path;
use std::sync::Arc;

use fes_protocol::ResultCode;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

use crate::reader::TableReader;

const ALLOWED_CERTIFICATE: &str = "a readable PEM file with at least one certificate";
const ALLOWED_PRIVATE_KEY: &str = "a readable PEM file with a private key";

/// Certificate and private key of a process for mutual TLS on links, and the authorities it trusts.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    /// Certificate chain, leaf certificate first.
    pub certificates: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate. Its `Debug` output is redacted.
    pub private_key: Arc<PrivateKeyDer<'static>>,
    /// Certificates of the authorities that sign the certificates of peers.
    pub authorities: Vec<CertificateDer<'static>>,
}

/// Certificate and private key that an agent presents to clients on QUIC.
#[derive(Debug, Clone)]
pub struct ClientIdentity {
    /// Certificate chain, leaf certificate first.
    pub certificates: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate. Its `Debug` output is redacted.
    pub private_key: Arc<PrivateKeyDer<'static>>,
}

impl LinkIdentity {
    /// Reads the `[link_tls]` table.
    pub(crate) fn read(root: &TableReader<'_>) -> Option<Self> {
        let table = root.table("link_tls")?;
        let certificates = read_certificates(&table, "certificate");
        let private_key = read_private_key(&table, "private_key");
        let authorities = read_certificates(&table, "authority");
        table.record_unknown_keys();
        Some(Self {
            certificates: certificates?,
            private_key: Arc::new(private_key?),
            authorities: authorities?,
        })
    }
}

impl ClientIdentity {
    /// Reads the `[client_tls]` table.
    pub(crate) fn read(root: &TableReader<'_>) -> Option<Self> {
        let table = root.table("client_tls")?;
        let certificates = read_certificates(&table, "certificate");
        let private_key = read_private_key(&table, "private_key");
        table.record_unknown_keys();
        Some(Self {
            certificates: certificates?,
            private_key: Arc::new(private_key?),
        })
    }
}

fn read_certificates(
    table: &TableReader<'_>,
    key: &'static str,
) -> Option<Vec<CertificateDer<'static>>> {
    let path = table.path(key)?;
    let result = read_pem_certificates(&path);
    if let Err(reason) = &result {
        let value = format!("{}: {reason}", path.display());
        table.record_fault(
            key,
            ResultCode::SettingsBadCertificate,
            value,
            ALLOWED_CERTIFICATE,
        );
    }
    result.ok()
}

fn read_pem_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let pem = std::fs::read(path).map_err(|error| error.to_string())?;
    let certificates: Vec<_> = CertificateDer::pem_slice_iter(&pem)
        .collect::<Result<_, _>>()
        .map_err(|error| error.to_string())?;
    if certificates.is_empty() {
        return Err("no certificate found".to_owned());
    }
    Ok(certificates)
}

fn read_private_key(table: &TableReader<'_>, key: &'static str) -> Option<PrivateKeyDer<'static>> {
    let path = table.path(key)?;
    // The reason is an error message of the PEM parser or the system; neither contains the key.
    let result = std::fs::read(&path)
        .map_err(|error| error.to_string())
        .and_then(|pem| PrivateKeyDer::from_pem_slice(&pem).map_err(|error| error.to_string()));
    if let Err(reason) = &result {
        let value = format!("{}: {reason}", path.display());
        table.record_fault(
            key,
            ResultCode::SettingsBadCertificate,
            value,
            ALLOWED_PRIVATE_KEY,
        );
    }
    result.ok()
}
