//! Packets of flows, as the platform's page on the protocol describes them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER_BYTES: usize = 34;
pub const SYN: u8 = 64;
pub const ACK: u8 = 32;
pub const FIN: u8 = 4;
pub const RST: u8 = 8;
pub const BOUNCED: u8 = 16;

/// Header of a packet.
#[derive(Clone, Copy, Debug)]
pub struct Header {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub len: u16,
}

impl Header {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// Returns the packet with a header and data.
pub fn encode(header: &Header, data: &[u8]) -> Vec<u8> {
    let mut packet = vec![0; HEADER_BYTES];
    packet[0..2].copy_from_slice(&(data.len() as u16).to_be_bytes());
    packet[10..14].copy_from_slice(&header.seq.to_be_bytes());
    packet[14..18].copy_from_slice(&header.ack.to_be_bytes());
    packet[18] = header.flags;
    packet[22..24].copy_from_slice(&header.to.port().to_be_bytes());
    packet[24..28].copy_from_slice(&header.to.ip().octets());
    packet[28..32].copy_from_slice(&header.from.ip().octets());
    packet[32..34].copy_from_slice(&header.from.port().to_be_bytes());
    packet.extend_from_slice(data);
    let sum = keyed_sum(&packet);
    packet[6..10].copy_from_slice(&sum.to_be_bytes());
    packet
}

/// Returns the header and the data of a packet, if its length is right.
pub fn decode(packet: &[u8]) -> Option<(Header, &[u8])> {
    if packet.len() < HEADER_BYTES {
        return None;
    }
    let u16_at = |at: usize| u16::from_be_bytes([packet[at], packet[at + 1]]);
    let u32_at = |at: usize| {
        u32::from_be_bytes([packet[at], packet[at + 1], packet[at + 2], packet[at + 3]])
    };
    let header = Header {
        from: SocketAddrV4::new(Ipv4Addr::from(u32_at(28)), u16_at(32)),
        to: SocketAddrV4::new(Ipv4Addr::from(u32_at(24)), u16_at(22)),
        flags: packet[18],
        seq: u32_at(10),
        ack: u32_at(14),
        len: u16_at(0),
    };
    let data = &packet[HEADER_BYTES..];
    (data.len() == usize::from(header.len)).then_some((header, data))
}

/// Returns whether the sum of a packet that an endpoint sent is right.
pub fn is_intact(packet: &[u8]) -> bool {
    packet.len() >= HEADER_BYTES && packet[6..10] == keyed_sum(packet).to_be_bytes()
}

/// Sum over all fields except the sum itself, `echo`, `pad` and the flag BOUNCED.
fn keyed_sum(packet: &[u8]) -> u32 {
    let mut sum: u32 = 0x7a31_9c05;
    for (index, byte) in packet.iter().enumerate() {
        let covered = match index {
            2..=9 | 19..=21 => 0,
            18 => *byte & !BOUNCED,
            _ => *byte,
        };
        sum = sum.rotate_left(7) ^ u32::from(covered).wrapping_mul(0x85eb_ca6b);
    }
    sum
}
