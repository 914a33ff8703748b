//! When refused callers come back, and how they are recognised.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;

/// Number of priorities that have a place of their own in the order of return.
const PRIORITIES: usize = 4;

/// Shortest time after which a refused caller is asked to come back. By then, all entries know the
/// load of the groups.
const MIN_DELAY: Duration = Duration::from_millis(200);

/// Part of the time until its deadline in which a refused caller is asked to come back. Callers
/// cannot be expected to wait for longer.
const DELAY_FRACTION: u32 = 3;

/// Part of the rate of served requests at which callers are asked to come back even if new requests
/// take all room.
const MIN_SHARE: f64 = 0.125;

/// Factor by which the weight of a stated timeout falls with each later one.
const TIMEOUT_DECAY: f64 = 0.99;

/// Share of a route's requests that must state its longest timeout. Then a shorter one shows that the
/// caller has used up the difference.
const MIN_USUAL_SHARE: f64 = 0.5;

/// Time for which a refused request is recognised.
const MEMORY_TIME: Duration = Duration::from_secs(10);

/// Maximum number of refused requests that are recognised.
const MAX_REMEMBERED: usize = 512;

/// The times at which refused callers are asked to come back: as many per second as can be served
/// beside new requests, those of higher priority first.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// By priority, the time after which the next caller may return. Rises with the priority's
    /// number, as a caller of lower priority returns after those of a higher one.
    free_from: [Instant; PRIORITIES],
}

impl Schedule {
    /// Returns per second for which there is room, where `served_per_s` are served and
    /// `arrivals_per_s` new ones arrive.
    pub fn rate(served_per_s: f64, arrivals_per_s: f64) -> f64 {
        (served_per_s - arrivals_per_s).max(served_per_s * MIN_SHARE).max(1e-3)
    }

    /// Reserves a time of return, and returns the time until then. A caller that has only
    /// `time_left` for its request is asked earlier than there is room for it: it may be served
    /// then, and would not come later.
    pub fn reserve(
        &mut self,
        priority: u8,
        rate: f64,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        let priority = usize::from(priority).min(PRIORITIES - 1);
        let at = self.free_from[priority].max(now + MIN_DELAY);
        let limit = (time_left / DELAY_FRACTION).max(MIN_DELAY);
        if at.since(now) > limit {
            return limit;
        }
        let interval = Duration::from_secs_f64((1.0 / rate.max(1e-3)).min(60.0));
        for free_from in &mut self.free_from[priority..] {
            *free_from = (*free_from).max(now + MIN_DELAY) + interval;
        }
        at.since(now)
    }
}

/// The requests that this entry has refused lately, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct RefusedRequests {
    by_fingerprint: Map<u128, Refusal>,
}

/// What is kept of a refused request.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// When the request first arrived.
    arrived: Instant,
    /// When it was refused.
    refused: Instant,
}

impl RefusedRequests {
    /// Records that a request was refused which first arrived at `arrived`.
    pub fn record(&mut self, fingerprint: u128, arrived: Instant, now: Instant) {
        self.by_fingerprint.retain(|_, it| now.since(it.refused) < MEMORY_TIME);
        if self.by_fingerprint.len() < MAX_REMEMBERED {
            self.by_fingerprint.insert(fingerprint, Refusal { arrived, refused: now });
        }
    }

    /// Takes a request that comes back, and returns when it first arrived; `None` if it is new.
    pub fn take(&mut self, fingerprint: u128, now: Instant) -> Option<Instant> {
        let refusal = self.by_fingerprint.remove(&fingerprint)?;
        (now.since(refusal.refused) < MEMORY_TIME).then_some(refusal.arrived)
    }
}

/// The timeouts that callers state for the requests of one route. A caller that comes back, mostly
/// at another entry, states what is left.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timeouts {
    longest: Duration,
    /// Decayed number of the requests that stated the longest one.
    stated_longest: f64,
    /// Decayed number of all requests that stated one.
    stated: f64,
}

impl Timeouts {
    /// Counts a request, and returns for how long its caller has been trying; zero if that cannot
    /// be told, because the callers of the route state timeouts of their own.
    pub fn record(&mut self, timeout: Duration) -> Duration {
        if timeout > self.longest {
            *self = Self { longest: timeout, ..Self::default() };
        }
        let is_longest = if timeout == self.longest { 1.0 } else { 0.0 };
        self.stated_longest = self.stated_longest * TIMEOUT_DECAY + is_longest;
        self.stated = self.stated * TIMEOUT_DECAY + 1.0;
        match self.stated_longest >= self.stated * MIN_USUAL_SHARE {
            true => self.longest - timeout,
            false => Duration::ZERO,
        }
    }
}
