//! Encoding and decoding of messages between processes.

use fes_protocol::Result;

use crate::Message;
use crate::ViewDigest;
use crate::bounded_encoding::decode_bounded;
use crate::bounded_encoding::encode_bounded;
use crate::message_extension::decode_extension;
use crate::message_extension::encode_extension;
use crate::number_of;

/// Appends a message to `buffer`.
///
/// # Errors
///
/// Returns [`ControlTooLarge`] if the message, or its extension, can't be encoded or exceeds
/// [`MAX_MESSAGE_BYTES`], so that no receiver would decode it.
///
/// [`ControlTooLarge`]: fes_protocol::ResultCode::ControlTooLarge
/// [`MAX_MESSAGE_BYTES`]: crate::MAX_MESSAGE_BYTES
pub fn encode_message(message: &Message, buffer: &mut Vec<u8>) -> Result<()> {
    match message {
        // Processes of earlier versions read the platform's number; the era is in the extension.
        Message::Digest(digest) => {
            let revision = number_of(digest.revision);
            let digest = ViewDigest {
                revision,
                ..digest.clone()
            };
            encode_bounded(&Message::Digest(digest), buffer)?;
        }
        _ => encode_bounded(message, buffer)?,
    }
    encode_extension(message, buffer)
}

/// Decodes a datagram into its message and the packet that follows it, which is empty for most
/// messages.
///
/// # Errors
///
/// Returns [`ControlMalformed`] if the datagram doesn't begin with a valid message of at most
/// [`MAX_MESSAGE_BYTES`].
///
/// [`ControlMalformed`]: fes_protocol::ResultCode::ControlMalformed
/// [`MAX_MESSAGE_BYTES`]: crate::MAX_MESSAGE_BYTES
pub fn decode_message(datagram: &[u8]) -> Result<(Message, &[u8])> {
    let (mut message, read_bytes) = decode_bounded(datagram)?;
    let packet = decode_extension(&mut message, &datagram[read_bytes..])?;
    Ok((message, packet))
}
