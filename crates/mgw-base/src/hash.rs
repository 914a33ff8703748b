//! Hashes that are the same in every process and build, so they may be stored and compared
//! between processes.

use xxhash_rust::xxh3::Xxh3;

/// Returns the 128-bit XXH3 hash of `parts`.
///
/// Each part is preceded by its length, so moving bytes from one part to the next changes the hash.
pub fn parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
