//! Prints the size of an idempotency store over an hour of virtual time at a steady rate of keys.
//!
//! Usage: `cargo run --release -p fes-idempotency --example store_size -- MODE [KEYS_PER_S
//! [CLIENT_PART_BYTES]]` with MODE one of `purge` (as in operation), `keep` (keys are never purged)
//! and `small` (a store of 16,384 keys, which evicts keys before they expire). Run each mode in a
//! process of its own, because freed memory stays resident.

use std::sync::Arc;

use fes_idempotency::FinishedResponse;
use fes_idempotency::IdempotencyKey;
use fes_idempotency::IdempotencyStore;
use fes_idempotency::KeyOwner;
use fes_idempotency::KeyPrefix;
use fes_idempotency::PURGE_PERIOD_MS;
use fes_idempotency::RequestDigest;
use fes_idempotency::StoreEvent;
use fes_idempotency::StoreLimits;
use fes_idempotency::StoredResponse;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;

const DEFAULT_KEYS_PER_S: u64 = 100;
/// Length of a UUID.
const DEFAULT_CLIENT_PART_BYTES: usize = 36;
const RESPONSE_BODY_BYTES: usize = 256;
const REPORT_AT_MIN: [u64; 6] = [1, 5, 10, 20, 40, 60];

fn main() {
    let mut args = std::env::args().skip(1);
    let mode = args.next().unwrap_or_else(|| "purge".into());
    let keys_per_s = args.next().and_then(|text| text.parse().ok());
    let keys_per_s: u64 = keys_per_s.unwrap_or(DEFAULT_KEYS_PER_S);
    let client_part_bytes = args.next().and_then(|text| text.parse().ok());
    let client_part_bytes = client_part_bytes.unwrap_or(DEFAULT_CLIENT_PART_BYTES);
    let limits = match mode.as_str() {
        "purge" => StoreLimits::default(),
        "keep" => StoreLimits {
            max_keys: usize::MAX,
            ..StoreLimits::default()
        },
        "small" => StoreLimits {
            max_keys: 16_384,
            ..StoreLimits::default()
        },
        other => {
            eprintln!("store_size: unknown mode '{other}'; use purge, keep or small");
            std::process::exit(2);
        }
    };
    println!("mode {mode}, {keys_per_s} keys/s, client parts of {client_part_bytes} bytes,");
    println!("responses of {RESPONSE_BODY_BYTES} bytes");
    println!("minute      keys  responses  response_kB  resident_kB  bytes/key  window_s");
    let load = Load {
        keys_per_s,
        client_part_bytes,
    };
    simulate(IdempotencyStore::new(limits), mode != "keep", &load);
}

/// Load from clients.
struct Load {
    keys_per_s: u64,
    client_part_bytes: usize,
}

/// Runs keys through the store and prints its size at the report times.
fn simulate(mut store: IdempotencyStore, purge: bool, load: &Load) {
    let empty_kb = resident_kb();
    let mut number = 0;
    for second in 0..REPORT_AT_MIN[REPORT_AT_MIN.len() - 1] * 60 {
        let now = MonoTime::from_ms(second * PURGE_PERIOD_MS);
        for _ in 0..load.keys_per_s {
            number += 1;
            execute(
                &mut store,
                now,
                key(now, number, load.client_part_bytes),
                number,
            );
        }
        if purge {
            store.handle(now, StoreEvent::Timer);
        }
        if (second + 1) % 60 == 0 && REPORT_AT_MIN.contains(&((second + 1) / 60)) {
            report(&store, now, empty_kb);
        }
    }
}

fn execute(store: &mut IdempotencyStore, now: MonoTime, key: IdempotencyKey, number: u64) {
    let request = RequestId(number);
    let event = StoreEvent::Request {
        request,
        key,
        digest: RequestDigest([1; 16]),
        deadline: now.plus_ms(1_000),
    };
    store.handle(now, event);
    store.handle(now, StoreEvent::SlotGranted { request });
    let response = FinishedResponse::Buffered(Arc::new(StoredResponse {
        status: 200,
        fields: Vec::new(),
        body: vec![b'x'; RESPONSE_BODY_BYTES].into(),
    }));
    store.handle(now, StoreEvent::UpstreamFinished { request, response });
}

/// Returns a key as a client builds it, from a new prefix and a client part of the given length.
fn key(now: MonoTime, number: u64, client_part_bytes: usize) -> IdempotencyKey {
    let owner = KeyOwner {
        service: ServiceId(1),
        target: TargetId(1),
        incarnation: Incarnation(1),
    };
    IdempotencyKey {
        prefix: KeyPrefix {
            owner,
            issue_ms: now.as_ms(),
        },
        client_part: format!("{number:0client_part_bytes$}").into(),
    }
}

fn report(store: &IdempotencyStore, now: MonoTime, empty_kb: u64) {
    let statistics = store.statistics();
    let resident_kb = resident_kb().saturating_sub(empty_kb);
    let keys_kb = resident_kb.saturating_sub(statistics.responses_bytes as u64 / 1_024);
    println!(
        "{:>6} {:>9} {:>10} {:>12} {:>12} {:>10} {:>9}",
        (now.as_ms() / 1_000 + 1) / 60,
        statistics.key_count,
        statistics.response_count,
        statistics.responses_bytes / 1_024,
        resident_kb,
        keys_kb * 1_024 / statistics.key_count.max(1) as u64,
        now.as_ms().saturating_sub(statistics.low_water_ms) / 1_000,
    );
}

/// Returns the resident memory of this process, from `/proc/self/status`.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
