//! Handling of opening packets: placement, further attempts and refusal.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::Attempt;
use crate::ClientSequence;
use crate::EntryAction;
use crate::EntryCore;
use crate::FlowDecision;
use crate::FlowKey;
use crate::FlowRecord;
use crate::FlowState;
use crate::FlowUse;
use crate::Forward;
use crate::ForwardMode;
use crate::MAX_ATTEMPTS;
use crate::Mechanism;
use crate::Opening;
use crate::Outcome;
use crate::PlacementContext;
use crate::ReturnReason;
use crate::Route;
use crate::Segment;
use crate::SelectedTarget;
use crate::ServiceTag;
use crate::number_of;
use crate::select_target;

/// Time after which another target is tried if none has accepted the flow.
const ACCEPT_TIMEOUT_MS: u64 = 70;
/// Ages of the transmissions of an opening packet: clients retransmit it after 200 ms and 600 ms.
const TRANSMISSION_AGES_MS: [u64; 3] = [0, 200, 600];
/// Time for which a target is avoided after it returned an opening packet.
const AVOID_AFTER_RETURN_MS: u64 = 150;

/// Returns when the client first sent an opening packet, of which this transmission arrived at
/// `arrived_at`. Earlier transmissions may have been lost, and the client has waited since then.
pub(super) fn first_sent_at(arrived_at: MonoTime, segment: &Segment) -> MonoTime {
    if !Mechanism::OpeningAge.is_enabled() {
        return arrived_at;
    }
    let earlier_transmissions = usize::try_from(segment.acknowledged).unwrap_or(usize::MAX);
    let last = TRANSMISSION_AGES_MS.len() - 1;
    let age_ms = TRANSMISSION_AGES_MS[earlier_transmissions.min(last)];
    MonoTime::from_us(arrived_at.as_us().saturating_sub(age_ms * 1_000))
}

impl EntryCore {
    pub(super) fn on_opening(
        &mut self,
        now: MonoTime,
        first_sent_at: MonoTime,
        segment: &Segment,
        route: &Route,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let flow = segment.flow;
        let earlier = self.flows.get_mut(&flow);
        if earlier.is_none_or(|earlier| earlier.client_sequence.is_superseded_by(segment)) {
            self.place_first(now, first_sent_at, segment, route, packet, out);
            return;
        }
        self.repeat_opening(now, segment, out);
    }

    /// Forwards a retransmitted opening packet to the target that accepted the flow, or to another
    /// target if none has.
    pub(super) fn repeat_opening(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        out: &mut Vec<EntryAction>,
    ) {
        let idle_timeout_ms = self.idle_timeout_ms();
        let Some(record) = self.flows.get_mut(&segment.flow) else {
            return;
        };
        record.touch(now, idle_timeout_ms);
        let requirements = record.requirements;
        let service = record.service;
        let forward = |started_at_ms| Forward {
            mode: ForwardMode::Open,
            service,
            started_at_ms,
            requirements,
        };
        match &mut record.state {
            FlowState::Owned(owner) => out.push(EntryAction::Forward {
                vm: owner.vm,
                forward: forward(owner.started_at_ms),
            }),
            FlowState::Searching(_) => {}
            FlowState::Opening(opening) => {
                let accepted = |a: &&Attempt| a.initial_sequence.is_some();
                if let Some(attempt) = opening.attempts.iter().find(accepted) {
                    out.push(EntryAction::Forward {
                        vm: attempt.vm,
                        forward: forward(attempt.started_at_ms),
                    });
                    return;
                }
                self.try_next_target(now, segment.flow, out);
            }
        }
    }

