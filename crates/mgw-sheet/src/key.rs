//! Hashing of the teams' bearer keys.

use smol_str::{SmolStr, format_smolstr};

/// Returns the hash of a team's bearer key in the form that column `key` stores: unseeded 128-bit
/// XXH3 as 32 lowercase hexadecimal digits.
///
/// XXH3 is not a cryptographic hash. It only keeps plain keys out of the sheet, so a key needs
/// enough random characters (32 or more) to withstand guessing.
pub fn hash(key: &str) -> SmolStr {
    format_smolstr!("{:032x}", xxhash_rust::xxh3::xxh3_128(key.as_bytes()))
}
