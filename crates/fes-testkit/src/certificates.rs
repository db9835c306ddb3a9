//! Certificates and secret keys for tests.

use std::sync::Arc;

use fes_protocol::KeyEpoch;
use fes_protocol::SecretKey;
use fes_settings::ClientIdentity;
use fes_settings::LinkIdentity;
use fes_settings::SecretKeys;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::PrivatePkcs8KeyDer;

/// Server name on links between processes.
const LINK_SERVER_NAME: &str = "fescueshift";

/// Server name that clients expect in the certificates of agents.
pub const SERVER_NAME: &str = "fescueshift.internal";

const SUBJECTS: [&str; 5] = [
    SERVER_NAME,
    LINK_SERVER_NAME,
    "localhost",
    "127.0.0.1",
    "::1",
];
const TEST_EPOCH: KeyEpoch = KeyEpoch(0);

/// A certificate authority whose key is kept in memory only.
#[derive(Debug)]
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    certificate: CertificateDer<'static>,
    pem: String,
}

struct Leaf {
    certificates: Vec<CertificateDer<'static>>,
    private_key: Arc<PrivateKeyDer<'static>>,
}

impl CertificateAuthority {
    /// Creates an authority with a new key.
    ///
    /// # Panics
    ///
    /// Panics if the system's random source fails.
    #[must_use]
    pub fn new() -> Self {
        let key = KeyPair::generate().expect("random source");
        let mut params = CertificateParams::new(Vec::new()).expect("no subject names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params.self_signed(&key).expect("self-signed certificate");
        Self {
            certificate: certificate.der().clone(),
            pem: certificate.pem(),
            issuer: Issuer::new(params, key),
        }
    }

    /// Returns the authority's certificate.
    #[must_use]
    pub fn certificate(&self) -> CertificateDer<'static> {
        self.certificate.clone()
    }

    /// Returns the authority's certificate as PEM.
    #[must_use]
    pub fn certificate_pem(&self) -> &str {
        &self.pem
    }

    /// Issues an identity for links. It accepts peers whose certificates this authority signed.
    #[must_use]
    pub fn link_identity(&self) -> LinkIdentity {
        let leaf = self.leaf();
        LinkIdentity {
            certificates: leaf.certificates,
            private_key: leaf.private_key,
            authorities: vec![self.certificate()],
        }
    }

    /// Issues an identity that agents present to clients.
    #[must_use]
    pub fn client_identity(&self) -> ClientIdentity {
        let leaf = self.leaf();
        ClientIdentity {
            certificates: leaf.certificates,
            private_key: leaf.private_key,
        }
    }

    /// Issues a leaf certificate and returns it with its private key, both as PEM.
    ///
    /// # Panics
    ///
    /// Panics if the system's random source fails.
    #[must_use]
    pub fn leaf_pem(&self) -> (String, String) {
        let key = KeyPair::generate().expect("random source");
        let certificate = leaf_params()
            .signed_by(&key, &self.issuer)
            .expect("leaf certificate");
        (certificate.pem(), key.serialize_pem())
    }

    fn leaf(&self) -> Leaf {
        let key = KeyPair::generate().expect("random source");
        let certificate = leaf_params()
            .signed_by(&key, &self.issuer)
            .expect("leaf certificate");
        let private_key = PrivatePkcs8KeyDer::from(key.serialize_der());
        Leaf {
            certificates: vec![certificate.der().clone()],
            private_key: Arc::new(private_key.into()),
        }
    }
}

impl Default for CertificateAuthority {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns secret keys with a single key, derived from `seed`, in epoch 0.
#[must_use]
pub fn secret_keys(seed: u64) -> SecretKeys {
    let mut bytes = [0x5a; 16];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    SecretKeys::new(TEST_EPOCH, SecretKey::new(bytes))
}

fn leaf_params() -> CertificateParams {
    let subjects = SUBJECTS.map(str::to_owned);
    let mut params = CertificateParams::new(subjects).expect("valid subject names");
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params
}
