//! Response bodies that are derived from the request, so that a client can verify them.

use bytes::Bytes;

const DEFAULT_BODY_BYTES: usize = 256;
const MAX_BODY_BYTES: usize = 16 << 20;

/// Returns the response body of an upstream double for `path_and_query` and `request_body`.
///
/// The body starts with a line that identifies the request. Pseudorandom bytes, seeded by the
/// request, pad it to the size in the query parameter `bytes`. The response to another request and
/// a truncated response therefore both differ from it.
#[must_use]
pub fn expected_body(path_and_query: &str, request_body: &[u8]) -> Bytes {
    let seed = digest(path_and_query.as_bytes(), digest(request_body, 0));
    let mut body = format!("{path_and_query} {seed:016x}\n").into_bytes();
    let size = query_number(path_and_query, "bytes").map_or(DEFAULT_BODY_BYTES, |size| {
        usize::try_from(size).unwrap_or(MAX_BODY_BYTES)
    });
    let mut state = seed;
    while body.len() < size.min(MAX_BODY_BYTES) {
        state = mix(state);
        body.extend_from_slice(&state.to_be_bytes());
    }
    Bytes::from(body)
}

/// Returns the value of query parameter `name`, if it is a number.
pub(crate) fn query_number(path_and_query: &str, name: &str) -> Option<u64> {
    let (_, query) = path_and_query.split_once('?')?;
    let value = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })?;
    value.parse().ok()
}

/// 64-bit FNV-1a hash. It only needs to distinguish requests, so it isn't cryptographic.
fn digest(bytes: &[u8], seed: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET ^ seed, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// One step of the SplitMix64 generator.
fn mix(state: u64) -> u64 {
    let z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
