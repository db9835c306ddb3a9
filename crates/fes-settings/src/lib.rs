//! Settings of entries and agents, read from TOML and validated as a whole.
//!
//! All faults of a file are reported at once, each with file, line, key, value, the allowed values,
//! a result code and help. `docs/settings.md` lists all keys.

mod agent;
mod entry;
mod fault;
mod keys;
mod node;
mod reader;
mod tls;

pub use agent::AgentSettings;
pub use agent::ClassPrior;
pub use entry::EntrySettings;
pub use entry::ListenSettings;
pub use fault::Fault;
pub use fault::Faults;
pub use fault::INVALID_SETTINGS_EXIT_STATUS;
pub use keys::SecretKeys;
pub use node::NodeSettings;
pub use tls::ClientIdentity;
pub use tls::LinkIdentity;
