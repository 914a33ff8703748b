//! Freshness of the configuration, which bounds how long a revoked key can still be accepted.

use std::time::Duration;

use mgw_base::time::Instant;

/// Margin subtracted from the revocation bound for requests that are already in flight.
const IN_FLIGHT_MARGIN: Duration = Duration::from_millis(250);

/// The newest configuration that a source of the configuration shows: the store, or a reader of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shown {
    /// None.
    #[default]
    Nothing,
    /// A valid one with this version.
    Version(u64),
    /// One that cannot be read.
    Unreadable,
}

impl Shown {
    /// Whether the source shows that there is nothing newer than the version in force. A source with
    /// an older version does not, as it lacks what was published later.
    pub fn proves(self, in_force: Option<u64>) -> bool {
        match (self, in_force) {
            (Shown::Version(version), Some(in_force)) => version >= in_force,
            (Shown::Nothing, Some(_)) => false,
            (Shown::Unreadable, _) | (_, None) => true,
        }
    }
}

/// The time for which the store may hold a read that is sent at `now`, so that its responses prove
/// every `interval` that the topic is known. `proven_at` is the time as of which the previous response
/// proved it; if that response came late, the store holds the next read for less.
pub fn hold_time(interval: Duration, proven_at: Option<Instant>, now: Instant) -> Duration {
    proven_at.map_or(interval, |proven_at| interval.saturating_sub(now.since(proven_at)))
}

/// Age of the knowledge of a topic at which a read that was not answered yet is sent again. It leaves
/// the time for an answer before followers take the knowledge for late; see [`crate::source`].
const REPEAT_AGE: Duration = Duration::from_millis(850);

/// Minimum time that the store has for its response, beyond the hold.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// The time after which a read that was sent at `sent_at`, and that the store may hold for `hold`, is
/// sent again on another connection because its response may be lost. `proven_at` is the time as of
/// which the previous response proved that the topic is known.
pub fn repeat_delay(hold: Duration, proven_at: Instant, sent_at: Instant) -> Duration {
    (proven_at + REPEAT_AGE).since(sent_at).max(hold + MIN_RESPONSE_TIME)
}

/// The newest proof that the configuration is current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    /// Latest time at which the store is known to have held no newer configuration. The clock must
    /// also count the time for which the process is suspended.
    as_of: Option<Instant>,
}

impl Proof {
    /// Records an answer of the store that showed everything published until `as_of`.
    pub fn renew(&mut self, as_of: Instant) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Returns the age of the proof; `None` if there is none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Whether the configuration is fresh enough to check keys against it: a key that was revoked
    /// more than `bound` ago is known to be revoked.
    pub fn trusts_keys(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age + IN_FLIGHT_MARGIN < bound)
    }
}
