//! Reports that entries send each other about crashes of servers and answers to requests, by the
//! parts of their prompts; see `mgw_route::poison`.
//!
//! They are datagrams, sent several times while they are news. Heartbeats carry what must not be
//! lost.

use bincode::{Decode, Encode};

use crate::codec;
use crate::peer_load::MAX_DATAGRAM_BYTES;

/// Version of the encoding, the first byte of each datagram. It differs from those of the other
/// datagrams, and tells them apart.
const FORMAT_VERSION: u8 = 64;

/// Maximum number of crashes in a report, and of answers.
pub const MAX_ITEMS: usize = 24;

/// The crash report of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Crashes with requests that had not been answered yet; at most [`MAX_ITEMS`].
    pub crashes: Vec<Crash>,
    /// Answers to requests with parts that may have caused a crash; at most [`MAX_ITEMS`].
    pub answers: Vec<Answer>,
}

/// A crash of a server that had not begun to answer a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Crash {
    /// Number of the part.
    pub part: u64,
    /// Hash of the request.
    pub request: u64,
    /// Hash of the server's process.
    pub server: u64,
    /// Position of the part in the prompt, from 0.
    pub position: u8,
}

/// An answer to a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Answer {
    /// Number of the part.
    pub part: u64,
    /// Milliseconds since the server began to answer.
    pub age_ms: u32,
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
