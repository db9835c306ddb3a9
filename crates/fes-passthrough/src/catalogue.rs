//! Routes and targets as the platform publishes them, in the product's words.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::ServiceName;
use fes_protocol::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

/// Short stand-in for the name of a service in messages between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceTag(pub u64);

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

impl From<&ServiceName> for ServiceTag {
    /// FNV-1a, which gives the same tag on every machine and in every version.
    fn from(name: &ServiceName) -> Self {
        let mut hash = FNV_OFFSET;
        for byte in name.as_str().bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        Self(hash)
    }
}

/// How flows of a route use their target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowUse {
    /// Stays open for many requests.
    Stream,
    /// Carries one request that may be repeated.
    Repeatable,
    /// Carries one request that must not run twice.
    NonRepeatable,
}

/// What the requests of a flow need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRequirements {
    /// How the flow is used.
    pub flow_use: FlowUse,
    /// Time within which a response is of full use, in milliseconds.
    pub latency_goal_ms: u32,
    /// Time after which nobody waits for the response, in milliseconds.
    pub timeout_ms: u32,
}

impl FlowRequirements {
    /// Returns what is left of it for a request that has waited.
    #[must_use]
    pub fn after_ms(self, waited_ms: u64) -> Self {
        let waited_ms = u32::try_from(waited_ms).unwrap_or(u32::MAX);
        Self {
            latency_goal_ms: self.latency_goal_ms.saturating_sub(waited_ms),
            timeout_ms: self.timeout_ms.saturating_sub(waited_ms),
            ..self
        }
    }
}

/// A service among those of a route, with its share of new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceTag,
    /// Share relative to the other services of the route.
    pub weight: u32,
}

/// Where new flows to one address go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Address that clients connect to.
    pub destination: SocketAddrV4,
    /// What its requests need.
    pub requirements: FlowRequirements,
    /// Services, of which at least one has a weight above 0.
    pub services: Vec<WeightedService>,
}

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteSet {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Time after which an idle flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Routes by the address that clients connect to.
    pub routes: FastMap<SocketAddrV4, Route>,
}

/// What a target says of its own readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes new flows.
    Ready,
    /// Is about to leave and should get no new flows.
    Draining,
}

/// A target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity in the platform's list.
    pub id: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceTag,
    /// VM on which it and its agent run.
    pub vm: Ipv4Addr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Readiness.
    pub state: TargetState,
    /// Time of its start, in milliseconds since the Unix epoch, on its own clock; 0 if unknown.
    pub started_at_ms: u64,
    /// How much longer it stays slow after its start, in milliseconds, when the record was written.
    pub warm_up_ms: u32,
    /// Revision of the platform's list in which the record was written.
    pub revision: u64,
    /// Revision in which the target was listed; a later one after a lapse.
    pub created_revision: u64,
}
