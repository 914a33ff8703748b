//! The learned speed of a plain server: how much longer its answers take than those of others of the
//! same kinds.

use std::time::Duration;

use mgw_base::time::Instant;

/// Half-life of what was observed, so that a server that has recovered is used again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Number of answers of mean length at usual speed that are assumed beside the observed ones, so that a
/// few answers, whose times vary, do not decide.
const ASSUMED_ANSWERS: f64 = 8.0;

/// Smallest factor that counts. Below it, a server's answers may have taken longer by chance.
const MIN_FACTOR: f64 = 1.5;

/// Largest factor that is learned.
const MAX_FACTOR: f64 = 16.0;

/// Observed and expected times of a server's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// Sum of the times that answers took, in seconds, as of `observed_at`.
    observed_s: f64,
    /// Sum of the times that were expected for them, as of `observed_at`.
    expected_s: f64,
    /// When the newest answer was recorded; the sums decay from then on.
    observed_at: Instant,
}

impl Speed {
    /// Records that an answer took `observed_s` seconds although `expected_s` were expected.
    pub fn record(&mut self, observed_s: f64, expected_s: f64, now: Instant) {
        let weight = self.weight(now);
        self.observed_s = self.observed_s * weight + observed_s.min(expected_s * MAX_FACTOR);
        self.expected_s = self.expected_s * weight + expected_s;
        self.observed_at = now;
    }

    /// The factor on the times of the server's answers, 1 unless they clearly take longer. `mean_s`
    /// is the mean time of an answer of its service in seconds.
    pub fn factor(&self, mean_s: f64, now: Instant) -> f64 {
        let (weight, assumed_s) = (self.weight(now), mean_s * ASSUMED_ANSWERS);
        let expected_s = self.expected_s * weight + assumed_s;
        match (self.observed_s * weight + assumed_s) / expected_s.max(f64::EPSILON) {
            factor if factor >= MIN_FACTOR => factor,
            _ => 1.0,
        }
    }

    /// Weight of what was observed, at `now`.
    fn weight(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        (-half_lives).exp2()
    }
}
