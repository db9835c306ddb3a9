//! UDP sockets and authenticated h2 links between the processes of the system.
//!
//! A link is an h2 connection over mutual TLS. Each message is an h2 stream that starts with a
//! length-prefixed `bincode` head; raw body bytes may follow in either direction.

mod body;
mod client;
mod control_traffic;
mod head;
mod result_code_counters;
mod server;
mod shared_connection;
mod task_set;
mod tls;
mod udp;

pub use body::next_chunk;
pub use body::send_chunk;
pub use client::LinkCall;
pub use client::LinkPool;
pub use client::LinkReply;
pub use control_traffic::ControlTraffic;
pub use head::MAX_HEAD_BYTES;
pub use head::decode_head;
pub use head::encode_head;
pub use result_code_counters::ResultCodeCounters;
pub use server::LinkHandler;
pub use server::LinkRequest;
pub use server::LinkResponder;
pub use server::LinkServer;
pub use shared_connection::SharedConnection;
pub use task_set::TaskSet;
pub use tls::LINK_SERVER_NAME;
pub use tls::LinkTls;
pub use udp::bind_udp;
