//! Versioning and retransmission of the verdicts of one observer.

use fes_protocol::FastMap;
use fes_protocol::Incarnation;
use fes_protocol::LivenessVerdict;
use fes_protocol::NodeId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::Verdict;

/// Number of times that a verdict is sent, because datagrams may be lost.
const SENDS_PER_VERDICT: u8 = 3;

#[derive(Debug, Clone, Copy)]
struct Published {
    verdict: LivenessVerdict,
    sends_left: u8,
}

/// The latest verdict of this observer about each target that it ever reported as not alive.
#[derive(Debug, Clone)]
pub(crate) struct VerdictPublisher {
    observer: NodeId,
    published: FastMap<TargetId, Published>,
}

impl VerdictPublisher {
    pub(crate) fn new(observer: NodeId) -> Self {
        Self {
            observer,
            published: FastMap::default(),
        }
    }

    /// Sets the current verdict about a target. Returns whether it has to be sent: that a target is
    /// alive is only sent if another verdict about it was sent before.
    pub(crate) fn set_verdict(
        &mut self,
        service: ServiceId,
        target: TargetId,
        incarnation: Incarnation,
        verdict: Verdict,
    ) -> bool {
        let last = self
            .published
            .get(&target)
            .map(|published| published.verdict);
        let is_unchanged = match last {
            None => verdict == Verdict::Alive,
            Some(last) => last.verdict == verdict && last.incarnation == incarnation,
        };
        if is_unchanged {
            return false;
        }
        let version = last.map_or(1, |last| last.version.saturating_add(1));
        self.publish(LivenessVerdict {
            observer: self.observer,
            service,
            target,
            incarnation,
            verdict,
            version,
        });
        true
    }

    /// Compares a verdict that others hold in this observer's name with the current one. If they
    /// differ, for example after a restart, the current one is published with a higher version.
    /// Returns whether a verdict has to be sent.
    pub(crate) fn correct(
        &mut self,
        held: &LivenessVerdict,
        current: (Incarnation, Verdict),
    ) -> bool {
        if held.observer != self.observer {
            return false;
        }
        if let Some(own) = self.published.get_mut(&held.target) {
            if own.verdict == *held {
                return false;
            }
            if own.verdict.version > held.version {
                // The later verdict was lost in transit.
                own.sends_left = own.sends_left.max(1);
                return true;
            }
        }
        let (incarnation, verdict) = current;
        self.publish(LivenessVerdict {
            incarnation,
            verdict,
            version: held.version.saturating_add(1),
            ..*held
        });
        true
    }

    /// Returns the verdicts that have sends left, and counts one send for each.
    pub(crate) fn take_due(&mut self) -> Vec<LivenessVerdict> {
        let mut due: Vec<LivenessVerdict> = Vec::new();
        for published in self.published.values_mut() {
            if published.sends_left > 0 {
                published.sends_left -= 1;
                due.push(published.verdict);
            }
        }
        due.sort_by_key(|verdict| verdict.target);
        due
    }

    /// Removes targets that are no longer members of the service.
    pub(crate) fn retain(&mut self, is_member: impl Fn(TargetId) -> bool) {
        self.published.retain(|target, _| is_member(*target));
    }

    fn publish(&mut self, verdict: LivenessVerdict) {
        let sends_left = SENDS_PER_VERDICT;
        self.published.insert(
            verdict.target,
            Published {
                verdict,
                sends_left,
            },
        );
    }
}
