//! Limits of the idempotency store.

/// Period of [`crate::StoreEvent::Timer`], in milliseconds.
pub const PURGE_PERIOD_MS: u64 = 1_000;

/// Validity of a prefix after its issue, in milliseconds on the owner's clock.
pub const KEY_VALIDITY_MS: u64 = 600_000;

/// Memory of one key with the longest client part, in bytes, excluding the size of its stored
/// response: table entry, client part, and the allocations of record and response.
/// `examples/store_size.rs` reports 285.
pub const KEY_MEMORY_BYTES: usize = 288;

/// Memory limits of an [`crate::IdempotencyStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum number of keys. Must exceed the number of requests that admission can hold at once.
    pub max_keys: usize,
    /// Maximum total size of stored responses, in bytes.
    pub max_responses_bytes: usize,
    /// Maximum size of a stored response, in bytes. Larger responses are not stored.
    pub max_response_bytes: usize,
}

impl StoreLimits {
    /// Returns the maximum memory of a store with these limits, in bytes.
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