    pub(super) fn place_first(
        &mut self,
        now: MonoTime,
        first_sent_at: MonoTime,
        segment: &Segment,
        route: &Route,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let flow_use = route.requirements.flow_use;
        let service = self.select_service(route);
        let placement = service.and_then(|service| {
            let selected = self.select_target(now, service, &segment.flow, flow_use, &[])?;
            Some((service, selected))
        });
        let Some((service, selected)) = placement else {
            if self.is_view_current(now) {
                let outcome = self.refusal_without_target(service);
                self.reset(now, outcome, segment, out);
            } else {
                let decision = self.decision(now, Outcome::DroppedUnsure, segment.flow);
                out.push(EntryAction::Record(decision));
            }
            return;
        };
        let opening = Opening {
            first_sent_at,
            attempts: Vec::with_capacity(1),
            packet: packet.into(),
            try_next_at: MonoTime::NEVER,
            // The field counts the earlier transmissions, which other entries may have forwarded.
            is_ambiguous: segment.acknowledged > 0 || self.flows.get_mut(&segment.flow).is_some(),
        };
        let mut record = FlowRecord {
            service,
            client_sequence: ClientSequence::Opening(segment.sequence),
            requirements: route.requirements,
            state: FlowState::Opening(opening),
            expires_at: MonoTime::NEVER,
            is_closing: false,
            acknowledged: 0,
            latest_data: None,
        };
        record.touch(now, 0);
        self.flows.insert(segment.flow, record);
        self.send_attempt(now, segment.flow, selected, Outcome::Placed, out);
    }

    /// Selects the service of a new flow in proportion to the weights of the route's services.
    /// Returns none for a route without services.
    pub(super) fn select_service(&mut self, route: &Route) -> Option<ServiceTag> {
        self.rotation = self.rotation.wrapping_add(1);
        let weights = route.services.iter().map(|service| service.weight);
        let total = weights.fold(0, u32::saturating_add);
        // Multiplicative hashing, so that consecutive flows are spread over the services instead of
        // going to the same one many times in a row.
        let rotation = u32::try_from(self.rotation % 1_000_003).unwrap_or(0);
        let mut position = rotation.wrapping_mul(2_654_435_761) % total.max(1);
        for service in &route.services {
            if position < service.weight {
                return Some(service.service);
            }
            position -= service.weight;
        }
        route.services.first().map(|service| service.service)
    }

    pub(super) fn select_target(
        &mut self,
        now: MonoTime,
        service: ServiceTag,
        flow: &FlowKey,
        flow_use: FlowUse,
        excluded: &[Ipv4Addr],
    ) -> Option<SelectedTarget> {
        self.rotation = self.rotation.wrapping_add(1);
        let context = PlacementContext {
            view: &self.view,
            agents: &self.agents,
            warm_up: &self.warm_up,
            trips: &self.trips,
            data_centre: &self.data_centre,
        };
        select_target(
            now,
            context,
            service,
            flow,
            flow_use,
            excluded,
            self.rotation,
        )
    }

    pub(super) fn try_due_openings(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        while let Some((due_at, flow)) = self.opening_queue.front().copied() {
            if due_at > now {
                return;
            }
            self.opening_queue.pop_front();
            let state = self.flows.get_mut(&flow).map(|record| &record.state);
            if matches!(state, Some(FlowState::Opening(opening)) if opening.try_next_at <= now) {
                self.try_next_target(now, flow, out);
            }
        }
    }

    /// Sends the stored opening packet to another target, if there is one.
    pub(super) fn try_next_target(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let (service, flow_use) = (record.service, record.requirements.flow_use);
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        opening.try_next_at = MonoTime::NEVER;
        let tried: Vec<Ipv4Addr> = opening.attempts.iter().map(|a| a.vm).collect();
        let unanswered: Vec<Ipv4Addr> = opening
            .attempts
            .iter()
            .filter(|a| !a.is_returned && a.initial_sequence.is_none())
            .map(|a| a.vm)
            .collect();
        for vm in unanswered {
            self.agents.record_unanswered(now, vm);
        }
        if tried.len() >= MAX_ATTEMPTS {
            return;
        }
        match self.select_target(now, service, &flow, flow_use, &tried) {
            Some(selected) => self.send_attempt(now, flow, selected, Outcome::PlacedAgain, out),
            None => self.refuse_if_evacuated(now, flow, out),
        }
    }

