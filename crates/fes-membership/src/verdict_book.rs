//! Verdicts of all observers, as one process holds them.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::TargetId;
use fes_protocol::Verdict;
use siphasher::sip::SipHasher24;

/// A withdrawn verdict is remembered this long, so that an old copy of it doesn't come back from
/// a process that was cut off.
const WITHDRAWN_MEMORY_MS: u64 = 600_000;

/// What a verdict changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The verdict is news.
    New,
    /// The verdict is held already, or says that a target that nobody doubts is alive.
    Known,
    /// A later verdict of the same observer is held.
    Outdated(LivenessVerdict),
}

#[derive(Debug, Clone, Copy)]
struct Held {
    verdict: LivenessVerdict,
    forget_at: MonoTime,
}

/// Holds the latest verdict of each observer about each target.
#[derive(Debug, Clone, Default)]
pub struct VerdictBook {
    held: BTreeMap<(TargetId, NodeId), Held>,
    hash: u64,
    doubts: u32,
}

impl VerdictBook {
    /// Takes a verdict.
    pub fn merge(&mut self, now: MonoTime, verdict: LivenessVerdict) -> Merge {
        let key = (verdict.target, verdict.observer);
        let held = self.held.get(&key).map(|held| held.verdict);
        match held {
            None if verdict.verdict == Verdict::Alive => return Merge::Known,
            Some(held) if rank(&held) > rank(&verdict) => return Merge::Outdated(held),
            Some(held) if held == verdict => return Merge::Known,
            _ => {}
        }
        if let Some(held) = held {
            self.count(&held, false);
        }
        self.count(&verdict, true);
        let forget_at = match verdict.verdict {
            Verdict::Alive => now.plus_ms(WITHDRAWN_MEMORY_MS),
            _ => MonoTime::NEVER,
        };
        self.held.insert(key, Held { verdict, forget_at });
        Merge::New
    }

    /// Returns the verdicts about a target.
    pub fn about(&self, target: TargetId) -> impl Iterator<Item = &LivenessVerdict> {
        let lowest = NodeId::Entry(0.into());
        self.held
            .range((target, lowest)..)
            .take_while(move |((about, _), _)| *about == target)
            .map(|(_, held)| &held.verdict)
    }

    /// Returns the verdicts of an observer that doubt a target.
    #[must_use]
    pub fn doubts_of(&self, observer: NodeId, count: usize) -> Vec<LivenessVerdict> {
        let verdicts = self.held.values().map(|held| held.verdict);
        verdicts
            .filter(|verdict| verdict.observer == observer && verdict.verdict != Verdict::Alive)
            .take(count)
            .collect()
    }

    /// Returns verdicts after a position in a fixed order, starting again after the last one.
    pub fn page(&self, after: Option<(TargetId, NodeId)>, count: usize) -> Vec<LivenessVerdict> {
        let split = after.unwrap_or((TargetId(0), NodeId::Entry(0.into())));
        let later = self.held.range(split..).filter(|(key, _)| **key != split);
        let earlier = self.held.range(..=split);
        later
            .chain(earlier)
            .take(count)
            .map(|(_, held)| held.verdict)
            .collect()
    }

    /// Returns an order-independent hash over all verdicts that doubt a target.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the number of verdicts that doubt a target.
    #[must_use]
    pub const fn doubt_count(&self) -> u32 {
        self.doubts
    }

    /// Forgets old withdrawn verdicts and those that `is_member` refuses: targets and observers
    /// that no ticket names.
    pub fn clean(&mut self, now: MonoTime, is_member: impl Fn(&LivenessVerdict) -> bool) {
        let (mut hash, mut doubts) = (self.hash, self.doubts);
        self.held.retain(|_, held| {
            let keep = now < held.forget_at && is_member(&held.verdict);
            if !keep && held.verdict.verdict != Verdict::Alive {
                hash = hash.wrapping_sub(hash_of(&held.verdict));
                doubts -= 1;
            }
            keep
        });
        self.hash = hash;
        self.doubts = doubts;
    }

    fn count(&mut self, verdict: &LivenessVerdict, added: bool) {
        if verdict.verdict == Verdict::Alive {
            return;
        }
        let part = hash_of(verdict);
        if added {
            self.hash = self.hash.wrapping_add(part);
            self.doubts += 1;
        } else {
            self.hash = self.hash.wrapping_sub(part);
            self.doubts -= 1;
        }
    }
}

/// Orders verdicts of one observer about one target. Equal versions with different content come
/// from an observer that restarted; any fixed order makes all processes agree.
fn rank(verdict: &LivenessVerdict) -> (u32, u64, u8) {
    let kind = match verdict.verdict {
        Verdict::Alive => 3,
        Verdict::Impaired => 2,
        Verdict::Leaving => 1,
        Verdict::Dead => 0,
    };
    (verdict.version, verdict.incarnation.0, kind)
}

fn hash_of(verdict: &LivenessVerdict) -> u64 {
    let mut hasher = SipHasher24::new();
    let (observer_kind, observer) = match verdict.observer {
        NodeId::Entry(id) => (0, id.0),
        NodeId::Agent(id) => (1, id.0),
    };
    let (version, incarnation, kind) = rank(verdict);
    hasher.write_u8(observer_kind);
    hasher.write_u32(observer);
    hasher.write_u32(verdict.target.0);
    hasher.write_u32(version);
    hasher.write_u64(incarnation);
    hasher.write_u8(kind);
    hasher.finish()
}
