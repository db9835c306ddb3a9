//! Parses and validates replies of the platform.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::VmName;
use fes_tickets::TicketFault;
use fes_tickets::TicketFormat;
use fes_tickets::parse_ticket;
use serde::Deserialize;
use serde_json::Value;

/// Tickets above the requested number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TicketReply {
    /// Valid tickets in ascending order of their numbers.
    pub tickets: Vec<Ticket>,
    /// Invalid tickets.
    pub rejected: Vec<RejectedTicket>,
    /// Highest ticket number that the platform has, if the reply contains it.
    pub highest: Option<TicketNumber>,
}

/// An invalid ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedTicket {
    /// Ticket number, if it could be parsed.
    pub number: Option<TicketNumber>,
    /// All faults of the ticket.
    pub faults: Vec<TicketFault>,
}

/// State of a VM in the platform's list. The list may be out of date, so that this is only a hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedVmState {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmName,
    /// State of the VM.
    pub state: ListedVmState,
}

#[derive(Deserialize)]
struct TicketReplyWire {
    tickets: Vec<Value>,
    #[serde(default)]
    highest: Option<u64>,
}

#[derive(Deserialize)]
struct VmReplyWire {
    vms: Vec<VmWire>,
}

#[derive(Deserialize)]
struct VmWire {
    name: String,
    state: ListedVmState,
}

impl TicketReply {
    /// Returns whether the highest ticket of the platform is below `after`, as after a rollback of
    /// the platform. False if the reply doesn't contain the highest number.
    #[must_use]
    pub fn is_stale(&self, after: TicketNumber) -> bool {
        self.highest.is_some_and(|highest| highest < after)
    }

    /// Parses a reply. Tickets at or below `after` weren't requested and are omitted, because they
    /// can't replace any ticket in force.
    pub(crate) fn parse(body: &[u8], after: TicketNumber) -> Result<Self> {
        let wire: TicketReplyWire =
            serde_json::from_slice(body).map_err(|e| malformed_reply(&e))?;
        let mut reply = Self {
            highest: wire.highest.map(TicketNumber),
            ..Self::default()
        };
        for value in wire.tickets {
            match parse_ticket(&value.to_string(), TicketFormat::Json) {
                Ok(ticket) if ticket.number > after => reply.tickets.push(ticket),
                Ok(_) => {}
                Err(faults) => reply.rejected.push(RejectedTicket {
                    number: value
                        .get("number")
                        .and_then(Value::as_u64)
                        .map(TicketNumber),
                    faults,
                }),
            }
        }
        reply.tickets.sort_by_key(|ticket| ticket.number);
        Ok(reply)
    }
}

/// Parses the reply with the list of VMs.
pub(crate) fn parse_vms(body: &[u8]) -> Result<Vec<ListedVm>> {
    let wire: VmReplyWire = serde_json::from_slice(body).map_err(|e| malformed_reply(&e))?;
    let listed_vm = |vm: VmWire| ListedVm {
        vm: VmName::from(vm.name),
        state: vm.state,
    };
    Ok(wire.vms.into_iter().map(listed_vm).collect())
}

fn malformed_reply(error: &serde_json::Error) -> Error {
    let detail = format!("the platform's reply can't be parsed: {error}");
    Error::coded(ResultCode::PlatformMalformed, detail)
}
