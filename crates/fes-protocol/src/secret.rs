//! Secret keys with epochs.

use std::fmt;

use crate::KeyEpoch;

/// A 16-byte secret key. Its `Debug` output never shows the key.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretKey([u8; 16]);

impl SecretKey {
    /// Wraps key bytes.
    #[must_use]
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the key bytes for use in a cipher.
    #[must_use]
    pub const fn expose(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(redacted)")
    }
}

/// The key of the current epoch and, during a rotation, the key of the previous or next epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRing {
    current_epoch: KeyEpoch,
    current: SecretKey,
    adjacent: Option<(KeyEpoch, SecretKey)>,
}

impl KeyRing {
    /// Creates a key ring with a single key.
    #[must_use]
    pub const fn new(epoch: KeyEpoch, key: SecretKey) -> Self {
        Self {
            current_epoch: epoch,
            current: key,
            adjacent: None,
        }
    }

    /// Also accepts the key of `epoch`, the previous or next epoch.
    #[must_use]
    pub fn with_adjacent_key(mut self, epoch: KeyEpoch, key: SecretKey) -> Self {
        self.adjacent = Some((epoch, key));
        self
    }

    /// Returns the epoch under which new data is encoded.
    #[must_use]
    pub const fn current_epoch(&self) -> KeyEpoch {
        self.current_epoch
    }

    /// Returns the key under which new data is encoded.
    #[must_use]
    pub const fn current(&self) -> &SecretKey {
        &self.current
    }

    /// Returns the accepted key of `epoch`, if any.
    #[must_use]
    pub fn get(&self, epoch: KeyEpoch) -> Option<&SecretKey> {
        if epoch == self.current_epoch {
            return Some(&self.current);
        }
        self.adjacent
            .as_ref()
            .filter(|(e, _)| *e == epoch)
            .map(|(_, key)| key)
    }

    /// Returns all accepted epochs with their keys, current first.
    pub fn accepted(&self) -> impl Iterator<Item = (KeyEpoch, &SecretKey)> {
        let current = std::iter::once((self.current_epoch, &self.current));
        current.chain(self.adjacent.iter().map(|(epoch, key)| (*epoch, key)))
    }
}
