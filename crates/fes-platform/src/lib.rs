//! Client of the platform's read and watch interface: HTTP/1.1 with JSON.
//!
//! The platform is only read. Every call has a deadline, replies are bounded and validated, and a
//! bad ticket in a reply doesn't hide the good ones.

mod backoff;
mod client;
mod connection;
mod reply;
mod watcher;

pub use backoff::Backoff;
pub use client::PlatformClient;
pub use reply::ListedVm;
pub use reply::ListedVmState;
pub use reply::RejectedTicket;
pub use reply::TicketReply;
pub use watcher::Watcher;
