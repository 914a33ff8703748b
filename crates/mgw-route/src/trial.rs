//! When something that is refused, as it has crashed servers, is tried again, and by which entry.
//!
//! A refusal lets no request through whose answer could show that it was wrong. So single requests
//! are let through: seldom, with growing intervals, and by one entry at a time, without a message
//! that would allot them.

use std::time::Duration;

use mgw_base::hash;
use mgw_base::time::Instant;

/// Parameters of the trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time from the last crash to the first trial while several suspects are in question.
    pub first_interval: Duration,
    /// The same once a single suspect is left.
    pub settled_interval: Duration,
    /// Factor by which the interval grows with each trial that crashed a server.
    pub growth: u32,
    /// Maximum time from a crash to the next trial.
    pub max_interval: Duration,
    /// Time after which the entry of the next rank may make a trial that is due. Longer than news
    /// of a crash take to reach all entries.
    pub handover: Duration,
    /// Time for which a request that may crash its server keeps an entry from sending another one
    /// of the same kind. The outcome is known to all entries by then.
    pub risk_duration: Duration,
    /// While it is open what causes the crashes, one in so many entries may send such requests.
    pub entries_per_experimenter: usize,
    /// Minimum number of the entries that may.
    pub min_experimenters: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            first_interval: Duration::from_secs(20),
            // A trial of the true cause crashes a server, whose group must then load again.
            settled_interval: Duration::from_secs(80),
            growth: 4,
            max_interval: Duration::from_secs(300),
            handover: Duration::from_secs(5),
            risk_duration: Duration::from_millis(1_500),
            entries_per_experimenter: 8,
            min_experimenters: 3,
        }
    }
}

/// How far it is known what causes the crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// There are several suspects, or the crashes may be chance.
    Open,
    /// A single suspect is left.
    Settled,
}

/// The place of this entry among all that serve, which differs from one matter to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Number of entries before it.
    pub rank: usize,
    /// Number of entries.
    pub entries: usize,
}

impl Seat {
    /// The place of the entry `own` for `matter` among `entries`, the names of all that serve.
    pub fn among<'a, I>(entries: I, own: &str, matter: u64) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        let weight = |name: &str| hash::parts(&[&matter.to_le_bytes(), name.as_bytes()]);
        let own = weight(own);
        let mut seat = Self { rank: 0, entries: 0 };
        for name in entries {
            seat.entries += 1;
            seat.rank += usize::from(weight(name) < own);
        }
        seat
    }
}

impl Options {
    /// When the next trial is due after the last crash, if `failed` trials have crashed a server.
    pub fn due(&self, certainty: Certainty, last_crash: Instant, failed: usize) -> Instant {
        let first = match certainty {
            Certainty::Open => self.first_interval,
            Certainty::Settled => self.settled_interval,
        };
        let exponent = u32::try_from(failed).unwrap_or(u32::MAX);
        let factor = self.growth.saturating_pow(exponent);
        last_crash + first.saturating_mul(factor).min(self.max_interval)
    }

    /// Whether the entry at `seat` may make a trial at `now` that has been due since `due`.
    pub fn allows_trial(&self, seat: Seat, due: Instant, now: Instant) -> bool {
        let rank = u32::try_from(seat.rank).unwrap_or(u32::MAX);
        now >= due && now.since(due) >= self.handover.saturating_mul(rank)
    }

    /// Whether the entry at `seat` may send a request that shows which of several suspects is the
    /// cause.
    pub fn allows_experiment(&self, seat: Seat) -> bool {
        let experimenters = seat.entries / self.entries_per_experimenter;
        seat.rank < experimenters.max(self.min_experimenters)
    }
}

/// The requests that may crash their servers, by the matter that they are to decide.
#[derive(Clone, Debug, Default)]
pub struct AtRisk {
    /// Hash of the matter, and when the request was admitted.
    requests: Vec<(u64, Instant)>,
}

impl AtRisk {
    /// Whether a request on `matter` is under way at `now`.
    pub fn is_busy(&self, matter: u64, options: &Options, now: Instant) -> bool {
        self.requests
            .iter()
            .any(|(other, at)| *other == matter && now.since(*at) < options.risk_duration)
    }

    /// Records that a request on `matter` is admitted at `now`.
    pub fn begin(&mut self, matter: u64, options: &Options, now: Instant) {
        self.requests.retain(|(_, at)| now.since(*at) < options.risk_duration);
        self.requests.push((matter, now));
    }
}
