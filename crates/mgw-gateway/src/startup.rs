//! How a starting entry leaves the first reads of the store to others.
//!
//! When many entries start at the same time, and each reads the configuration and the list of all
//! servers, the reads take each of them longer the more servers there are. So a small entry waits a
//! while for what a reader sends it. It reads both itself if there is no reader, or if none has sent
//! them in time.

use std::cell::Cell;
use std::time::Duration;

use platform::settings::Settings;

/// Processor share in millicores below which an entry leaves the first reads of the store to others.
const SMALL_ENTRY_MILLICORES: u32 = 200;

/// Range of the times, in milliseconds, for which such an entry reads nothing at the first start of
/// the whole system, so that it can follow a reader from the beginning.
const DELAY_MS: std::ops::Range<u64> = 1_000..1_800;

/// Time after the start until which such an entry waits for a reader.
const READER_WAIT: Duration = Duration::from_secs(4);

/// The wait of a starting entry for a reader.
#[derive(Debug)]
pub struct Wait {
    /// Time after the start for which the entry reads nothing of the store.
    pub delay: Duration,
    /// Time after the start until which the entry waits for a reader; zero if it does not.
    limit: Duration,
    /// Whether no reader could be found.
    is_given_up: Cell<bool>,
}

impl Wait {
    /// The wait of a process with `settings`. `incarnation` spreads the delays.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let is_small = settings.cpu_millicores < SMALL_ENTRY_MILLICORES;
        let width = DELAY_MS.end - DELAY_MS.start;
        let delay = match settings.is_first_start && is_small {
            true => Duration::from_millis(DELAY_MS.start + incarnation % width),
            false => Duration::ZERO,
        };
        let limit = if is_small { READER_WAIT } else { Duration::ZERO };
        Self { delay, limit, is_given_up: Cell::new(false) }
    }

    /// Whether the entry may still wait, the time `age` after its start.
    pub fn lasts(&self, age: Duration) -> bool {
        age < self.limit && !self.is_given_up.get()
    }

    /// Records that the entry knows the others and none of them can be followed. At the first start
    /// of the whole system, readers may only just begin to serve.
    pub fn give_up(&self) {
        self.is_given_up.set(self.delay.is_zero());
    }
}
