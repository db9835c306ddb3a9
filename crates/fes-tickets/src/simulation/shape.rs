//! Synthetic fleets of configurable size.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::EntryId;
use fes_protocol::EntrySpec;
use fes_protocol::FleetSpec;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyEpochSpec;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;

const UDP_PORT: u16 = 7_000;
const LINK_PORT: u16 = 7_001;
/// Network 10.0.0.0.
const AGENT_NETWORK: u32 = 0x0a00_0000;
/// Network 11.0.0.0.
const ENTRY_NETWORK: u32 = 0x0b00_0000;
/// Network 12.0.0.0.
const SERVICE_NETWORK: u32 = 0x0c00_0000;

/// Size of a synthetic fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetShape {
    /// Data centres. The part of a name before the last `.` is the region.
    pub data_centres: Vec<DataCentreName>,
    /// Number of entries, distributed round-robin over the data centres.
    pub entry_count: u32,
    /// Number of services.
    pub service_count: u32,
    /// Number of targets, distributed round-robin over the services.
    pub target_count: u32,
    /// Number of slots of each target.
    pub slots: u32,
}

impl FleetShape {
    /// Returns the fleet that the system is designed for: 790 entries, 8,000 targets, 1,200
    /// services and 5 data centres in 2 regions.
    #[must_use]
    pub fn design_size() -> Self {
        Self::scaled(790, 1_200, 8_000)
    }

    /// Returns a fleet of the given size in the data centres of the design size.
    #[must_use]
    pub fn scaled(entry_count: u32, service_count: u32, target_count: u32) -> Self {
        let names = ["north.a", "north.b", "north.c", "south.a", "south.b"];
        Self {
            data_centres: names.map(DataCentreName::from).to_vec(),
            entry_count,
            service_count,
            target_count,
            slots: 4,
        }
    }

    /// Returns the tickets that describe the fleet. Ticket 1 carries the entries of all data
    /// centres and the key epoch, and each further ticket carries a service.
    #[must_use]
    pub fn tickets(&self) -> Vec<Arc<Ticket>> {
        let key_epoch = TicketObject::KeyEpoch(KeyEpochSpec {
            current: KeyEpoch(1),
        });
        let fleets = self.data_centres.iter().enumerate();
        let fleets = fleets.map(|(index, name)| {
            let fleet = Arc::new(self.fleet(index, name));
            TicketObject::Fleet(fleet)
        });
        let objects = std::iter::once(key_epoch).chain(fleets).collect();
        let first = Ticket {
            number: TicketNumber(1),
            objects,
        };
        let services = (1..=self.service_count).map(|id| Ticket {
            number: TicketNumber(u64::from(id) + 1),
            objects: vec![TicketObject::Service(Arc::new(self.service(ServiceId(id))))],
        });
        std::iter::once(first)
            .chain(services)
            .map(Arc::new)
            .collect()
    }

    /// Returns the description of a service with only active upstreams.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> ServiceSpec {
        let index = id.0 - 1;
        let targets = (0..self.target_count).filter(|n| n % self.service_count == index);
        let upstreams: Vec<UpstreamSpec> = targets.map(|n| self.upstream(n)).collect();
        ServiceSpec {
            id,
            name: format!("service-{id}").into(),
            state: ServiceState::Active,
            addresses: vec![address(SERVICE_NETWORK, id.0, 443)],
            data_centres: self.data_centres.clone(),
            upstreams,
        }
    }

    /// Returns a ticket in which the given targets of a service are leaving.
    #[must_use]
    pub fn leaving_ticket(
        &self,
        number: TicketNumber,
        id: ServiceId,
        targets: &[TargetId],
    ) -> Ticket {
        let mut service = self.service(id);
        for upstream in &mut service.upstreams {
            if targets.contains(&upstream.target) {
                upstream.state = UpstreamState::Leaving;
            }
        }
        Ticket {
            number,
            objects: vec![TicketObject::Service(Arc::new(service))],
        }
    }

    fn fleet(&self, index: usize, name: &DataCentreName) -> FleetSpec {
        let is_in_data_centre = |id: &u32| (id - 1) as usize % self.data_centres.len() == index;
        let entries = (1..=self.entry_count)
            .filter(is_in_data_centre)
            .map(|id| EntrySpec {
                id: EntryId(id),
                vm: format!("entry-vm-{id}").into(),
                control_address: address(ENTRY_NETWORK, id, UDP_PORT),
                link_address: address(ENTRY_NETWORK, id, LINK_PORT),
            });
        FleetSpec {
            data_centre: name.clone(),
            entries: entries.collect(),
        }
    }

    fn upstream(&self, n: u32) -> UpstreamSpec {
        let target = n + 1;
        // The quotient distributes the targets of a service over different data centres.
        let data_centre_index = (n / self.service_count + n) as usize % self.data_centres.len();
        UpstreamSpec {
            target: TargetId(target),
            name: format!("upstream-{target}").into(),
            vm: format!("vm-{target}").into(),
            data_centre: self.data_centres[data_centre_index].clone(),
            agent_address: address(AGENT_NETWORK, target, UDP_PORT),
            link_address: address(AGENT_NETWORK, target, LINK_PORT),
            slots: self.slots,
            state: UpstreamState::Active,
        }
    }
}

fn address(network: u32, host: u32, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(network + host), port))
}
