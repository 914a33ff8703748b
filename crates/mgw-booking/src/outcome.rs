//! The outcome of a booking, as it is reported to the caller.

use std::fmt;

use bytes::Bytes;
use smol_str::SmolStr;

/// The complete answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: SmolStr,
    /// The complete body.
    pub body: Bytes,
}

/// The reason for which a booking was not run, or for which it is unknown whether it was run.
///
/// The text that `Display` writes is sent between entries and read with [`Cause::parse`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The deadline passed before the first byte was written.
    Deadline,
    /// No server could be reached, so nothing was written.
    NeverWritten,
    /// The service reported that it did not run the call.
    ReportedNotRun,
    /// The claim was refused, and the log shows no claim of the key by another process.
    ClaimRefused,
    /// The booking was given up before its claim was read from the log as the first one.
    GivenUp,
    /// The call was written, and its answer is missing or incomplete.
    AnswerLost,
    /// The deadline of the request passed while the call was running.
    StillRunning,
    /// The executor was not determined by the deadline.
    ClaimUnsettled,
    /// The key was evicted from the ledger, or cannot be distinguished from an evicted one.
    Forgotten,
    /// The answer was too large to be stored for a retry.
    AnswerTooLarge,
    /// The issue time in the key is in the future of the process that the key names.
    NotIssued,
    /// The ledger holds the maximum number of unsettled bookings.
    LedgerFull,
    /// The maximum number of requests already waits for the booking.
    TooManyWaiters,
    /// The process that may run the booking cannot be reached.
    Unreachable,
    /// The process that may run the booking has ended.
    ExecutorGone,
}

impl Cause {
    /// All causes, for [`Cause::parse`].
    pub const ALL: [Cause; 15] = [
        Cause::Deadline,
        Cause::NeverWritten,
        Cause::ReportedNotRun,
        Cause::ClaimRefused,
        Cause::GivenUp,
        Cause::AnswerLost,
        Cause::StillRunning,
        Cause::ClaimUnsettled,
        Cause::Forgotten,
        Cause::AnswerTooLarge,
        Cause::NotIssued,
        Cause::LedgerFull,
        Cause::TooManyWaiters,
        Cause::Unreachable,
        Cause::ExecutorGone,
    ];

    /// Returns the cause whose `Display` text is `text`, as another entry sends it.
    pub fn parse(text: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|cause| cause.to_string() == text)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Cause::Deadline => "the deadline passed before the call was sent",
            Cause::NeverWritten => "no server could be reached; nothing was sent",
            Cause::ReportedNotRun => "the service reported that it did not run the call",
            Cause::ClaimRefused => "the key could not be claimed in the log",
            Cause::GivenUp => "the key was claimed after the booking had been given up",
            Cause::AnswerLost => "the call was sent and its answer was lost",
            Cause::StillRunning => "the deadline passed while the call was running",
            Cause::ClaimUnsettled => "the claim of the key was not settled in time",
            Cause::Forgotten => "the outcome of this key is no longer stored",
            Cause::AnswerTooLarge => "the call ran, but its answer was too large to be stored",
            Cause::NotIssued => "the key names a time that has not been issued",
            Cause::LedgerFull => "too many bookings are in progress",
            Cause::TooManyWaiters => "too many requests wait for this booking",
            Cause::Unreachable => "the process that may run this booking cannot be reached",
            Cause::ExecutorGone => "the process that may run this booking has ended",
        })
    }
}

/// The outcome of a booking. Each request that is answered gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The booking was run, and the service answered.
    Done(Reply),
    /// The booking was not run by any process. This is final for the key, except with
    /// [`Cause::ClaimRefused`], after which a later request with the key may be run.
    NotRun(Cause),
    /// It is unknown whether the booking was run.
    Unknown(Cause),
}
