//! Names of any length as names that fit into messages between processes.

use std::borrow::Cow;

use crate::name_hash::name_hash;

/// Longest name in a message, in bytes. Several records fit into one message then.
pub const MAX_NAME_BYTES: usize = 64;
/// Hexadecimal digits of the hash that ends an abbreviated name.
const HASH_DIGITS: usize = 16;

/// Returns the name, or its beginning and a hash of it if it has more than [`MAX_NAME_BYTES`]. The
/// result is the same in every process, so that it can stand for the name.
#[must_use]
pub fn bounded_name(name: &str) -> Cow<'_, str> {
    if name.len() <= MAX_NAME_BYTES {
        return Cow::Borrowed(name);
    }
    let end = name.floor_char_boundary(MAX_NAME_BYTES - HASH_DIGITS - 1);
    let hash = name_hash(name);
    Cow::Owned(format!("{}~{hash:0HASH_DIGITS$x}", &name[..end]))
}
