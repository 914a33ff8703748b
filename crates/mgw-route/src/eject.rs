//! Ejection of stragglers from routing.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::select::{Health, Target};

/// Parameters of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// A target is slow above this multiple of the median of its model.
    pub slow_factor: f64,
    /// A target is ejected after it was slow for this long without interruption.
    pub min_slow_duration: Duration,
    /// The largest part of a model's targets that is ejected at once.
    pub max_ejected_fraction: f64,
    /// Time until the first probe; doubles with each failed probe and each early relapse.
    pub base_ejection_time: Duration,
    /// The longest time between probes.
    pub max_ejection_time: Duration,
    /// A probe without a result for this long has failed.
    pub probe_timeout: Duration,
    /// A target without a sample for this long counts as neither slow nor fast.
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

/// A change of a target's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The target.
    pub target: Key<Target>,
    /// Its new standing.
    pub health: Health,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Normal { slow_since: Option<Instant> },
    Ejected { until: Instant },
    Probing { since: Instant },
}

#[derive(Clone, Debug)]
struct Record {
    model: SmolStr,
    state: State,
    /// Smoothed latency per token in seconds and the time of the last sample.
    latency: Option<(f64, Instant)>,
    /// The next time between ejection and probe.
    interval: Duration,
    /// When it was last readmitted.
    readmitted: Option<Instant>,
}

/// Latencies and ejections of all model groups.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    records: Map<Key<Target>, Record>,
}

impl Table {
    /// An empty table.
    pub fn new(options: Options) -> Self {
        Self { options, records: Map::default() }
    }

    /// Adds a target to the ejection of `model`'s targets; all its servable groups must be added, as
    /// the panic threshold counts them. A known target stays as it is.
    pub fn add(&mut self, target: Key<Target>, model: &SmolStr) {
        let interval = self.options.base_ejection_time;
        let make = || Record {
            model: model.clone(),
            state: State::Normal { slow_since: None },
            latency: None,
            interval,
            readmitted: None,
        };
        self.records.entry(target, make);
    }

    /// Removes a target.
    pub fn remove(&mut self, target: Key<Target>) {
        self.records.remove(&target);
    }

    /// Adds a sample of the latency per token of a target: of a finished answer, or the time since the last
    /// token of a stream that has stalled.
    pub fn observe(&mut self, target: Key<Target>, latency: Duration, now: Instant) {
        let Some(record) = self.records.get_mut(&target) else { return };
        let sample = latency.as_secs_f64();
        let smoothed = match record.latency {
            // Old samples and those from before a probe say nothing about the present.
            Some((known, at))
                if now.since(at) <= self.options.max_sample_age
                    && matches!(record.state, State::Normal { .. }) =>
            {
                // Light smoothing: a target that recovers must not stay above the bound long.
                (known + sample) / 2.0
            }
            _ => sample,
        };
        record.latency = Some((smoothed, now));
    }

    /// Ends a probe: `latency` per token, or `None` if the request failed.
    pub fn finish_probe(
        &mut self,
        target: Key<Target>,
        latency: Option<Duration>,
        now: Instant,
    ) -> Option<Change> {
        let median = self.median(&self.records.get(&target)?.model.clone(), now);
        let factor = self.options.slow_factor;
        let record = self.records.get_mut(&target)?;
        if !matches!(record.state, State::Probing { .. }) {
            return None;
        }
        match latency {
            Some(latency)
                if median.is_none_or(|median| latency.as_secs_f64() <= factor * median) =>
            {
                record.latency = Some((latency.as_secs_f64(), now));
                self.readmit(target, now)
            }
            _ => self.fail(target, now),
        }
    }

