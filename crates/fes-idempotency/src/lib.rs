//! Key prefixes, idempotency store and execution typestate.
