//! Idempotency keys and their classification.

use fes_protocol::ResultCode;

use crate::KeyOwner;
use crate::KeyPrefix;
use crate::PrefixCodec;
use crate::prefix::PrefixError;

/// Maximum length of the client part of a key, in bytes. Bounds the memory of a record.
pub const MAX_CLIENT_PART_BYTES: usize = 64;

/// A verified key: a prefix that an agent issued and a part that the client chose.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// Verified prefix.
    pub prefix: KeyPrefix,
    /// Part chosen by the client, unique among its requests.
    pub client_part: Box<str>,
}

/// Classification of an `Idempotency-Key` header value by an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyClass {
    /// No process issues such a prefix, or the client part is missing or invalid. The request never
    /// ran.
    Malformed,
    /// The epoch is accepted, but the MAC doesn't match. The request never ran.
    Forged,
    /// The prefix was issued for another service, and the request can run only there.
    OtherService,
    /// The prefix can't be verified under the accepted epochs. The outcome is unknown.
    Unverifiable,
    /// This incarnation owns the key.
    Owned(IdempotencyKey),
    /// Another incarnation of this agent's target owned the key. The outcome is unknown.
    OtherIncarnation(IdempotencyKey),
    /// The agent of another target owns the key, and only that agent can answer.
    OtherTarget(IdempotencyKey),
}

impl KeyClass {
    /// Classifies the value of an `Idempotency-Key` header for the agent `local_owner`.
    #[must_use]
    pub fn classify(value: &[u8], codec: &PrefixCodec, local_owner: KeyOwner) -> Self {
        let Some((prefix_text, client_part)) = split_key(value) else {
            return Self::Malformed;
        };
        let prefix = match codec.verify(prefix_text) {
            Ok(prefix) => prefix,
            Err(PrefixError::Malformed) => return Self::Malformed,
            Err(PrefixError::Forged) => return Self::Forged,
            Err(PrefixError::Unverifiable) => return Self::Unverifiable,
        };
        let key = IdempotencyKey {
            prefix,
            client_part: client_part.into(),
        };
        Self::classify_verified(key, local_owner)
    }

    fn classify_verified(key: IdempotencyKey, local_owner: KeyOwner) -> Self {
        let owner = key.prefix.owner;
        if owner.service != local_owner.service {
            Self::OtherService
        } else if owner.target != local_owner.target {
            Self::OtherTarget(key)
        } else if owner.incarnation != local_owner.incarnation {
            Self::OtherIncarnation(key)
        } else {
            Self::Owned(key)
        }
    }

    /// Returns the code to answer with, if the request can be answered without asking the owner.
    #[must_use]
    pub const fn immediate_code(&self) -> Option<ResultCode> {
        match self {
            Self::Malformed | Self::Forged | Self::OtherService => {
                Some(ResultCode::NotRunNoKeyPrefix)
            }
            Self::Unverifiable => Some(ResultCode::UnknownKeyEpoch),
            Self::OtherIncarnation(_) => Some(ResultCode::UnknownOwnerLost),
            Self::Owned(_) | Self::OtherTarget(_) => None,
        }
    }
}

/// Splits `PREFIX.CLIENTPART`. The value may be quoted as a structured field string.
fn split_key(value: &[u8]) -> Option<(&str, &str)> {
    let text = std::str::from_utf8(value).ok()?;
    let unquoted = text
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(text);
    let (prefix, client_part) = unquoted.split_once('.')?;
    is_client_part(client_part).then_some((prefix, client_part))
}

fn is_client_part(part: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\' | b',' | b';');
    (1..=MAX_CLIENT_PART_BYTES).contains(&part.len()) && part.bytes().all(allowed)
}
