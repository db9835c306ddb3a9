//! Routing state: the placement tables of all services and the addresses of their targets.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;

use crate::ServiceTable;

/// Time for which the route to a removed target is kept, in milliseconds. Equals the default drain
/// bound, so that flows that are still draining keep their route.
const REMOVED_TARGET_RETENTION_MS: u64 = 3_600_000;

/// Time within which a ticket is in force at every entry and agent, in milliseconds. A target that
/// a ticket adds to a service opens no flows before, because processes without the ticket would
/// treat the target as lost and have its flows reset.
const TICKET_PROPAGATION_MS: u64 = 7_000;

/// Route to the agent of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetRoute {
    /// Service of the target.
    pub service: ServiceId,
    /// UDP address of the agent.
    pub agent_address: SocketAddr,
    /// Time at which the route is removed; [`MonoTime::NEVER`] while a ticket contains the target.
    pub expires_at: MonoTime,
    /// Time from which every process knows the target, so that the target may open flows.
    pub propagated_at: MonoTime,
}

/// Immutable routing state, replaced as a whole when tickets change.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    services: FastMap<ServiceId, Arc<ServiceTable>>,
    targets: FastMap<TargetId, TargetRoute>,
}

impl RouteTable {
    /// Builds the table for the services in force. Tables of unchanged services are reused from
    /// `previous`. Targets that were removed keep their route for a limited time.
    #[must_use]
    pub fn rebuild(
        previous: &Self,
        now: MonoTime,
        services: impl IntoIterator<Item = (TicketNumber, Arc<ServiceSpec>)>,
    ) -> Self {
        let mut next = Self {
            services: FastMap::default(),
            targets: previous.unexpired_routes(now),
        };
        for (ticket, spec) in services {
            next.insert_service(previous, now, ticket, spec);
        }
        next
    }

    /// Returns the table of a service.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&Arc<ServiceTable>> {
        self.services.get(&service)
    }

    /// Returns all services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceTable>> {
        self.services.values()
    }

    /// Returns the route to a target of the service.
    #[must_use]
    pub fn target(&self, service: ServiceId, target: TargetId) -> Option<&TargetRoute> {
        self.targets
            .get(&target)
            .filter(|route| route.service == service)
    }

    /// Returns the number of targets with a route, removed ones included.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns an estimate of the memory that the table uses, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let tables: usize = self
            .services
            .values()
            .map(|s| s.placement().memory_bytes())
            .sum();
        let routes = self.targets.capacity() * std::mem::size_of::<(TargetId, TargetRoute)>();
        let services = self.services.capacity() * std::mem::size_of::<(ServiceId, usize)>();
        tables + routes + services
    }

    fn insert_service(
        &mut self,
        previous: &Self,
        now: MonoTime,
        ticket: TicketNumber,
        spec: Arc<ServiceSpec>,
    ) {
        for upstream in &spec.upstreams {
            let route = TargetRoute {
                service: spec.id,
                agent_address: upstream.agent_address,
                expires_at: MonoTime::NEVER,
                propagated_at: previous.propagated_at(now, spec.id, upstream.target),
            };
            self.targets.insert(upstream.target, route);
        }
        let unchanged = previous
            .services
            .get(&spec.id)
            .filter(|table| table.ticket() == ticket && table.spec() == &spec)
            .cloned();
        let table = unchanged.unwrap_or_else(|| Arc::new(ServiceTable::build(ticket, spec)));
        self.services.insert(table.spec().id, table);
    }

    /// Returns the time from which every process knows the target. A process that learns of a whole
    /// service at once can't tell new targets from old ones and assumes that all are known.
    fn propagated_at(&self, now: MonoTime, service: ServiceId, target: TargetId) -> MonoTime {
        match self.target(service, target) {
            Some(route) => route.propagated_at,
            None if self.services.contains_key(&service) => now.plus_ms(TICKET_PROPAGATION_MS),
            None => MonoTime::ZERO,
        }
    }

    /// Returns the routes that haven't expired, with an expiry after the retention time of removed
    /// targets at the latest. [`Self::insert_service`] replaces those of targets that a ticket
    /// still contains.
    fn unexpired_routes(&self, now: MonoTime) -> FastMap<TargetId, TargetRoute> {
        let unexpired = self
            .targets
            .iter()
            .filter(|(_, route)| route.expires_at > now);
        let with_deadline = unexpired.map(|(target, route)| {
            let deadline = route
                .expires_at
                .min(now.plus_ms(REMOVED_TARGET_RETENTION_MS));
            (
                *target,
                TargetRoute {
                    expires_at: deadline,
                    ..*route
                },
            )
        });
        with_deadline.collect()
    }
}
