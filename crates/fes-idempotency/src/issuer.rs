//! Chooses the owner that a new prefix names.

use std::collections::BTreeMap;

use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::TargetId;

use crate::KeyOwner;
use crate::KeyPrefix;

/// A peer that was silent for this long gets no new keys, in milliseconds. Equal to the suspicion
/// timeout of membership.
const PEER_SILENCE_MS: u64 = 2_000;

/// Spare capacity that one issued prefix is taken to use until the next heartbeat, in milli-slots.
/// Without it, every prefix between two heartbeats would name the same peer.
const ISSUE_COST_MILLI: u32 = 10;

#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: Incarnation,
    sequence: u64,
    key_issue_ms: u64,
    spare_milli: u32,
    silent_at: MonoTime,
}

/// Issues prefixes that name the agent with the most spare capacity.
#[derive(Debug)]
pub struct PrefixIssuer {
    me: KeyOwner,
    own_spare_milli: u32,
    draining: bool,
    peers: BTreeMap<TargetId, Peer>,
}

impl PrefixIssuer {
    /// Makes an issuer for the agent incarnation `me`.
    #[must_use]
    pub const fn new(me: KeyOwner) -> Self {
        Self {
            me,
            own_spare_milli: 0,
            draining: false,
            peers: BTreeMap::new(),
        }
    }

    /// Sets the agent's own spare capacity in milli-slots.
    pub const fn set_own_spare(&mut self, spare_milli: u32) {
        self.own_spare_milli = spare_milli;
    }

    /// Stops naming this agent as long as any peer is known.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Learns from a peer's heartbeat. Heartbeats that arrive out of order are ignored.
    pub fn observe(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat) {
        if heartbeat.service != self.me.service || heartbeat.target == self.me.target {
            return;
        }
        let is_old = self.peers.get(&heartbeat.target).is_some_and(|peer| {
            peer.incarnation == heartbeat.incarnation && peer.sequence >= heartbeat.sequence
        });
        if is_old {
            return;
        }
        if heartbeat.lifecycle != Lifecycle::Serving {
            self.peers.remove(&heartbeat.target);
            return;
        }
        let peer = Peer {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            key_issue_ms: heartbeat.key_issue_ms,
            spare_milli: heartbeat
                .capacity_milli
                .saturating_sub(heartbeat.demand_milli),
            silent_at: now.plus_ms(PEER_SILENCE_MS),
        };
        self.peers.insert(heartbeat.target, peer);
    }

    /// Returns the content of a new prefix. A peer's issue time is the one from its heartbeat, so
    /// that no two clocks are compared; the prefix only expires a little earlier.
    pub fn issue(&mut self, now: MonoTime) -> KeyPrefix {
        self.peers.retain(|_, peer| now <= peer.silent_at);
        let own_spare_milli = self.own_spare_milli;
        let draining = self.draining;
        let best = self
            .peers
            .iter_mut()
            .max_by_key(|(_, peer)| peer.spare_milli);
        match best {
            Some((target, peer)) if draining || peer.spare_milli > own_spare_milli => {
                peer.spare_milli = peer.spare_milli.saturating_sub(ISSUE_COST_MILLI);
                KeyPrefix {
                    owner: KeyOwner {
                        service: self.me.service,
                        target: *target,
                        incarnation: peer.incarnation,
                    },
                    issue_ms: peer.key_issue_ms,
                }
            }
            _ => {
                self.own_spare_milli = own_spare_milli.saturating_sub(ISSUE_COST_MILLI);
                KeyPrefix {
                    owner: self.me,
                    issue_ms: now.as_ms(),
                }
            }
        }
    }
}
