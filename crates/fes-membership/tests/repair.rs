//! Guards against missing verdicts that stay missing for minutes because repairs contain verdicts
//! that the other entry already has. This happens after the loss of a data centre, which causes
//! thousands of verdicts at once.

use std::sync::Arc;

use fes_membership::TargetLiveness;
use fes_membership::TargetLivenessAction;
use fes_membership::TargetLivenessEvent;
use fes_protocol::EntryId;
use fes_protocol::Incarnation;
use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketObject;
use fes_protocol::Verdict;
use fes_tickets::simulation::FleetShape;

const TARGETS: u32 = 3_000;
const OBSERVERS: u32 = 2;
const SERVICES: u32 = 100;
/// Design target for verdicts to be in force everywhere, plus the waits for the periodic digests of
/// both entries.
const REPAIRED_WITHIN_MS: u64 = 7_000;
const STEP_MS: u64 = 100;

#[test]
fn an_entry_gets_the_verdicts_that_it_lacks_within_seconds() {
    let all: Vec<LivenessVerdict> = (1..=TARGETS).flat_map(verdicts_about).collect();
    let known = |verdict: &&LivenessVerdict| !verdict.target.0.is_multiple_of(150);
    let some: Vec<LivenessVerdict> = all.iter().filter(known).copied().collect();
    let mut complete = entry_holding(1, &all);
    let mut lacking = entry_holding(2, &some);

    let mut now = MonoTime::from_us(1_000_000);
    let started = now;
    while lacking.verdicts().hash() != complete.verdicts().hash() {
        now = now.plus_ms(STEP_MS);
        let waited_ms = now.ms_since(started);
        assert!(
            waited_ms <= REPAIRED_WITHIN_MS,
            "{} of {} verdicts are known after {waited_ms} ms",
            lacking.verdicts().negative_count(),
            TARGETS * OBSERVERS
        );
        exchange(now, &mut complete, &mut lacking);
    }

    assert_eq!(lacking.verdicts().negative_count(), TARGETS * OBSERVERS);
}

/// Runs both entries' due actions and delivers their messages to each other.
fn exchange(now: MonoTime, first: &mut TargetLiveness, second: &mut TargetLiveness) {
    let mut to_second = first.handle(now, TargetLivenessEvent::Tick);
    let mut to_first = second.handle(now, TargetLivenessEvent::Tick);
    while !to_first.is_empty() || !to_second.is_empty() {
        let from_second = received(to_first, 2);
        to_first = Vec::new();
        let from_first = received(to_second, 1);
        to_second = Vec::new();
        for event in from_second {
            to_second.extend(first.handle(now, event));
        }
        for event in from_first {
            to_first.extend(second.handle(now, event));
        }
    }
}

fn received(actions: Vec<TargetLivenessAction>, from: u32) -> Vec<TargetLivenessEvent> {
    let event = |action| match action {
        TargetLivenessAction::SendVerdicts {
            to: NodeId::Entry(_),
            verdicts,
        } => Some(TargetLivenessEvent::Verdicts {
            from: NodeId::Entry(EntryId(from)),
            verdicts,
        }),
        TargetLivenessAction::SendDigest { digest, .. } => {
            Some(TargetLivenessEvent::Digest(digest))
        }
        _ => None,
    };
    actions.into_iter().filter_map(event).collect()
}

fn entry_holding(id: u32, verdicts: &[LivenessVerdict]) -> TargetLiveness {
    let now = MonoTime::from_us(1_000);
    let shape = FleetShape::scaled(2, SERVICES, TARGETS + OBSERVERS);
    let mut liveness = TargetLiveness::new(now, EntryId(id), u64::from(id));
    let services = (1..=SERVICES).map(|id| Arc::new(shape.service(ServiceId(id))));
    liveness.handle(now, TargetLivenessEvent::Services(services.collect()));
    let event = TargetLivenessEvent::Verdicts {
        from: observer(0),
        verdicts: verdicts.to_vec(),
    };
    liveness.handle(now, event);
    // Without other entries the next flush drops the queued verdicts, so that only repairs can
    // deliver them.
    liveness.handle(now.plus_ms(500), TargetLivenessEvent::Tick);
    liveness.handle(
        now.plus_ms(600),
        TargetLivenessEvent::Fleets(fleets(&shape.tickets())),
    );
    liveness
}

fn fleets(tickets: &[Arc<Ticket>]) -> Vec<Arc<fes_protocol::FleetSpec>> {
    let objects = tickets.iter().flat_map(|ticket| &ticket.objects);
    let fleet = |object: &TicketObject| match object {
        TicketObject::Fleet(fleet) => Some(Arc::clone(fleet)),
        _ => None,
    };
    objects.filter_map(fleet).collect()
}

const fn observer(index: u32) -> NodeId {
    NodeId::Agent(TargetId(TARGETS + 1 + index))
}

fn verdicts_about(target: u32) -> impl Iterator<Item = LivenessVerdict> {
    (0..OBSERVERS).map(move |index| LivenessVerdict {
        observer: observer(index),
        service: ServiceId((target - 1) % SERVICES + 1),
        target: TargetId(target),
        incarnation: Incarnation(1),
        verdict: Verdict::Dead,
        version: 1,
    })
}
