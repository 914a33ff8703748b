//! The learned slowdown of a target: how much longer its passes take than the configuration says,
//! as with a slow member or with members that are far apart.

use std::time::Duration;

use mgw_base::time::Instant;

/// Half-life of the excess over 1 while nothing is observed, so that a target that has recovered is
/// used again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of an observed factor above the learned one. A pause may be due to a long prompt, so that
/// only several in a row show that the target is slow.
const RISE_WEIGHT: f64 = 0.15;

/// Weight of an observed factor below the learned one. A short pause shows that the target is fast.
const FALL_WEIGHT: f64 = 0.6;

/// Largest factor that is learned.
const MAX_FACTOR: f64 = 16.0;

/// Factor from which on the other entries are told of a slow target.
const SLOW_FACTOR: f64 = 2.0;

/// Shortest time between two reports of the same slow target.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// The learned factor on the times of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slowdown {
    /// Excess of the factor over 1 as of `observed_at`; never negative.
    excess: f64,
    observed_at: Instant,
    /// When the other entries were last told.
    told_at: Option<Instant>,
}

impl Slowdown {
    /// Records that a pass took `observed` although `expected` was predicted for it.
    pub fn record(&mut self, observed: Duration, expected: Duration, now: Instant) {
        let ratio = observed.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
        let excess = ratio.clamp(1.0, MAX_FACTOR) - 1.0;
        let known = self.excess_at(now);
        let weight = if excess > known { RISE_WEIGHT } else { FALL_WEIGHT };
        self.excess = known + (excess - known) * weight;
        self.observed_at = now;
    }

    /// Records the factor that another entry has learned, unless this entry knows a larger one.
    pub fn merge(&mut self, factor: f64, now: Instant) {
        let excess = factor.clamp(1.0, MAX_FACTOR) - 1.0;
        if excess > self.excess_at(now) {
            self.excess = excess;
            self.observed_at = now;
        }
    }

    /// The factor at `now`, at least 1.
    pub fn factor(&self, now: Instant) -> f64 {
        1.0 + self.excess_at(now)
    }

    /// The factor that the other entries should be told of at `now`, if any.
    pub fn take_news(&mut self, now: Instant) -> Option<f64> {
        let is_due = self.told_at.is_none_or(|told_at| now.since(told_at) >= NEWS_INTERVAL);
        let news = Some(self.factor(now)).filter(|factor| is_due && *factor >= SLOW_FACTOR);
        self.told_at = news.map(|_| now).or(self.told_at);
        news
    }

    /// Excess of the factor over 1 at `now`.
    fn excess_at(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.excess * (-half_lives).exp2()
    }
}
