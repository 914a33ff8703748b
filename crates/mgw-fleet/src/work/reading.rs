//! The prompts that a target has not read yet.

use std::time::Duration;

use mgw_base::time::Instant;

/// Longest time that all prompts at a target are taken to need. A target with more refuses requests,
/// and a wrong report must not keep requests away for longer.
const MAX_BACKLOG: Duration = Duration::from_secs(4);

/// The prompts that a target has not read yet, kept as the time at which it will have read them all:
/// it reads them one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreadPrompts {
    ends_at: Instant,
}

impl UnreadPrompts {
    /// Adds a prompt that is sent at `now` and takes `read` to be read.
    pub fn add(&mut self, read: Duration, now: Instant) {
        self.ends_at = (self.ends_at.max(now) + read).min(now + MAX_BACKLOG);
    }

    /// When the target will have read all prompts.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Time that the target needs for the prompts that it has not read at `now`.
    pub fn left(&self, now: Instant) -> Duration {
        self.ends_at.since(now)
    }
}
