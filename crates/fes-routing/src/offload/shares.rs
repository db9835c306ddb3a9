//! Fair shares of the demand of a service.

use fes_protocol::TargetId;

/// A member of the service in the computation of shares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member {
    pub(crate) target: TargetId,
    pub(crate) capacity: f64,
    pub(crate) demand: f64,
    /// How far the report is trusted, 0 to 1; scales what the member receives.
    pub(crate) trust: f64,
}

/// Surplus of this agent and deficits of its peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shares {
    /// Work that arrives here above this agent's fair share.
    pub(crate) surplus: f64,
    /// Work that each peer could take before it reaches its fair share.
    pub(crate) deficits: Vec<(TargetId, f64)>,
}

impl Shares {
    /// Computes shares in proportion to capacity.
    pub(crate) fn compute(own: Member, peers: &[Member]) -> Self {
        let capacity: f64 = own.capacity + peers.iter().map(|p| p.capacity).sum::<f64>();
        let demand: f64 = own.demand + peers.iter().map(|p| p.demand).sum::<f64>();
        if capacity <= 0.0 {
            return Self::default();
        }
        let utilisation = demand / capacity;
        let deficits = peers
            .iter()
            .map(|p| {
                let deficit = p.capacity * utilisation - p.demand;
                (p.target, deficit.max(0.0) * p.trust)
            })
            .filter(|(_, deficit)| *deficit > 0.0)
            .collect();
        Self {
            surplus: (own.demand - own.capacity * utilisation).max(0.0),
            deficits,
        }
    }
}

/// Picks a target with probability in proportion to its weight; `point` is uniform in 0 to 1.
pub(crate) fn pick(weights: &[(TargetId, f64)], point: f64) -> Option<TargetId> {
    let total: f64 = weights.iter().map(|w| w.1).sum();
    let mut left = total * point;
    for (target, weight) in weights.iter().filter(|w| w.1 > 0.0) {
        left -= weight;
        if left < 0.0 {
            return Some(*target);
        }
    }
    weights.iter().rfind(|w| w.1 > 0.0).map(|w| w.0)
}
