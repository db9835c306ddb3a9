//! An entry's handling of targets that warm up: share of their limit, refusal and status.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;
use serde::Serialize;

use crate::EntryAction;
use crate::EntryCore;
use crate::FlowKey;
use crate::FlowState;
use crate::TargetRecord;
use crate::WarmUpSettings;

/// A target that gets a limited number of new flows while it warms up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WarmUpStatus {
    /// Identity of the target.
    pub id: UpstreamName,
    /// VM.
    pub vm: Ipv4Addr,
    /// Remaining warm-up time, in milliseconds.
    pub remaining_ms: u32,
    /// Maximum number of new flows in any second, from all entries.
    pub max_openings_per_s: u32,
    /// Number of new flows that this entry sent there in the last second.
    pub sent_in_last_s: u32,
}

impl EntryCore {
    /// Replaces the settings of the limit of new flows while targets warm up.
    pub const fn set_warm_up_settings(&mut self, settings: WarmUpSettings) {
        self.warm_up.set_settings(settings);
    }

    /// Refuses a flow whose opening packet was returned by all targets, if one of them is limited
    /// because it warms up. Otherwise, the opening would be tried again when the client retransmits
    /// it, but a target that warms up is unlikely to accept it then.
    pub(super) fn refuse_if_limited(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Opening(opening) = &record.state else {
            return;
        };
        let is_limited = opening.attempts.iter().any(|attempt| {
            let target = self.view.target_on(attempt.vm);
            target.is_some_and(|target| self.warm_up.hint(now, &self.view, target).is_some())
        });
        if opening.is_returned_by_all() && is_limited {
            self.refuse_returned(now, flow, out);
        }
    }

    /// Returns the targets that warm up with a limit, ordered by VM.
    pub(super) fn warm_up_status(&self, now: MonoTime) -> Vec<WarmUpStatus> {
        let status = |target: &TargetRecord| {
            let hint = self.warm_up.hint(now, &self.view, target)?;
            Some(WarmUpStatus {
                id: target.id.clone(),
                vm: target.vm,
                remaining_ms: hint.remaining_ms,
                max_openings_per_s: hint.max_openings_per_s,
                sent_in_last_s: self.warm_up.sent_in_last_s(now, target.vm),
            })
        };
        let mut limited: Vec<WarmUpStatus> =
            self.view.newest_targets().filter_map(status).collect();
        limited.sort_unstable_by_key(|target| target.vm);
        limited
    }
}
