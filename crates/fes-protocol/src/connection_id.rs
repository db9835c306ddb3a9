//! Routable QUIC connection IDs similar to those of QUIC-LB.
//!
//! Byte 0 holds the key epoch in its two high bits and random bits below; bytes 1 to 16 are one
//! AES-128 block that encrypts service ID, target ID and nonce.

use aes::Aes128;
use aes::cipher::BlockDecrypt;
use aes::cipher::BlockEncrypt;
use aes::cipher::KeyInit;

use crate::KeyEpoch;
use crate::KeyRing;
use crate::ServiceId;
use crate::TargetId;

/// Length of every connection ID that agents issue, in bytes.
pub const CONNECTION_ID_LEN_BYTES: usize = 17;

const EPOCH_SHIFT: u32 = 6;

/// Decrypted content of a routable connection ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RoutableId {
    /// The service that the flow belongs to. Decoding compares it as an integrity check.
    pub service: ServiceId,
    /// The target whose agent terminates the flow.
    pub target: TargetId,
    /// Unique per agent, so that observers can't link the IDs of one flow.
    pub nonce: u64,
}

/// Encrypts and decrypts connection IDs under the accepted key epochs.
#[derive(Clone)]
pub struct ConnectionIdCodec {
    current_epoch: KeyEpoch,
    ciphers: [Option<Aes128>; 4],
}

impl std::fmt::Debug for ConnectionIdCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConnectionIdCodec")
            .field("current_epoch", &self.current_epoch)
            .finish()
    }
}

impl ConnectionIdCodec {
    /// Creates a codec from the accepted keys. Epochs above 3 are taken modulo 4.
    #[must_use]
    pub fn new(keys: &KeyRing) -> Self {
        let mut ciphers = [None, None, None, None];
        for (epoch, key) in keys.accepted() {
            ciphers[usize::from(epoch.0 & 3)] = Some(Aes128::new(key.expose().into()));
        }
        Self {
            current_epoch: KeyEpoch(keys.current_epoch().0 & 3),
            ciphers,
        }
    }

    /// Encrypts an ID under the current epoch. `random` fills the unused bits of byte 0.
    #[must_use]
    pub fn encode(&self, id: RoutableId, random: u8) -> [u8; CONNECTION_ID_LEN_BYTES] {
        let mut out = [0; CONNECTION_ID_LEN_BYTES];
        out[0] = (self.current_epoch.0 << EPOCH_SHIFT) | (random & 0x3f);
        out[1..5].copy_from_slice(&id.service.0.to_be_bytes());
        out[5..9].copy_from_slice(&id.target.0.to_be_bytes());
        out[9..17].copy_from_slice(&id.nonce.to_be_bytes());
        if let Some(cipher) = &self.ciphers[usize::from(self.current_epoch.0)] {
            cipher.encrypt_block((&mut out[1..17]).into());
        }
        out
    }

    /// Decrypts an ID. Returns `None` if the length is wrong, the epoch isn't accepted or the ID
    /// belongs to a service other than `service`.
    #[must_use]
    pub fn decode(&self, bytes: &[u8], service: ServiceId) -> Option<RoutableId> {
        if bytes.len() != CONNECTION_ID_LEN_BYTES {
            return None;
        }
        let cipher = self.ciphers[usize::from(bytes[0] >> EPOCH_SHIFT)].as_ref()?;
        let mut block: [u8; 16] = bytes[1..17].try_into().ok()?;
        cipher.decrypt_block((&mut block).into());
        let [s0, s1, s2, s3, t0, t1, t2, t3, nonce @ ..] = block;
        let id = RoutableId {
            service: ServiceId(u32::from_be_bytes([s0, s1, s2, s3])),
            target: TargetId(u32::from_be_bytes([t0, t1, t2, t3])),
            nonce: u64::from_be_bytes(nonce),
        };
        (id.service == service).then_some(id)
    }
}
