//! Planned stop of an agent.
//!
//! The target goes on while its agent is restarted, and it is reachable through nothing else. So
//! the agent ends at a moment when nothing is in progress, and tells the entries to hold the
//! packets of the target's flows until its next incarnation reports. If the target has ended too,
//! the agent says so, so that the entries don't wait for its answer to a lookup.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::AgentAction;
use crate::AgentCore;
use crate::FlowDecision;
use crate::FlowKey;
use crate::Message;
use crate::Outcome;
use crate::ReturnReason;
use crate::number_of;

/// Time for entries to learn that the agent accepts no new flows.
const LEAVE_NOTICE_MS: u64 = 150;
/// Time that the agent waits for its target to be idle before it starts no further requests.
const MAX_WAIT_FOR_IDLE_MS: u64 = 300;
/// Time before the end at which the agent of a draining target begins to wait for idleness, half of it
/// without starting further requests.
const DRAINING_STOP_MARGIN_MS: u64 = 2 * MAX_WAIT_FOR_IDLE_MS;
/// Time for which packets that were sent before the agent's last message are returned. Longer than
/// a trip between data centres.
const LAST_PACKETS_MS: u64 = 20;

/// Phase of an agent's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// The agent accepts flows and requests.
    Serving,
    /// The agent refuses new flows and waits until nothing is in progress.
    Leaving {
        may_end_at: MonoTime,
        suspend_at: MonoTime,
        end_by: MonoTime,
    },
    /// New requests are returned to the entries as well.
    Suspended { end_by: MonoTime },
    /// Entries hold all packets.
    Ended { exit_at: MonoTime },
}

impl AgentCore {
    /// Stops accepting new flows and reports that to all entries immediately. Requests that still
    /// run at `end_by` are left to the next incarnation of the agent.
    ///
    /// The agent of a draining or evacuated target serves its flows until shortly before `end_by`, so
    /// that it can tell the entries if the target ends. A drain that begins later changes nothing.
    pub fn begin_stop(&mut self, now: MonoTime, end_by: MonoTime, out: &mut Vec<AgentAction>) {
        let wait_ms = match self.is_draining {
            true => end_by.ms_since(now).saturating_sub(DRAINING_STOP_MARGIN_MS),
            false => LEAVE_NOTICE_MS,
        };
        let may_end_at = now.plus_ms(wait_ms);
        self.stop_phase = StopPhase::Leaving {
            may_end_at,
            suspend_at: may_end_at.plus_ms(MAX_WAIT_FOR_IDLE_MS),
            end_by,
        };
        self.report_to_all(now, out);
    }

    /// Continues a planned stop. Returns whether the process may exit now. Called every few
    /// milliseconds, since a busy target is idle only for short times.
    pub fn advance_stop(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) -> bool {
        match self.stop_phase {
            StopPhase::Serving => {}
            StopPhase::Leaving {
                may_end_at,
                suspend_at,
                end_by,
            } => {
                let is_noticed = now >= may_end_at;
                let is_done = (is_noticed && self.is_idle(now)) || self.target_has_ended;
                if is_done || now >= end_by {
                    self.end(now, out);
                } else if now >= suspend_at {
                    self.stop_phase = StopPhase::Suspended { end_by };
                    self.return_queued(out);
                }
            }
            StopPhase::Suspended { end_by } => {
                if self.is_idle(now) || now >= end_by {
                    self.end(now, out);
                }
            }
            StopPhase::Ended { exit_at } => return now >= exit_at,
        }
        false
    }

    /// Returns whether no request is running or queued and no response is being transferred.
    fn is_idle(&self, now: MonoTime) -> bool {
        let is_running = self.counts(now).running > 0;
        !is_running && self.queue.is_empty() && !self.flows.is_transferring(now)
    }

    fn end(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        self.return_queued(out);
        self.stop_phase = StopPhase::Ended {
            exit_at: now.plus_ms(LAST_PACKETS_MS),
        };
        let incarnation = self.incarnation;
        let message = match self.target_has_ended {
            true => Message::TargetEnded { incarnation },
            false => Message::AgentStopped { incarnation },
        };
        let entries = self.entries.keys();
        out.extend(entries.map(|entry| AgentAction::Send {
            to: *entry,
            message: message.clone(),
            with_packet: false,
        }));
    }

    /// Returns the packets of queued requests, which have not run, to the entries that sent them.
    fn return_queued(&mut self, out: &mut Vec<AgentAction>) {
        for queued in self.queue.take_all() {
            let flow = queued.flow;
            let record = self.flows.get_mut(&flow);
            let Some(entry) = record.and_then(|record| record.entry) else {
                continue;
            };
            for (_, packet) in queued.packets {
                out.push(AgentAction::SendStored {
                    to: entry,
                    message: self.returned(flow),
                    packet,
                });
            }
            self.record_returned(flow, out);
        }
    }

    /// Returns whether a client's packet must be held by the entry until the next incarnation of
    /// the agent.
    pub(super) const fn is_held_by_entry(&self, begins_request: bool) -> bool {
        match self.stop_phase {
            StopPhase::Serving | StopPhase::Leaving { .. } => false,
            StopPhase::Suspended { .. } => begins_request,
            StopPhase::Ended { .. } => true,
        }
    }

    pub(super) const fn has_ended(&self) -> bool {
        matches!(self.stop_phase, StopPhase::Ended { .. })
    }

    /// Returns the current packet to an entry, which holds it.
    pub(super) fn return_to_hold(
        &self,
        entry: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<AgentAction>,
    ) {
        out.push(AgentAction::Send {
            to: entry,
            message: self.returned(flow),
            with_packet: true,
        });
        self.record_returned(flow, out);
    }

    const fn returned(&self, flow: FlowKey) -> Message {
        let reason = match self.target_has_ended {
            true => ReturnReason::NotHeld,
            false => ReturnReason::Stopping,
        };
        Message::Returned { flow, reason }
    }

    fn record_returned(&self, flow: FlowKey, out: &mut Vec<AgentAction>) {
        let decision = FlowDecision::new(Outcome::HandedBack)
            .flow(flow)
            .version(number_of(self.target_revision));
        out.push(AgentAction::Record(decision));
    }
}
