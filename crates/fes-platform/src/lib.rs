//! Client of the platform's read and watch API: JSON over HTTP/1.1.
//!
//! The client never writes to the platform. Every call has a timeout, and replies are bounded in
//! size and validated. An invalid ticket in a reply is rejected alone; valid ones are kept.

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
