//! Reports that entries send each other about servers with a request limit (see [`crate::rate`]),
//! as datagrams. Each report replaces all earlier ones of its sender.

use bincode::{Decode, Encode};

use crate::codec;
use crate::peer_load::MAX_DATAGRAM_BYTES;

/// Version of the encoding, the first byte of each datagram. It differs from those of the other
/// datagrams, and tells them apart.
const FORMAT_VERSION: u8 = 65;

/// Maximum number of servers in a report.
pub const MAX_ITEMS: usize = 40;

/// The report of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Servers with a limit, or with one that has ended lately; at most [`MAX_ITEMS`].
    pub servers: Vec<Server>,
}

/// A limited server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// Hash of the server's id; see [`crate::peer_load::target_hash`].
    pub target: u64,
    /// Requests per 1,000 s that the server takes from all entries; `None` if its limit has ended.
    pub millirate: Option<u32>,
    /// Milliseconds since the server stated that.
    pub age_ms: u32,
    /// Requests that the sender has sent to the server so far; wraps around.
    pub sent: u32,
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
