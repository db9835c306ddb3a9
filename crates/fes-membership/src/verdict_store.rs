//! Store of the liveness verdicts of all observers.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fes_protocol::LivenessDigest;
use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::RangeHash;
use fes_protocol::TargetId;
use fes_protocol::Verdict;
use siphasher::sip::SipHasher24;

use crate::assessment::MIN_OBSERVERS_TO_EXCLUDE;

/// Time for which a withdrawn verdict is kept as `Alive`, so that an old copy from a process that
/// was partitioned off isn't accepted again.
const WITHDRAWN_RETENTION_MS: u64 = 600_000;
/// Number of target ranges whose hashes are compared: few enough for a datagram, and enough that a
/// range in which processes differ about one target contains few others.
const RANGE_COUNT: u32 = 600;

/// Result of merging a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The verdict was stored.
    New,
    /// The verdict is stored already, or is `Alive` without an earlier verdict of its observer.
    Known,
    /// A later verdict of the same observer is stored; it is returned.
    Outdated(LivenessVerdict),
}

#[derive(Debug, Clone, Copy)]
struct StoredVerdict {
    verdict: LivenessVerdict,
    expires_at: MonoTime,
}

/// Stores the latest verdict of each observer about each target. Verdicts other than `Alive` are
/// called negative.
#[derive(Debug, Clone, Default)]
pub struct VerdictStore {
    held: BTreeMap<(TargetId, NodeId), StoredVerdict>,
    hash: u64,
    negative_count: u32,
}

impl VerdictStore {
    /// Merges a verdict into the store.
    pub fn merge(&mut self, now: MonoTime, verdict: LivenessVerdict) -> MergeOutcome {
        let key = (verdict.target, verdict.observer);
        let held = self.held.get(&key).map(|held| held.verdict);
        match held {
            None if verdict.verdict == Verdict::Alive => return MergeOutcome::Known,
            Some(held) if rank(&held) > rank(&verdict) => return MergeOutcome::Outdated(held),
            Some(held) if held == verdict => return MergeOutcome::Known,
            _ => {}
        }
        if let Some(held) = held {
            self.update_hash(&held, false);
        }
        self.update_hash(&verdict, true);
        let expires_at = match verdict.verdict {
            Verdict::Alive => now.plus_ms(WITHDRAWN_RETENTION_MS),
            _ => MonoTime::NEVER,
        };
        self.held.insert(
            key,
            StoredVerdict {
                verdict,
                expires_at,
            },
        );
        MergeOutcome::New
    }

    /// Returns the verdicts about a target.
    pub fn about(&self, target: TargetId) -> impl Iterator<Item = &LivenessVerdict> {
        let lowest = NodeId::Entry(0.into());
        self.held
            .range((target, lowest)..)
            .take_while(move |((about, _), _)| *about == target)
            .map(|(_, held)| &held.verdict)
    }

    /// Returns at most `count` verdicts of an observer that aren't `Alive`.
    #[must_use]
    pub fn negative_verdicts_of(&self, observer: NodeId, count: usize) -> Vec<LivenessVerdict> {
        let verdicts = self.held.values().map(|held| held.verdict);
        verdicts
            .filter(|verdict| verdict.observer == observer && verdict.verdict != Verdict::Alive)
            .take(count)
            .collect()
    }

    /// Returns a hash of the excluded targets in each range, for comparison with another process.
    /// Both processes use the `salt` of the one that sends its hashes.
    #[must_use]
    pub fn range_hashes(&self, salt: u64) -> Vec<RangeHash> {
        let mut sums = vec![0_u64; RANGE_COUNT as usize];
        for target in self.excluded_targets() {
            let sum = &mut sums[range_of(target)];
            *sum = sum.wrapping_add(hash_of_target(target, salt));
        }
        sums.into_iter().map(|sum| sum as RangeHash).collect()
    }

