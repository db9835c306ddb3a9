//! Key prefixes, which name the agent incarnation that may run a request, and their time of issue.
//!
//! Text form: the marker `fk`, the version digit `1`, and 64 base64url characters that encode key
//! epoch, check value of the secret key of that epoch, service, target, incarnation, issue time and
//! MAC. The text is a valid HTTP header value.

use std::hash::Hasher;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

use fes_protocol::Incarnation;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;

/// Length of a prefix in characters.
pub const PREFIX_LEN_CHARS: usize = MARKER.len() + VERSION.len() + 64;

const MARKER: &str = "fk";
const VERSION: &str = "1";
const CHECK_VALUE_LEN_BYTES: usize = 7;
const CLAIMS_LEN_BYTES: usize = 32;
const MAC_LEN_BYTES: usize = 16;
const MAC_DOMAIN: &[u8] = b"fescueshift key prefix";
const CHECK_VALUE_DOMAIN: &[u8] = b"fescueshift key check value";

/// The agent incarnation that owns a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyOwner {
    /// Service of the agent.
    pub service: ServiceId,
    /// Target of the agent.
    pub target: TargetId,
    /// Incarnation of the agent; no other one may run requests with the key.
    pub incarnation: Incarnation,
}

/// Content of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyPrefix {
    /// The agent incarnation that may run the request.
    pub owner: KeyOwner,
    /// Issue time, in milliseconds on the owner's monotonic clock.
    pub issue_ms: u64,
}

/// Reason for rejecting a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PrefixError {
    /// No process issues such a text. The request can't have run anywhere.
    Malformed,
    /// The epoch is accepted, but the MAC doesn't match. The request can't have run anywhere.
    Forged,
    /// The version, the epoch or the key of the epoch is not known here. The request may have run.
    Unverifiable,
}

/// Encodes and verifies prefixes under the accepted key epochs.
#[derive(Debug, Clone)]
pub struct PrefixCodec {
    keys: KeyRing,
}

impl PrefixCodec {
    /// Creates a codec from the accepted secret keys.
    #[must_use]
    pub const fn new(keys: KeyRing) -> Self {
        Self { keys }
    }

    /// Replaces the accepted secret keys after a rotation.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Returns the text form of a prefix under the current epoch.
    #[must_use]
    pub fn encode(&self, prefix: &KeyPrefix) -> String {
        let key = self.keys.current();
        let claims = encode_claims(self.keys.current_epoch(), key, prefix);
        let mut bytes = Vec::with_capacity(CLAIMS_LEN_BYTES + MAC_LEN_BYTES);
        bytes.extend_from_slice(&claims);
        bytes.extend_from_slice(&mac(key, MAC_DOMAIN, &claims));
        let mut text = String::with_capacity(PREFIX_LEN_CHARS);
        text.push_str(MARKER);
        text.push_str(VERSION);
        URL_SAFE_NO_PAD.encode_string(&bytes, &mut text);
        text
    }

    /// Verifies the text form of a prefix.
    pub(crate) fn verify(&self, text: &str) -> Result<KeyPrefix, PrefixError> {
        let versioned = text.strip_prefix(MARKER).ok_or(PrefixError::Malformed)?;
        let Some(encoded) = versioned.strip_prefix(VERSION) else {
            return Err(error_of_other_version(versioned));
        };
        let bytes = URL_SAFE_NO_PAD
            .decode(encoded)
            .map_err(|_| PrefixError::Malformed)?;
        let (claims, received_mac) = bytes
            .split_first_chunk::<CLAIMS_LEN_BYTES>()
            .filter(|(_, mac)| mac.len() == MAC_LEN_BYTES)
            .ok_or(PrefixError::Malformed)?;
        let key = self
            .keys
            .get(KeyEpoch(claims[0]))
            .ok_or(PrefixError::Unverifiable)?;
        // Epoch numbers are reused after some rotations. Without the check value, an idempotency
        // key from an earlier use of the same epoch number would look forged and be answered "not
        // run", although its request may have run.
        if claims[1..=CHECK_VALUE_LEN_BYTES] != check_value(key) {
            return Err(PrefixError::Unverifiable);
        }
        if !constant_time_eq(&mac(key, MAC_DOMAIN, claims), received_mac) {
            return Err(PrefixError::Forged);
        }
        Ok(decode_claims(claims))
    }
}

/// A later version may have issued the key and run its request, so a key with another version digit
/// is unverifiable. No version issues anything else.
fn error_of_other_version(versioned: &str) -> PrefixError {
    if versioned.starts_with(|first: char| first.is_ascii_digit()) {
        PrefixError::Unverifiable
    } else {
        PrefixError::Malformed
    }
}

fn encode_claims(epoch: KeyEpoch, key: &SecretKey, prefix: &KeyPrefix) -> [u8; CLAIMS_LEN_BYTES] {
    let mut out = [0; CLAIMS_LEN_BYTES];
    out[0] = epoch.0;
    out[1..8].copy_from_slice(&check_value(key));
    out[8..12].copy_from_slice(&prefix.owner.service.0.to_be_bytes());
    out[12..16].copy_from_slice(&prefix.owner.target.0.to_be_bytes());
    out[16..24].copy_from_slice(&prefix.owner.incarnation.0.to_be_bytes());
    out[24..32].copy_from_slice(&prefix.issue_ms.to_be_bytes());
    out
}

fn decode_claims(claims: &[u8; CLAIMS_LEN_BYTES]) -> KeyPrefix {
    let [
        _,
        _,
        _,
        _,
        _,
        _,
        _,
        _,
        s0,
        s1,
        s2,
        s3,
        t0,
        t1,
        t2,
        t3,
        rest @ ..,
    ] = *claims;
    let [i0, i1, i2, i3, i4, i5, i6, i7, issue_ms @ ..] = rest;
    KeyPrefix {
        owner: KeyOwner {
            service: ServiceId(u32::from_be_bytes([s0, s1, s2, s3])),
            target: TargetId(u32::from_be_bytes([t0, t1, t2, t3])),
            incarnation: Incarnation(u64::from_be_bytes([i0, i1, i2, i3, i4, i5, i6, i7])),
        },
        issue_ms: u64::from_be_bytes(issue_ms),
    }
}

fn check_value(key: &SecretKey) -> [u8; CHECK_VALUE_LEN_BYTES] {
    let [a, b, c, d, e, f, g, ..] = mac(key, CHECK_VALUE_DOMAIN, &[]);
    [a, b, c, d, e, f, g]
}

fn mac(key: &SecretKey, domain: &[u8], bytes: &[u8]) -> [u8; MAC_LEN_BYTES] {
    let mut hasher = SipHasher24::new_with_key(key.expose());
    hasher.write(domain);
    hasher.write(bytes);
    hasher.finish128().as_bytes()
}

fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