    pub(super) fn send_attempt(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        selected: SelectedTarget,
        outcome: Outcome,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let requirements = record.requirements;
        let is_stream = requirements.flow_use == FlowUse::Stream;
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        opening.attempts.push(Attempt {
            vm: selected.vm,
            started_at_ms: selected.started_at_ms,
            sent_at: now,
            initial_sequence: None,
            is_returned: false,
        });
        opening.try_next_at = match Mechanism::FurtherAttempts.is_enabled() {
            true => now.plus_ms(ACCEPT_TIMEOUT_MS),
            false => MonoTime::NEVER,
        };
        self.opening_queue.push_back((opening.try_next_at, flow));
        let packet = opening.packet.clone();
        let waited_ms = now.ms_since(opening.first_sent_at);
        self.agents.record_placed(now, selected.vm, is_stream);
        self.warm_up.record_sent(now, &self.view, selected.vm);
        out.push(EntryAction::ForwardStored {
            vm: selected.vm,
            forward: Forward {
                mode: ForwardMode::Open,
                service: selected.service,
                started_at_ms: selected.started_at_ms,
                requirements: requirements.after_ms(waited_ms),
            },
            packet,
        });
        let decision = FlowDecision::new(outcome)
            .flow(flow)
            .vm(selected.vm)
            .age_ms(selected.report_age_ms)
            .version(number_of(self.view.revision()))
            .load(u64::try_from(selected.load).unwrap_or(0));
        out.push(EntryAction::Record(decision));
    }

    pub(super) fn on_opened(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        sequence: u32,
        started_at_ms: u64,
        out: &mut Vec<EntryAction>,
    ) {
        self.agents.record_accepted(vm);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        opening.try_next_at = MonoTime::NEVER;
        let Some(attempt) = opening.attempts.iter_mut().find(|a| a.vm == vm) else {
            return;
        };
        // A copy of the answer, or one after the packet was returned, says nothing about the trip.
        let is_first_answer = attempt.initial_sequence.is_none() && !attempt.is_returned;
        if is_first_answer
            && !opening.is_ambiguous
            && let Some(target) = self.view.target_on(vm)
        {
            let trip_us = now.us_since(attempt.sent_at);
            self.trips.record(now, &target.data_centre, trip_us);
        }
        attempt.initial_sequence = Some(sequence);
        attempt.started_at_ms = started_at_ms;
        let decision = FlowDecision::new(Outcome::Accepted)
            .flow(flow)
            .vm(vm)
            .age_ms(now.ms_since(attempt.sent_at))
            .version(started_at_ms);
        out.push(EntryAction::Record(decision));
    }

    pub(super) fn on_returned(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        reason: ReturnReason,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        out.push(EntryAction::Record(
            self.decision(now, Outcome::HandedBack, flow).vm(vm),
        ));
        match reason {
            ReturnReason::NotHeld => return self.on_not_held_by_owner(now, vm, flow),
            ReturnReason::Stopping => return self.hold_packet(now, vm, flow, packet, out),
            ReturnReason::NotAccepted | ReturnReason::Leaving | ReturnReason::WrongService => {}
        }
        self.agents
            .avoid_until(vm, now.plus_ms(AVOID_AFTER_RETURN_MS));
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        if opening.packet.is_empty() {
            opening.packet = packet.into();
        }
        for attempt in &mut opening.attempts {
            attempt.is_returned |= attempt.vm == vm;
        }
        let is_last = opening.attempts.len() >= MAX_ATTEMPTS;
        let is_refused = is_last && opening.is_returned_by_all();
        if is_refused {
            self.refuse_returned(now, flow, out);
        } else if opening
            .attempts
            .iter()
            .all(|a| a.initial_sequence.is_none())
        {
            self.try_next_target(now, flow, out);
            self.refuse_if_limited(now, flow, out);
        }
    }

    /// Resets a flow whose opening packet was returned by every target that was tried, so that no
    /// request has run.
    pub(super) fn refuse_returned(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        self.flows.remove(&flow);
        out.push(EntryAction::ResetClient { flow, sequence: 0 });
        let decision = self.decision(now, Outcome::RefusedOverload, flow);
        out.push(EntryAction::Record(decision));
    }
}
