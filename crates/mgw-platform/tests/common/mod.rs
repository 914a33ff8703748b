//! Client options shared by the tests of the adapters.

use std::time::Duration;

use mgw_platform::transport::Options;

/// Timeout of calls that are expected to time out.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(80);

/// Timeout of all other calls, long enough for a busy machine.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(2);

/// Options of a client whose calls are expected to be answered.
pub fn long_timeouts() -> Options {
    Options {
        connect_timeout: LONG_TIMEOUT,
        response_timeout: LONG_TIMEOUT,
        idle_timeout: LONG_TIMEOUT,
        ..Options::default()
    }
}

/// Options of a client whose calls are expected to time out.
pub fn short_timeouts() -> Options {
    Options {
        connect_timeout: SHORT_TIMEOUT,
        response_timeout: SHORT_TIMEOUT,
        idle_timeout: SHORT_TIMEOUT,
        ..Options::default()
    }
}
