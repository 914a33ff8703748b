//! How long a configuration is known to be current.

use std::time::Duration;

use mgw_base::time::Instant;

/// Taken off the bound on revocation, for requests that are on their way.
const MARGIN: Duration = Duration::from_millis(250);

/// The newest proof that the configuration is current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    /// When the store was asked, on a clock that counts suspensions; its answer held nothing newer.
    asked: Option<Instant>,
}

impl Proof {
    /// Takes an answer of the store that showed everything as of `asked`.
    pub fn renew(&mut self, asked: Instant) {
        self.asked = self.asked.max(Some(asked));
    }

    /// The age of the proof, if there is one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.asked.map(|asked| now.since(asked))
    }

    /// Whether keys may still be trusted: a key that was revoked longer than `bound` ago would be
    /// known.
    pub fn trusts_keys(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < bound)
    }
}
