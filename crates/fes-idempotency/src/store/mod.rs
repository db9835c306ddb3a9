//! The idempotency store of one agent incarnation.

mod idempotency_store;
mod outcome;
mod purge;
mod record;
mod request;

pub use idempotency_store::IdempotencyStore;
pub use idempotency_store::StoreStatistics;
