//! Estimate of the wait at a target from its load reports and the requests in flight.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;

use super::{Load, Table, Target};

impl Table {
    /// Returns the estimated wait at a target, regardless of the load of other targets.
    pub fn estimated_wait(&self, key: Key<Target>, now: Instant) -> Option<Duration> {
        let target = self.targets.get(key)?;
        Some(Duration::from_secs_f64(self.estimate_wait(target, 0.0, now)))
    }

    /// Returns the mean occupancy, in requests per slot, of the candidates whose load report still
    /// has weight.
    pub(super) fn mean_occupancy(&self, pool: &[Key<Target>], now: Instant) -> f64 {
        let (mut sum, mut count) = (0.0, 0u32);
        for target in pool.iter().filter_map(|key| self.targets.get(*key)) {
            if let Some(load) = target.load.filter(|load| self.load_weight(load, now) > 0.0) {
                sum += f64::from(load.queued + load.running) / f64::from(load.slots.max(1));
                count += 1;
            }
        }
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    fn load_weight(&self, load: &Load, now: Instant) -> f64 {
        let age = now.since(load.measured_at).as_secs_f64();
        (1.0 - age / self.options.load_decay.as_secs_f64().max(1e-6)).max(0.0)
    }

    /// Returns the estimated wait in seconds. `mean_occupancy` is assumed to the extent that the
    /// target's load report has lost its weight.
    pub(super) fn estimate_wait(&self, target: &Target, mean_occupancy: f64, now: Instant) -> f64 {
        let slots = f64::from(target.load.map_or(1, |load| load.slots).max(1));
        let (reported, load_weight, sent_since) = match &target.load {
            Some(load) => {
                // Requests that this entry sent before the measurement are included in the report.
                let known = target
                    .requests
                    .partition_point(|in_flight| in_flight.sent_at <= load.measured_at);
                let reported = f64::from(load.queued) + f64::from(load.running);
                (reported, self.load_weight(load, now), target.requests.len() - known)
            }
            None => (0.0, 0.0, target.requests.len()),
        };
        let occupied = load_weight * reported
            + (1.0 - load_weight) * mean_occupancy * slots
            + sent_since as f64;
        let mean_duration =
            target.mean_duration.unwrap_or(self.options.default_duration.as_secs_f64());
        let waiting = (occupied - slots).max(0.0);
        let batch_cost = self.options.full_batch_cost.as_secs_f64() * (occupied / slots).min(1.0);
        mean_duration * waiting / slots + batch_cost
    }
}
