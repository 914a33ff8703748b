//! Reports of work that entries send each other at once, as datagrams.
//!
//! A prompt is read within a fraction of a second, sooner than the next load report reaches all
//! other entries. So an entry tells them of each long prompt when it sends it, and of a stalled target
//! when it finds it. Earlier builds ignore these datagrams, as their version is unknown to them.

use bincode::{Decode, Encode};

use crate::codec;
use crate::peer_load::MAX_DATAGRAM_BYTES;

/// Version of the encoding, the first byte of each datagram. It differs from those of the other
/// datagrams, and tells them apart.
const FORMAT_VERSION: u8 = 66;

/// Maximum number of prompts, of slow targets and of stalled targets in a report.
pub const MAX_ITEMS: usize = 32;

/// The report of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Long prompts that were just sent; at most [`MAX_ITEMS`].
    pub prompts: Vec<Prompt>,
    /// Targets that the sender found slow; at most [`MAX_ITEMS`].
    pub slow: Vec<SlowTarget>,
    /// Hashes of the targets that the sender has just found stalled; at most [`MAX_ITEMS`].
    pub stalled: Vec<u64>,
}

/// A prompt that a target has to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Prompt {
    /// Hash of the target's id; see [`crate::peer_load::target_hash`].
    pub target: u64,
    /// Time that the target needs to read it, in milliseconds.
    pub read_ms: u16,
}

/// A target whose passes take longer than its configuration says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SlowTarget {
    /// Hash of the target's id; see [`crate::peer_load::target_hash`].
    pub target: u64,
    /// Factor on its times, in hundredths.
    pub percent: u16,
}

/// Encodes a report.
///
/// # Errors
///
/// The encoder fails.
pub fn encode(report: &Report) -> Result<Vec<u8>, bincode::error::EncodeError> {
    codec::encode(FORMAT_VERSION, report)
}

/// Decodes a report. Returns `None` if the datagram is malformed or of another kind.
pub fn decode(bytes: &[u8]) -> Option<Report> {
    codec::decode::<_, MAX_DATAGRAM_BYTES>(FORMAT_VERSION, bytes)
}
