//! The tickets in force at one process.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use fes_protocol::ObjectKey;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;

use crate::HighestWins;
use crate::InForce;
use crate::Precedence;
use crate::Snapshot;
use crate::TicketVersion;
use crate::snapshot::HeldTicket;
use crate::snapshot::hash_term;
use crate::snapshot::retirement_hash_term;

/// Report to the operator about a ticket that was offered to a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReport {
    /// An object of the ticket was ignored because a higher number is in force.
    Stale {
        /// The object.
        object: ObjectKey,
        /// Number of the offered ticket.
        offered: TicketNumber,
        /// Number of the ticket in force.
        in_force: TicketNumber,
    },
    /// A different ticket with the same number carries the same object.
    Conflict {
        /// The object that both tickets carry.
        object: ObjectKey,
        /// The ticket whose object is in force.
        winner: TicketVersion,
        /// The ticket whose object is not in force.
        loser: TicketVersion,
    },
    /// A ticket lists a retired service as active; the service stays retired.
    RetiredService {
        /// The service.
        service: ServiceId,
        /// Number of the ticket that lists the service as active.
        offered: TicketNumber,
        /// Number of the ticket that retired the service.
        retired_by: TicketNumber,
    },
    /// Two active services claim the same address, which belongs to the lower service ID.
    AddressClaimedTwice {
        /// Service that the address belongs to.
        owner: ServiceId,
        /// Service whose claim is rejected.
        claimant: ServiceId,
    },
}

impl StoreReport {
    /// Returns the result code.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Stale { .. } => ResultCode::TicketStale,
            Self::Conflict { .. } => ResultCode::TicketConflict,
            Self::RetiredService { .. } => ResultCode::TicketRetiredService,
            Self::AddressClaimedTwice { .. } => ResultCode::TicketDuplicate,
        }
    }
}

impl fmt::Display for StoreReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale {
                object,
                offered,
                in_force,
            } => write!(
                f,
                "{object}: ticket {offered} is ignored because ticket {in_force} is in force"
            ),
            Self::Conflict {
                object,
                winner,
                loser,
            } => write!(f, "{object}: {winner} wins over {loser}"),
            Self::RetiredService {
                service,
                offered,
                retired_by,
            } => write!(
                f,
                "service {service} stays retired by ticket {retired_by} although ticket {offered} lists it as active"
            ),
            Self::AddressClaimedTwice { owner, claimant } => write!(
                f,
                "service {claimant} claims an address that belongs to service {owner}"
            ),
        }
    }
}

/// Result of applying a ticket to a store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Objects whose state in force changed.
    pub changed: Vec<ObjectKey>,
    /// Reports to the operator.
    pub reports: Vec<StoreReport>,
    /// Whether the store already held the ticket.
    pub already_held: bool,
}

impl ApplyOutcome {
    /// Returns whether the ticket changed the state in force.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }
}

/// Keeps the ticket of the highest precedence per object. Stores that received the same tickets are
/// in the same state, whatever the order in which the tickets arrived.
#[derive(Debug, Clone, Default)]
pub struct TicketStore<P = HighestWins> {
    snapshot: Arc<Snapshot>,
    precedence: PhantomData<P>,
}

