//! Settings of a process that carries pass-through flows.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_protocol::DataCentreName;
use fes_protocol::VmName;

use crate::ServiceTag;

/// Settings of an entry or an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether the whole system starts for the first time, so that no flow can be open.
    pub is_first_start: bool,
    /// Where an entry receives clients' packets. Its port is also that of clients' machines.
    pub client_address: SocketAddrV4,
    /// Where readiness, status and metrics are served.
    pub status_address: SocketAddrV4,
    /// Where messages of other processes arrive; the port is the same on all VMs.
    pub node_address: SocketAddrV4,
    /// Where the platform's list is read.
    pub platform_address: SocketAddrV4,
    /// Some VMs on which entries run; they may be down.
    pub seed_entries: Vec<Ipv4Addr>,
    /// Time between the signal to stop and the end of the process, in milliseconds.
    pub stop_grace_ms: u64,
    /// What the VM is for.
    pub place: NodePlace,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodePlace {
    /// Clients' packets arrive here.
    Entry,
    /// A target runs here.
    Agent(AgentPlace),
}

/// The target beside an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentPlace {
    /// Service of the target.
    pub service: ServiceTag,
    /// Where the target takes packets.
    pub target_address: SocketAddrV4,
    /// Where the agent receives what the target sends.
    pub from_target_address: SocketAddrV4,
}
