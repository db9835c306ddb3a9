//! Weighted Maglev consistent hashing: one table lookup per placement, and few flows move when
//! members change.

use fes_protocol::TargetId;

/// Table sizes. They are primes, so that a permutation with any skip visits all slots.
const TABLE_SIZES: [usize; 9] = [251, 509, 1_021, 2_039, 4_093, 8_191, 16_381, 32_749, 65_521];

/// Minimum number of slots per target, as far as the largest table allows. Keeps the deviation of
/// the shares from the weights near 1 %.
const SLOTS_PER_TARGET: usize = 64;

/// Marks a slot without an owner.
const EMPTY: u16 = u16::MAX;

/// A member of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedTarget {
    /// The target.
    pub target: TargetId,
    /// Weight relative to the other members. Members with weight 0 get no slots.
    pub weight: u32,
}

/// Maps hashes to targets in proportion to their weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaglevTable {
    slots: Box<[u16]>,
    targets: Box<[TargetId]>,
}

/// Order in which a member claims slots.
struct Permutation {
    next: usize,
    skip: usize,
    /// Accumulated weight. The member claims a slot each time it reaches the largest weight of all
    /// members.
    credit: u64,
}

impl MaglevTable {
    /// Builds a table. The result depends only on the set of members, not on their order.
    #[must_use]
    pub fn build(members: impl IntoIterator<Item = WeightedTarget>) -> Self {
        let mut members: Vec<WeightedTarget> = members
            .into_iter()
            .filter(|member| member.weight > 0)
            .collect();
        members.sort_by_key(|member| member.target);
        members.dedup_by_key(|member| member.target);
        members.truncate(usize::from(EMPTY));
        let targets = members.iter().map(|member| member.target).collect();
        if members.is_empty() {
            return Self {
                slots: Box::new([]),
                targets,
            };
        }
        let slots = fill_slots(&members, table_size(members.len()));
        Self { slots, targets }
    }

    /// Returns the members in ascending order.
    #[must_use]
    pub fn targets(&self) -> &[TargetId] {
        &self.targets
    }

    /// Returns the owner of a hash, or `None` if the table is empty.
    #[must_use]
    pub fn owner(&self, hash: u64) -> Option<TargetId> {
        if self.slots.is_empty() {
            return None;
        }
        // The remainder is below the table size, so the cast doesn't truncate.
        let slot = (hash % self.slots.len() as u64) as usize;
        self.targets.get(usize::from(self.slots[slot])).copied()
    }

    /// Returns all members in the order of preference for a hash, its owner first.
    pub fn candidates(&self, hash: u64) -> impl Iterator<Item = TargetId> + '_ {
        let mut seen: Vec<TargetId> = Vec::new();
        let probes = (0..self.targets.len() as u64 * 4).filter_map(move |step| {
            let probe_hash = hash.wrapping_add(step.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            self.owner(probe_hash)
        });
        // The probes may miss members with few slots, so all members follow them.
        probes
            .chain(self.targets.iter().copied())
            .filter(move |target| {
                let is_new = !seen.contains(target);
                if is_new {
                    seen.push(*target);
                }
                is_new
            })
    }

    /// Returns the share of slots that each member owns, in ascending order of target.
    #[must_use]
    pub fn shares(&self) -> Vec<(TargetId, f64)> {
        let mut counts = vec![0_u32; self.targets.len()];
        for slot in &self.slots {
            counts[usize::from(*slot)] += 1;
        }
        let total = self.slots.len().max(1) as f64;
        let share = |(target, count): (&TargetId, u32)| (*target, f64::from(count) / total);
        self.targets.iter().zip(counts).map(share).collect()
    }

    /// Returns the share of hashes whose owner differs between two tables.
    #[must_use]
    pub fn moved_share(&self, other: &Self) -> f64 {
        const SAMPLES: u64 = 65_536;
        let step = u64::MAX / SAMPLES;
        let moved = (0..SAMPLES)
            .map(|sample| sample.wrapping_mul(step) ^ sample)
            .filter(|hash| self.owner(*hash) != other.owner(*hash))
            .count();
        moved as f64 / SAMPLES as f64
    }

    /// Returns the memory that the table uses, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        std::mem::size_of_val(&*self.slots) + std::mem::size_of_val(&*self.targets)
    }
}

fn table_size(member_count: usize) -> usize {
    let min_size = member_count * SLOTS_PER_TARGET;
    let largest = TABLE_SIZES[TABLE_SIZES.len() - 1];
    TABLE_SIZES
        .into_iter()
        .find(|size| *size >= min_size)
        .unwrap_or(largest)
}

fn fill_slots(members: &[WeightedTarget], size: usize) -> Box<[u16]> {
    let max_weight = members
        .iter()
        .map(|member| u64::from(member.weight))
        .max()
        .unwrap_or(1);
    let mut permutations: Vec<Permutation> = members
        .iter()
        .map(|member| Permutation::new(member.target, size))
        .collect();
    let mut slots = vec![EMPTY; size].into_boxed_slice();
    let mut filled = 0;
    loop {
        for (index, permutation) in permutations.iter_mut().enumerate() {
            permutation.credit += u64::from(members[index].weight);
            if permutation.credit < max_weight {
                continue;
            }
            permutation.credit -= max_weight;
            permutation.claim_free_slot(&mut slots, index as u16);
            filled += 1;
            if filled == size {
                return slots;
            }
        }
    }
}

impl Permutation {
    fn new(target: TargetId, size: usize) -> Self {
        let offset_hash = mix(u64::from(target.0));
        let skip_hash = mix(offset_hash ^ 0x5bd1_e995);
        Self {
            next: (offset_hash % size as u64) as usize,
            skip: (skip_hash % (size as u64 - 1)) as usize + 1,
            credit: 0,
        }
    }

    fn claim_free_slot(&mut self, slots: &mut [u16], owner: u16) {
        while slots[self.next] != EMPTY {
            self.next = (self.next + self.skip) % slots.len();
        }
        slots[self.next] = owner;
    }
}

/// Mixes the bits of a value (`SplitMix64`).
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
