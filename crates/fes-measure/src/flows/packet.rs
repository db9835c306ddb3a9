//! QUIC packets with the header fields that routing reads.

use fes_protocol::CONNECTION_ID_LEN_BYTES;

const LONG_HEADER_INITIAL: u8 = 0xc0;
const SHORT_HEADER: u8 = 0x40;
const QUIC_VERSION_1: [u8; 4] = [0, 0, 0, 1];

/// Length of the connection ID that a client chooses for its first packet.
pub(crate) const CLIENT_ID_LEN_BYTES: usize = 12;

/// Bytes after the header; routing doesn't read them.
const PAYLOAD: [u8; 32] = [0; 32];

/// Returns an Initial packet with a client-chosen connection ID.
pub(crate) fn first_packet(client_id: [u8; CLIENT_ID_LEN_BYTES]) -> Vec<u8> {
    let mut datagram = vec![LONG_HEADER_INITIAL];
    datagram.extend(QUIC_VERSION_1);
    datagram.push(CLIENT_ID_LEN_BYTES as u8);
    datagram.extend(client_id);
    datagram.push(0);
    datagram.extend(PAYLOAD);
    datagram
}

/// Returns a short-header packet of an established flow.
pub(crate) fn established_packet(connection_id: [u8; CONNECTION_ID_LEN_BYTES]) -> Vec<u8> {
    let mut datagram = vec![SHORT_HEADER];
    datagram.extend(connection_id);
    datagram.extend(PAYLOAD);
    datagram
}
