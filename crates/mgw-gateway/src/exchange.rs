//! The result of one attempt at one server, and whether the server may have executed the request.

use std::fmt;

use bytes::BytesMut;

use crate::memory::Reservation;
use crate::verify::Verified;

/// Why an attempt ended without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established, so nothing was sent.
    Connect,
    /// The server stopped taking requests while the connection was being established. Nothing was
    /// sent.
    Withdrawn,
    /// The server states that it did not execute the request.
    NotRun {
        /// Status code of its response.
        status: u16,
    },
    /// The connection broke, or closed before the response was complete.
    ConnectionLost,
    /// The connection ended while the response stayed unread, as the caller did not read. This is no
    /// sign of a fault of the server.
    Unread,
    /// This process has no memory for the response. This is no sign of a fault of the server.
    NoMemory,
    /// The bytes received are not a valid response to this request.
    Malformed,
    /// The response is a refusal without an attempt id, which may repeat that of an earlier request
    /// on the connection.
    UnidentifiedRefusal {
        /// Status code of the response.
        status: u16,
    },
    /// The server that was to resume a stream responded with an error. The caller already has the
    /// head of another response.
    NotResumed {
        /// Status code of its response.
        status: u16,
    },
    /// The target makes no progress, and the request may be sent to another one.
    Stalled,
    /// An earlier target that had stalled goes on.
    Superseded,
    /// The deadline of the request passed.
    Deadline,
    /// The caller closed its connection.
    CallerGone,
}

impl Failure {
    /// Whether the server may have executed the request, provided that it was sent.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Failure::Connect | Failure::Withdrawn | Failure::NotRun { .. })
    }

    /// Whether the failure is of the server or its connection, so that another server may succeed.
    pub fn is_server_failure(self) -> bool {
        !matches!(self, Failure::Deadline | Failure::CallerGone)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Connect => formatter.write_str("cannot connect"),
            Failure::Withdrawn => formatter.write_str("takes no requests any more"),
            Failure::NotRun { status } => write!(formatter, "not executed, status {status}"),
            Failure::ConnectionLost => formatter.write_str("connection lost"),
            Failure::Unread => formatter.write_str("cut off while the caller did not read"),
            Failure::NoMemory => formatter.write_str("no memory for the response"),
            Failure::Malformed => formatter.write_str("malformed response"),
            Failure::UnidentifiedRefusal { status } => {
                write!(formatter, "refusal without an attempt id, status {status}")
            }
            Failure::NotResumed { status } => write!(formatter, "not resumed, status {status}"),
            Failure::Stalled => formatter.write_str("target stalled"),
            Failure::Superseded => formatter.write_str("an earlier target goes on"),
            Failure::Deadline => formatter.write_str("deadline exceeded"),
            Failure::CallerGone => formatter.write_str("caller disconnected"),
        }
    }
}

/// A complete response that is not a stream.
#[derive(Debug)]
pub struct Answer {
    /// Its head.
    pub head: Verified,
    /// Its body.
    pub body: BytesMut,
    /// Memory reserved for the body.
    pub reservation: Reservation,
}

/// How an attempt succeeded.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response, which has not been sent to the caller yet.
    Answer(Answer),
    /// A stream that has been relayed to the caller up to its end.
    Streamed,
}
