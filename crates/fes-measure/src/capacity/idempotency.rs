//! Measures the idempotency store of an agent.

use fes_idempotency::IdempotencyKey;
use fes_idempotency::IdempotencyStore;
use fes_idempotency::KeyOwner;
use fes_idempotency::KeyPrefix;
use fes_idempotency::NotRun;
use fes_idempotency::RequestDigest;
use fes_idempotency::StoreEvent;
use fes_idempotency::StoreLimits;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;

use super::Point;
use super::Slope;
use super::measurement::ns_per_call;
use super::resident_memory::bytes_per_value;

const KEY_COUNTS: [u64; 4] = [2_500, 5_000, 10_000, 20_000];

/// Time between the requests of the measurement, in milliseconds.
const KEY_SPACING_MS: u64 = 10;

pub(super) fn slopes() -> Vec<Slope> {
    let mut memory = Vec::new();
    let mut time = Vec::new();
    for keys in KEY_COUNTS {
        let size = keys as f64;
        memory.push(Point {
            size,
            cost: bytes_per_value(|| store_of_refused_requests(keys)),
        });
        let cost = ns_per_call(1, |_| store_of_refused_requests(keys)) / 1e3;
        time.push(Point { size, cost });
    }
    vec![
        Slope::new("idempotency_memory", "keys", "bytes", memory),
        Slope::new("idempotency_time", "keys", "us", time),
    ]
}

/// Returns a store with `keys` requests that admission refused.
fn store_of_refused_requests(keys: u64) -> IdempotencyStore {
    let limits = StoreLimits {
        max_keys: keys as usize + 1,
        ..StoreLimits::default()
    };
    let mut store = IdempotencyStore::new(limits);
    for number in 0..keys {
        let now = MonoTime::from_ms(number * KEY_SPACING_MS);
        let request = RequestId(number);
        let event = StoreEvent::Request {
            request,
            key: key(number, now),
            digest: RequestDigest([number as u8; 16]),
            deadline: now.plus_ms(1_000),
        };
        store.handle(now, event);
        store.handle(
            now,
            StoreEvent::AdmissionRefused {
                request,
                code: NotRun::DRAINING,
            },
        );
    }
    store
}

fn key(number: u64, issued: MonoTime) -> IdempotencyKey {
    let owner = KeyOwner {
        service: ServiceId(1),
        target: TargetId(1),
        incarnation: Incarnation(1),
    };
    IdempotencyKey {
        prefix: KeyPrefix {
            owner,
            issue_ms: issued.as_ms(),
        },
        client_part: format!("4f0c1a52-5d0e-4d0a-9d3b-{number:012}").into(),
    }
}
