//! Buffer for packets that arrive before the entry knows any route, as when all processes are
//! restarted while the platform is down. Clients double the time between retransmissions, so
//! without the buffer they would wait for up to 1.6 s after the routes become known.

use fes_protocol::MonoTime;

use crate::EntryAction;
use crate::EntryCore;
use crate::FlowKey;
use crate::Segment;

/// Maximum number of buffered packets, of at most 1,234 bytes each; most carry a request without a
/// body.
const MAX_PACKETS: usize = 2_048;
/// Time after which a client gives up opening a flow.
const CLIENT_OPENING_TIMEOUT_MS: u64 = 1_400;
/// Time within which agents report after the first hello.
const FIRST_REPORT_WAIT_MS: u64 = 20;

/// A buffered packet.
#[derive(Debug, Clone)]
struct EarlyPacket {
    arrived_at: MonoTime,
    segment: Segment,
    packet: Box<[u8]>,
}

/// Buffered packets, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct EarlyPackets {
    packets: Vec<EarlyPacket>,
    /// When the packets are routed, once routes are known.
    route_at: Option<MonoTime>,
}

impl EarlyPackets {
    /// Buffers a packet, unless it is a duplicate of a buffered one. Returns whether the packet or
    /// its duplicate is buffered.
    fn buffer(&mut self, now: MonoTime, segment: &Segment, packet: &[u8]) -> bool {
        let is_same = |early: &EarlyPacket| {
            let buffered = &early.segment;
            let is_same_position =
                buffered.flow == segment.flow && buffered.sequence == segment.sequence;
            is_same_position
                && buffered.is_syn == segment.is_syn
                && buffered.payload_bytes == segment.payload_bytes
        };
        if self.packets.iter().any(is_same) {
            return true;
        }
        let has_room = self.packets.len() < MAX_PACKETS;
        if has_room {
            self.packets.push(EarlyPacket {
                arrived_at: now,
                segment: *segment,
                packet: packet.into(),
            });
        }
        has_room
    }

    /// Removes the packets of a flow.
    fn remove(&mut self, flow: &FlowKey) {
        self.packets.retain(|early| early.segment.flow != *flow);
    }
}

impl EntryCore {
    /// Buffers a packet that arrived before any route is known. A reset removes the flow's packets
    /// instead. Returns whether the packet is buffered.
    pub(super) fn buffer_early(&mut self, now: MonoTime, segment: &Segment, packet: &[u8]) -> bool {
        if segment.is_reset {
            self.early.remove(&segment.flow);
            return false;
        }
        self.early.buffer(now, segment, packet)
    }

    /// Routes the buffered packets once routes are known and agents have had time to report.
    pub(super) fn route_early(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        if self.early.packets.is_empty() || !self.view.has_routes() {
            return;
        }
        let reported_at = now.plus_ms(FIRST_REPORT_WAIT_MS);
        let route_at = *self.early.route_at.get_or_insert(reported_at);
        if now < route_at {
            return;
        }
        self.early.route_at = None;
        for early in std::mem::take(&mut self.early.packets) {
            let waited_ms = now.ms_since(early.arrived_at);
            if early.segment.is_syn && waited_ms >= CLIENT_OPENING_TIMEOUT_MS {
                continue;
            }
            self.route_packet(now, early.arrived_at, &early.segment, &early.packet, out);
        }
    }
}
