//! Local replies: responses that the gateway makes itself when no server's response can be passed
//! on.

use std::time::Duration;

use bytes::BytesMut;
use mgw_http::{Error, write};

/// Minimum range of the times at which callers return after the end of a pause of servers.
const MIN_SPREAD_AFTER_PAUSE: Duration = Duration::from_millis(300);

/// Why a request gets a local reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request is malformed, the length of its body is ambiguous, or it has no `Host` header.
    Malformed,
    /// The head exceeds the configured limit.
    HeadSize,
    /// The body exceeds the configured limit.
    BodySize,
    /// The head or the body did not arrive within its timeout.
    SlowRequest,
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a key, and the request's key is missing or unknown.
    UnknownKey,
    /// This process has not received a configuration yet.
    NoConfig,
    /// The configuration is too old to rule out that the key is revoked or that a route was added.
    StaleConfig,
    /// The bodies that this process holds have reached their memory limit.
    Overloaded,
    /// This process is shutting down and would exit before the request's deadline.
    Leaving,
    /// The request, or parts of its prompt, are quarantined because they crashed servers.
    Quarantined {
        /// Time after which another try may be worth it.
        left: Duration,
    },
    /// No server or group is available for the request.
    NoTarget,
    /// The operator has evacuated the zones of all servers or groups.
    Evacuated,
    /// All servers or groups have asked this entry for a pause.
    Paused {
        /// Time until the first of them takes requests again.
        left: Duration,
    },
    /// All servers or groups have as many requests running and waiting as they may.
    Full,
    /// The requests that the groups can serve in time take all room, and the wait for the rest is
    /// too long.
    OverCapacity {
        /// Time after which the caller should come back.
        left: Duration,
    },
    /// As [`Cause::OverCapacity`], and the team has sent more than its share.
    OverShare {
        /// Time after which the caller should come back.
        left: Duration,
    },
    /// No connection could be made, or each server that was tried refused the request without
    /// executing it.
    RefusedByServers,
    /// The deadline passed before any server may have executed the request.
    TooLate,
    /// The deadline passed after a server may have executed the request.
    Timeout,
    /// A server may have executed the request, but failed to send a complete response.
    ServerFailed,
}

impl Cause {
    /// The HTTP status; 408 and 503 promise that the request has not been executed and will not be.
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
            | Cause::Quarantined { .. }
            | Cause::NoTarget
            | Cause::Evacuated
            | Cause::Paused { .. }
            | Cause::Full
            | Cause::OverCapacity { .. }
            | Cause::OverShare { .. }
            | Cause::RefusedByServers
            | Cause::TooLate => 503,
            Cause::Timeout => 504,
            Cause::ServerFailed => 502,
        }
    }

    /// The name in the event log, in metrics and in the bodies of replies.
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
            Cause::Quarantined { .. } => "quarantined",
            Cause::NoTarget => "no_target",
            Cause::Evacuated => "evacuated",
            Cause::Paused { .. } => "servers_paused",
            Cause::Full => "full",
            Cause::OverCapacity { .. } => "over_capacity",
            Cause::OverShare { .. } => "over_share",
            Cause::RefusedByServers => "refused_by_servers",
            Cause::TooLate => "too_late",
            Cause::Timeout => "timeout",
            Cause::ServerFailed => "server_failed",
        }
    }

    /// Time after which the caller should retry; `None` if a retry is not expected to help.
    ///
    /// `spread`, a random number from 0 to 1, varies it, so that callers that are refused together
    /// do not all retry at the same time: by 30% in both directions, or, if the time is known
    /// before which a retry would be refused again, upwards only.
    pub fn retry_after(self, spread: f64) -> Option<Duration> {
        if let Cause::Paused { left } | Cause::Quarantined { left } = self {
            let range = (left * 3 / 5).max(MIN_SPREAD_AFTER_PAUSE);
            return Some(left + range.mul_f64(spread));
        }
        if let Cause::OverCapacity { left } | Cause::OverShare { left } = self {
            // The schedule of returns has spread the times already.
            return Some(left);
        }
        self.typical_retry_after().map(|time| time.mul_f64(0.7 + 0.6 * spread))
    }

    /// Mean time after which the caller should retry.
    fn typical_retry_after(self) -> Option<Duration> {
        match self {
            // Another entry can probably serve the request.
            Cause::NoConfig | Cause::StaleConfig | Cause::Overloaded | Cause::Leaving => {
                Some(Duration::from_millis(200))
            }
            Cause::RefusedByServers | Cause::Full => Some(Duration::from_millis(700)),
            // It takes about a second to form a group again from members whose weights are on the
            // host.
            Cause::NoTarget => Some(Duration::from_millis(1_200)),
            // An evacuation lasts for seconds, and its end is known a second later.
            Cause::Evacuated => Some(Duration::from_millis(1_500)),
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

/// Appends the field `Retry-After` to `output`, if there is such a time; see
/// [`Cause::retry_after`].
pub fn write_retry_after(output: &mut BytesMut, cause: Cause, spread: f64) {
    if let Some(time) = cause.retry_after(spread) {
        // Rounded up: a caller that returns before the time is refused again.
        let seconds = format!("{:.2}", (time.as_secs_f64() * 100.0).ceil() / 100.0);
        write::field(output, b"Retry-After", seconds.as_bytes());
    }
}

/// A local reply.
#[derive(Clone, Copy, Debug)]
pub struct Reply<'a> {
    /// Why the request gets it.
    pub cause: Cause,
    /// Id of the caller's attempt; empty if the caller states none.
    pub attempt: &'a str,
    /// Random number from 0 to 1 that varies `Retry-After`; see [`Cause::retry_after`].
    pub spread: f64,
    /// Whether the caller's connection ends with it.
    pub is_last: bool,
    /// Whether the body is sent; not in the response to a HEAD request.
    pub has_body: bool,
}

impl Reply<'_> {
    /// Appends the reply to `output`.
    pub fn write(&self, output: &mut BytesMut) {
        write::status_line(output, self.cause.status());
        if !self.attempt.is_empty() {
            let name = platform::header::ATTEMPT_ID.as_bytes();
            write::field(output, name, self.attempt.as_bytes());
        }
        write_retry_after(output, self.cause, self.spread);
        if self.is_last {
            write::field(output, b"Connection", b"close");
        }
        let body = self.cause.name().as_bytes();
        write::field(output, b"Content-Type", b"text/plain");
        write::number_field(output, "Content-Length", body.len() as u64);
        output.extend_from_slice(b"\r\n");
        if self.has_body {
            output.extend_from_slice(body);
        }
    }
}
