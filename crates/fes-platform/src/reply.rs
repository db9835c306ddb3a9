//! Replies of the platform, validated.

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

/// Tickets above the number asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TicketReply {
    /// Valid tickets in ascending order of their numbers.
    pub tickets: Vec<Ticket>,
    /// Tickets that can't be used.
    pub rejected: Vec<RejectedTicket>,
    /// Highest number that the platform holds, if it says so.
    pub highest: Option<TicketNumber>,
}

/// A ticket that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedTicket {
    /// Its number, if that much can be read.
    pub number: Option<TicketNumber>,
    /// All its faults.
    pub faults: Vec<TicketFault>,
}

/// State of a VM in the platform's list, which lags and is only a hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedVmState {
    /// Runs.
    Live,
    /// Will be taken away.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Its state.
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
    /// Returns whether the platform holds less than was asked for, as after a roll-back.
    #[must_use]
    pub fn is_stale(&self, after: TicketNumber) -> bool {
        self.highest.is_some_and(|highest| highest < after)
    }

    /// Parses a reply. Tickets at or below `after` were not asked for and are left out; they could
    /// not replace anything.
    pub(crate) fn parse(body: &[u8], after: TicketNumber) -> Result<Self> {
        let wire: TicketReplyWire = serde_json::from_slice(body).map_err(|e| malformed(&e))?;
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

/// Parses the list of VMs.
pub(crate) fn parse_vms(body: &[u8]) -> Result<Vec<ListedVm>> {
    let wire: VmReplyWire = serde_json::from_slice(body).map_err(|e| malformed(&e))?;
    let hint = |vm: VmWire| ListedVm {
        vm: VmName::from(vm.name),
        state: vm.state,
    };
    Ok(wire.vms.into_iter().map(hint).collect())
}

fn malformed(error: &serde_json::Error) -> Error {
    let detail = format!("the platform's reply can't be parsed: {error}");
    Error::coded(ResultCode::PlatformMalformed, detail)
}
