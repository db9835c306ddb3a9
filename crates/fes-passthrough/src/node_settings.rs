//! Settings of a process that handles pass-through flows.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_protocol::DataCentreName;
use fes_protocol::VmName;

use crate::ServiceTag;
use crate::WarmUpSettings;

/// Settings of an entry or an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether this is the first start of the whole system, so that no flows can be open.
    pub is_first_start: bool,
    /// Address at which an entry receives clients' packets. Clients use the same port.
    pub client_address: SocketAddrV4,
    /// Address at which readiness, status and metrics are served.
    pub status_address: SocketAddrV4,
    /// Address for messages from other processes; the port is the same on all VMs.
    pub node_address: SocketAddrV4,
    /// Address of the platform's list.
    pub platform_address: SocketAddrV4,
    /// VMs of some other entries, which need not be up.
    pub seed_entries: Vec<Ipv4Addr>,
    /// Time between the stop signal and the end of the process, in milliseconds.
    pub stop_grace_ms: u64,
    /// Limit of new flows of targets that warm up. Only used by entries.
    pub warm_up: WarmUpSettings,
    /// Role of the VM.
    pub place: NodePlace,
}

impl NodeSettings {
    /// Returns whether `changed` differs in more than the seeds and the warm-up limit, which a running
    /// process applies, and the first start, which concerns none.
    #[must_use]
    pub fn needs_restart_for(&self, changed: &Self) -> bool {
        let applied = Self {
            seed_entries: changed.seed_entries.clone(),
            warm_up: changed.warm_up,
            is_first_start: changed.is_first_start,
            ..self.clone()
        };
        applied != *changed
    }
}

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodePlace {
    /// Receives clients' packets.
    Entry,
    /// Runs a target and its agent.
    Agent(AgentPlace),
}

/// Target on the same VM as an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentPlace {
    /// Service of the target.
    pub service: ServiceTag,
    /// Address to which the agent sends packets for the target.
    pub target_address: SocketAddrV4,
    /// Address at which the agent receives packets from the target.
    pub from_target_address: SocketAddrV4,
}
