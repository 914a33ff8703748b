//! A smoothed rate of events.

use std::time::Duration;

use mgw_base::time::Instant;

/// Events per second, exponentially smoothed.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    half_life: Duration,
    /// Rate as of `at`.
    rate: f64,
    at: Instant,
}

impl Meter {
    /// Creates a meter without events.
    pub fn new(half_life: Duration, now: Instant) -> Self {
        Self { half_life, rate: 0.0, at: now }
    }

    /// Events per second at `now`.
    pub fn rate(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.rate * (-age / self.half_life.as_secs_f64().max(1e-3)).exp2()
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant) {
        let weight = std::f64::consts::LN_2 / self.half_life.as_secs_f64().max(1e-3);
        self.rate = self.rate(now) + weight;
        self.at = self.at.max(now);
    }
}
