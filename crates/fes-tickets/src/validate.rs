//! Converts a parsed document into a ticket, or returns all its faults.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::EntryId;
use fes_protocol::EntrySpec;
use fes_protocol::FleetSpec;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyEpochSpec;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use serde_json::Value;

use crate::TicketFault;
use crate::document::Faults;
use crate::document::Table;
use crate::duplicates::UniquenessCheck;

/// Largest ticket number. JSON tools represent whole numbers exactly only up to 2^53 - 1.
const MAX_TICKET_NUMBER: u64 = (1 << 53) - 1;
const MAX_SLOTS: u32 = 1_024;
const MAX_KEY_EPOCH: u32 = 3;

const TICKET_FIELDS: &[&str] = &["number", "key_epoch", "services", "fleets"];
const SERVICE_FIELDS: &[&str] = &[
    "id",
    "name",
    "state",
    "addresses",
    "data_centres",
    "upstreams",
];
const UPSTREAM_FIELDS: &[&str] = &[
    "target",
    "name",
    "vm",
    "data_centre",
    "agent_address",
    "link_address",
    "slots",
    "state",
];
const FLEET_FIELDS: &[&str] = &["data_centre", "entries"];
const ENTRY_FIELDS: &[&str] = &["id", "vm", "control_address", "link_address"];

/// Faults and uniqueness checks of a whole ticket.
struct ValidationContext<'a> {
    faults: &'a Faults,
    services: UniquenessCheck<'a, ServiceId>,
    service_names: UniquenessCheck<'a, String>,
    service_addresses: UniquenessCheck<'a, SocketAddr>,
    targets: UniquenessCheck<'a, TargetId>,
    fleets: UniquenessCheck<'a, DataCentreName>,
    entries: UniquenessCheck<'a, EntryId>,
    control_addresses: UniquenessCheck<'a, SocketAddr>,
    link_addresses: UniquenessCheck<'a, SocketAddr>,
}

impl<'a> ValidationContext<'a> {
    fn new(faults: &'a Faults) -> Self {
        Self {
            faults,
            services: UniquenessCheck::new("service ID", faults),
            service_names: UniquenessCheck::new("service name", faults),
            service_addresses: UniquenessCheck::new("service address", faults),
            targets: UniquenessCheck::new("target ID", faults),
            fleets: UniquenessCheck::new("data centre", faults),
            entries: UniquenessCheck::new("entry ID", faults),
            control_addresses: UniquenessCheck::new("UDP address of a process", faults),
            link_addresses: UniquenessCheck::new("TCP address of a process", faults),
        }
    }
}

/// Converts a document into a ticket.
pub(crate) fn ticket_from_document(document: &Value) -> Result<Ticket, Vec<TicketFault>> {
    let faults = Faults::default();
    let ticket = read_ticket(document, &faults);
    let faults = faults.into_vec();
    match ticket {
        Some(ticket) if faults.is_empty() => Ok(ticket),
        _ => Err(faults),
    }
}

fn read_ticket(document: &Value, faults: &Faults) -> Option<Ticket> {
    let table = Table::new(document, String::new(), TICKET_FIELDS, faults)?;
    let mut context = ValidationContext::new(faults);
    let number = table.number("number", 1..=MAX_TICKET_NUMBER);
    let mut objects = Vec::new();
    objects.extend(read_key_epoch(&table, faults).map(TicketObject::KeyEpoch));
    let services = table.optional_list("services");
    let fleets = table.optional_list("fleets");
    if services.is_empty() && fleets.is_empty() && table.optional("key_epoch").is_none() {
        let allowed = "at least one of services, fleets and key_epoch";
        faults.add(ResultCode::TicketEmpty, "ticket", "", allowed);
    }
    for (location, value) in services {
        let service = read_service(value, location, &mut context);
        objects.extend(service.map(|spec| TicketObject::Service(Arc::new(spec))));
    }
    for (location, value) in fleets {
        let fleet = read_fleet(value, location, &mut context);
        objects.extend(fleet.map(|spec| TicketObject::Fleet(Arc::new(spec))));
    }
    Some(Ticket {
        number: TicketNumber(number?),
        objects,
    })
}

fn read_key_epoch(table: &Table<'_>, faults: &Faults) -> Option<KeyEpochSpec> {
    let value = table.optional("key_epoch")?;
    let table = Table::new(value, "key_epoch".to_owned(), &["current"], faults)?;
    let current = table.number32("current", 0..=MAX_KEY_EPOCH)?;
    Some(KeyEpochSpec {
        current: KeyEpoch(u8::try_from(current).ok()?),
    })
}

fn read_service(
    value: &Value,
    location: String,
    context: &mut ValidationContext<'_>,
) -> Option<ServiceSpec> {
    let table = Table::new(value, location, SERVICE_FIELDS, context.faults)?;
    let id = table.number32("id", 1..=u32::MAX).map(ServiceId);
    let name = table.name("name");
    let states = [
        ("active", ServiceState::Active),
        ("retired", ServiceState::Retired),
    ];
    let state = table.choice("state", &states);
    let addresses = table.addresses("addresses");
    let data_centres = read_data_centres(&table, context.faults);
    let upstreams = read_upstreams(&table, &data_centres, context);
    if let Some(id) = &id {
        context.services.check(id, table.location_of("id"));
    }
    if let Some(name) = name {
        context
            .service_names
            .check(&name.to_owned(), table.location_of("name"));
    }
    for (location, address) in &addresses {
        context.service_addresses.check(address, location);
    }
    if state == Some(ServiceState::Active) {
        require_items(
            &table,
            &["addresses", "data_centres", "upstreams"],
            context.faults,
        );
    }
    Some(ServiceSpec {
        id: id?,
        name: name?.into(),
        state: state?,
        addresses: addresses.into_iter().map(|(_, address)| address).collect(),
        data_centres,
        upstreams,
    })
}

