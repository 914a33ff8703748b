//! When an attempt at a server is given up because no response has begun.

use std::time::Duration;

use crate::config::{Kind, Route};

/// Minimum time of an attempt.
pub const MIN_TIME: Duration = Duration::from_millis(60);

/// Time of an attempt of an idempotent request, as a multiple of its route's latency target.
const LATENCY_TARGETS: u32 = 2;

/// Time without the first event after which a resumable stream may move to another group.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time without the head of a response after which a request may move to another server; `None` if
/// it never may.
pub fn response_timeout(route: &Route) -> Option<Duration> {
    match route.kind {
        Kind::AtMostOnce | Kind::Stream => None,
        Kind::Idempotent => Some((route.latency_target * LATENCY_TARGETS).max(MIN_TIME)),
        Kind::ResumableStream => Some(FIRST_EVENT_TIMEOUT),
    }
}
