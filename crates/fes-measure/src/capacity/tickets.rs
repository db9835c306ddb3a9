//! Measures the ticket store of an entry, which holds all services.

use std::sync::Arc;

use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_tickets::TicketStore;
use fes_tickets::encode_ticket;

use super::DesignSize;
use super::Point;
use super::Slope;
use super::measurement::ns_per_call;
use super::resident_memory::bytes_per_value;
use super::routing::service_specs;

const SERVICE_COUNTS: [u32; 4] = [150, 300, 600, 1_200];
const TARGETS_PER_SERVICE: [f64; 4] = [2.0, 7.0, 20.0, 60.0];

pub(super) fn slopes(design: &DesignSize) -> Vec<Slope> {
    let mut memory = Vec::new();
    let mut apply = Vec::new();
    for services in SERVICE_COUNTS {
        let size = f64::from(services);
        let make = || store_of(services, design.targets_per_service());
        memory.push(Point {
            size,
            cost: bytes_per_value(make),
        });
        apply.push(Point {
            size,
            cost: one_change_us(services, design.targets_per_service()),
        });
    }
    let encoded = TARGETS_PER_SERVICE.map(|targets| {
        let size = tickets(1, targets).first().map_or(0, |ticket| {
            encode_ticket(ticket).map_or(0, |bytes| bytes.len())
        });
        Point {
            size: targets,
            cost: size as f64,
        }
    });
    vec![
        Slope::new("ticket_store_memory", "services", "bytes", memory),
        Slope::new("ticket_apply_one", "services", "us", apply),
        Slope::new(
            "ticket_encoded_size",
            "targets of the service",
            "bytes",
            encoded.to_vec(),
        ),
    ]
}

/// Returns one ticket per service, as in a store after each service was changed separately.
fn tickets(services: u32, per_service: f64) -> Vec<Ticket> {
    let specs = service_specs(services, per_service).into_iter().zip(1..);
    specs
        .map(|(spec, number)| Ticket {
            number: TicketNumber(number),
            objects: vec![TicketObject::Service(spec)],
        })
        .collect()
}

fn store_of(services: u32, per_service: f64) -> TicketStore {
    let mut store = TicketStore::new();
    for ticket in tickets(services, per_service) {
        store.apply(Arc::new(ticket));
    }
    store
}

/// Returns the time to apply a ticket that changes one service, in microseconds.
fn one_change_us(services: u32, per_service: f64) -> f64 {
    let mut store = store_of(services, per_service);
    let changed = tickets(services, per_service);
    let mut number = u64::from(services);
    let change = |index: usize| {
        number += 1;
        let objects = changed[index % changed.len()].objects.clone();
        store
            .apply(Arc::new(Ticket {
                number: TicketNumber(number),
                objects,
            }))
            .has_changes()
    };
    ns_per_call(50, change) / 1e3
}
