//! Requests between agents: relayed to the owner of an idempotency key, or offloaded to a peer.

mod forward;
mod link_sink;
mod serve_peer;
mod wire;

pub(crate) use forward::offload;
pub(crate) use forward::relay;
pub(crate) use link_sink::LinkSink;
pub(crate) use serve_peer::serve_peer;
pub(crate) use wire::REQUEST_KIND;
