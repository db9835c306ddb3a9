//! Request bodies, which are collected before a request may start.

use bytes::Bytes;
use bytes::BytesMut;

/// Why a body can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than the settings allow.
    TooLarge,
    /// Its sender gave it up.
    Aborted,
    /// It was not complete in time.
    TimedOut,
}

/// Collects a body of at most `limit_bytes` from chunks.
pub(crate) async fn collect_body<E>(
    first: Bytes,
    limit_bytes: u64,
    mut next: impl AsyncFnMut() -> Option<Result<Bytes, E>>,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::from(first.as_ref());
    loop {
        if body.len() as u64 > limit_bytes {
            return Err(BodyError::TooLarge);
        }
        match next().await {
            None => return Ok(body.freeze()),
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            Some(Err(_)) => return Err(BodyError::Aborted),
        }
    }
}
