//! Keys of the QUIC endpoint, which the agent replaces on a key rotation.

use std::sync::Arc;
use std::sync::RwLock;

use fes_protocol::ConnectionIdCodec;
use fes_protocol::KeyRing;
use quinn::crypto::CryptoError;
use quinn::crypto::HmacKey;
use ring::hmac;

/// Separates the derived stateless reset keys from other uses of the secret keys.
const RESET_LABEL: &[u8] = b"fescueshift stateless reset";
const SIGNATURE_LEN_BYTES: usize = 32;
/// Position of the key epoch, modulo 4, in the first byte of a connection ID.
const EPOCH_SHIFT: u32 = 6;

/// Connection ID codec and stateless reset keys of all accepted epochs.
#[derive(Debug, Clone)]
pub(crate) struct SharedKeys {
    derived: Arc<RwLock<DerivedKeys>>,
}

#[derive(Debug)]
struct DerivedKeys {
    connection_ids: ConnectionIdCodec,
    /// Stateless reset keys by key epoch modulo 4.
    reset: [Option<hmac::Key>; 4],
    /// Signs for connection IDs whose epoch isn't accepted.
    fallback: hmac::Key,
}

impl SharedKeys {
    pub(crate) fn new(keys: &KeyRing) -> Self {
        Self {
            derived: Arc::new(RwLock::new(DerivedKeys::new(keys))),
        }
    }

    pub(crate) fn replace(&self, keys: &KeyRing) {
        if let Ok(mut derived) = self.derived.write() {
            *derived = DerivedKeys::new(keys);
        }
    }

    pub(crate) fn with_connection_ids<T>(
        &self,
        use_codec: impl FnOnce(&ConnectionIdCodec) -> T,
    ) -> T {
        let derived = self.derived.read().unwrap_or_else(|e| e.into_inner());
        use_codec(&derived.connection_ids)
    }
}

impl DerivedKeys {
    fn new(keys: &KeyRing) -> Self {
        let derive = |key: &[u8]| {
            let base = hmac::Key::new(hmac::HMAC_SHA256, key);
            hmac::Key::new(hmac::HMAC_SHA256, hmac::sign(&base, RESET_LABEL).as_ref())
        };
        let mut reset = [None, None, None, None];
        for (epoch, key) in keys.accepted() {
            reset[usize::from(epoch.0 & 3)] = Some(derive(key.expose()));
        }
        Self {
            connection_ids: ConnectionIdCodec::new(keys),
            reset,
            fallback: derive(keys.current().expose()),
        }
    }
}

/// Signs stateless reset tokens with the key of the connection ID's epoch, so that a token issued
/// before a key rotation stays valid as long as its connection ID.
impl HmacKey for SharedKeys {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let derived = self.derived.read().unwrap_or_else(|e| e.into_inner());
        let epoch = data
            .first()
            .map_or(0, |byte| usize::from(byte >> EPOCH_SHIFT));
        let key = derived.reset[epoch].as_ref().unwrap_or(&derived.fallback);
        let tag = hmac::sign(key, data);
        let length = signature_out.len().min(SIGNATURE_LEN_BYTES);
        signature_out[..length].copy_from_slice(&tag.as_ref()[..length]);
    }

    fn signature_len(&self) -> usize {
        SIGNATURE_LEN_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let mut expected = [0; SIGNATURE_LEN_BYTES];
        self.sign(data, &mut expected);
        let differs = expected
            .iter()
            .zip(signature)
            .fold(0, |acc, (a, b)| acc | (a ^ b));
        if signature.len() == SIGNATURE_LEN_BYTES && differs == 0 {
            return Ok(());
        }
        Err(CryptoError)
    }
}
