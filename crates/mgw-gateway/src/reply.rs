//! Answers of the gateway's own.

use std::time::Duration;

use bytes::BytesMut;
use mgw_http::{Error, write};

/// Why the gateway answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The head is malformed or its body length ambiguous.
    Malformed,
    /// The head is too large.
    HeadSize,
    /// The body is too large.
    BodySize,
    /// The request did not arrive in time.
    SlowRequest,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// This process knows no configuration yet.
    NoConfig,
    /// This process may not know of a revoked key.
    StaleConfig,
    /// This process holds too much already.
    Overloaded,
    /// This process ends before the request would.
    Leaving,
    /// The request crashed servers.
    Quarantined,
    /// No server or group can take the request.
    NoTarget,
    /// All servers or groups are full.
    Full,
    /// Each server that was asked refused without running it.
    RefusedByServers,
    /// The time was over before a server had it.
    TooLate,
    /// A server had it, and the time was over before it answered.
    Timeout,
    /// A server had it and did not give a whole answer.
    ServerFailed,
}

impl Cause {
    /// The status; 408 and 503 promise that the request has not run and will not.
    pub fn status(self) -> u16 {
        match self {
            Cause::Malformed => 400,
            Cause::HeadSize => 431,
            Cause::BodySize => 413,
            Cause::SlowRequest => 408,
            Cause::NoRoute => 404,
            Cause::UnknownKey => 401,
            Cause::NoConfig
            | Cause::StaleConfig
            | Cause::Overloaded
            | Cause::Leaving
            | Cause::Quarantined
            | Cause::NoTarget
            | Cause::Full
            | Cause::RefusedByServers
            | Cause::TooLate => 503,
            Cause::Timeout => 504,
            Cause::ServerFailed => 502,
        }
    }

    /// The name in logs, metrics and bodies.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Malformed => "malformed",
            Cause::HeadSize => "head_size",
            Cause::BodySize => "body_size",
            Cause::SlowRequest => "slow_request",
            Cause::NoRoute => "no_route",
            Cause::UnknownKey => "unknown_key",
            Cause::NoConfig => "no_config",
            Cause::StaleConfig => "stale_config",
            Cause::Overloaded => "overloaded",
            Cause::Leaving => "leaving",
            Cause::Quarantined => "quarantined",
            Cause::NoTarget => "no_target",
            Cause::Full => "full",
            Cause::RefusedByServers => "refused_by_servers",
            Cause::TooLate => "too_late",
            Cause::Timeout => "timeout",
            Cause::ServerFailed => "server_failed",
        }
    }

    /// When the caller may come again, if that is worth its while.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // Another entry probably can.
            Cause::NoConfig | Cause::StaleConfig | Cause::Overloaded | Cause::Leaving => {
                Some(Duration::from_millis(200))
            }
            Cause::RefusedByServers | Cause::Full => Some(Duration::from_millis(700)),
            // A group takes about a second to be formed again from warm members.
            Cause::NoTarget => Some(Duration::from_millis(1_200)),
            Cause::Quarantined => Some(Duration::from_secs(60)),
            _ => None,
        }
    }
}

impl From<Error> for Cause {
    fn from(error: Error) -> Self {
        match error {
            Error::HeadSize => Cause::HeadSize,
            Error::BodySize => Cause::BodySize,
            _ => Cause::Malformed,
        }
    }
}

/// Appends an answer. `spread` from 0 to 1 spreads the return of callers that are refused together.
pub fn write(output: &mut BytesMut, cause: Cause, attempt: &str, spread: f64, is_last: bool) {
    write::status(output, cause.status());
    if !attempt.is_empty() {
        write::field(output, platform::header::ATTEMPT_ID.as_bytes(), attempt.as_bytes());
    }
    if let Some(span) = cause.retry_after() {
        let seconds = format!("{:.2}", span.as_secs_f64() * (0.7 + 0.6 * spread));
        write::field(output, b"Retry-After", seconds.as_bytes());
    }
    if is_last {
        write::field(output, b"Connection", b"close");
    }
    write::field(output, b"Content-Type", b"text/plain");
    write::number_field(output, "Content-Length", cause.name().len() as u64);
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(cause.name().as_bytes());
}
