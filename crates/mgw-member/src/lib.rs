//! Entry membership, gossip, the directory and observer assignment.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod directory;
pub mod gossip;
pub mod list;
pub mod observe;
pub mod store;
pub mod view;

/// Mixes two words into a hash; the same on every entry and in every build.
fn hash_pair(left: u64, right: u64) -> u64 {
    let mut word = left.rotate_left(32) ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Milliseconds of `span`, rounded up so that an age never shrinks on its way.
fn ceil_ms(span: std::time::Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
