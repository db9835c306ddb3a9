//! Links between nodes: delay, loss, duplication, partition. Delays of different messages differ,
//! so that messages are reordered.

use std::collections::BTreeSet;

use fes_protocol::NodeId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What happens to one message.
pub(super) enum Fate {
    /// Copies arrive after these delays, in microseconds.
    Arrives(Vec<u64>),
    /// It is lost.
    Lost,
}

/// All links of a run.
#[derive(Debug)]
pub struct SimulatedNetwork {
    rng: ChaCha8Rng,
    /// Shortest delay of a message, in microseconds.
    pub min_delay_us: u64,
    /// Longest delay of a message, in microseconds.
    pub max_delay_us: u64,
    /// Messages lost, of a thousand.
    pub loss_per_mille: u32,
    /// Messages that arrive twice, of a thousand.
    pub duplicate_per_mille: u32,
    /// Loses the next message.
    pub drop_next: bool,
    /// Doubles the next message.
    pub duplicate_next: bool,
    /// Delays the next message by so much more, in microseconds.
    pub delay_next_us: u64,
    partitions: BTreeSet<(NodeId, NodeId)>,
}

impl SimulatedNetwork {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            min_delay_us: 1_000,
            max_delay_us: 1_000,
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            drop_next: false,
            duplicate_next: false,
            delay_next_us: 0,
            partitions: BTreeSet::new(),
        }
    }

    pub(super) fn partition(&mut self, a: NodeId, b: NodeId) {
        self.partitions.insert((a.min(b), a.max(b)));
    }

    /// Makes all links work again.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub(super) fn is_partitioned(&self, a: NodeId, b: NodeId) -> bool {
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    pub(super) fn fate(&mut self, from: NodeId, to: NodeId) -> Fate {
        let dropped = std::mem::take(&mut self.drop_next);
        if dropped || self.is_partitioned(from, to) || self.roll(self.loss_per_mille) {
            return Fate::Lost;
        }
        let doubled = std::mem::take(&mut self.duplicate_next);
        let copies = if doubled || self.roll(self.duplicate_per_mille) {
            2
        } else {
            1
        };
        Fate::Arrives((0..copies).map(|_| self.delay_us()).collect())
    }

    pub(super) fn delay_us(&mut self) -> u64 {
        let usual = self.min_delay_us..=self.max_delay_us;
        std::mem::take(&mut self.delay_next_us) + self.rng.random_range(usual)
    }

    fn roll(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }
}
