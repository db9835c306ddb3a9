//! Keyed hash of client-chosen connection IDs.

use std::hash::Hasher;

use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use siphasher::sip::SipHasher13;

/// Hashes first packets for placement. The secret key prevents clients from choosing their
/// upstream.
#[derive(Debug, Clone)]
pub struct PlacementHasher {
    key: SecretKey,
}

impl PlacementHasher {
    /// Creates a hasher. All processes must use the same key to agree on placement.
    #[must_use]
    pub const fn new(key: SecretKey) -> Self {
        Self { key }
    }

    /// Hashes the connection ID that a client chose for its first packet.
    #[must_use]
    pub fn hash(&self, service: ServiceId, client_chosen_id: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_key(self.key.expose());
        hasher.write_u32(service.0);
        hasher.write(client_chosen_id);
        hasher.finish()
    }
}
