//! Outlier ejection: targets that are much slower than the others of their model are removed from
//! the normal selection and readmitted after a successful probe.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::select::{Health, Target};

/// Parameters of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// A target is slow if its latency exceeds the median of its model times this factor.
    pub slow_factor: f64,
    /// Time for which a target must be slow without interruption before it is ejected.
    pub min_slow_duration: Duration,
    /// Maximum fraction of a model's targets that may be ejected at the same time.
    pub max_ejected_fraction: f64,
    /// Time from the first ejection to its probe. It doubles with each failed probe, and with each
    /// new ejection soon after a readmission.
    pub base_ejection_time: Duration,
    /// Upper bound of the time from an ejection to its probe.
    pub max_ejection_time: Duration,
    /// Time after which a probe without a result is treated as failed.
    pub probe_timeout: Duration,
    /// Age up to which a latency sample is used. A target without a newer sample is not slow and
    /// does not contribute to the median.
    pub max_sample_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slow_factor: 3.0,
            min_slow_duration: Duration::from_secs(10),
            max_ejected_fraction: 1.0 / 3.0,
            base_ejection_time: Duration::from_secs(10),
            max_ejection_time: Duration::from_secs(320),
            probe_timeout: Duration::from_secs(30),
            max_sample_age: Duration::from_secs(5),
        }
    }
}

/// A change of a target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Target whose health changes.
    pub target: Key<Target>,
    /// New health of the target.
    pub health: Health,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy { slow_since: Option<Instant> },
    Ejected { until: Instant },
    Probing { since: Instant },
}

#[derive(Clone, Debug)]
struct Record {
    model: SmolStr,
    state: State,
    /// Smoothed latency per token in seconds, and the time of the last sample.
    latency: Option<(f64, Instant)>,
    /// Time from the current or most recent ejection to its probe.
    ejection_time: Duration,
    /// Time of the last readmission.
    readmitted: Option<Instant>,
}

