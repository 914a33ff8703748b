//! The end of a process that was told to stop.

use std::time::Duration;

use mgw_base::time::Instant;

/// Time after the signal in which all requests are taken. Callers that asked the directory just
/// before it still come in that time, and most streams that begin in it end before the process does.
const OPEN: Duration = Duration::from_millis(2_700);

/// Time for which callers may still connect to an address that has left the directory: three times
/// the time for which an answer may be kept, and the heartbeat.
const KNOWN: Duration = Duration::from_millis(6_500);

/// Time before the forced end at which the process ends by itself.
const SLACK: Duration = Duration::from_millis(500);

/// A process that finishes what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    since: Instant,
    /// When the process ends whatever it holds.
    end: Instant,
    /// Whether the process ends at once, so that nothing more is taken.
    is_closed: bool,
}

impl Shutdown {
    /// A process that got the signal at `now` and is ended by force `grace` later.
    pub fn new(now: Instant, grace: Duration) -> Self {
        Self { since: now, end: now + grace.saturating_sub(SLACK), is_closed: false }
    }

    /// The process in its last moments: what arrives between the decision to end and the end would be
    /// read and not answered, so it is refused.
    pub fn closed(self) -> Self {
        Self { is_closed: true, ..self }
    }

    /// Whether a request with this deadline is taken: later on, only if it ends in time.
    pub fn accepts(&self, deadline: Instant, now: Instant) -> bool {
        !self.is_closed && (now.since(self.since) < OPEN || deadline < self.end)
    }

    /// Whether the process ends now.
    pub fn should_exit(&self, is_idle: bool, now: Instant) -> bool {
        let is_unknown = now.since(self.since) >= KNOWN;
        now >= self.end || (is_unknown && is_idle)
    }
}
