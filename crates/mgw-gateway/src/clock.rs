//! The monotonic clock and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

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

/// Delay of a timer above which the process is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// Time in which a process handles what arrived while it was paused.
const RESUME_TIME: Duration = Duration::from_millis(50);

/// Sleeps for `interval`, and a little longer if the process was paused meanwhile. What arrived during
/// the pause is then handled before a caller takes its knowledge for outdated.
pub async fn sleep(interval: Duration) {
    let due = now() + interval;
    tokio::time::sleep(interval).await;
    if now().since(due) > PAUSE_THRESHOLD {
        tokio::time::sleep(RESUME_TIME).await;
    }
}