impl TicketStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl<P: Precedence> TicketStore<P> {
    /// Returns a shared snapshot of the state in force, which later tickets don't change.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Returns the state in force.
    #[must_use]
    pub fn state(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Applies all objects of a ticket atomically.
    pub fn apply(&mut self, ticket: Arc<Ticket>) -> ApplyOutcome {
        let version = TicketVersion::of(&ticket);
        let mut outcome = ApplyOutcome::default();
        if self.snapshot.held.contains_key(&version) {
            outcome.already_held = true;
            return outcome;
        }
        if !self.would_change(&ticket, version) {
            self.report_ignored(&ticket, version, &mut outcome);
            return outcome;
        }
        let mut next = Snapshot::clone(&self.snapshot);
        for object in &ticket.objects {
            apply_object::<P>(&mut next, &ticket, version, object, &mut outcome);
        }
        rebuild_addresses(&mut next, &mut outcome);
        self.snapshot = Arc::new(next);
        outcome
    }

    /// Returns whether the ticket would change anything: whether one of its objects would come into
    /// force, or would be recorded as the retirement of its service.
    fn would_change(&self, ticket: &Ticket, version: TicketVersion) -> bool {
        ticket.objects.iter().any(|object| {
            let in_force = self.snapshot.version_of(&object.key());
            in_force.is_none_or(|in_force| P::replaces(version, in_force))
                || retires_earlier(&self.snapshot, object, version)
        })
    }

    fn report_ignored(&self, ticket: &Ticket, version: TicketVersion, outcome: &mut ApplyOutcome) {
        for object in &ticket.objects {
            if let Some(in_force) = self.snapshot.version_of(&object.key()) {
                outcome
                    .reports
                    .push(rejection_report(object.key(), version, in_force));
            }
        }
    }
}

fn apply_object<P: Precedence>(
    next: &mut Snapshot,
    ticket: &Arc<Ticket>,
    version: TicketVersion,
    object: &TicketObject,
    outcome: &mut ApplyOutcome,
) {
    if let TicketObject::Service(spec) = object {
        record_retirement(next, ticket, version, object, spec.id, outcome);
    }
    let key = object.key();
    if let Some(in_force) = next.version_of(&key) {
        if !P::replaces(version, in_force) {
            outcome
                .reports
                .push(rejection_report(key, version, in_force));
            return;
        }
        if in_force.number == version.number {
            outcome.reports.push(StoreReport::Conflict {
                object: key.clone(),
                winner: version,
                loser: in_force,
            });
        }
        next.state_hash = next.state_hash.wrapping_sub(hash_term(&key, in_force));
        release(next, in_force);
    }
    next.state_hash = next.state_hash.wrapping_add(hash_term(&key, version));
    retain(next, ticket, version);
    set_object(next, version, object, outcome);
    if !outcome.changed.contains(&key) {
        outcome.changed.push(key);
    }
}

fn set_object(
    next: &mut Snapshot,
    version: TicketVersion,
    object: &TicketObject,
    outcome: &mut ApplyOutcome,
) {
    match object {
        TicketObject::Service(spec) => {
            let mut value = Arc::clone(spec);
            if let Some(retired_by) = next.retired.get(&spec.id)
                && spec.state == ServiceState::Active
            {
                outcome.reports.push(StoreReport::RetiredService {
                    service: spec.id,
                    offered: version.number,
                    retired_by: retired_by.number,
                });
                value = as_retired(spec);
            }
            next.services.insert(spec.id, InForce { version, value });
        }
        TicketObject::Fleet(spec) => {
            let value = Arc::clone(spec);
            next.fleets
                .insert(spec.data_centre.clone(), InForce { version, value });
        }
        TicketObject::KeyEpoch(spec) => {
            next.key_epoch = Some(InForce {
                version,
                value: *spec,
            });
        }
    }
}

/// Records the ticket with the lowest version that retired a service. That ticket is kept
/// indefinitely, so that a process that joins later learns of the retirement even if a newer ticket
/// reuses the service ID.
fn record_retirement(
    next: &mut Snapshot,
    ticket: &Arc<Ticket>,
    version: TicketVersion,
    object: &TicketObject,
    id: ServiceId,
    outcome: &mut ApplyOutcome,
) {
    if !retires_earlier(next, object, version) {
        return;
    }
    if let Some(earlier) = next.retired.insert(id, version) {
        next.state_hash = next
            .state_hash
            .wrapping_sub(retirement_hash_term(id, earlier));
        release(next, earlier);
    }
    next.state_hash = next
        .state_hash
        .wrapping_add(retirement_hash_term(id, version));
    retain(next, ticket, version);
    if let Some(service) = next.services.get_mut(&id)
        && service.value.state == ServiceState::Active
    {
        service.value = as_retired(&service.value);
        outcome.reports.push(StoreReport::RetiredService {
            service: id,
            offered: service.version.number,
            retired_by: version.number,
        });
        outcome.changed.push(ObjectKey::Service(id));
    }
}

/// Returns whether an object retires a service for which no retirement is recorded, or only one
/// with a higher version.
fn retires_earlier(state: &Snapshot, object: &TicketObject, version: TicketVersion) -> bool {
    let TicketObject::Service(spec) = object else {
        return false;
    };
    let recorded = state.retired.get(&spec.id);
    spec.state == ServiceState::Retired && recorded.is_none_or(|recorded| version < *recorded)
}

fn as_retired(spec: &ServiceSpec) -> Arc<ServiceSpec> {
    Arc::new(ServiceSpec {
        state: ServiceState::Retired,
        ..spec.clone()
    })
}

/// Adds a reference to a ticket and stores the ticket if it is the first one.
fn retain(next: &mut Snapshot, ticket: &Arc<Ticket>, version: TicketVersion) {
    let held = next.held.entry(version).or_insert_with(|| HeldTicket {
        ticket: Arc::clone(ticket),
        reference_count: 0,
    });
    held.reference_count += 1;
}

/// Removes a reference to a ticket and the ticket itself with the last one.
fn release(next: &mut Snapshot, version: TicketVersion) {
    let Some(held) = next.held.get_mut(&version) else {
        return;
    };
    held.reference_count -= 1;
    if held.reference_count == 0 {
        next.held.remove(&version);
    }
}

/// Returns the report about an offered object that doesn't replace the one in force.
fn rejection_report(
    object: ObjectKey,
    offered: TicketVersion,
    in_force: TicketVersion,
) -> StoreReport {
    if offered.number == in_force.number {
        return StoreReport::Conflict {
            object,
            winner: in_force,
            loser: offered,
        };
    }
    StoreReport::Stale {
        object,
        offered: offered.number,
        in_force: in_force.number,
    }
}

fn rebuild_addresses(next: &mut Snapshot, outcome: &mut ApplyOutcome) {
    let services_changed = outcome
        .changed
        .iter()
        .any(|key| matches!(key, ObjectKey::Service(_)));
    if !services_changed {
        return;
    }
    let mut by_address = std::mem::take(&mut next.by_address);
    by_address.clear();
    for service in next.active_services() {
        for address in &service.value.addresses {
            let claimant = service.value.id;
            let owner = by_address.entry(*address).or_insert(claimant);
            if *owner == claimant {
                continue;
            }
            let (lower, higher) = (claimant.min(*owner), claimant.max(*owner));
            *owner = lower;
            report_address_conflict(lower, higher, outcome);
        }
    }
    next.by_address = by_address;
}

fn report_address_conflict(owner: ServiceId, claimant: ServiceId, outcome: &mut ApplyOutcome) {
    let concerns_change = [owner, claimant]
        .iter()
        .any(|id| outcome.changed.contains(&ObjectKey::Service(*id)));
    let report = StoreReport::AddressClaimedTwice { owner, claimant };
    if concerns_change && !outcome.reports.contains(&report) {
        outcome.reports.push(report);
    }
}
