//! Encoding of values of a bounded size in messages.

use bincode::config::Configuration;
use bincode::config::Limit;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest message that is decoded, in bytes, without its extension and without the packet that
/// follows it. The limit also holds for the extension.
pub const MAX_MESSAGE_BYTES: usize = 2_048;

const CONFIG: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<MAX_MESSAGE_BYTES>,
> = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Appends a value to `buffer`. Returns [`ResultCode::ControlTooLarge`] if it can't be encoded, or
/// exceeds [`MAX_MESSAGE_BYTES`], so that no receiver would decode it.
pub(crate) fn encode_bounded(value: &impl Serialize, buffer: &mut Vec<u8>) -> Result<()> {
    let written = bincode::serde::encode_into_std_write(value, buffer, CONFIG);
    let too_large = |detail| Error::coded(ResultCode::ControlTooLarge, detail);
    match written {
        Ok(bytes) if bytes > MAX_MESSAGE_BYTES => Err(too_large(format!(
            "a message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
        ))),
        Ok(_) => Ok(()),
        Err(error) => Err(too_large(error.to_string())),
    }
}

/// Decodes a value at the beginning of `bytes`, and returns it with its length. Returns
/// [`ResultCode::ControlMalformed`] if there is none of at most [`MAX_MESSAGE_BYTES`].
pub(crate) fn decode_bounded<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize)> {
    bincode::serde::decode_from_slice(bytes, CONFIG)
        .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))
}
