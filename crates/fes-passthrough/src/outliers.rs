//! Passive outlier detection: which of a service's targets get no new flows because they fail the
//! requests that they accept.
//!
//! A target that fails fast is idle, so that placement by load alone would prefer it: under load, a
//! single target that resets its connections would draw most of the new flows. Health checks don't
//! help, since such a target may report good health.

use std::net::Ipv4Addr;

use fes_protocol::FastSet;
use fes_protocol::MonoTime;

use crate::AgentTable;
use crate::TargetRecord;

/// Share of failed requests, in thousandths, from which a target gets no new flows. It is reached
/// by three failures in a row, and not by a single one.
const FAILING_PER_MILLE: u32 = 300;
/// Largest share of a service's targets that may count as outliers. If more of them fail, the cause
/// is likely common to all, and avoiding them would overload the others.
const MAX_OUTLIERS_PERCENT: usize = 50;

/// Returns whether the share of failed requests is that of a failing target.
#[must_use]
pub const fn is_failing(failures_per_mille: u32) -> bool {
    failures_per_mille >= FAILING_PER_MILLE
}

/// Returns the VMs of the outliers among the targets of one service, by the agents' latest reports.
/// There are none if most targets fail.
#[must_use]
pub fn outliers<'a>(
    now: MonoTime,
    agents: &AgentTable,
    targets: impl Iterator<Item = &'a TargetRecord>,
) -> FastSet<Ipv4Addr> {
    let mut reported = 0;
    let mut failing = FastSet::default();
    for target in targets {
        let Some(agent) = agents.get(target.vm).filter(|a| a.is_reachable(now)) else {
            continue;
        };
        reported += 1;
        if is_failing(agent.report().failures_per_mille) {
            failing.insert(target.vm);
        }
    }
    if failing.len() * 100 > reported * MAX_OUTLIERS_PERCENT {
        failing.clear();
    }
    failing
}
