//! Issues key prefixes and chooses the agent that each of them names as owner.

use std::collections::BTreeMap;

use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::TargetId;

use crate::KeyOwner;
use crate::KeyPrefix;

/// A peer without a heartbeat for this long gets no new keys, in milliseconds. Equals the suspicion
/// timeout of membership.
const PEER_TIMEOUT_MS: u64 = 2_000;

/// Estimated use of spare capacity by one issued prefix until the next heartbeat, in milli-slots.
/// Without the estimate, all prefixes issued between two heartbeats would name the same peer.
const ISSUE_COST_MILLI: u32 = 10;

#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: Incarnation,
    sequence: u64,
    key_issue_ms: u64,
    spare_milli: u32,
    expires_at: MonoTime,
}

/// Issues prefixes that name the agent with the most spare capacity.
#[derive(Debug)]
pub struct PrefixIssuer {
    local_owner: KeyOwner,
    own_spare_milli: u32,
    draining: bool,
    peers: BTreeMap<TargetId, Peer>,
}

impl PrefixIssuer {
    /// Creates an issuer for the agent incarnation `local_owner`.
    #[must_use]
    pub const fn new(local_owner: KeyOwner) -> Self {
        Self {
            local_owner,
            own_spare_milli: 0,
            draining: false,
            peers: BTreeMap::new(),
        }
    }

    /// Sets the agent's own spare capacity in milli-slots.
    pub const fn set_own_spare(&mut self, spare_milli: u32) {
        self.own_spare_milli = spare_milli;
    }

    /// While `draining` is set, prefixes name this agent only if no peer is known.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Updates a peer from its heartbeat. Heartbeats that arrive out of order are ignored.
    pub fn observe(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat) {
        if heartbeat.service != self.local_owner.service
            || heartbeat.target == self.local_owner.target
        {
            return;
        }
        let is_outdated = self.peers.get(&heartbeat.target).is_some_and(|peer| {
            peer.incarnation == heartbeat.incarnation && peer.sequence >= heartbeat.sequence
        });
        if is_outdated {
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
            expires_at: now.plus_ms(PEER_TIMEOUT_MS),
        };
        self.peers.insert(heartbeat.target, peer);
    }

    /// Returns a new prefix. A prefix for a peer carries the issue time from the peer's heartbeat,
    /// so that the clocks of two processes are never compared; it expires slightly earlier as a
    /// result.
    pub fn issue(&mut self, now: MonoTime) -> KeyPrefix {
        self.peers.retain(|_, peer| now <= peer.expires_at);
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
                        service: self.local_owner.service,
                        target: *target,
                        incarnation: peer.incarnation,
                    },
                    issue_ms: peer.key_issue_ms,
                }
            }
            _ => {
                self.own_spare_milli = own_spare_milli.saturating_sub(ISSUE_COST_MILLI);
                KeyPrefix {
                    owner: self.local_owner,
                    issue_ms: now.as_ms(),
                }
            }
        }
    }
}
