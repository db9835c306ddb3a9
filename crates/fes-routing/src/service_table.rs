//! Placement table of a service.

use std::sync::Arc;

use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamState;

use crate::MaglevTable;
use crate::WeightedTarget;

/// A service and its placement table, built from one ticket.
#[derive(Debug, Clone)]
pub struct ServiceTable {
    ticket: TicketNumber,
    spec: Arc<ServiceSpec>,
    placement: MaglevTable,
}

impl ServiceTable {
    /// Builds the placement table. Leaving upstreams and the upstreams of a retired service receive
    /// no new flows.
    #[must_use]
    pub fn build(ticket: TicketNumber, spec: Arc<ServiceSpec>) -> Self {
        let accepts_flows = spec.state == ServiceState::Active;
        let active = spec
            .upstreams
            .iter()
            .filter(|upstream| accepts_flows && upstream.state == UpstreamState::Active)
            .map(|upstream| WeightedTarget {
                target: upstream.target,
                weight: upstream.slots,
            });
        let placement = MaglevTable::build(active);
        Self {
            ticket,
            spec,
            placement,
        }
    }

    /// Returns the number of the ticket that the table was built from.
    #[must_use]
    pub const fn ticket(&self) -> TicketNumber {
        self.ticket
    }

    /// Returns the description of the service.
    #[must_use]
    pub const fn spec(&self) -> &Arc<ServiceSpec> {
        &self.spec
    }

    /// Returns the table that places new flows.
    #[must_use]
    pub const fn placement(&self) -> &MaglevTable {
        &self.placement
    }
}
