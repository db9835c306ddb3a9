//! Reasons for which this agent must stop admitting work.

use fes_protocol::FastSet;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::UpstreamState;

use crate::VmList;

/// Source of a request to take the upstream out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaveSource {
    /// The ticket in force: the upstream is `leaving` or not listed, or the service is retired.
    Ticket,
    /// The VM list.
    VmList,
    /// An operator, through the agent's own interface.
    Operator,
    /// SIGTERM.
    Signal,
}

/// The active leave requests. The agent admits no work while there is any. Requests of the ticket
/// and the VM list can be withdrawn; those of an operator and of SIGTERM can't.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaveRequests {
    sources: FastSet<LeaveSource>,
}

impl LeaveRequests {
    /// Returns whether the agent must not admit work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Returns whether `source` has requested that the upstream leaves.
    #[must_use]
    pub fn contains(&self, source: LeaveSource) -> bool {
        self.sources.contains(&source)
    }

    /// Updates the ticket's request from the service in force.
    pub fn set_service(&mut self, service: &ServiceSpec, own: TargetId) {
        let upstream = service.upstreams.iter().find(|u| u.target == own);
        let stays = upstream.is_some_and(|u| u.state == UpstreamState::Active);
        let active = service.state == ServiceState::Active;
        self.set(LeaveSource::Ticket, !(stays && active));
    }

    /// Updates the VM list's request. A list on which more than half of the service's VMs are
    /// leaving is assumed to be wrong and ignored, as entries do, to keep the service available.
    pub fn set_vm_list(&mut self, list: &VmList, service: &ServiceSpec, own: TargetId) {
        let upstreams = service.upstreams.iter();
        let leaving = upstreams.filter(|upstream| list.is_leaving(&upstream.vm));
        let leaving: Vec<TargetId> = leaving.map(|upstream| upstream.target).collect();
        let plausible = leaving.len() * 2 <= service.upstreams.len();
        self.set(LeaveSource::VmList, plausible && leaving.contains(&own));
    }

    /// Adds a request by an operator.
    pub fn add_operator_request(&mut self) {
        self.set(LeaveSource::Operator, true);
    }

    /// Adds a request by SIGTERM.
    pub fn add_sigterm(&mut self) {
        self.set(LeaveSource::Signal, true);
    }

    fn set(&mut self, source: LeaveSource, is_requested: bool) {
        if is_requested {
            self.sources.insert(source);
        } else {
            self.sources.remove(&source);
        }
    }
}
