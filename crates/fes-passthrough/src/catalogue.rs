//! Routes and targets that the platform publishes, as types of this crate.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::FastSet;
use fes_protocol::ServiceName;
use fes_protocol::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::MAX_NAME_BYTES;
use crate::name_hash::name_hash;

/// Hash of a service's name, which identifies the service in messages between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceTag(pub u64);

impl From<&ServiceName> for ServiceTag {
    fn from(name: &ServiceName) -> Self {
        Self(name_hash(name.as_str()))
    }
}

/// How flows of a route use their target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowUse {
    /// The flow stays open and carries many requests.
    Stream,
    /// The flow carries one request, which may be repeated.
    Repeatable,
    /// The flow carries one request, which must not run twice.
    NonRepeatable,
}

/// Priority of requests under overload; 0 is the highest. Higher priorities come first in the order
/// of this type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Priority(pub u8);

impl Priority {
    /// Priority of requests for which none is known.
    pub const LOWEST: Self = Self(u8::MAX);
}

impl Default for Priority {
    fn default() -> Self {
        Self::LOWEST
    }
}

/// Requirements of the requests of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRequirements {
    /// How the flow is used.
    pub flow_use: FlowUse,
    /// Time within which a response should arrive, in milliseconds.
    pub latency_goal_ms: u32,
    /// Time after which the client no longer waits for the response, in milliseconds.
    pub timeout_ms: u32,
    /// Priority. It isn't part of the encoded requirements, which processes of earlier versions
    /// read; messages carry it in an extension or in a field of their own.
    #[serde(skip)]
    pub priority: Priority,
}

impl FlowRequirements {
    /// Returns the requirements that remain after a request has waited for `waited_ms`.
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

/// A service of a route, with its share of new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceTag,
    /// Share relative to the other services of the route.
    pub weight: u32,
}

/// Route of new flows to one address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Address that clients connect to.
    pub destination: SocketAddrV4,
    /// Requirements of its requests.
    pub requirements: FlowRequirements,
    /// Services; at least one has a weight greater than 0.
    pub services: Vec<WeightedService>,
}

/// Limit of new flows of a service's targets while they warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWarmUp {
    /// Service.
    pub service: ServiceTag,
    /// Number of new flows that a target can take in 1,000 s while it warms up.
    pub openings_per_1000_s: u32,
}

/// An operator's request to send no new flows to the targets of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Revision of the platform's list in which the request was written or removed.
    pub revision: u64,
    /// Whether the request is in force; false once it was removed.
    pub is_in_force: bool,
}

impl Evacuation {
    /// Returns whether the name of the data centre is neither empty nor too long.
    #[must_use]
    pub fn has_valid_name(&self) -> bool {
        let length = self.data_centre.as_str().len();
        (1..=MAX_NAME_BYTES).contains(&length)
    }
}

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteSet {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Time after which an idle flow may be dropped, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Routes by the address that clients connect to.
    pub routes: FastMap<SocketAddrV4, Route>,
    /// Services whose targets get a limited number of new flows while they warm up.
    pub warm_ups: FastMap<ServiceTag, ServiceWarmUp>,
}

impl RouteSet {
    /// Returns the services of all routes, and those with a limit during warm-up.
    #[must_use]
    pub fn named_services(&self) -> FastSet<ServiceTag> {
        let routed = self.routes.values().flat_map(|route| &route.services);
        let routed = routed.map(|weighted| weighted.service);
        routed.chain(self.warm_ups.keys().copied()).collect()
    }

    /// Fills in warm-up limits and priorities from another copy of the same version. Peers of older
    /// versions send routes without them.
    pub fn complete_from(&mut self, other: Self) {
        if self.warm_ups.is_empty() {
            self.warm_ups = other.warm_ups;
        }
        for (destination, route) in &mut self.routes {
            let other_route = other.routes.get(destination);
            if let Some(other_route) = other_route
                && route.requirements.priority == Priority::LOWEST
            {
                route.requirements.priority = other_route.requirements.priority;
            }
        }
    }
}

/// Readiness that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts new flows.
    Ready,
    /// Is about to stop and must get no new flows.
    Draining,
}

/// A target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity in the platform's list.
    pub id: UpstreamName,
    /// Service to which it belongs.
    pub service: ServiceTag,
    /// VM on which it and its agent run.
    pub vm: Ipv4Addr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Readiness.
    pub state: TargetState,
    /// Start time in milliseconds since the Unix epoch, by the target's own clock; 0 if unknown.
    pub started_at_ms: u64,
    /// Remaining warm-up time in milliseconds when the record was written.
    pub warm_up_ms: u32,
    /// Revision of the platform's list in which the record was written.
    pub revision: u64,
    /// Revision in which the target was listed, or listed again after its record had expired.
    pub created_revision: u64,
    /// Number of the target's writes since its start when it wrote the record; 0 if unknown. Sent as
    /// an extension.
    #[serde(skip)]
    pub writes: u64,
}

impl TargetRecord {
    /// Returns the order of what a target said of itself, which holds in any era of the platform's
    /// history.
    #[must_use]
    pub const fn statement(&self) -> (u64, u64) {
        (self.started_at_ms, self.writes)
    }
}
