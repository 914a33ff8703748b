//! Limits that servers set on the rate of their requests, shared by all entries.
//!
//! Each entry keeps a token bucket for each limited server. It is filled at the rate that the
//! server takes from all entries together, and charged with the requests of all of them: with its
//! own at once, with those of the others as they report them (see [`crate::rate_report`]). So any
//! entry may use what the others leave.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::ceiling::Window;

/// Requests per second that a server gets whatever its limit, so that a limit that has ended is
/// noticed.
const MIN_RATE: f64 = 0.2;

/// Time whose requests a bucket holds, beyond a first one.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Time for which the end of a limit is told to the other entries.
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// What a server stated about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests per second that it takes from all entries together; `None` for any number.
    pub rate: Option<f64>,
    /// When it stated that.
    pub at: Instant,
}

/// The limit of one server, and how much of it is left.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// The newest statement; `None` if the server never had a limit.
    statement: Option<Statement>,
    /// Requests that may be sent, as of `refilled_at`. Negative if the entries have sent more than
    /// the limit.
    tokens: f64,
    refilled_at: Instant,
    /// Requests that this entry has sent to the server so far; wraps around.
    sent: u32,
    /// The same of each other entry, by incarnation, as last reported since the limit began.
    peers_sent: Map<u64, u32>,
    /// This entry's part of what the server bears in a second; set if its service has a warm-up.
    pub window: Option<Window>,
}

impl Bucket {
    /// Applies a statement unless a newer one is known. Returns whether the limit has changed.
    pub fn apply(&mut self, statement: Statement, now: Instant) -> bool {
        let known = self.rate();
        let is_older = self.statement.is_some_and(|it| it.at >= statement.at);
        let is_needless = self.statement.is_none() && statement.rate.is_none();
        if is_older || is_needless {
            return false;
        }
        if known.is_none() {
            self.tokens = 0.0;
            self.refilled_at = now;
            self.peers_sent = Map::default();
        }
        self.statement = Some(statement);
        self.rate() != known
    }

    /// Requests per second that the server takes from all entries; `None` if it has no limit.
    pub fn rate(&self) -> Option<f64> {
        self.statement.and_then(|it| it.rate)
    }

    /// Whether a request may be sent. `share` is the part of the limit that this entry may use, 0
    /// to 1.
    pub fn admits(&self, share: f64, now: Instant) -> bool {
        self.rate().is_none_or(|rate| self.tokens_at(rate, share, now) >= 1.0)
    }

    fn tokens_at(&self, rate: f64, share: f64, now: Instant) -> f64 {
        let rate = rate.max(MIN_RATE);
        let capacity = 1.0 + rate * BURST_TIME.as_secs_f64();
        let added = rate * share * now.since(self.refilled_at).as_secs_f64();
        (self.tokens + added).min(capacity)
    }

    /// Counts a request that this entry sends.
    pub fn record_sent(&mut self, share: f64, now: Instant) {
        self.sent = self.sent.wrapping_add(1);
        if let Some(window) = &mut self.window {
            window.record_sent(now);
        }
        self.charge(1, share, now);
    }

    /// Counts the requests of another entry, which has sent `sent` so far. What it had sent before
    /// its first report is not counted.
    pub fn record_peer(&mut self, peer: u64, sent: u32, share: f64, now: Instant) {
        let known = self.peers_sent.insert(peer, sent);
        self.charge(known.map_or(0, |known| sent.wrapping_sub(known)), share, now);
    }

    fn charge(&mut self, requests: u32, share: f64, now: Instant) {
        let Some(rate) = self.rate() else { return };
        self.tokens = self.tokens_at(rate, share, now) - f64::from(requests);
        self.refilled_at = now;
    }

    /// The statement and the number of sent requests that the other entries have to know; `None` if
    /// the server has no limit and had none lately.
    pub fn news(&self, now: Instant) -> Option<(Statement, u32)> {
        let statement = self.statement?;
        let is_news = statement.rate.is_some() || now.since(statement.at) < RELEASE_TIME;
        is_news.then_some((statement, self.sent))
    }
}

/// The part of each limit that an entry may use that hears of `heard` other entries, of which
/// `serving` serve together with it. What an entry does not hear of, it leaves to the others.
pub fn share(heard: usize, serving: usize) -> f64 {
    ((1 + heard) as f64 / serving.max(1) as f64).min(1.0)
}
