//! QUIC endpoint over encapsulated datagrams.

mod connection_ids;
mod encapsulated_socket;
mod endpoint;
mod http3_transport;
mod ingress_state;
mod keys;

pub(crate) use encapsulated_socket::ControlDatagram;
pub(crate) use encapsulated_socket::EncapsulatedSocket;
pub(crate) use encapsulated_socket::IngressState;
pub(crate) use endpoint::make_endpoint;
pub(crate) use http3_transport::Http3Transport;
pub(crate) use http3_transport::SendStream as Http3SendStream;
pub(crate) use http3_transport::StopSignals;
pub(crate) use ingress_state::EntryHop;
pub(crate) use keys::SharedKeys;
