//! The monotonic clock and the wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use mgw_base::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// The time on `CLOCK_BOOTTIME`, a monotonic clock that also advances while the machine is
/// suspended.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Milliseconds since the Unix epoch on the wall clock; 0 if the clock is set to an earlier time.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
