//! Property test with generated histories of late, duplicate and unknown events. Guards against
//! slots that are used twice, refused requests that run, and requests without an outcome.

use std::collections::BTreeMap;

use fes_admission::AdmissionAction;
use fes_admission::AdmissionController;
use fes_admission::AdmissionEvent;
use fes_admission::AdmissionSettings;
use fes_admission::ClassName;
use fes_admission::RequestOrigin;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use proptest::prelude::*;

const SLOTS: u32 = 3;
const QUEUE_CAPACITY: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Started,
    Ended,
}

#[derive(Debug, Clone)]
struct Step {
    delay_ms: u64,
    kind: u8,
    id: u64,
    timeout_ms: u64,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..40_u64, 0..20_u8, 0..40_u64, 1..2_000_u64).prop_map(
        |(delay_ms, kind, id, timeout_ms)| Step {
            delay_ms,
            kind,
            id,
            timeout_ms,
        },
    );
    prop::collection::vec(step, 1..300)
}

fn admission() -> AdmissionController {
    let mut settings = AdmissionSettings::for_slots(SLOTS)
        .with_prior(ClassName::from("short"), 20_000)
        .with_prior(ClassName::from("long"), 400_000);
    settings.queue_capacity = QUEUE_CAPACITY;
    AdmissionController::new(MonoTime::ZERO, settings)
}

fn event(now: MonoTime, step: &Step) -> AdmissionEvent {
    let id = RequestId(step.id);
    match step.kind {
        0..=8 => AdmissionEvent::Arrive {
            id,
            class: ClassName::from(if step.id.is_multiple_of(7) {
                "long"
            } else {
                "short"
            }),
            deadline: now.plus_ms(step.timeout_ms),
            repeatable: step.id.is_multiple_of(2),
            origin: RequestOrigin::Client,
        },
        9..=12 => AdmissionEvent::Finished { id },
        13 => AdmissionEvent::Failed { id },
        14 => AdmissionEvent::Cancelled { id },
        15 => AdmissionEvent::UpstreamShed { id },
        16 => AdmissionEvent::UpstreamDown,
        17 => AdmissionEvent::UpstreamUp,
        _ => AdmissionEvent::Timer,
    }
}

/// Reference model: the state of each request as derived from events and actions alone.
#[derive(Default)]
struct RequestModel {
    states: BTreeMap<RequestId, RequestState>,
    deadlines: BTreeMap<RequestId, MonoTime>,
}

impl RequestModel {
    fn apply_event(&mut self, event: &AdmissionEvent) {
        match event {
            AdmissionEvent::Arrive { id, deadline, .. } => {
                let state = self.states.entry(*id).or_insert(RequestState::Ended);
                if *state == RequestState::Ended {
                    *state = RequestState::Waiting;
                    self.deadlines.insert(*id, *deadline);
                }
            }
            AdmissionEvent::Cancelled { id } => {
                self.states.insert(*id, RequestState::Ended);
            }
            AdmissionEvent::Finished { id } | AdmissionEvent::Failed { id } => {
                self.transition_from_started(*id, RequestState::Ended);
            }
            AdmissionEvent::UpstreamShed { id } => {
                self.transition_from_started(*id, RequestState::Waiting)
            }
            _ => {}
        }
    }

    fn transition_from_started(&mut self, id: RequestId, next: RequestState) {
        if let Some(state) = self.states.get_mut(&id)
            && *state == RequestState::Started
        {
            *state = next;
        }
    }

    fn check_actions(&mut self, now: MonoTime, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start { id } => {
                    assert_eq!(
                        self.states.insert(*id, RequestState::Started),
                        Some(RequestState::Waiting)
                    );
                    assert!(now < self.deadlines[id], "{id} starts past its deadline");
                }
                AdmissionAction::Refuse { id, code } => {
                    assert_eq!(
                        self.states.insert(*id, RequestState::Ended),
                        Some(RequestState::Waiting)
                    );
                    assert!(code.is_not_run());
                }
                AdmissionAction::Timer { at } => assert!(*at >= now),
            }
        }
    }

    fn count(&self, state: RequestState) -> usize {
        self.states.values().filter(|s| **s == state).count()
    }
}

proptest! {
    #[test]
    fn every_request_has_one_outcome_and_slots_are_never_exceeded(steps in steps()) {
        let mut admission = admission();
        let mut model = RequestModel::default();
        let mut now = MonoTime::ZERO;

        for step in &steps {
            now = now.plus_ms(step.delay_ms);
            let event = event(now, step);
            model.apply_event(&event);
            let actions = admission.handle(now, event);
            model.check_actions(now, &actions);

            prop_assert!(admission.running_count() <= SLOTS);
            prop_assert!(admission.queued_count() <= QUEUE_CAPACITY);
            prop_assert_eq!(model.count(RequestState::Started), admission.running_count() as usize);
            prop_assert_eq!(model.count(RequestState::Waiting), admission.queued_count());
        }
    }
}