/// Reports empty lists of an active service. An empty list would make the service unreachable,
/// which only the state `retired` may do.
fn require_items(table: &Table<'_>, fields: &[&str], faults: &Faults) {
    for field in fields {
        let value = table.optional(field);
        if value.and_then(Value::as_array).is_some_and(Vec::is_empty) {
            let allowed = "at least one item, or state retired";
            faults.add(
                ResultCode::TicketMissingField,
                table.location_of(field),
                "[]",
                allowed,
            );
        }
    }
}

fn read_data_centres(table: &Table<'_>, faults: &Faults) -> Vec<DataCentreName> {
    let mut unique = UniquenessCheck::new("data centre", faults);
    let mut names = Vec::new();
    for (location, name) in table.names("data_centres") {
        let name = DataCentreName::from(name);
        unique.check(&name, location);
        names.push(name);
    }
    names
}

fn read_upstreams(
    table: &Table<'_>,
    data_centres: &[DataCentreName],
    context: &mut ValidationContext<'_>,
) -> Vec<UpstreamSpec> {
    let mut names = UniquenessCheck::new("upstream name", context.faults);
    let mut upstreams = Vec::new();
    for (location, value) in table.required_list("upstreams") {
        let Some(table) = Table::new(value, location, UPSTREAM_FIELDS, context.faults) else {
            continue;
        };
        if let Some(name) = value.get("name").and_then(Value::as_str) {
            names.check(&name.to_owned(), table.location_of("name"));
        }
        upstreams.extend(read_upstream(&table, data_centres, context));
    }
    upstreams.sort_by_key(|upstream| upstream.target);
    upstreams
}

fn read_upstream(
    table: &Table<'_>,
    data_centres: &[DataCentreName],
    context: &mut ValidationContext<'_>,
) -> Option<UpstreamSpec> {
    let target = table.number32("target", 1..=u32::MAX).map(TargetId);
    let name = table.name("name");
    let vm = table.name("vm");
    let data_centre = table.name("data_centre").map(DataCentreName::from);
    let agent_address = table.address("agent_address");
    let link_address = table.address("link_address");
    let slots = table.number32("slots", 1..=MAX_SLOTS);
    let states = [
        ("active", UpstreamState::Active),
        ("leaving", UpstreamState::Leaving),
    ];
    let state = table.choice("state", &states);
    if let Some(target) = &target {
        context.targets.check(target, table.location_of("target"));
    }
    check_process_addresses(table, "agent_address", agent_address, link_address, context);
    if let Some(name) = data_centre
        .as_ref()
        .filter(|name| !data_centres.contains(name))
    {
        let listed: Vec<&str> = data_centres.iter().map(DataCentreName::as_str).collect();
        let allowed = format!("one of the service's data centres: {}", listed.join(", "));
        let location = table.location_of("data_centre");
        context.faults.add(
            ResultCode::TicketBadReference,
            location,
            name.as_str(),
            allowed,
        );
    }
    Some(UpstreamSpec {
        target: target?,
        name: name?.into(),
        vm: vm?.into(),
        data_centre: data_centre?,
        agent_address: agent_address?,
        link_address: link_address?,
        slots: slots?,
        state: state?,
    })
}

fn read_fleet(
    value: &Value,
    location: String,
    context: &mut ValidationContext<'_>,
) -> Option<FleetSpec> {
    let table = Table::new(value, location, FLEET_FIELDS, context.faults)?;
    let data_centre = table.name("data_centre").map(DataCentreName::from);
    if let Some(name) = &data_centre {
        context.fleets.check(name, table.location_of("data_centre"));
    }
    let mut entries = Vec::new();
    for (location, value) in table.required_list("entries") {
        entries.extend(read_entry(value, location, context));
    }
    entries.sort_by_key(|entry| entry.id);
    Some(FleetSpec {
        data_centre: data_centre?,
        entries,
    })
}

fn read_entry(
    value: &Value,
    location: String,
    context: &mut ValidationContext<'_>,
) -> Option<EntrySpec> {
    let table = Table::new(value, location, ENTRY_FIELDS, context.faults)?;
    let id = table.number32("id", 1..=u32::MAX).map(EntryId);
    let vm = table.name("vm");
    let control_address = table.address("control_address");
    let link_address = table.address("link_address");
    if let Some(id) = &id {
        context.entries.check(id, table.location_of("id"));
    }
    check_process_addresses(
        &table,
        "control_address",
        control_address,
        link_address,
        context,
    );
    Some(EntrySpec {
        id: id?,
        vm: vm?.into(),
        control_address: control_address?,
        link_address: link_address?,
    })
}

fn check_process_addresses(
    table: &Table<'_>,
    udp_field: &str,
    udp: Option<SocketAddr>,
    link: Option<SocketAddr>,
    context: &mut ValidationContext<'_>,
) {
    if let Some(address) = &udp {
        context
            .control_addresses
            .check(address, table.location_of(udp_field));
    }
    if let Some(address) = &link {
        context
            .link_addresses
            .check(address, table.location_of("link_address"));
    }
}
