//! Learned times that requests take at the servers of a plain service.
//!
//! An entry sees the route of a request and the size of its body, and how long servers took for such
//! requests before. Where the times of these kinds differ clearly, the choice of a server goes by work
//! (see [`crate::work::left`]); otherwise it goes by counts of requests.

use std::time::Duration;

use bincode::{Decode, Encode};
use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::config::Route;
use crate::work::Speed;

/// Half-life of the weight of an observed time.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Maximum number of kinds of a service. Further ones share [`Kind::OTHER`].
const MAX_KINDS: usize = 64;

/// Weight from which on the times of a kind count.
const MIN_WEIGHT: f64 = 8.0;

/// Ratio of two kinds' lower quartiles from which on their times differ clearly. A quartile of few times
/// varies, and it is known to a factor of 2 at best, the width of a bucket.
const MIN_RATIO: f64 = 4.0;

/// Number of buckets of a distribution. The bucket `n` has the times from 2^(n-1) to 2^n ms, the last
/// one all longer ones too.
const BUCKETS: usize = 16;

/// What an entry sees of a request before it is sent, as a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Kind(u64);

impl Kind {
    /// The kind of all requests beyond [`MAX_KINDS`].
    const OTHER: Self = Self(0);

    /// The kind of a request on `route` with a body of `body_bytes`. Bodies are told apart by factors
    /// of 4.
    pub fn new(route: &Route, body_bytes: usize) -> Self {
        let size_class = body_bytes.checked_ilog2().map_or(0, |log| 1 + log / 2);
        let parts =
            [route.host.as_bytes(), route.path_prefix.as_bytes(), &size_class.to_le_bytes()];
        Self(hash::parts(&parts) as u64)
    }
}

/// The observed times in one range.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Bucket {
    weight: f64,
    /// Sum of the times in seconds by their weights.
    sum_s: f64,
}

/// Distribution of the observed times of a kind. Older ones weigh less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Distribution {
    buckets: [Bucket; BUCKETS],
    /// When the weights were last reduced by age.
    reduced_at: Instant,
}

impl Distribution {
    /// The distribution of a kind of which only the mean time is known.
    fn with_mean(mean: Duration, now: Instant) -> Self {
        let mut distribution = Self { reduced_at: now, ..Self::default() };
        distribution.add(mean, MIN_WEIGHT);
        distribution
    }

    /// Records that a request took `time`.
    fn record(&mut self, time: Duration, now: Instant) {
        let half_lives = now.since(self.reduced_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-half_lives).exp2();
        for bucket in &mut self.buckets {
            bucket.weight *= factor;
            bucket.sum_s *= factor;
        }
        self.reduced_at = self.reduced_at.max(now);
        self.add(time, 1.0);
    }

    /// Adds `weight` requests that took `time`.
    fn add(&mut self, time: Duration, weight: f64) {
        let log = time.as_millis().checked_ilog2().map_or(0, |log| 1 + log as usize);
        let bucket = &mut self.buckets[log.min(BUCKETS - 1)];
        bucket.weight += weight;
        bucket.sum_s += time.as_secs_f64() * weight;
    }

    /// Total weight of the observed times.
    fn weight(&self) -> f64 {
        self.buckets.iter().map(|it| it.weight).sum()
    }

    /// Mean time in seconds; `None` before the first one.
    pub fn mean_s(&self) -> Option<f64> {
        self.remaining_s(0.0)
    }

    /// Mean time that a request needs beyond the `elapsed_s` that it has taken already, in seconds.
    /// `None` if no request took longer.
    pub fn remaining_s(&self, elapsed_s: f64) -> Option<f64> {
        let longer = self.buckets.iter().filter(|it| it.sum_s > elapsed_s * it.weight);
        let (weight, sum_s) =
            longer.fold((0.0, 0.0), |(weight, sum), it| (weight + it.weight, sum + it.sum_s));
        (weight > 0.0).then(|| sum_s / weight - elapsed_s)
    }

