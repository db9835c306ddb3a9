//! Hash of names that is the same on every VM and in every version.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hash of a name.
pub(crate) fn name_hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    name.bytes().fold(FNV_OFFSET, step)
}