    /// Ejects targets that were slow for long enough and asks for probes that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let targets: Vec<(Key<Target>, SmolStr)> =
            self.records.iter().map(|(key, record)| (*key, record.model.clone())).collect();
        let mut models: Vec<&SmolStr> = targets.iter().map(|(_, model)| model).collect();
        models.sort_unstable();
        models.dedup();
        for model in models {
            let median = self.median(model, now);
            let own = targets.iter().filter(|(_, other)| other == model).map(|(key, _)| *key);
            let own: Vec<Key<Target>> = own.collect();
            let limit = (own.len() as f64 * self.options.max_ejected_fraction + 1e-9) as usize;
            let mut out = own.iter().filter(|key| self.is_ejected(**key)).count();
            // The slowest is ejected first, in case the threshold allows only one more.
            let mut due: Vec<(f64, Key<Target>)> = Vec::new();
            for key in &own {
                let patience = self.options.probe_timeout;
                let fresh = self.options.max_sample_age;
                let Some(record) = self.records.get_mut(key) else { continue };
                match record.state {
                    State::Normal { slow_since } => {
                        let latency = record.latency.filter(|(_, at)| now.since(*at) <= fresh);
                        let slow = match (latency, median) {
                            (Some((latency, _)), Some(median)) => {
                                (latency > self.options.slow_factor * median).then_some(latency)
                            }
                            _ => None,
                        };
                        let since = slow.map(|_| slow_since.unwrap_or(now));
                        record.state = State::Normal { slow_since: since };
                        match (slow, since) {
                            (Some(latency), Some(since))
                                if now.since(since) >= self.options.min_slow_duration =>
                            {
                                due.push((latency, *key));
                            }
                            _ => {}
                        }
                    }
                    State::Ejected { until } if now >= until => {
                        record.state = State::Probing { since: now };
                        changes.push(Change { target: *key, health: Health::Probe });
                    }
                    State::Probing { since } if now.since(since) >= patience => {
                        changes.extend(self.fail(*key, now));
                    }
                    _ => {}
                }
            }
            // Targets that left the table may have lowered the limit below what is ejected.
            for key in &own {
                if out > limit && self.is_ejected(*key) {
                    out -= 1;
                    changes.extend(self.readmit(*key, now));
                }
            }
            due.sort_by(|one, other| other.0.total_cmp(&one.0));
            for (_, key) in due {
                if out >= limit {
                    break;
                }
                out += 1;
                changes.extend(self.eject(key, now));
            }
        }
        changes
    }

    /// Whether a target is ejected or being probed.
    pub fn is_ejected(&self, target: Key<Target>) -> bool {
        self.records
            .get(&target)
            .is_some_and(|record| !matches!(record.state, State::Normal { .. }))
    }

    /// Median latency of the targets of `model` that have a fresh sample, the lower one of an
    /// even number. Ejected targets do not count.
    fn median(&self, model: &SmolStr, now: Instant) -> Option<f64> {
        let mut known: Vec<f64> = self
            .records
            .iter()
            .filter(|(_, record)| record.model == *model)
            .filter(|(_, record)| matches!(record.state, State::Normal { .. }))
            .filter_map(|(_, record)| record.latency)
            .filter(|(_, at)| now.since(*at) <= self.options.max_sample_age)
            .map(|(latency, _)| latency)
            .collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len().checked_sub(1)? / 2).copied()
    }

    fn eject(&mut self, target: Key<Target>, now: Instant) -> Option<Change> {
        let (probe, longest) = (self.options.base_ejection_time, self.options.max_ejection_time);
        let record = self.records.get_mut(&target)?;
        // A relapse soon after a successful probe continues the doubling.
        record.interval = match record.readmitted {
            Some(at) if now.since(at) < record.interval * 4 => (record.interval * 2).min(longest),
            _ => probe,
        };
        record.state = State::Ejected { until: now + record.interval };
        Some(Change { target, health: Health::Ejected })
    }

    fn readmit(&mut self, target: Key<Target>, now: Instant) -> Option<Change> {
        let record = self.records.get_mut(&target)?;
        record.state = State::Normal { slow_since: None };
        record.readmitted = Some(now);
        Some(Change { target, health: Health::Healthy })
    }

    fn fail(&mut self, target: Key<Target>, now: Instant) -> Option<Change> {
        let longest = self.options.max_ejection_time;
        let record = self.records.get_mut(&target)?;
        record.interval = (record.interval * 2).min(longest);
        record.state = State::Ejected { until: now + record.interval };
        Some(Change { target, health: Health::Ejected })
    }
}
