//! Fair shares of the demand on a service.

use fes_protocol::TargetId;

/// Capacity and demand of one agent of the service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member {
    pub(crate) target: TargetId,
    pub(crate) capacity: f64,
    pub(crate) demand: f64,
    /// Weight of the agent's report, 1 if recent and 0 if stale. Scales what the agent receives.
    pub(crate) report_weight: f64,
}

/// Surplus of this agent and deficits of its peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shares {
    /// Demand on this agent above its fair share.
    pub(crate) surplus: f64,
    /// Demand that each peer can accept until it reaches its fair share.
    pub(crate) deficits: Vec<(TargetId, f64)>,
}

impl Shares {
    /// Computes fair shares in proportion to capacity.
    pub(crate) fn compute(local: Member, peers: &[Member]) -> Self {
        let capacity: f64 = local.capacity + peers.iter().map(|p| p.capacity).sum::<f64>();
        let demand: f64 = local.demand + peers.iter().map(|p| p.demand).sum::<f64>();
        if capacity <= 0.0 {
            return Self::default();
        }
        let utilisation = demand / capacity;
        let deficits = peers
            .iter()
            .map(|p| {
                let deficit = p.capacity * utilisation - p.demand;
                (p.target, deficit.max(0.0) * p.report_weight)
            })
            .filter(|(_, deficit)| *deficit > 0.0)
            .collect();
        Self {
            surplus: (local.demand - local.capacity * utilisation).max(0.0),
            deficits,
        }
    }
}

/// Selects a target with a probability in proportion to its weight. `point` is uniformly random in
/// [0, 1).
pub(crate) fn pick_weighted(weights: &[(TargetId, f64)], point: f64) -> Option<TargetId> {
    let total: f64 = weights.iter().map(|w| w.1).sum();
    let mut remaining = total * point;
    for (target, weight) in weights.iter().filter(|w| w.1 > 0.0) {
        remaining -= weight;
        if remaining < 0.0 {
            return Some(*target);
        }
    }
    weights.iter().rfind(|w| w.1 > 0.0).map(|w| w.0)
}
