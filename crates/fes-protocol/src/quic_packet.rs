//! Version-independent parsing of the QUIC packet fields (RFC 8999) that routing needs.

use crate::CONNECTION_ID_LEN_BYTES;

const LONG_HEADER_BIT: u8 = 0x80;
const FIXED_BIT: u8 = 0x40;
const MAX_CONNECTION_ID_LEN_BYTES: usize = 20;
const QUIC_VERSION_1: u32 = 1;

/// Kind of the first packet in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// Long header that may open a flow: Initial or 0-RTT.
    Opening,
    /// Long header of a handshake in progress: Handshake or Retry.
    Handshake,
    /// Long header of a version other than 1; answered by version negotiation at an agent.
    OtherVersion,
    /// Short header: an established flow.
    Established,
}

/// The fields of a datagram's first packet that routing needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuicPacket<'a> {
    /// Kind of packet.
    pub kind: PacketKind,
    /// Destination connection ID.
    pub destination_id: &'a [u8],
}

impl<'a> QuicPacket<'a> {
    /// Parses the start of a datagram. Returns `None` if it is too short or isn't QUIC.
    #[must_use]
    pub fn parse(datagram: &'a [u8]) -> Option<Self> {
        let first = *datagram.first()?;
        if first & LONG_HEADER_BIT == 0 {
            return Self::parse_short(first, datagram);
        }
        let version = u32::from_be_bytes(datagram.get(1..5)?.try_into().ok()?);
        let length = usize::from(*datagram.get(5)?);
        let destination_id = datagram.get(6..6 + length)?;
        if version == QUIC_VERSION_1 && length > MAX_CONNECTION_ID_LEN_BYTES {
            return None;
        }
        let kind = match (version, (first >> 4) & 3) {
            (QUIC_VERSION_1, 0 | 1) => PacketKind::Opening,
            (QUIC_VERSION_1, _) => PacketKind::Handshake,
            // Version 0 is version negotiation, which only servers send.
            (0, _) => return None,
            _ => PacketKind::OtherVersion,
        };
        Some(Self {
            kind,
            destination_id,
        })
    }

    fn parse_short(first: u8, datagram: &'a [u8]) -> Option<Self> {
        if first & FIXED_BIT == 0 {
            return None;
        }
        let destination_id = datagram.get(1..=CONNECTION_ID_LEN_BYTES)?;
        Some(Self {
            kind: PacketKind::Established,
            destination_id,
        })
    }
}