    /// Returns at most `count` verdicts that another process with this digest may lack: first those
    /// that decide placement, then others after the position `after` in a fixed order.
    #[must_use]
    pub fn page_for(
        &self,
        other: &LivenessDigest,
        after: Option<(TargetId, NodeId)>,
        count: usize,
    ) -> Vec<LivenessVerdict> {
        let own = self.range_hashes(other.hash);
        let differs = |target: &TargetId| {
            let range = range_of(*target);
            other.ranges.get(range) != own.get(range)
        };
        let position = after.map_or(TargetId(0), |(target, _)| target);
        let mut differing: Vec<TargetId> = self.excluded_targets().filter(differs).collect();
        let next = differing.partition_point(|target| *target <= position);
        differing.rotate_left(next);
        let excluding = |target| {
            let about = self
                .about(target)
                .filter(|verdict| excludes_target(verdict));
            about.take(MIN_OBSERVERS_TO_EXCLUDE).copied()
        };
        let mut page: Vec<LivenessVerdict> = differing
            .into_iter()
            .flat_map(excluding)
            .take(count)
            .collect();
        let remaining = count - page.len();
        page.extend(self.page(after, remaining));
        page
    }

    /// Returns the targets that enough observers exclude from placement, in ascending order.
    fn excluded_targets(&self) -> impl Iterator<Item = TargetId> {
        let verdicts = self.held.values().map(|held| &held.verdict);
        let mut counts: BTreeMap<TargetId, usize> = BTreeMap::new();
        for verdict in verdicts.filter(|verdict| excludes_target(verdict)) {
            *counts.entry(verdict.target).or_default() += 1;
        }
        let is_enough = |(_, count): &(TargetId, usize)| *count >= MIN_OBSERVERS_TO_EXCLUDE;
        counts
            .into_iter()
            .filter(is_enough)
            .map(|(target, _)| target)
    }

    /// Returns verdicts after a position in a fixed order, wrapping around at the end.
    fn page(&self, after: Option<(TargetId, NodeId)>, count: usize) -> Vec<LivenessVerdict> {
        let split = after.unwrap_or((TargetId(0), NodeId::Entry(0.into())));
        let later = self.held.range(split..).filter(|(key, _)| **key != split);
        let earlier = self.held.range(..=split);
        later
            .chain(earlier)
            .take(count)
            .map(|(_, held)| held.verdict)
            .collect()
    }

    /// Returns an order-independent hash over all verdicts that aren't `Alive`.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the number of verdicts that aren't `Alive`.
    #[must_use]
    pub const fn negative_count(&self) -> u32 {
        self.negative_count
    }

    /// Removes expired withdrawn verdicts and those that `is_member` rejects because no ticket
    /// lists their target or observer.
    pub fn cleanup(&mut self, now: MonoTime, is_member: impl Fn(&LivenessVerdict) -> bool) {
        let (mut hash, mut negative_count) = (self.hash, self.negative_count);
        self.held.retain(|_, held| {
            let keep = now < held.expires_at && is_member(&held.verdict);
            if !keep && held.verdict.verdict != Verdict::Alive {
                hash = hash.wrapping_sub(hash_of(&held.verdict));
                negative_count -= 1;
            }
            keep
        });
        self.hash = hash;
        self.negative_count = negative_count;
    }

    fn update_hash(&mut self, verdict: &LivenessVerdict, added: bool) {
        if verdict.verdict == Verdict::Alive {
            return;
        }
        let verdict_hash = hash_of(verdict);
        if added {
            self.hash = self.hash.wrapping_add(verdict_hash);
            self.negative_count += 1;
        } else {
            self.hash = self.hash.wrapping_sub(verdict_hash);
            self.negative_count -= 1;
        }
    }
}

/// Returns the sort key of verdicts of one observer about one target. Equal versions with different
/// content come from an observer that restarted; a fixed order makes all processes agree.
fn rank(verdict: &LivenessVerdict) -> (u32, u64, u8) {
    let kind = match verdict.verdict {
        Verdict::Alive => 3,
        Verdict::Impaired => 2,
        Verdict::Leaving => 1,
        Verdict::Dead => 0,
    };
    (verdict.version, verdict.incarnation.0, kind)
}

const fn range_of(target: TargetId) -> usize {
    (target.0 % RANGE_COUNT) as usize
}

const fn excludes_target(verdict: &LivenessVerdict) -> bool {
    matches!(verdict.verdict, Verdict::Dead | Verdict::Impaired)
}

fn hash_of_target(target: TargetId, salt: u64) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(salt, 0);
    hasher.write_u32(target.0);
    hasher.finish()
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
