//! Wire types of tickets, which are encoded as JSON, TOML or `bincode`.

use fes_protocol::EntrySpec;
use fes_protocol::FleetSpec;
use fes_protocol::KeyEpochSpec;
use fes_protocol::ResultCode;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::Ticket;
use fes_protocol::TicketObject;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use serde::Deserialize;
use serde::Serialize;

use crate::TicketFault;
use crate::parse::MAX_TICKET_BYTES;
use crate::validate::ticket_from_document;

/// A ticket as it is published and sent between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketWire {
    /// Number of the ticket.
    pub number: u64,
    /// Key epoch for new connection IDs and MACs.
    #[serde(default)]
    pub key_epoch: Option<KeyEpochWire>,
    /// Services that the ticket replaces.
    #[serde(default)]
    pub services: Vec<ServiceWire>,
    /// Fleets that the ticket replaces.
    #[serde(default)]
    pub fleets: Vec<FleetWire>,
}

/// The key epoch that a ticket puts in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEpochWire {
    /// Epoch of new connection IDs and MACs, 0 to 3.
    pub current: u8,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Number of the service.
    pub id: u32,
    /// Name of the service.
    pub name: String,
    /// `active` or `retired`.
    pub state: String,
    /// Addresses as `IP:PORT`.
    pub addresses: Vec<String>,
    /// Names of the data centres that the service spans.
    pub data_centres: Vec<String>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamWire>,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamWire {
    /// Number of the target.
    pub target: u32,
    /// Name of the upstream.
    pub name: String,
    /// VM of the upstream.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// UDP address of the agent as `IP:PORT`.
    pub agent_address: String,
    /// TCP address of the agent as `IP:PORT`.
    pub link_address: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// `active` or `leaving`.
    pub state: String,
}

/// The entries of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetWire {
    /// The data centre.
    pub data_centre: String,
    /// Its entries.
    pub entries: Vec<EntryWire>,
}

/// An entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryWire {
    /// Number of the entry.
    pub id: u32,
    /// VM of the entry.
    pub vm: String,
    /// UDP address for control messages as `IP:PORT`.
    pub control_address: String,
    /// TCP address for links as `IP:PORT`.
    pub link_address: String,
}

impl From<&Ticket> for TicketWire {
    fn from(ticket: &Ticket) -> Self {
        let mut wire = Self {
            number: ticket.number.0,
            key_epoch: None,
            services: Vec::new(),
            fleets: Vec::new(),
        };
        for object in &ticket.objects {
            match object {
                TicketObject::Service(spec) => wire.services.push(ServiceWire::from(&**spec)),
                TicketObject::Fleet(spec) => wire.fleets.push(FleetWire::from(&**spec)),
                TicketObject::KeyEpoch(spec) => wire.key_epoch = Some(KeyEpochWire::from(spec)),
            }
        }
        wire
    }
}

impl TryFrom<TicketWire> for Ticket {
    type Error = Vec<TicketFault>;

    fn try_from(wire: TicketWire) -> Result<Self, Vec<TicketFault>> {
        let document = serde_json::to_value(&wire).map_err(|error| {
            vec![TicketFault {
                code: ResultCode::TicketSyntax,
                location: "ticket".to_owned(),
                value: error.to_string(),
                allowed: "a ticket that can be encoded as JSON".to_owned(),
            }]
        })?;
        ticket_from_document(&document)
    }
}

impl From<&KeyEpochSpec> for KeyEpochWire {
    fn from(spec: &KeyEpochSpec) -> Self {
        Self {
            current: spec.current.0,
        }
    }
}

impl From<&ServiceSpec> for ServiceWire {
    fn from(spec: &ServiceSpec) -> Self {
        let state = match spec.state {
            ServiceState::Active => "active",
            ServiceState::Retired => "retired",
        };
        Self {
            id: spec.id.0,
            name: spec.name.to_string(),
            state: state.to_owned(),
            addresses: spec.addresses.iter().map(ToString::to_string).collect(),
            data_centres: spec.data_centres.iter().map(ToString::to_string).collect(),
            upstreams: spec.upstreams.iter().map(UpstreamWire::from).collect(),
        }
    }
}

impl From<&UpstreamSpec> for UpstreamWire {
    fn from(spec: &UpstreamSpec) -> Self {
        let state = match spec.state {
            UpstreamState::Active => "active",
            UpstreamState::Leaving => "leaving",
        };
        Self {
            target: spec.target.0,
            name: spec.name.to_string(),
            vm: spec.vm.to_string(),
            data_centre: spec.data_centre.to_string(),
            agent_address: spec.agent_address.to_string(),
            link_address: spec.link_address.to_string(),
            slots: spec.slots,
            state: state.to_owned(),
        }
    }
}

impl From<&FleetSpec> for FleetWire {
    fn from(spec: &FleetSpec) -> Self {
        Self {
            data_centre: spec.data_centre.to_string(),
            entries: spec.entries.iter().map(EntryWire::from).collect(),
        }
    }
}

impl From<&EntrySpec> for EntryWire {
    fn from(spec: &EntrySpec) -> Self {
        Self {
            id: spec.id.0,
            vm: spec.vm.to_string(),
            control_address: spec.control_address.to_string(),
            link_address: spec.link_address.to_string(),
        }
    }
}

/// Encodes a ticket to be sent to another process.
///
/// # Errors
///
/// Returns [`ResultCode::TicketTooLarge`] if the encoding exceeds [`MAX_TICKET_BYTES`], and
/// [`ResultCode::ControlMalformed`] if the ticket can't be encoded.
pub fn encode_ticket(ticket: &Ticket) -> Result<Vec<u8>, ResultCode> {
    let wire = TicketWire::from(ticket);
    let bytes = bincode::serde::encode_to_vec(&wire, bincode::config::standard())
        .map_err(|_| ResultCode::ControlMalformed)?;
    if bytes.len() > MAX_TICKET_BYTES {
        return Err(ResultCode::TicketTooLarge);
    }
    Ok(bytes)
}

/// Decodes and validates a ticket from another process. Trailing bytes are an error.
///
/// # Errors
///
/// Returns [`ResultCode::TicketTooLarge`], [`ResultCode::ControlMalformed`] or
/// [`ResultCode::TicketInvalid`].
pub fn decode_ticket(bytes: &[u8]) -> Result<Ticket, ResultCode> {
    if bytes.len() > MAX_TICKET_BYTES {
        return Err(ResultCode::TicketTooLarge);
    }
    let config = bincode::config::standard().with_limit::<MAX_TICKET_BYTES>();
    let (wire, used): (TicketWire, usize) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|_| ResultCode::ControlMalformed)?;
    if used != bytes.len() {
        return Err(ResultCode::ControlMalformed);
    }
    Ticket::try_from(wire).map_err(|_| ResultCode::TicketInvalid)
}
