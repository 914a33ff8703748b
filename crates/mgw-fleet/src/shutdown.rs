//! Graceful shutdown of a process that received a signal to stop.

use std::time::Duration;

use mgw_base::time::Instant;

/// Maximum time after the signal for which all requests are accepted. Callers that resolved the
/// directory just before the signal still arrive within this time, and most streams that begin within
/// it complete before the process exits.
const ACCEPT_ALL_DURATION: Duration = Duration::from_millis(2_700);

/// The largest part of the grace period for which all requests are accepted, as its divisor.
const ACCEPT_ALL_DIVISOR: u32 = 3;

/// Time before the exit by which each request has a final response, unless its response has begun.
/// The callers get it before their connections close.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Time after the signal for which callers may still connect to the entry's address although it has
/// left the directory: 6 s, because some callers keep a directory response for three times its TTL
/// of 2 s, and 500 ms for the heartbeat that announces the shutdown.
const ADDRESS_EXPIRY_DURATION: Duration = Duration::from_millis(6_500);

/// The process exits by itself this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// The state of a process that drains its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the signal arrived.
    signalled_at: Instant,
    /// Until when all requests are accepted.
    accepts_all_until: Instant,
    /// When the process exits even if requests are in flight.
    exit_deadline: Instant,
    /// Whether the process exits at once and accepts no more requests.
    is_closed: bool,
}

impl Shutdown {
    /// Starts the shutdown of a process that received the signal at `now` and is killed `grace`
    /// later.
    pub fn new(now: Instant, grace: Duration) -> Self {
        Self {
            signalled_at: now,
            accepts_all_until: now + ACCEPT_ALL_DURATION.min(grace / ACCEPT_ALL_DIVISOR),
            exit_deadline: now + grace.saturating_sub(KILL_MARGIN),
            is_closed: false,
        }
    }

    /// Returns the state after the decision to exit. A request that arrives between the decision
    /// and the exit would be read and never answered, so all requests are refused.
    pub fn closed(self) -> Self {
        Self { is_closed: true, ..self }
    }

    /// By when each request has a final response, unless its response has begun: shortly before the
    /// process exits.
    pub fn answer_deadline(&self) -> Instant {
        self.exit_deadline - ANSWER_MARGIN
    }

    /// Whether a request with this deadline is accepted. All requests are accepted at first; later
    /// only those with a deadline before [`Shutdown::answer_deadline`].
    pub fn accepts(&self, deadline: Instant, now: Instant) -> bool {
        !self.is_closed && (now < self.accepts_all_until || deadline < self.answer_deadline())
    }

    /// Whether the process should exit now. `is_idle` says that no request is in flight.
    pub fn should_exit(&self, is_idle: bool, now: Instant) -> bool {
        let has_address_expired = now.since(self.signalled_at) >= ADDRESS_EXPIRY_DURATION;
        now >= self.exit_deadline || (has_address_expired && is_idle)
    }
}
