//! Encapsulation of datagrams between entries and agents, authenticated by a keyed MAC.
//!
//! Layout: fixed-size `bincode` header, 16-byte MAC over header and payload, payload. Control
//! messages have a shorter header than client datagrams, because they are sent continuously and
//! count against the control traffic budget.

use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

use crate::EntryId;
use crate::KeyEpoch;
use crate::KeyRing;
use crate::ResultCode;
use crate::SecretKey;
use crate::ServiceId;
use crate::TargetId;
use crate::TicketNumber;

const VERSION: u8 = 1;
const HEADER_LEN_BYTES: usize = 52;
const CONTROL_HEADER_LEN_BYTES: usize = 15;
const MAC_LEN_BYTES: usize = 16;
const KIND_OFFSET: usize = 2;
const KIND_FORWARD: u8 = 0;
const KIND_RETURN: u8 = 1;
const KIND_CONTROL: u8 = 2;

/// Bytes that the encapsulation adds to a client datagram.
pub const ENCAPSULATION_OVERHEAD_BYTES: usize = HEADER_LEN_BYTES + MAC_LEN_BYTES;

/// Bytes that the encapsulation adds to a control message.
pub const CONTROL_OVERHEAD_BYTES: usize = CONTROL_HEADER_LEN_BYTES + MAC_LEN_BYTES;

/// Largest client datagram that entries forward, in bytes. With encapsulation and IP headers it
/// stays below an Ethernet MTU of 1,500.
pub const MAX_CLIENT_DATAGRAM_BYTES: usize = 1_372;

/// Kind of payload in an encapsulated datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramKind {
    /// A client's datagram on its way to an agent.
    Forward,
    /// An agent's datagram on its way to a client.
    Return,
    /// A [`crate::ControlMessage`].
    Control,
}

/// Decoded header of an encapsulated datagram. Control messages carry kind, service, target and
/// entry only; the other fields are then zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EncapsulationHeader {
    /// Kind of payload.
    pub kind: DatagramKind,
    /// Service that the client addressed.
    pub service: ServiceId,
    /// Target whose agent receives (forward) or sent (return) the datagram.
    pub target: TargetId,
    /// Entry that received the client's datagram, or that is to return one to the client.
    pub entry: EntryId,
    /// Number of the service's ticket that the routing decision used.
    pub ticket: TicketNumber,
    /// The client's address.
    pub client: SocketAddr,
    /// Identifies the service address that the client used, see [`address_tag`]; 0 if none.
    pub address_tag: u16,
    /// How often an agent forwarded the datagram to another agent: 0 or 1.
    pub hop_count: u8,
    /// Sender's wall clock in milliseconds, modulo 2^32. For traces only.
    pub sent_ms: u32,
}

#[derive(Serialize, Deserialize)]
struct EncapsulationWire {
    version: u8,
    key_epoch: u8,
    kind: u8,
    hop_count: u8,
    service_id: u32,
    target_id: u32,
    entry_id: u32,
    ticket_number: u64,
    client_ip: [u8; 16],
    client_port: u16,
    address_tag: u16,
    sent_ms: u32,
    payload_bytes: u32,
}

#[derive(Serialize, Deserialize)]
struct ControlHeaderWire {
    version: u8,
    key_epoch: u8,
    kind: u8,
    service_id: u32,
    target_id: u32,
    entry_id: u32,
}

/// Encodes and decodes encapsulated datagrams under the accepted key epochs.
#[derive(Debug, Clone)]
pub struct EncapsulationCodec {
    keys: KeyRing,
}

impl EncapsulationCodec {
    /// Creates a codec from the accepted keys.
    #[must_use]
    pub const fn new(keys: KeyRing) -> Self {
        Self { keys }
    }

    /// Encodes header and payload into one datagram.
    #[must_use]
    pub fn encode(&self, header: &EncapsulationHeader, payload: &[u8]) -> Vec<u8> {
        let epoch = self.keys.current_epoch();
        if header.kind == DatagramKind::Control {
            let wire = ControlHeaderWire::from_header(header, epoch);
            return self.encode_with_mac(&wire, CONTROL_HEADER_LEN_BYTES, payload);
        }
        let wire = EncapsulationWire::from_header(header, epoch, payload.len());
        self.encode_with_mac(&wire, HEADER_LEN_BYTES, payload)
    }

