//! Guards against a store that violates its rules when events are reordered, late, duplicate or
//! missing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use fes_idempotency::Answer;
use fes_idempotency::FinishedResponse;
use fes_idempotency::IdempotencyKey;
use fes_idempotency::IdempotencyStore;
use fes_idempotency::KeyOwner;
use fes_idempotency::KeyPrefix;
use fes_idempotency::NotRun;
use fes_idempotency::RequestDigest;
use fes_idempotency::StoreAction;
use fes_idempotency::StoreEvent;
use fes_idempotency::StoreLimits;
use fes_idempotency::StoredResponse;
use fes_idempotency::UpstreamRefusal;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::TestCaseResult;

const LIMITS: StoreLimits = StoreLimits {
    max_keys: 8,
    max_responses_bytes: 300,
    max_response_bytes: 280,
};

/// Identity of a request: key number and body.
type Identity = (u64, u8);

/// Model of the store, derived from its events and actions only.
#[derive(Default)]
struct Observer {
    identities: BTreeMap<RequestId, Identity>,
    deadlines: BTreeMap<RequestId, MonoTime>,
    answered: BTreeSet<RequestId>,
    enqueued: Vec<RequestId>,
    started: BTreeSet<Identity>,
    refused: BTreeSet<Identity>,
    low_water_ms: u64,
}

impl Observer {
    fn observe(&mut self, now: MonoTime, action: &StoreAction) -> TestCaseResult {
        match action {
            StoreAction::Enqueue { request, .. } => self.enqueued.push(*request),
            StoreAction::Start { request, .. } => {
                let identity = self.identities[request];
                prop_assert!(now <= self.deadlines[request], "start past the deadline");
                prop_assert!(self.started.insert(identity), "started twice");
                prop_assert!(!self.refused.contains(&identity), "started after a refusal");
            }
            StoreAction::Answer { request, answer } => {
                prop_assert!(self.answered.insert(*request), "answered twice");
                if let Answer::Code { code, .. } = answer
                    && code.is_not_run()
                {
                    let identity = self.identities[request];
                    prop_assert!(!self.started.contains(&identity), "not run, but started");
                    self.refused.insert(identity);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn inspect(&mut self, store: &IdempotencyStore) -> TestCaseResult {
        let statistics = store.statistics();
        prop_assert!(
            statistics.low_water_ms >= self.low_water_ms,
            "the low-water mark decreased"
        );
        prop_assert!(statistics.key_count <= LIMITS.max_keys);
        prop_assert!(statistics.responses_bytes <= LIMITS.max_responses_bytes);
        self.low_water_ms = statistics.low_water_ms;
        Ok(())
    }
}

fn response(len_bytes: usize) -> FinishedResponse {
    FinishedResponse::Buffered(Arc::new(StoredResponse {
        status: 200,
        fields: Vec::new(),
        body: vec![b'x'; len_bytes].into(),
    }))
}

fn request_event(request: RequestId, (key, body): Identity, deadline: MonoTime) -> StoreEvent {
    let owner = KeyOwner {
        service: ServiceId(7),
        target: TargetId(1),
        incarnation: Incarnation(9),
    };
    StoreEvent::Request {
        request,
        key: IdempotencyKey {
            prefix: KeyPrefix {
                owner,
                issue_ms: key,
            },
            client_part: key.to_string().into(),
        },
        digest: RequestDigest([body; 16]),
        deadline,
    }
}

/// A step: time to wait in milliseconds, kind of event, its subject and a detail.
fn any_step() -> impl Strategy<Value = (u64, u8, u64, u8)> {
    let pause_ms = proptest::prop_oneof![30 => 0_u64..10, 9 => 0_u64..100, 1 => 0_u64..700_000];
    (pause_ms, 0_u8..16, 0_u64..9, 0_u8..4)
}

proptest! {
    #[test]
    fn any_order_of_events_upholds_the_rules(steps in proptest::collection::vec(any_step(), 1..120)) {
        let mut store = IdempotencyStore::new(LIMITS);
        let mut observer = Observer::default();
        let (mut now, mut last) = (MonoTime::ZERO, 0_u64);

        for (pause_ms, kind, subject, detail) in steps {
            now = now.plus_ms(pause_ms);
            // Mostly a recent execution, sometimes any request, which may be unknown.
            let recent = observer.enqueued.iter().rev().nth(subject as usize / 4);
            let any = RequestId(last.saturating_sub(subject));
            let request = recent.copied().filter(|_| subject < 8).unwrap_or(any);
            let event = match kind {
                0..6 => {
                    last += 1;
                    // Keys are issued in the current or the previous window of issue times.
                    let window_ms = (now.as_ms() / 64).saturating_sub(u64::from(detail == 3)) * 64;
                    let identity = (window_ms + subject, u8::from(detail == 0));
                    let request = RequestId(last);
                    let deadline = now.plus_ms(u64::from(detail) * 200);
                    observer.identities.insert(request, identity);
                    observer.deadlines.insert(request, deadline);
                    request_event(request, identity, deadline)
                }
                6..9 => StoreEvent::SlotGranted { request },
                9 => StoreEvent::AdmissionRefused { request, code: NotRun::DRAINING },
                10 => StoreEvent::UpstreamFinished { request, response: response(100 * usize::from(detail)) },
                11 => StoreEvent::UpstreamFinished { request, response: FinishedResponse::Streamed },
                12 => StoreEvent::UpstreamLost { request },
                13 => StoreEvent::ClientCancelled { request },
                14 => {
                    let proof = UpstreamRefusal::RefusedStream;
                    StoreEvent::UpstreamRefused { request, proof, retry: detail == 0 }
                }
                _ if detail == 0 => StoreEvent::DrainBoundReached,
                _ => StoreEvent::Timer,
            };
            let was_requeued = matches!(event, StoreEvent::UpstreamRefused { .. });
            let dropped_before = store.statistics().dropped_event_count;
            let actions = store.handle(now, event);
            if was_requeued && store.statistics().dropped_event_count == dropped_before {
                // The upstream proved that it did not run the request, so this start doesn't count.
                observer.started.remove(&observer.identities[&request]);
            }
            for action in &actions {
                observer.observe(now, action)?;
            }
            observer.inspect(&store)?;
        }
    }
}
