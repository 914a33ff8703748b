//! The end of a process that was told to stop.

mod common;

use std::time::Duration;

use common::at;
use mgw_fleet::shutdown::Shutdown;

/// Guards against streams that are taken long after the signal and cut off at the end (seen on a
/// day on which all machines were stopped in turn while they were busy).
#[test]
fn takes_late_requests_only_if_they_end_in_time() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(8));
    assert!(shutdown.accepts(at(18_500), at(12_000)), "just after the signal");
    assert!(!shutdown.accepts(at(20_000), at(13_500)), "a stream that may last beyond the end");
    assert!(shutdown.accepts(at(14_500), at(13_500)), "a booking that ends before");
}

/// Guards against a process that ends while callers still know its address, or never.
#[test]
fn ends_when_nobody_comes_any_more() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(8));
    assert!(!shutdown.should_exit(true, at(14_000)));
    assert!(shutdown.should_exit(true, at(16_600)));
    assert!(!shutdown.should_exit(false, at(16_600)));
    assert!(shutdown.should_exit(false, at(17_500)));
}

/// Guards against a request that is read between the decision to end and the end of the process, and
/// never answered (seen on a day on which all machines were stopped in turn while they were busy).
#[test]
fn takes_nothing_in_its_last_moments() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(8));
    assert!(shutdown.accepts(at(17_000), at(16_550)));
    assert!(!shutdown.closed().accepts(at(17_000), at(16_550)));
}