/// Latencies and ejection states of the targets of all models.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    records: Map<Key<Target>, Record>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(options: Options) -> Self {
        Self { options, records: Map::default() }
    }

    /// Adds a target of `model`. All servable groups of the model must be added, as
    /// [`Options::max_ejected_fraction`] relates to their number. A known target is not changed.
    pub fn add(&mut self, target: Key<Target>, model: &SmolStr) {
        let ejection_time = self.options.base_ejection_time;
        let make = || Record {
            model: model.clone(),
            state: State::Healthy { slow_since: None },
            latency: None,
            ejection_time,
            readmitted: None,
        };
        self.records.get_or_insert_with(target, make);
    }

    /// Removes a target.
    pub fn remove(&mut self, target: Key<Target>) {
        self.records.remove(&target);
    }

    /// Adds a sample of a target's latency per token: that of a finished answer, or the time since
    /// the last token of a stalled stream.
    pub fn observe(&mut self, target: Key<Target>, latency: Duration, now: Instant) {
        let Some(record) = self.records.get_mut(&target) else { return };
        let sample = latency.as_secs_f64();
        let smoothed = match record.latency {
            // Old samples and those from before an ejection do not describe the current latency.
            Some((known, at))
                if now.since(at) <= self.options.max_sample_age
                    && matches!(record.state, State::Healthy { .. }) =>
            {
                // Smoothing is light so that a target that recovers is soon below the bound again.
                (known + sample) / 2.0
            }
            _ => sample,
        };
        record.latency = Some((smoothed, now));
    }

    /// Ends a probe and readmits or ejects the target. `latency` is the latency per token, or
    /// `None` if the request failed. Returns `None` if the target is not being probed.
    pub fn finish_probe(
        &mut self,
        target: Key<Target>,
        latency: Option<Duration>,
        now: Instant,
    ) -> Option<Change> {
        let median = self.median(&self.records.get(&target)?.model.clone(), now);
        let slow_factor = self.options.slow_factor;
        let record = self.records.get_mut(&target)?;
        if !matches!(record.state, State::Probing { .. }) {
            return None;
        }
        match latency {
            Some(latency)
                if median.is_none_or(|median| latency.as_secs_f64() <= slow_factor * median) =>
            {
                record.latency = Some((latency.as_secs_f64(), now));
                self.readmit(target, now)
            }
            _ => self.fail_probe(target, now),
        }
    }

    /// Ejects targets that have been slow for long enough and starts the probes that are due.
    /// Returns the resulting changes.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let targets: Vec<(Key<Target>, SmolStr)> =
            self.records.iter().map(|(key, record)| (*key, record.model.clone())).collect();
        let mut models: Vec<&SmolStr> = targets.iter().map(|(_, model)| model).collect();
        models.sort_unstable();
        models.dedup();
        for model in models {
            let median = self.median(model, now);
            let of_model = targets.iter().filter(|(_, other)| other == model).map(|(key, _)| *key);
            let of_model: Vec<Key<Target>> = of_model.collect();
            let limit = (of_model.len() as f64 * self.options.max_ejected_fraction + 1e-9) as usize;
            let mut ejected_count = of_model.iter().filter(|key| self.is_ejected(**key)).count();
            // The slowest targets are ejected first, as the limit may not allow all of them.
            let mut slow_targets: Vec<(f64, Key<Target>)> = Vec::new();
            for key in &of_model {
                let probe_timeout = self.options.probe_timeout;
                let max_sample_age = self.options.max_sample_age;
                let Some(record) = self.records.get_mut(key) else { continue };
                match record.state {
                    State::Healthy { slow_since } => {
                        let latency =
                            record.latency.filter(|(_, at)| now.since(*at) <= max_sample_age);
                        let slow = match (latency, median) {
                            (Some((latency, _)), Some(median)) => {
                                (latency > self.options.slow_factor * median).then_some(latency)
                            }
                            _ => None,
                        };
                        let since = slow.map(|_| slow_since.unwrap_or(now));
                        record.state = State::Healthy { slow_since: since };
                        match (slow, since) {
                            (Some(latency), Some(since))
                                if now.since(since) >= self.options.min_slow_duration =>
                            {
                                slow_targets.push((latency, *key));
                            }
                            _ => {}
                        }
                    }
                    State::Ejected { until } if now >= until => {
                        record.state = State::Probing { since: now };
                        changes.push(Change { target: *key, health: Health::Probe });
                    }
                    State::Probing { since } if now.since(since) >= probe_timeout => {
                        changes.extend(self.fail_probe(*key, now));
                    }
                    _ => {}
                }
            }
            // The removal of targets may have lowered the limit below the number of ejected ones.
            for key in &of_model {
                if ejected_count > limit && self.is_ejected(*key) {
                    ejected_count -= 1;
                    changes.extend(self.readmit(*key, now));
                }
            }
            slow_targets.sort_by(|one, other| other.0.total_cmp(&one.0));
            for (_, key) in slow_targets {
                if ejected_count >= limit {
                    break;
                }
                ejected_count += 1;
                changes.extend(self.eject(key, now));
            }
        }
        changes
    }

    /// Returns whether a target is ejected or being probed.
    pub fn is_ejected(&self, target: Key<Target>) -> bool {
        self.records
            .get(&target)
            .is_some_and(|record| !matches!(record.state, State::Healthy { .. }))
    }

    /// Returns the median latency of the targets of `model` that have a fresh sample and are not
    /// ejected. With an even number of targets it is the lower of the two middle values.
    fn median(&self, model: &SmolStr, now: Instant) -> Option<f64> {
        let mut known: Vec<f64> = self
            .records
            .iter()
            .filter(|(_, record)| record.model == *model)
            .filter(|(_, record)| matches!(record.state, State::Healthy { .. }))
            .filter_map(|(_, record)| record.latency)
            .filter(|(_, at)| now.since(*at) <= self.options.max_sample_age)
            .map(|(latency, _)| latency)
            .collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len().checked_sub(1)? / 2).copied()
    }

    fn eject(&mut self, target: Key<Target>, now: Instant) -> Option<Change> {
        let (base, max) = (self.options.base_ejection_time, self.options.max_ejection_time);
        let record = self.records.get_mut(&target)?;
        // An ejection soon after a readmission doubles the time again.
        record.ejection_time = match record.readmitted {
            Some(at) if now.since(at) < record.ejection_time * 4 => {
                (record.ejection_time * 2).min(max)
            }
            _ => base,
        };
        record.state = State::Ejected { until: now + record.ejection_time };
        Some(Change { target, health: Health::Ejected })
    }

    fn readmit(&mut self, target: Key<Target>, now: Instant) -> Option<Change> {
        let record = self.records.get_mut(&target)?;
        record.state = State::Healthy { slow_since: None };
        record.readmitted = Some(now);
        Some(Change { target, health: Health::Healthy })
    }

    fn fail_probe(&mut self, target: Key<Target>, now: Instant) -> Option<Change> {
        let max = self.options.max_ejection_time;
        let record = self.records.get_mut(&target)?;
        record.ejection_time = (record.ejection_time * 2).min(max);
        record.state = State::Ejected { until: now + record.ejection_time };
        Some(Change { target, health: Health::Ejected })
    }
}
