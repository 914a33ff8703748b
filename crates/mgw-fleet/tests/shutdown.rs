//! Graceful shutdown.

mod common;

use std::time::Duration;

use common::at;
use mgw_fleet::shutdown::Shutdown;

/// Guards against streams that are accepted long after the signal and cut off when the process
/// exits. This happened when all machines were stopped in turn under load.
#[test]
fn accepts_late_requests_only_if_they_end_in_time() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(8));
    assert!(shutdown.accepts(at(18_500), at(12_000)), "a request just after the signal");
    assert!(!shutdown.accepts(at(20_000), at(13_500)), "a stream that may outlast the process");
    assert!(shutdown.accepts(at(14_500), at(13_500)), "a booking that ends before the process");
}

/// Guards against a process that exits while callers may still connect to its address, or that
/// never exits.
#[test]
fn exits_when_its_address_has_expired() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(8));
    assert!(!shutdown.should_exit(true, at(14_000)));
    assert!(shutdown.should_exit(true, at(16_600)));
    assert!(!shutdown.should_exit(false, at(16_600)));
    assert!(shutdown.should_exit(false, at(17_500)));
}

/// Guards against a request that is read between the decision to exit and the exit, and never
/// answered. This happened when all machines were stopped in turn under load.
#[test]
fn accepts_nothing_once_closed() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(8));
    assert!(shutdown.accepts(at(17_000), at(16_550)));
    assert!(!shutdown.closed().accepts(at(17_000), at(16_550)));
}

/// Guards against a request that is accepted late in the grace period and cut off without an answer,
/// as its deadline is that of the process.
#[test]
fn late_requests_end_before_the_process_does() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(8));
    assert!(shutdown.accepts(at(17_100), at(16_000)));
    assert!(!shutdown.accepts(at(17_400), at(16_000)), "100 ms before the exit");
}

/// Guards against requests that are accepted until the exit, whatever their deadlines, if the grace
/// period is short.
#[test]
fn a_short_grace_period_leaves_time_for_answers() {
    let shutdown = Shutdown::new(at(10_000), Duration::from_secs(3));
    assert!(shutdown.accepts(at(18_000), at(10_900)));
    assert!(!shutdown.accepts(at(18_000), at(11_100)));
}
