//! Hellos from entries, with the listed state of the agent's own target, and reports to entries.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use super::agent_core::EntryState;
use crate::AgentAction;
use crate::AgentCore;
use crate::FlowDecision;
use crate::Hello;
use crate::LoadReport;
use crate::Message;
use crate::Outcome;
use crate::ReportedRunTime;
use crate::TargetHint;
use crate::TargetState;
use crate::number_of;

/// Minimum time without a hello after which an entry gets no more reports.
const MIN_ENTRY_TIMEOUT_MS: u64 = 3_000;
/// Number of hellos that may be lost in a row. They are counted in report periods, because hellos
/// are about as frequent as reports.
const MAX_MISSED_HELLOS: u64 = 4;
/// Incarnation of an entry that hasn't sent a hello yet. Processes have random ones.
const UNKNOWN_INCARNATION: u64 = 0;

impl AgentCore {
    pub(super) fn on_hello(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        hello: &Hello,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(target) = &hello.target {
            self.update_target(now, target, out);
            self.update_warm_up(now, target, hello.warm_up);
        }
        let current = self.entries.get(&entry);
        let is_new = current.is_none_or(|state| state.incarnation != hello.incarnation);
        let next_report_at = match current {
            Some(state) if !is_new => state.next_report_at,
            _ => now,
        };
        let report_period_ms = u64::from(hello.report_period_ms);
        let silence_ms = (report_period_ms * MAX_MISSED_HELLOS).max(MIN_ENTRY_TIMEOUT_MS);
        let state = EntryState {
            incarnation: hello.incarnation,
            silent_at: now.plus_ms(silence_ms),
            report_period_ms,
            next_report_at,
        };
        self.entries.insert(entry, state);
        if is_new {
            self.report(now, vec![entry], out);
        }
    }

    /// Reports to an entry that sends packets before its first hello, so that the entry learns that
    /// this agent was restarted.
    pub(super) fn report_to_unknown_entry(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        out: &mut Vec<AgentAction>,
    ) {
        if self.entries.contains_key(&entry) || self.has_ended() {
            return;
        }
        let state = EntryState {
            incarnation: UNKNOWN_INCARNATION,
            silent_at: now.plus_ms(MIN_ENTRY_TIMEOUT_MS),
            report_period_ms: MIN_ENTRY_TIMEOUT_MS,
            next_report_at: now.plus_ms(MIN_ENTRY_TIMEOUT_MS),
        };
        self.entries.insert(entry, state);
        self.report(now, vec![entry], out);
    }

    /// Updates the state of this agent's target from an entry's hello, unless a newer one is known.
    pub(super) fn update_target(
        &mut self,
        now: MonoTime,
        hint: &TargetHint,
        out: &mut Vec<AgentAction>,
    ) {
        let is_draining = hint.state == TargetState::Draining;
        // Of two states with the same revision, the one that accepts no flows is newer: it includes
        // an evacuation that the sender of the other one doesn't know, as one of an older version.
        let is_newer = match hint.revision == self.target_revision {
            true => is_draining && !self.is_draining,
            false => hint.revision > self.target_revision,
        };
        if hint.service != self.service || !is_newer {
            return;
        }
        let is_older_instance = hint.started_at_ms < self.started_at_ms;
        if is_older_instance {
            return;
        }
        let is_new_instance = hint.started_at_ms > self.started_at_ms && self.started_at_ms != 0;
        let is_change = is_new_instance || is_draining != self.is_draining;
        self.target_revision = hint.revision;
        self.target_id = Some(hint.id.clone());
        self.started_at_ms = hint.started_at_ms;
        self.is_draining = is_draining;
        self.slots = hint.slots;
        if is_new_instance {
            self.target_monitor.reset();
            self.failure_rate.reset();
            self.reported_run_time = ReportedRunTime::default();
        }
        if is_change {
            let decision = FlowDecision::new(Outcome::TargetChanged)
                .version(number_of(hint.revision))
                .load(u64::from(is_draining));
            out.push(AgentAction::Record(decision));
            self.report_to_all(now, out);
        }
        self.release(now, out);
    }

    pub(super) fn report_to_all(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let all = self.entries.keys().copied().collect();
        self.report(now, all, out);
    }

    pub(super) fn report(
        &mut self,
        now: MonoTime,
        entries: Vec<Ipv4Addr>,
        out: &mut Vec<AgentAction>,
    ) {
        let counts = self.counts(now);
        let report = LoadReport {
            incarnation: self.incarnation,
            service: self.service,
            started_at_ms: self.started_at_ms,
            running: counts.running,
            waiting: u32::try_from(self.queue.len_in_time(now)).unwrap_or(u32::MAX),
            streams: counts.streams,
            flows: counts.open,
            failures_per_mille: self.failure_rate.per_mille(),
            is_complete: self.is_complete(now),
            is_silent: self.target_monitor.is_silent(now),
            is_leaving: self.is_leaving(),
            run_time_us: self.reported_run_time.mean_us(now),
            supports_priority: true,
        };
        for entry in entries {
            if let Some(state) = self.entries.get_mut(&entry) {
                state.next_report_at = now.plus_ms(state.report_period_ms);
            }
            out.push(AgentAction::Send {
                to: entry,
                message: Message::Load(report),
                with_packet: false,
            });
        }
    }
}
