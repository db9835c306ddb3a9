//! Request digest, which detects the reuse of a key for a different request.

use std::hash::Hasher;

use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

use fes_protocol::SecretKey;

/// Digest of a request. Two requests with the same key and digest are attempts of the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; 16]);

/// Computes a digest from the parts of a request as they arrive.
///
/// The digest covers method, path, credentials and body. It includes the credentials so that a
/// client can't obtain the stored response of another client by guessing its key.
#[derive(Debug, Clone)]
pub struct RequestDigester {
    hasher: SipHasher24,
}

impl RequestDigester {
    /// Starts a digest. Only this incarnation knows `secret`, so that clients can't construct two
    /// requests with the same digest.
    #[must_use]
    pub fn new(secret: &SecretKey) -> Self {
        Self {
            hasher: SipHasher24::new_with_key(secret.expose()),
        }
    }

    /// Adds a complete field, prefixed with its length so that bytes can't move between adjacent
    /// fields.
    #[must_use]
    pub fn field(mut self, bytes: &[u8]) -> Self {
        self.hasher.write_usize(bytes.len());
        self.hasher.write(bytes);
        self
    }

    /// Adds a chunk of the body. The body must follow all fields.
    pub fn body_chunk(&mut self, bytes: &[u8]) {
        self.hasher.write(bytes);
    }

    /// Returns the digest.
    #[must_use]
    pub fn finish(&self) -> RequestDigest {
        RequestDigest(self.hasher.finish128().as_bytes())
    }
}
