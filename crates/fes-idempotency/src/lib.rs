//! At-most-once execution of non-repeatable requests.
//!
//! A non-repeatable request runs only at the agent incarnation that its key names. This crate is a
//! deterministic state machine without clock or I/O. [`Coordinator`] is the entry point for an
//! agent and combines key verification, the [`IdempotencyStore`] and relaying.

mod answer;
mod coordinator;
mod digest;
mod event;
mod execution;
mod issuer;
mod key;
mod limits;
mod matching;
mod prefix;
mod relay;
mod store;

pub use answer::Answer;
pub use answer::AnswerDetail;
pub use answer::NotRun;
pub use answer::OutcomeUnknown;
pub use answer::StoredResponse;
pub use coordinator::Coordinator;
pub use coordinator::CoordinatorAction;
pub use coordinator::CoordinatorEvent;
pub use digest::RequestDigest;
pub use digest::RequestDigester;
pub use event::FinishedResponse;
pub use event::StoreAction;
pub use event::StoreEvent;
pub use execution::Execution;
pub use execution::Finished;
pub use execution::Queued;
pub use execution::Started;
pub use execution::UpstreamRefusal;
pub use issuer::PrefixIssuer;
pub use key::IdempotencyKey;
pub use key::KeyClass;
pub use key::MAX_CLIENT_PART_BYTES;
pub use limits::KEY_MEMORY_BYTES;
pub use limits::KEY_VALIDITY_MS;
pub use limits::PURGE_PERIOD_MS;
pub use limits::StoreLimits;
pub use matching::Delivery;
pub use matching::DropReason;
pub use matching::InboundStreamId;
pub use matching::MatchCounters;
pub use matching::ResponseMatcher;
pub use matching::ResponsePart;
pub use matching::ResponseTag;
pub use prefix::KeyOwner;
pub use prefix::KeyPrefix;
pub use prefix::PREFIX_LEN_CHARS;
pub use prefix::PrefixCodec;
pub use relay::RELAY_GRACE_MS;
pub use relay::RelayAction;
pub use relay::RelayEvent;
pub use relay::RelayTable;
pub use store::IdempotencyStore;
pub use store::StoreStatistics;
