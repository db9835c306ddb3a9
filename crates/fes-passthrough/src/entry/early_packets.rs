//! Packets that clients sent before the entry knew any route, as when all processes ended while
//! the platform was down. Clients double the time between their retransmissions, so that without
//! this they would wait for up to 1.6 s after the routes are known.

use fes_protocol::MonoTime;

use crate::EntryAction;
use crate::EntryCore;
use crate::FlowKey;
use crate::Segment;

/// Packets kept, of at most 1,234 bytes each; most hold only a request without a body.
const MAX_PACKETS: usize = 2_048;
/// A client gives up an opening after 1.4 s.
const OPENING_LIMIT_MS: u64 = 1_400;
/// Agents report within this time after the first hello.
const HELLO_ANSWER_MS: u64 = 20;

/// A packet that waits for routes.
#[derive(Debug, Clone)]
struct EarlyPacket {
    arrived_at: MonoTime,
    segment: Segment,
    packet: Box<[u8]>,
}

/// Packets that wait for routes, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct EarlyPackets {
    waiting: Vec<EarlyPacket>,
    /// When they may go, once routes are known.
    carry_at: Option<MonoTime>,
}

impl EarlyPackets {
    /// Keeps a packet, unless it is a repetition of one that waits. Returns whether it waits.
    fn keep(&mut self, now: MonoTime, segment: &Segment, packet: &[u8]) -> bool {
        let is_same = |early: &EarlyPacket| {
            let known = &early.segment;
            let is_same_place = known.flow == segment.flow && known.sequence == segment.sequence;
            is_same_place
                && known.is_syn == segment.is_syn
                && known.payload_bytes == segment.payload_bytes
        };
        if self.waiting.iter().any(is_same) {
            return true;
        }
        let has_room = self.waiting.len() < MAX_PACKETS;
        if has_room {
            self.waiting.push(EarlyPacket {
                arrived_at: now,
                segment: *segment,
                packet: packet.into(),
            });
        }
        has_room
    }

    /// Drops what a flow's client has ended.
    fn remove(&mut self, flow: &FlowKey) {
        self.waiting.retain(|early| early.segment.flow != *flow);
    }
}

impl EntryCore {
    /// Keeps a packet that came before any route is known. Returns whether it waits.
    pub(super) fn keep_early(&mut self, now: MonoTime, segment: &Segment, packet: &[u8]) -> bool {
        if segment.is_reset {
            self.early.remove(&segment.flow);
            return false;
        }
        self.early.keep(now, segment, packet)
    }

    /// Carries packets that waited for routes, once agents had time to report.
    pub(super) fn carry_early(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        if self.early.waiting.is_empty() || !self.view.has_routes() {
            return;
        }
        let answered_at = now.plus_ms(HELLO_ANSWER_MS);
        let carry_at = *self.early.carry_at.get_or_insert(answered_at);
        if now < carry_at {
            return;
        }
        self.early.carry_at = None;
        for early in std::mem::take(&mut self.early.waiting) {
            let waited_ms = now.ms_since(early.arrived_at);
            if early.segment.is_syn && waited_ms >= OPENING_LIMIT_MS {
                continue;
            }
            self.carry(now, early.arrived_at, &early.segment, &early.packet, out);
        }
    }
}
