//! Shared by the tests of the adapters: time bounds of clients.

use std::time::Duration;

use mgw_platform::transport::Options;

/// Bound of the calls that are to end with a timeout.
pub const WAIT: Duration = Duration::from_millis(80);

/// Bound of all other calls, so that they pass on a busy machine.
pub const LONG: Duration = Duration::from_secs(2);

/// Options of a client whose calls are to be answered.
pub fn options() -> Options {
    Options {
        connect_timeout: LONG,
        response_timeout: LONG,
        idle_timeout: LONG,
        ..Options::default()
    }
}

/// Options of a client whose calls are to time out.
pub fn impatient() -> Options {
    Options {
        connect_timeout: WAIT,
        response_timeout: WAIT,
        idle_timeout: WAIT,
        ..Options::default()
    }
}
