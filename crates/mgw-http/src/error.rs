//! The errors of parsing a message.

use std::fmt;

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The head is not that of an HTTP/1.x message.
    Head,
    /// The head has more bytes or header fields than allowed.
    HeadSize,
    /// The body length is ambiguous or invalid, such as two different `Content-Length` values or a
    /// length together with the chunked coding.
    Framing,
    /// The transfer coding is not exactly `chunked`.
    TransferCoding,
    /// A chunk or the trailer section is malformed or too large.
    Chunk,
    /// The body exceeds the limit of the caller.
    BodySize,
    /// The connection ended before the message was complete.
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
