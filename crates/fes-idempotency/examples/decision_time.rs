//! Measures the time of each decision on a keyed request, with a store of 60,000 keys.
//!
//! Usage: `cargo run --release -p fes-idempotency --example decision_time`

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use fes_idempotency::FinishedResponse;
use fes_idempotency::IdempotencyKey;
use fes_idempotency::IdempotencyStore;
use fes_idempotency::KeyClass;
use fes_idempotency::KeyOwner;
use fes_idempotency::KeyPrefix;
use fes_idempotency::PrefixCodec;
use fes_idempotency::RequestDigest;
use fes_idempotency::StoreEvent;
use fes_idempotency::StoreLimits;
use fes_idempotency::StoredResponse;
use fes_protocol::Incarnation;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;

const KEY_COUNT: u64 = 60_000;
const CALL_COUNT: u64 = 100_000;

fn main() {
    let owner = KeyOwner {
        service: ServiceId(1),
        target: TargetId(1),
        incarnation: Incarnation(1),
    };
    let codec = PrefixCodec::new(KeyRing::new(KeyEpoch(1), SecretKey::new([7; 16])));
    let prefix = |number: u64| KeyPrefix {
        owner,
        issue_ms: number,
    };
    let value = codec.encode(&prefix(5)) + ".4f0c1a52-5d0e-4d0a-9d3b-000000000001";
    print_time("issue a prefix", CALL_COUNT, |number| {
        black_box(codec.encode(&prefix(number)));
    });
    print_time("classify a key", CALL_COUNT, |_| {
        black_box(KeyClass::classify(
            black_box(value.as_bytes()),
            &codec,
            owner,
        ));
    });
    let mut store = IdempotencyStore::new(StoreLimits::default());
    print_time("execute a new key", KEY_COUNT, |number| {
        execute(&mut store, prefix(number), number);
    });
    print_time("answer a finished key", CALL_COUNT, |number| {
        let event = request(
            prefix(number % KEY_COUNT),
            number % KEY_COUNT,
            KEY_COUNT + number,
        );
        black_box(store.handle(MonoTime::ZERO, event));
    });
}

fn request(prefix: KeyPrefix, key: u64, request: u64) -> StoreEvent {
    StoreEvent::Request {
        request: RequestId(request),
        key: IdempotencyKey {
            prefix,
            client_part: format!("4f0c1a52-5d0e-4d0a-9d3b-{key:012}").into(),
        },
        digest: RequestDigest([1; 16]),
        deadline: MonoTime::from_ms(1_000),
    }
}

/// Runs one execution from its request to its end.
fn execute(store: &mut IdempotencyStore, prefix: KeyPrefix, number: u64) {
    let id = RequestId(number);
    store.handle(MonoTime::ZERO, request(prefix, number, number));
    store.handle(MonoTime::ZERO, StoreEvent::SlotGranted { request: id });
    let response = FinishedResponse::Buffered(Arc::new(StoredResponse {
        status: 200,
        fields: Vec::new(),
        body: vec![b'x'; 256].into(),
    }));
    let finished = StoreEvent::UpstreamFinished {
        request: id,
        response,
    };
    store.handle(MonoTime::ZERO, finished);
}

fn print_time(what: &str, calls: u64, mut call: impl FnMut(u64)) {
    let start = Instant::now();
    for number in 0..calls {
        call(number);
    }
    let each_ns = start.elapsed().as_nanos() / u128::from(calls);
    println!("{what:<24} {each_ns:>6} ns");
}
