//! Reports of cold servers, as datagrams, from the entries that read them in the list of servers to all
//! others. The lists that readers send their followers do not say how long a server stays cold, as this
//! changes with each heartbeat.

use bincode::{Decode, Encode};

use crate::codec;
use crate::peer_load::MAX_DATAGRAM_BYTES;

/// Version of the encoding, the first byte of each datagram. It differs from those of the other
/// datagrams, and tells them apart. Entries of an earlier build discard these.
const FORMAT_VERSION: u8 = 67;

/// Maximum number of servers in a report. Their size in memory, which the decoder limits to
/// [`MAX_DATAGRAM_BYTES`], is larger than the encoded one.
pub const MAX_ITEMS: usize = 60;

/// The report of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Cold servers; at most [`MAX_ITEMS`].
    pub servers: Vec<Server>,
}

/// A cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// Hash of the server's id; see [`crate::peer_load::target_hash`].
    pub target: u64,
    /// Milliseconds for which it stays cold.
    pub left_ms: u32,
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
