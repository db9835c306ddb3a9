//! Bounds of the idempotency store.

/// Period of [`crate::StoreEvent::Timer`], in milliseconds.
pub const PURGE_PERIOD_MS: u64 = 1_000;

/// How long a prefix is valid after its issue, in milliseconds on the owner's clock.
pub const KEY_VALIDITY_MS: u64 = 600_000;

/// Memory of one held key with the longest client part, in bytes, next to the bytes of its stored
/// response: table entry, client part, and the allocations of record and response. 285 were seen
/// with `examples/store_size.rs`.
pub const KEY_MEMORY_BYTES: usize = 288;

/// Bounds on the memory of an [`crate::IdempotencyStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLimits {
    /// Keys held. Must exceed the requests that admission can hold at the same time.
    pub max_keys: usize,
    /// Bytes of stored responses, over all keys.
    pub max_responses_bytes: usize,
    /// Largest response that is stored, in bytes.
    pub max_response_bytes: usize,
}

impl StoreLimits {
    /// Returns the most memory that a store with these limits holds, in bytes.
    #[must_use]
    pub const fn memory_bound_bytes(&self) -> usize {
        let keys_bytes = self.max_keys.saturating_mul(KEY_MEMORY_BYTES);
        keys_bytes.saturating_add(self.max_responses_bytes)
    }
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            max_keys: 100_000,
            max_responses_bytes: 16 << 20,
            max_response_bytes: 64 << 10,
        }
    }
}
