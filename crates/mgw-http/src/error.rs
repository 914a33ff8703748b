//! Why bytes are not a message.

use std::fmt;

/// A malformed or oversized message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The head is not HTTP/1.1.
    Head,
    /// The head exceeds the limit.
    HeadSize,
    /// The length of the body is ambiguous, such as two different lengths.
    Framing,
    /// The transfer coding is not supported.
    TransferCoding,
    /// A chunk is malformed.
    Chunk,
    /// The body exceeds the limit.
    BodySize,
    /// The connection ended before the message did.
    Truncated,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::Head => "malformed head",
            Error::HeadSize => "head exceeds the limit",
            Error::Framing => "ambiguous body length",
            Error::TransferCoding => "unsupported transfer coding",
            Error::Chunk => "malformed chunk",
            Error::BodySize => "body exceeds the limit",
            Error::Truncated => "connection ended inside the message",
        })
    }
}

impl std::error::Error for Error {}
