//! Simulated links between nodes, with delay, loss, duplication and partitions. Each message gets
//! its own random delay, so messages can be reordered.

use std::collections::BTreeSet;

use fes_protocol::NodeId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Result of sending a message over a link.
pub(super) enum Transmission {
    /// Each copy arrives after one of these delays, in microseconds.
    Delivered(Vec<u64>),
    /// No copy arrives.
    Lost,
}

/// All links of a simulation.
#[derive(Debug)]
pub struct SimulatedNetwork {
    rng: ChaCha8Rng,
    /// Minimum delay of a message, in microseconds.
    pub min_delay_us: u64,
    /// Maximum delay of a message, in microseconds.
    pub max_delay_us: u64,
    /// Probability that a message is lost, per mille.
    pub loss_per_mille: u32,
    /// Probability that a message arrives twice, per mille.
    pub duplicate_per_mille: u32,
    /// Whether the next message is lost. The response of an upstream resets this without being
    /// lost.
    pub drop_next: bool,
    /// Whether the next message arrives twice.
    pub duplicate_next: bool,
    /// Additional delay of the next message, in microseconds.
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

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub(super) fn is_partitioned(&self, a: NodeId, b: NodeId) -> bool {
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    pub(super) fn transmit(&mut self, from: NodeId, to: NodeId) -> Transmission {
        let is_dropped = std::mem::take(&mut self.drop_next);
        if is_dropped || self.is_partitioned(from, to) || self.sample(self.loss_per_mille) {
            return Transmission::Lost;
        }
        let is_duplicated = std::mem::take(&mut self.duplicate_next);
        let copies = if is_duplicated || self.sample(self.duplicate_per_mille) {
            2
        } else {
            1
        };
        Transmission::Delivered((0..copies).map(|_| self.delay_us()).collect())
    }

    pub(super) fn delay_us(&mut self) -> u64 {
        let usual = self.min_delay_us..=self.max_delay_us;
        std::mem::take(&mut self.delay_next_us) + self.rng.random_range(usual)
    }

    fn sample(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }
}
