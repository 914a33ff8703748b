//! How the time until the first event grows with the requests at a group, learned from responses.

use std::time::Duration;

use mgw_base::time::Instant;

/// Half-life of an observation's weight.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Sum of weights from which on the curve is used.
const MIN_WEIGHT: f64 = 8.0;

/// Variance of the loads from which on the slope is used. Without a spread of loads, nothing is
/// known about other loads.
const MIN_VARIANCE: f64 = 1.0;

/// A line through the observed loads and times, fitted by weighted least squares.
#[derive(Clone, Copy, Debug, Default)]
pub struct Curve {
    weight: f64,
    loads: f64,
    times: f64,
    squares: f64,
    products: f64,
    /// Time as of which the sums are decayed.
    at: Instant,
}

impl Curve {
    /// Adds an observation: a first event came `time` after the request was sent to a group with
    /// `load` requests.
    pub fn record(&mut self, load: f64, time: Duration, now: Instant) {
        let time = time.as_secs_f64();
        let factor = (-now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let add = |sum: &mut f64, value: f64| *sum = *sum * factor + value;
        add(&mut self.weight, 1.0);
        add(&mut self.loads, load);
        add(&mut self.times, time);
        add(&mut self.squares, load * load);
        add(&mut self.products, load * time);
        self.at = self.at.max(now);
    }

    /// Time at no load, and time added by each request, in seconds; `None` if too little is known.
    fn line(&self, now: Instant) -> Option<(f64, f64)> {
        let factor = (-now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        if self.weight * factor < MIN_WEIGHT {
            return None;
        }
        let (load, time) = (self.loads / self.weight, self.times / self.weight);
        let variance = self.squares / self.weight - load * load;
        let covariance = self.products / self.weight - load * time;
        let slope = if variance < MIN_VARIANCE { 0.0 } else { (covariance / variance).max(0.0) };
        Some((time - slope * load, slope))
    }

    /// The time until the first event at a group with `load` requests; `None` if too little is
    /// known.
    pub fn time_at(&self, load: f64, now: Instant) -> Option<Duration> {
        let (base, slope) = self.line(now)?;
        Some(Duration::from_secs_f64((base + slope * load).clamp(0.0, 1e6)))
    }

    /// The load up to which first events come within `time`; infinite if no load is known to delay
    /// them for longer.
    pub fn load_at(&self, time: Duration, now: Instant) -> f64 {
        match self.line(now) {
            Some((base, slope)) if slope > 0.0 => (time.as_secs_f64() - base) / slope,
            Some(_) | None => f64::INFINITY,
        }
    }
}
