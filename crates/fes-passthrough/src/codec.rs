//! Encoding and decoding of messages between processes.

use bincode::config::Configuration;
use bincode::config::Limit;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;

use crate::Message;
use crate::message_extension::decode_extension;
use crate::message_extension::encode_extension;

/// Largest message that is decoded, in bytes, without the packet that follows it.
pub const MAX_MESSAGE_BYTES: usize = 2_048;

pub(crate) const CONFIG: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<MAX_MESSAGE_BYTES>,
> = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Appends a message to `buffer`.
///
/// # Errors
///
/// Returns [`ResultCode::ControlTooLarge`] if the message can't be encoded. The limit of
/// [`MAX_MESSAGE_BYTES`] is checked only when the message is decoded.
pub fn encode_message(message: &Message, buffer: &mut Vec<u8>) -> Result<()> {
    let written = bincode::serde::encode_into_std_write(message, buffer, CONFIG);
    written.map_err(|e| Error::coded(ResultCode::ControlTooLarge, e.to_string()))?;
    encode_extension(message, buffer)
}

/// Decodes a datagram into its message and the packet that follows it, which is empty for most
/// messages.
///
/// # Errors
///
/// Returns [`ResultCode::ControlMalformed`] if the datagram doesn't begin with a valid message
/// of at most [`MAX_MESSAGE_BYTES`].
pub fn decode_message(datagram: &[u8]) -> Result<(Message, &[u8])> {
    let (mut message, read_bytes) = bincode::serde::decode_from_slice(datagram, CONFIG)
        .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))?;
    let packet = decode_extension(&mut message, &datagram[read_bytes..])?;
    Ok((message, packet))
}