    /// Verifies and decodes a datagram; returns its header and payload.
    ///
    /// # Errors
    ///
    /// Returns the drop reason if the datagram is too short or malformed, has another version or
    /// an unknown key epoch, or its MAC doesn't match.
    pub fn decode<'a>(
        &self,
        datagram: &'a [u8],
    ) -> Result<(EncapsulationHeader, &'a [u8]), ResultCode> {
        if datagram.get(KIND_OFFSET) == Some(&KIND_CONTROL) {
            let (header, payload) = self.verify(datagram, CONTROL_HEADER_LEN_BYTES)?;
            let wire: ControlHeaderWire = decode_header(header)?;
            return Ok((wire.into(), payload));
        }
        let (header, payload) = self.verify(datagram, HEADER_LEN_BYTES)?;
        let wire: EncapsulationWire = decode_header(header)?;
        if wire.payload_bytes as usize != payload.len() {
            return Err(ResultCode::DatagramMalformed);
        }
        Ok((wire.try_into()?, payload))
    }

    fn encode_with_mac(
        &self,
        header: &impl Serialize,
        header_bytes: usize,
        payload: &[u8],
    ) -> Vec<u8> {
        let overhead_bytes = header_bytes + MAC_LEN_BYTES;
        let mut out = vec![0; overhead_bytes + payload.len()];
        // The header has a fixed size, so that encoding into this buffer can't fail.
        let _ = bincode::serde::encode_into_slice(header, &mut out[..header_bytes], config());
        out[overhead_bytes..].copy_from_slice(payload);
        let mac = mac(self.keys.current(), &out[..header_bytes], payload);
        out[header_bytes..overhead_bytes].copy_from_slice(&mac);
        out
    }

    /// Verifies version, key epoch and MAC; returns header bytes and payload.
    fn verify<'a>(
        &self,
        datagram: &'a [u8],
        header_bytes: usize,
    ) -> Result<(&'a [u8], &'a [u8]), ResultCode> {
        if datagram.len() < header_bytes + MAC_LEN_BYTES {
            return Err(ResultCode::DatagramTooShort);
        }
        let (head, payload) = datagram.split_at(header_bytes + MAC_LEN_BYTES);
        let (header, received_mac) = head.split_at(header_bytes);
        if header[0] != VERSION {
            return Err(ResultCode::DatagramWrongVersion);
        }
        let key = self
            .keys
            .get(KeyEpoch(header[1]))
            .ok_or(ResultCode::DatagramUnknownKeyEpoch)?;
        if !constant_time_eq(&mac(key, header, payload), received_mac) {
            return Err(ResultCode::DatagramForged);
        }
        Ok((header, payload))
    }
}

impl ControlHeaderWire {
    fn from_header(header: &EncapsulationHeader, epoch: KeyEpoch) -> Self {
        Self {
            version: VERSION,
            key_epoch: epoch.0,
            kind: KIND_CONTROL,
            service_id: header.service.0,
            target_id: header.target.0,
            entry_id: header.entry.0,
        }
    }
}

impl From<ControlHeaderWire> for EncapsulationHeader {
    fn from(wire: ControlHeaderWire) -> Self {
        Self {
            kind: DatagramKind::Control,
            service: ServiceId(wire.service_id),
            target: TargetId(wire.target_id),
            entry: EntryId(wire.entry_id),
            ticket: TicketNumber(0),
            client: SocketAddr::from(([0, 0, 0, 0], 0)),
            address_tag: 0,
            hop_count: 0,
            sent_ms: 0,
        }
    }
}

fn decode_header<T: for<'de> Deserialize<'de>>(header: &[u8]) -> Result<T, ResultCode> {
    bincode::serde::decode_from_slice(header, config())
        .map(|(wire, _)| wire)
        .map_err(|_| ResultCode::DatagramMalformed)
}

impl EncapsulationWire {
    fn from_header(
        header: &EncapsulationHeader,
        epoch: KeyEpoch,
        payload_len_bytes: usize,
    ) -> Self {
        Self {
            version: VERSION,
            key_epoch: epoch.0,
            kind: match header.kind {
                DatagramKind::Forward => KIND_FORWARD,
                DatagramKind::Return => KIND_RETURN,
                DatagramKind::Control => KIND_CONTROL,
            },
            hop_count: header.hop_count,
            service_id: header.service.0,
            target_id: header.target.0,
            entry_id: header.entry.0,
            ticket_number: header.ticket.0,
            client_ip: ip_octets(header.client.ip()),
            client_port: header.client.port(),
            address_tag: header.address_tag,
            sent_ms: header.sent_ms,
            payload_bytes: u32::try_from(payload_len_bytes).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<EncapsulationWire> for EncapsulationHeader {
    type Error = ResultCode;

    fn try_from(wire: EncapsulationWire) -> Result<Self, ResultCode> {
        let kind = match wire.kind {
            KIND_FORWARD => DatagramKind::Forward,
            KIND_RETURN => DatagramKind::Return,
            _ => return Err(ResultCode::DatagramMalformed),
        };
        Ok(Self {
            kind,
            service: ServiceId(wire.service_id),
            target: TargetId(wire.target_id),
            entry: EntryId(wire.entry_id),
            ticket: TicketNumber(wire.ticket_number),
            client: SocketAddr::new(
                Ipv6Addr::from(wire.client_ip).to_canonical(),
                wire.client_port,
            ),
            address_tag: wire.address_tag,
            hop_count: wire.hop_count,
            sent_ms: wire.sent_ms,
        })
    }
}

/// Returns a short tag of a service address. Unlike an index into the service's list of addresses,
/// the tag stays the same when a ticket adds or removes other addresses, so that every entry
/// returns a flow's datagrams from the address that the client used.
#[must_use]
pub fn address_tag(address: SocketAddr) -> u16 {
    use std::hash::Hasher;
    let mut hasher = SipHasher24::new();
    hasher.write(&ip_octets(address.ip()));
    hasher.write(&address.port().to_be_bytes());
    let folded = hasher.finish128().as_bytes();
    u16::from_be_bytes([folded[0], folded[1]]).max(1)
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard()
        .with_fixed_int_encoding()
        .with_big_endian()
}

fn ip_octets(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().octets(),
        IpAddr::V6(v6) => v6.octets(),
    }
}

fn mac(key: &SecretKey, header: &[u8], payload: &[u8]) -> [u8; MAC_LEN_BYTES] {
    use std::hash::Hasher;
    let mut hasher = SipHasher24::new_with_key(key.expose());
    hasher.write(header);
    hasher.write(payload);
    hasher.finish128().as_bytes()
}

fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
