//! What server processes state about themselves in their responses.
//!
//! The server list tells of a server what it last wrote to the store, as far as this entry has read
//! it. A response comes from the process itself, so what it states holds whatever the list says.

use std::time::Duration;

use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Longest pause that a server can ask for. A longer one is more likely an error of the server,
/// which would then get no requests until it restarts.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// One run of a server. A server that restarts under the same id is another process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Id in the server list.
    pub id: SmolStr,
    /// Start time; see [`crate::roster::Record::started_ms`].
    pub started_ms: u64,
}

/// What one process has stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is leaving: it finishes its requests and takes no new ones. A process does not
    /// take that back.
    pub is_leaving: bool,
    /// Until when it takes no requests from this entry. Other entries may send some.
    paused_until: Instant,
}

impl Notice {
    /// Applies a request for a pause from `now` on, unless an earlier one ends later. Returns
    /// whether there was no pause before.
    pub fn pause(&mut self, pause: Duration, now: Instant) -> bool {
        let is_new = self.pause_left(now).is_zero() && !pause.is_zero();
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        is_new
    }

    /// Time until the process takes requests from this entry again; zero if it does now.
    pub fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until.since(now)
    }
}
