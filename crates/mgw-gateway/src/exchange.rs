//! One request at one server: what can go wrong, and what that says about whether it ran.

use std::fmt;

use bytes::BytesMut;
use mgw_http::head::Response;

/// Why a server gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection; nothing was sent.
    Connect,
    /// The server states that it did not run the request.
    NotRun {
        /// The status of its answer.
        status: u16,
    },
    /// The connection broke or ended too soon.
    ConnectionLost,
    /// The bytes are not an answer to this request.
    Malformed,
    /// The target stands still, and the request may go on elsewhere.
    Stalled,
    /// The time is over.
    Deadline,
    /// The caller left.
    CallerGone,
}

impl Failure {
    /// Whether the server may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Failure::Connect | Failure::NotRun { .. })
    }

    /// Whether another server may help.
    pub fn is_server_failure(self) -> bool {
        !matches!(self, Failure::Deadline | Failure::CallerGone)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Connect => formatter.write_str("no connection"),
            Failure::NotRun { status } => write!(formatter, "not run, status {status}"),
            Failure::ConnectionLost => formatter.write_str("connection broke"),
            Failure::Malformed => formatter.write_str("malformed answer"),
            Failure::Stalled => formatter.write_str("target stands still"),
            Failure::Deadline => formatter.write_str("time is over"),
            Failure::CallerGone => formatter.write_str("caller left"),
        }
    }
}

/// How an exchange ended well.
#[derive(Debug)]
pub enum Outcome {
    /// A whole answer that was not passed on yet.
    Response(Response, BytesMut),
    /// A stream that was passed on to its end.
    Streamed,
}
