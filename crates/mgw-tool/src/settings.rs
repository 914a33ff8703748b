//! Settings of the tool, which are read from flags and environment variables.

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

/// Bearer key that authenticates the operator at the entries.
pub const OPERATOR_KEY: Setting<Key> = Setting {
    name: "operator-key",
    parser: Key { min: 16, max: 256 },
    default: None,
    unit: "",
    secret: true,
    description: "bearer key of the operators interface; never printed",
};

/// Timeout for connecting and for the response head of one HTTP request.
pub const REQUEST_TIMEOUT: Setting<Millis> = Setting {
    name: "timeout-ms",
    parser: Millis { min: 100, max: 600_000 },
    default: Some("5000"),
    unit: "ms",
    secret: false,
    description: "bound of one HTTP request",
};

/// Time limit for polling for the outcome of a publication whose reply was lost. The default is
/// twice the time within which an accepted configuration is in force at every entry.
pub const SETTLE_TIMEOUT: Setting<Millis> = Setting {
    name: "settle-ms",
    parser: Millis { min: 0, max: 600_000 },
    default: Some("20000"),
    unit: "ms",
    secret: false,
    description: "how long to ask for the outcome of a publication whose reply was lost",
};

/// Settings of a command.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the operators interface of entries; empty if none are given.
    pub entries: Vec<SocketAddr>,
    /// Bearer key of the operator, if given.
    pub operator_key: Option<SmolStr>,
    /// Timeout for connecting and for the response head of one HTTP request.
    pub request_timeout: Duration,
    /// Time limit for polling for the outcome of a publication whose reply was lost.
    pub settle_timeout: Duration,
}

/// Reads the settings from flags and environment variables; flags take precedence. Entries and
/// operator key are mandatory if the command is `remote`, that is, sends requests to entries.
///
/// # Errors
///
/// Returns all faults of the settings, not only the first.
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
        // Both settings have a default, so they are present unless `finish` has returned faults.
        request_timeout: request_timeout.unwrap_or_default(),
        settle_timeout: settle_timeout.unwrap_or_default(),
    })
}
