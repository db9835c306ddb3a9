//! Whether this agent is to stop admitting work, and who said so.

use fes_protocol::FastSet;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::UpstreamState;

use crate::VmList;

/// Who said that the upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaveSource {
    /// The ticket in force: state `leaving`, or the upstream or service is gone.
    Ticket,
    /// The list of VMs.
    VmList,
    /// The operators, through the agent's own interface.
    Operator,
    /// SIGTERM.
    Signal,
}

/// Collects the sources. The agent admits no work while any of them holds. Ticket and VM list may
/// be withdrawn; an order and a signal may not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaveRequests {
    sources: FastSet<LeaveSource>,
}

impl LeaveRequests {
    /// Returns whether the agent is to stop admitting work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Returns whether a source says that the upstream is leaving.
    #[must_use]
    pub fn contains(&self, source: LeaveSource) -> bool {
        self.sources.contains(&source)
    }

    /// Takes the service in force.
    pub fn set_service(&mut self, service: &ServiceSpec, own: TargetId) {
        let upstream = service.upstreams.iter().find(|u| u.target == own);
        let stays = upstream.is_some_and(|u| u.state == UpstreamState::Active);
        let active = service.state == ServiceState::Active;
        self.set(LeaveSource::Ticket, !(stays && active));
    }

    /// Takes the list of VMs. A list on which more than half of the service's VMs leave is taken
    /// for wrong: entries ignore it too, and the service needs the rest.
    pub fn set_vm_list(&mut self, list: &VmList, service: &ServiceSpec, own: TargetId) {
        let upstreams = service.upstreams.iter();
        let leaving = upstreams.filter(|upstream| list.is_leaving(&upstream.vm));
        let leaving: Vec<TargetId> = leaving.map(|upstream| upstream.target).collect();
        let plausible = leaving.len() * 2 <= service.upstreams.len();
        self.set(LeaveSource::VmList, plausible && leaving.contains(&own));
    }

    /// Takes an order of the operators.
    pub fn add_operator_request(&mut self) {
        self.set(LeaveSource::Operator, true);
    }

    /// Takes SIGTERM.
    pub fn add_sigterm(&mut self) {
        self.set(LeaveSource::Signal, true);
    }

    fn set(&mut self, source: LeaveSource, says: bool) {
        if says {
            self.sources.insert(source);
        } else {
            self.sources.remove(&source);
        }
    }
}
