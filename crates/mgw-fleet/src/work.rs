//! What a request costs a group, and what a group still has to do.
//!
//! A group alternates between reading prompts and writing output. A prompt takes its whole reading
//! time from the group, and delays the first event of each request behind it and the next event of
//! each stream there. So the choice of a group (see [`crate::balance`]) looks at the prompts that a
//! group has not read yet and at its speed, beside the number of its requests.
//!
//! The work of plain servers is learned: how long requests of a kind take there ([`service_time`]), what
//! is left of those that run ([`left`]), and how fast a server is ([`speed`]).

pub mod left;
pub mod reading;
pub mod report;
pub mod service_time;
pub mod slowdown;
pub mod speed;
pub mod timing;

use std::time::Duration;

pub use reading::UnreadPrompts;
pub use slowdown::Slowdown;
pub use speed::Speed;
pub use timing::Timing;

/// Longest predicted time in seconds, as a configuration may state any speed.
const MAX_PREDICTED_S: f64 = 3_600.0;

/// A predicted time of `seconds`, limited to [`MAX_PREDICTED_S`].
fn predicted_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_PREDICTED_S))
}

/// What is known of a group's work when a request is about to be sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// Estimated number of requests of all entries at the group.
    pub requests: f64,
    /// Time that the group needs for the prompts that it has not read yet.
    pub reading: Duration,
    /// Learned factor on all times of the group, at least 1.
    pub slowdown: f64,
}
