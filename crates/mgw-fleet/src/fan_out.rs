//! The choice of the entries that the datagrams of a round are sent to.
//!
//! An entry sends to a limited number of others in each round, whatever their number, and to all of
//! them in turn. So each fact that is told for a whole cycle reaches every entry, unless a datagram is
//! lost, and in each round every entry receives the same number of datagrams.

use std::time::Duration;

/// Interval between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of entries that an entry sends to in a round.
pub const FAN_OUT: usize = 24;

/// Number of rounds after which an entry has sent to all of `peers` other entries.
pub fn cycle_rounds(peers: usize) -> u32 {
    peers.div_ceil(FAN_OUT).max(1) as u32
}

/// Time between two datagrams from one entry to another one, if there are `peers` others.
pub fn cycle(peers: usize) -> Duration {
    ROUND_INTERVAL * cycle_rounds(peers)
}

/// Positions of the entries that the one at position `own` of `entries` sends to in a `round`.
pub fn targets(own: usize, entries: usize, round: u64) -> impl Iterator<Item = usize> {
    let peers = entries.saturating_sub(1);
    let rounds = u64::from(cycle_rounds(peers));
    let first = (round % rounds) as usize * FAN_OUT;
    (first..peers.min(first + FAN_OUT)).map(move |place| (own + 1 + place) % entries)
}
