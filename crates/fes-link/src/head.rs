//! Length-prefixed `bincode` heads of link messages.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use h2::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::next_chunk;

/// Maximum length of a head in bytes. A head may carry a ticket, which the platform limits to 1 MB.
pub const MAX_HEAD_BYTES: usize = 4 * 1024 * 1024;

const PREFIX_BYTES: usize = 4;

/// Encodes a head without its length prefix.
///
/// # Errors
///
/// Returns [`ResultCode::ControlTooLarge`] or [`ResultCode::ControlMalformed`].
pub fn encode_head(head: &impl Serialize) -> Result<Bytes> {
    let bytes = bincode::serde::encode_to_vec(head, bincode::config::standard())
        .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))?;
    if bytes.len() > MAX_HEAD_BYTES {
        return Err(Error::coded(
            ResultCode::ControlTooLarge,
            "the head of a link message to send exceeds the limit",
        ));
    }
    Ok(bytes.into())
}

/// Decodes a head; trailing bytes are an error.
///
/// # Errors
///
/// Returns [`ResultCode::ControlMalformed`].
pub fn decode_head<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_HEAD_BYTES>();
    let (head, used_bytes) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))?;
    if used_bytes != bytes.len() {
        return Err(Error::coded(
            ResultCode::ControlMalformed,
            "unexpected bytes follow the head of a link message",
        ));
    }
    Ok(head)
}

pub(crate) fn with_length_prefix(head: &Bytes) -> Bytes {
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + head.len());
    out.put_u32(u32::try_from(head.len()).unwrap_or(u32::MAX));
    out.extend_from_slice(head);
    out.freeze()
}

/// Reads the head of a message. Also returns the body bytes that were received with it.
pub(crate) async fn read_head(stream: &mut RecvStream) -> Result<(Bytes, Bytes)> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(head) = split_head(&mut buffer)? {
            return Ok((head, buffer.freeze()));
        }
        match next_chunk(stream).await {
            Some(Ok(chunk)) => buffer.extend_from_slice(&chunk),
            Some(Err(e)) => return Err(Error::coded(ResultCode::LinkClosed, e.to_string())),
            None => {
                return Err(Error::coded(
                    ResultCode::ControlMalformed,
                    "a link message ended inside its head",
                ));
            }
        }
    }
}

fn split_head(buffer: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length_bytes = u32::from_be_bytes(*prefix) as usize;
    if length_bytes > MAX_HEAD_BYTES {
        return Err(Error::coded(
            ResultCode::ControlTooLarge,
            "the head of a received link message exceeds the limit",
        ));
    }
    if buffer.len() < PREFIX_BYTES + length_bytes {
        return Ok(None);
    }
    buffer.advance(PREFIX_BYTES);
    Ok(Some(buffer.split_to(length_bytes).freeze()))
}
