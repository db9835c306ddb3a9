//! Control traffic of a simulated cluster in its steady state.

use fes_protocol::NodeId;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::RegionPaths;

use crate::simulation::SimulatedCluster;

const WARM_UP_MS: u64 = 5_000;

/// Control traffic in bytes per second, including all headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficReport {
    /// Mean sent per agent.
    pub agent_sent_mean: u64,
    /// Maximum sent by an agent.
    pub agent_sent_max: u64,
    /// Maximum received by an agent.
    pub agent_received_max: u64,
    /// Mean sent per entry.
    pub entry_sent_mean: u64,
    /// Maximum sent by an entry.
    pub entry_sent_max: u64,
    /// Maximum received by an entry.
    pub entry_received_max: u64,
}

/// Runs a cluster without failures for `duration_ms` after a warm-up and returns its control
/// traffic.
#[must_use]
pub fn measure_traffic(
    shape: &FleetShape,
    paths: RegionPaths,
    duration_ms: u64,
    seed: u64,
) -> TrafficReport {
    let mut cluster = SimulatedCluster::new(shape, paths, seed);
    cluster.run_ms(WARM_UP_MS);
    cluster.reset_traffic();
    cluster.run_ms(duration_ms);
    let mut agents: Vec<(u64, u64)> = Vec::new();
    let mut entries: Vec<(u64, u64)> = Vec::new();
    for node in cluster.node_ids() {
        let list = match node {
            NodeId::Entry(_) => &mut entries,
            NodeId::Agent(_) => &mut agents,
        };
        list.extend(cluster.traffic(*node));
    }
    let mean = |list: &[(u64, u64)]| {
        let sum: u64 = list.iter().map(|(sent, _)| sent).sum();
        sum / list.len().max(1) as u64
    };
    let most_sent = |list: &[(u64, u64)]| list.iter().map(|(sent, _)| *sent).max();
    let most_received = |list: &[(u64, u64)]| list.iter().map(|(_, received)| *received).max();
    TrafficReport {
        agent_sent_mean: mean(&agents),
        agent_sent_max: most_sent(&agents).unwrap_or(0),
        agent_received_max: most_received(&agents).unwrap_or(0),
        entry_sent_mean: mean(&entries),
        entry_sent_max: most_sent(&entries).unwrap_or(0),
        entry_received_max: most_received(&entries).unwrap_or(0),
    }
}
