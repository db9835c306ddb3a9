//! Client connections and their placement on agents.

use fes_routing::MaglevTable;
use fes_routing::WeightedTarget;

use super::Scenario;
use super::Variates;
use super::current::target;
use crate::Policy;

/// Standard deviation of the logarithm of the demand of a connection.
const DEMAND_SIGMA: f64 = 1.0;

/// A client connection.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    /// Agent that terminates the connection.
    pub(crate) client_agent: usize,
    /// Index of the target that the latest key prefix issued on this connection names.
    pub(crate) prefix_owner: Option<usize>,
}

/// All connections, with the cumulative distribution of demand over them.
#[derive(Debug)]
pub(crate) struct Connections {
    pub(crate) connections: Vec<Connection>,
    cumulative: Vec<f64>,
}

impl Connections {
    /// Places connections the way entries do under `policy`.
    pub(crate) fn place(scenario: &Scenario, policy: Policy, variates: &mut Variates) -> Self {
        let targets = scenario.profile.targets;
        let weighted = (0..targets).map(|i| WeightedTarget {
            target: target(i),
            weight: scenario.profile.slots,
        });
        let table = MaglevTable::build(weighted);
        let count = targets * scenario.profile.connections_per_target;
        let mut total = 0.0;
        let mut connections = Vec::with_capacity(count);
        let mut cumulative = Vec::with_capacity(count);
        for _ in 0..count {
            let hash = variates.random_u64();
            let client_agent = match policy {
                Policy::Baseline => (hash % targets as u64) as usize,
                Policy::Current => table.owner(hash).map_or(0, |t| t.0 as usize - 1),
            };
            connections.push(Connection {
                client_agent,
                prefix_owner: None,
            });
            total += variates.log_normal(1.0, DEMAND_SIGMA);
            cumulative.push(total);
        }
        Self {
            connections,
            cumulative,
        }
    }

    /// Samples the connection that sends the next request, in proportion to demand.
    pub(crate) fn pick(&self, variates: &mut Variates) -> usize {
        let total = self.cumulative.last().copied().unwrap_or_default();
        let point = variates.uniform() * total;
        let position = self.cumulative.partition_point(|c| *c <= point);
        position.min(self.connections.len() - 1)
    }
}
