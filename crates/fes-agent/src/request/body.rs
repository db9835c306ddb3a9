//! Request bodies, which are buffered completely before a request starts.

use bytes::Bytes;
use bytes::BytesMut;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is larger than the configured limit.
    TooLarge,
    /// The sender aborted the request.
    Aborted,
    /// The body was not complete before the deadline.
    TimedOut,
}

/// Reads a body of at most `limit_bytes` bytes. `first` is the part that has arrived already.
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
