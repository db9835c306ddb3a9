//! Digest that tells requests with the same key apart.

use std::hash::Hasher;

use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

use fes_protocol::SecretKey;

/// Digest of a request. Two requests with the same key and digest are tries of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; 16]);

/// Computes a digest from the parts of a request as they arrive.
///
/// The parts that identify a request are its method, path, credentials and body. With credentials
/// in it, one client can't read the stored response of another by guessing its key.
#[derive(Debug, Clone)]
pub struct RequestDigester {
    hasher: SipHasher24,
}

impl RequestDigester {
    /// Starts a digest. `secret` is known to this incarnation only, so that clients can't find
    /// two requests with the same digest.
    #[must_use]
    pub fn new(secret: &SecretKey) -> Self {
        Self {
            hasher: SipHasher24::new_with_key(secret.expose()),
        }
    }

    /// Adds one whole field, with its length, so that neighbouring fields can't be shifted.
    #[must_use]
    pub fn field(mut self, bytes: &[u8]) -> Self {
        self.hasher.write_usize(bytes.len());
        self.hasher.write(bytes);
        self
    }

    /// Adds a chunk of the body, which comes last.
    pub fn body_chunk(&mut self, bytes: &[u8]) {
        self.hasher.write(bytes);
    }

    /// Returns the digest.
    #[must_use]
    pub fn finish(&self) -> RequestDigest {
        RequestDigest(self.hasher.finish128().as_bytes())
    }
}
