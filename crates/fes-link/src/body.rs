//! Sending and receiving of h2 body data under flow control.

use std::future::poll_fn;

use bytes::Bytes;
use h2::RecvStream;
use h2::SendStream;

/// Sends a chunk as fast as the peer's flow control allows. `end` also ends the stream.
///
/// # Errors
///
/// Returns the h2 error if the stream was reset or the connection was lost.
pub async fn send_chunk(
    stream: &mut SendStream<Bytes>,
    mut chunk: Bytes,
    end: bool,
) -> Result<(), h2::Error> {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());
        let granted_bytes = match poll_fn(|cx| stream.poll_capacity(cx)).await {
            Some(granted) => granted?,
            None => return Err(h2::Reason::STREAM_CLOSED.into()),
        };
        let part = chunk.split_to(granted_bytes.min(chunk.len()));
        let is_last = end && chunk.is_empty();
        stream.send_data(part, is_last)?;
        if is_last {
            return Ok(());
        }
    }
    if end {
        stream.send_data(Bytes::new(), true)?;
    }
    Ok(())
}

/// Receives the next chunk and releases its flow-control capacity. Returns `None` at the end of
/// the stream.
///
/// # Errors
///
/// Returns the h2 error if the stream was reset or the connection was lost. A truncated body thus
/// always ends in an error.
pub async fn next_chunk(stream: &mut RecvStream) -> Option<Result<Bytes, h2::Error>> {
    let chunk = stream.data().await?;
    if let Ok(bytes) = &chunk {
        // Fails only if the connection is lost, which the next read reports.
        let _ = stream.flow_control().release_capacity(bytes.len());
    }
    Some(chunk)
}