    /// A time that a quarter of the requests took at most, in seconds: the mean of the bucket with it.
    /// Unlike the mean, it is much the same if many of them waited for a slot. `None` if too few times
    /// are known.
    fn lower_quartile_s(&self) -> Option<f64> {
        let weight = Some(self.weight()).filter(|it| *it >= MIN_WEIGHT)?;
        let mut left = weight / 4.0;
        let bucket = self.buckets.iter().find(|it| {
            left -= it.weight;
            left <= 0.0
        })?;
        Some(bucket.sum_s / bucket.weight.max(f64::EPSILON))
    }
}

/// The learned times of a service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Times of each kind; at most [`MAX_KINDS`], and [`Kind::OTHER`].
    kinds: Map<Kind, Distribution>,
    /// Times of the requests of all kinds.
    all: Distribution,
    /// Whether the times of two kinds differ clearly, or did so when enough of two kinds were last known.
    is_uneven: bool,
}

impl Table {
    /// Records that a request took `time` at a server of usual speed.
    fn record(&mut self, kind: Kind, time: Duration, now: Instant) {
        let is_known = self.kinds.get(&kind).is_some() || self.kinds.len() < MAX_KINDS;
        let kind = if is_known { kind } else { Kind::OTHER };
        self.kinds.get_or_insert_with(kind, Distribution::default).record(time, now);
        self.all.record(time, now);
        self.compare_kinds();
    }

    /// Updates whether the times of the kinds differ clearly.
    fn compare_kinds(&mut self) {
        let quartiles = || self.kinds.iter().filter_map(|(_, it)| it.lower_quartile_s());
        if quartiles().nth(1).is_some() {
            let longest = quartiles().fold(0.0, f64::max);
            let shortest = quartiles().fold(f64::INFINITY, f64::min);
            self.is_uneven = longest >= shortest * MIN_RATIO;
        }
    }

    /// Records the answer to a request that took `time` at a server with this `speed`.
    pub fn record_answer(&mut self, kind: Kind, time: Duration, speed: &mut Speed, now: Instant) {
        let expected_s = self.remaining_s(kind, Duration::ZERO);
        if expected_s > 0.0 {
            speed.record(time.as_secs_f64(), expected_s, now);
        }
        let slowdown = speed.factor(self.mean_s(), now);
        self.record(kind, time.div_f64(slowdown), now);
    }

    /// Records the mean time of a kind that another entry has learned, unless this entry knows it.
    pub fn adopt(&mut self, kind: Kind, mean: Duration, now: Instant) {
        let is_unknown = self.kinds.get(&kind).is_none_or(|it| it.weight() < MIN_WEIGHT);
        if is_unknown && self.kinds.len() < MAX_KINDS {
            self.kinds.insert(kind, Distribution::with_mean(mean, now));
            self.compare_kinds();
        }
    }

    /// The kinds whose times are known, with their means.
    pub fn known(&self) -> impl Iterator<Item = (Kind, Duration)> {
        let known = self.kinds.iter().filter(|(_, it)| it.weight() >= MIN_WEIGHT);
        known.filter_map(|(kind, it)| Some((*kind, Duration::from_secs_f64(it.mean_s()?))))
    }

    /// Whether requests of different kinds take clearly different times.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Mean time of all requests in seconds; 0 before the first one.
    pub fn mean_s(&self) -> f64 {
        self.all.mean_s().unwrap_or(0.0)
    }

    /// Mean time that a request needs beyond the `elapsed` that it has taken already, in seconds. One
    /// that has taken longer than all others is taken to need as long again.
    pub fn remaining_s(&self, kind: Kind, elapsed: Duration) -> f64 {
        let known = self.kinds.get(&kind).or_else(|| self.kinds.get(&Kind::OTHER));
        let known = known.filter(|it| it.weight() >= 1.0).unwrap_or(&self.all);
        let elapsed_s = elapsed.as_secs_f64();
        known.remaining_s(elapsed_s).unwrap_or(elapsed_s)
    }
}
