//! The tool's settings.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use mgw_settings::parser::{Address, Key, List, Millis};
use mgw_settings::{Error, Reader, Setting};
use smol_str::SmolStr;

/// Addresses of the operators interface of entries.
pub const ENTRY: Setting<List<Address>> = Setting {
    name: "entry",
    parser: List { item: Address, min: 1, max: 1_000 },
    default: None,
    unit: "",
    secret: false,
    description: "entries to talk to; the flag may be repeated",
};

/// Bearer key of the operators.
pub const OPERATOR_KEY: Setting<Key> = Setting {
    name: "operator-key",
    parser: Key { min: 16, max: 256 },
    default: None,
    unit: "",
    secret: true,
    description: "bearer key of the operators interface; never printed",
};

/// Bound of one HTTP request.
pub const REQUEST_TIMEOUT: Setting<Millis> = Setting {
    name: "timeout-ms",
    parser: Millis { min: 100, max: 600_000 },
    default: Some("5000"),
    unit: "ms",
    secret: false,
    description: "bound of one HTTP request",
};

/// How long a lost reply is followed up. The default is twice the bound within which an accepted
/// configuration is in force everywhere.
pub const SETTLE_TIMEOUT: Setting<Millis> = Setting {
    name: "settle-ms",
    parser: Millis { min: 0, max: 600_000 },
    default: Some("20000"),
    unit: "ms",
    secret: false,
    description: "how long to ask for the outcome of a publication whose reply was lost",
};

/// The settings of a command.
#[derive(Clone, Debug)]
pub struct Options {
    /// Empty if none is given.
    pub entries: Vec<SocketAddr>,
    /// Absent if none is given.
    pub operator_key: Option<SmolStr>,
    /// Bound of one HTTP request.
    pub request_timeout: Duration,
    /// How long a lost reply is followed up.
    pub settle_timeout: Duration,
}

/// Reads the settings. Entries and key are mandatory for commands that are `remote`.
///
/// # Errors
///
/// All faults at once.
pub fn read<E>(
    flags: Vec<(&'static str, String)>,
    environment: E,
    remote: bool,
) -> Result<Options, Vec<Error>>
where
    E: IntoIterator<Item = (OsString, OsString)>,
{
    let mut reader = Reader::new(flags, environment);
    let (entries, operator_key) = if remote {
        (reader.required(&ENTRY), reader.required(&OPERATOR_KEY))
    } else {
        (reader.optional(&ENTRY), reader.optional(&OPERATOR_KEY))
    };
    let request_timeout = reader.required(&REQUEST_TIMEOUT);
    let settle_timeout = reader.required(&SETTLE_TIMEOUT);
    reader.finish()?;
    Ok(Options {
        entries: entries.unwrap_or_default(),
        operator_key,
        // Both have a default, so they are present when there is no fault.
        request_timeout: request_timeout.unwrap_or_default(),
        settle_timeout: settle_timeout.unwrap_or_default(),
    })
}
