//! Test doubles of the platform, upstreams, the fabric and clients, with test keys and
//! certificates.
//!
//! All doubles run on the current `actix-rt` arbiter and bind ephemeral loopback ports. A double
//! stops when its last handle is dropped. [`at_most_once`] simulates a whole fleet instead and
//! binds no ports.

pub mod at_most_once;
mod body;
mod certificates;
mod client;
mod client_feed;
mod client_outcome;
mod client_session;
mod execution_log;
mod fabric;
mod platform;
mod platform_state;
mod task;
mod upstream;
mod upstream_connection;
mod upstream_state;
mod wait;

pub use body::expected_body;
pub use certificates::CertificateAuthority;
pub use certificates::SERVER_NAME;
pub use certificates::secret_keys;
pub use client::Client;
pub use client::ClientOptions;
pub use client::ClientRequest;
pub use client::ClientResponse;
pub use client_feed::Feed;
pub use client_feed::FeedCounts;
pub use client_outcome::ClientCounts;
pub use client_outcome::Outcome;
pub use execution_log::Execution;
pub use execution_log::ExecutionLog;
pub use fabric::Fabric;
pub use fabric::FabricCounts;
pub use platform::Platform;
pub use platform_state::PlatformMode;
pub use platform_state::Vm;
pub use platform_state::VmState;
pub use upstream::Upstream;
pub use upstream_state::Shedding;
pub use upstream_state::UpstreamOptions;
pub use wait::wait_until;
