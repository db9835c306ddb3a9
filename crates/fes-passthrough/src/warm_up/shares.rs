//! An entry's part in the limit of new flows of targets that warm up: hints to their agents, and
//! the number of openings that it sends to each of them.
//!
//! The agents enforce the limit. An entry divides it by the number of entries, so that agents
//! seldom have to return an opening.

use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::FleetView;
use crate::OpeningWindow;
use crate::TargetRecord;
use crate::WarmUpHint;
use crate::WarmUpSettings;

/// How reluctantly a target gets another opening because it warms up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WarmUpRank {
    /// The target has no limit, or its share isn't used up.
    Usual,
    /// The target has a limit, and the opening was sent to another target before.
    Limited,
    /// The target was sent this entry's share of its limit in the last second.
    UsedUp,
}

/// Openings that an entry has sent to targets that warm up.
#[derive(Debug, Default)]
pub struct WarmUpShares {
    settings: WarmUpSettings,
    entries: u64,
    sent: FastMap<Ipv4Addr, OpeningWindow>,
}

impl WarmUpShares {
    /// Replaces the settings.
    pub const fn set_settings(&mut self, settings: WarmUpSettings) {
        self.settings = settings;
    }

    /// Sets the number of other entries, with which the limits are shared.
    pub const fn set_other_entries(&mut self, count: u64) {
        self.entries = count.saturating_add(1);
    }

    /// Returns the limit of new flows of a target that is warming up, or none if the target is warm
    /// or has no limit.
    #[must_use]
    pub fn hint(
        &self,
        now: MonoTime,
        view: &FleetView,
        target: &TargetRecord,
    ) -> Option<WarmUpHint> {
        let service = view.routes().warm_ups.get(&target.service)?;
        let max_openings_per_s = self.settings.max_openings_per_s(*service)?;
        let remaining_ms = view.warm_up_remaining_ms(now, &target.id);
        (remaining_ms > 0).then_some(WarmUpHint {
            remaining_ms,
            max_openings_per_s,
        })
    }

    /// Returns the rank of a target for an opening. A repeated opening, which was sent to another
    /// target before, prefers targets without a limit, because it is sent to few targets in all.
    #[must_use]
    pub fn rank(
        &self,
        now: MonoTime,
        view: &FleetView,
        target: &TargetRecord,
        is_repeated: bool,
    ) -> WarmUpRank {
        match self.hint(now, view, target) {
            None => WarmUpRank::Usual,
            Some(hint) if self.sent_in_last_s(now, target.vm) >= self.share(hint) => {
                WarmUpRank::UsedUp
            }
            Some(_) if is_repeated => WarmUpRank::Limited,
            Some(_) => WarmUpRank::Usual,
        }
    }

    /// Records that an opening was sent to a target.
    pub fn record_sent(&mut self, now: MonoTime, view: &FleetView, vm: Ipv4Addr) {
        let target = view.target_on(vm);
        if target.is_some_and(|target| self.hint(now, view, target).is_some()) {
            self.sent.entry(vm).or_default().record(now);
        }
    }

    /// Returns the number of openings sent in the last second to a target while it was warming up.
    #[must_use]
    pub fn sent_in_last_s(&self, now: MonoTime, vm: Ipv4Addr) -> u32 {
        self.sent.get(&vm).map_or(0, |sent| sent.count(now))
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: MonoTime) {
        self.sent.retain(|_, sent| {
            sent.expire(now);
            !sent.is_empty()
        });
    }

    fn share(&self, hint: WarmUpHint) -> u32 {
        let share = u64::from(hint.max_openings_per_s) / self.entries.max(1);
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }
}
