//! Membership of the entries, gossip among them, the directory for callers, and the assignment of
//! observers.
//!
//! Nothing here reads a clock or opens a socket: callers pass the time and send the frames.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod directory;
pub mod gossip;
pub mod list;
pub mod observe;
pub mod store;
pub mod view;

/// Hashes two words into one.
///
/// All entries must compute the same value, whatever their build: planner ranks, observers, gossip
/// neighbours and list digests are derived from it.
fn hash_pair(left: u64, right: u64) -> u64 {
    let mut hash = left.rotate_left(32) ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Converts `span` to milliseconds, rounding up so that an age never decreases when it is relayed.
fn ceil_ms(span: std::time::Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
