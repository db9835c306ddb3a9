//! Idempotency keys and what an agent may conclude from one.

use fes_protocol::ResultCode;

use crate::KeyOwner;
use crate::KeyPrefix;
use crate::PrefixCodec;
use crate::prefix::PrefixError;

/// Longest client part of a key, in bytes. It bounds the memory of a record.
pub const MAX_CLIENT_PART_BYTES: usize = 64;

/// A verified key: a prefix that the system issued and a part that the client chose.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// Verified prefix.
    pub prefix: KeyPrefix,
    /// The client's own part, unique among its requests.
    pub client_part: Box<str>,
}

/// What the value of an `Idempotency-Key` header means to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyClass {
    /// No process issues such a prefix; the request never ran.
    Malformed,
    /// The MAC doesn't match under an accepted epoch; the request never ran.
    Forged,
    /// The prefix is for another service, at which alone it could run.
    OtherService,
    /// The prefix can't be verified under the accepted epochs; the outcome is unknown.
    Unverifiable,
    /// This incarnation owns the key.
    Owned(IdempotencyKey),
    /// Another incarnation of this agent's target owned the key; the outcome is unknown.
    OtherIncarnation(IdempotencyKey),
    /// The agent of another target owns the key and alone can answer.
    OtherTarget(IdempotencyKey),
}

impl KeyClass {
    /// Classifies the value of an `Idempotency-Key` header for the agent `me`.
    #[must_use]
    pub fn classify(value: &[u8], codec: &PrefixCodec, me: KeyOwner) -> Self {
        let Some((prefix_text, client_part)) = split(value) else {
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
        Self::of_verified(key, me)
    }

    fn of_verified(key: IdempotencyKey, me: KeyOwner) -> Self {
        let owner = key.prefix.owner;
        if owner.service != me.service {
            Self::OtherService
        } else if owner.target != me.target {
            Self::OtherTarget(key)
        } else if owner.incarnation != me.incarnation {
            Self::OtherIncarnation(key)
        } else {
            Self::Owned(key)
        }
    }

    /// Returns the code that answers the request at once, if no owner has to be asked.
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

/// Splits `PREFIX.CLIENTPART`, with or without the quotes of a structured field string.
fn split(value: &[u8]) -> Option<(&str, &str)> {
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
