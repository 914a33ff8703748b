//! Declares and reads the daemon's settings, each a flag or an environment variable.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use mgw_settings::parser::{Address, Choice, Integer, Key, List, Millis, Name, Text};
use mgw_settings::{Error, Reader, Setting};
use smol_str::SmolStr;

/// A setting that is an address and has no default.
const fn address(name: &'static str, about: &'static str) -> Setting<Address> {
    Setting { name, parser: Address, default: None, unit: "", secret: false, description: about }
}

/// Name of the entry instance; must be its name in the platform's instance list.
pub const NAME: Setting<Name> = Setting {
    name: "name",
    parser: Name,
    default: None,
    unit: "",
    secret: false,
    description: "name of the entry instance, as in the instance list",
};

/// Availability zone of the entry instance. In `region/zone` the first part is the region.
pub const ZONE: Setting<Text> = Setting {
    name: "zone",
    parser: Text { min: 1, max: 64 },
    default: None,
    unit: "",
    secret: false,
    description: "availability zone; the part before a slash, if any, is the region",
};

/// Listen address of the HTTP interface for callers.
pub const CALLERS: Setting<Address> = address("callers", "address for callers");

/// Listen address of the HTTP interface for operators.
pub const OPERATORS: Setting<Address> = address("operators", "address for operators");

/// Listen address of the links from other entries.
pub const PEERS: Setting<Address> = address("peers", "address for other entries");

/// Addresses, on their peers ports, of the entries that gossip starts with; may be empty.
pub const SEEDS: Setting<List<Address>> = Setting {
    name: "seeds",
    parser: List { item: Address, min: 0, max: 1_000 },
    default: Some(""),
    unit: "",
    secret: false,
    description: "peers addresses of entries to begin gossip with",
};

/// Address of the log service.
pub const LOG: Setting<Address> = address("log", "address of the log service");

/// Stream of the log service that holds the control records.
pub const STREAM: Setting<Name> = Setting {
    name: "stream",
    parser: Name,
    default: Some("control"),
    unit: "",
    secret: false,
    description: "stream of the log service",
};

/// Address of the instance list.
pub const LIST: Setting<Address> = address("list", "address of the instance list");

/// Address of the weight store.
pub const WEIGHTS: Setting<Address> = address("weights", "address of the weight store");

/// Bearer keys that the operators interface accepts. There may be several, so that a key can be
/// replaced while in use.
pub const OPERATOR_KEYS: Setting<List<Key>> = Setting {
    name: "operator-keys",
    parser: List { item: Key { min: 16, max: 256 }, min: 1, max: 8 },
    default: None,
    unit: "",
    secret: true,
    description: "bearer keys of the operators interface; several while keys are changed",
};

/// Secrets that all entries share. The first is sent and all are accepted, so that a secret can be
/// replaced while entries run.
pub const PEER_SECRETS: Setting<List<Key>> = Setting {
    name: "peer-secrets",
    parser: List { item: Key { min: 16, max: 256 }, min: 1, max: 8 },
    default: None,
    unit: "",
    secret: true,
    description: "shared secrets of the entries; the first is sent, all are accepted",
};

/// Format of log lines on standard error.
pub const LOG_FORM: Setting<Choice> = Setting {
    name: "log-form",
    parser: Choice(&["plain", "json"]),
    default: Some("plain"),
    unit: "",
    secret: false,
    description: "form of the events on standard error",
};

/// Lowest severity of events and of records of the log target `mgw` that is logged. It does not
/// affect other targets.
pub const LOG_LEVEL: Setting<Choice> = Setting {
    name: "log-level",
    parser: Choice(&["error", "warn", "info", "debug"]),
    default: Some("info"),
    unit: "",
    secret: false,
    description: "least severity of logged events",
};

/// UDP address of the StatsD receiver. Without it, metrics are dropped.
pub const STATSD: Setting<Address> = address("statsd", "receiver of metrics (StatsD over UDP)");

/// Maximum body size of a caller's request, in bytes.
pub const BODY_LIMIT: Setting<Integer> = Setting {
    name: "body-limit",
    parser: Integer { min: 1_024, max: 64 << 20 },
    default: Some("4194304"),
    unit: "bytes",
    secret: false,
    description: "largest body of a caller's request",
};

/// Deadline of requests without an `x-deadline-ms` header.
pub const DEADLINE: Setting<Millis> = Setting {
    name: "deadline-ms",
    parser: Millis { min: 100, max: 600_000 },
    default: Some("60000"),
    unit: "ms",
    secret: false,
    description: "deadline of requests without x-deadline-ms",
};

/// Maximum time that a shutdown waits until callers no longer use the entry's address and the requests
/// in flight have ended.
pub const SHUTDOWN: Setting<Millis> = Setting {
    name: "shutdown-ms",
    parser: Millis { min: 0, max: 3_600_000 },
    default: Some("900000"),
    unit: "ms",
    secret: false,
    description: "longest time that a shutdown waits for requests in flight",
};

/// All settings as rows of the Markdown table in the operators' documentation, in the order of the
/// flags.
pub fn rows() -> [String; 18] {
    [
        NAME.markdown_row(),
        ZONE.markdown_row(),
        CALLERS.markdown_row(),
        OPERATORS.markdown_row(),
        PEERS.markdown_row(),
        SEEDS.markdown_row(),
        LOG.markdown_row(),
        STREAM.markdown_row(),
        LIST.markdown_row(),
        WEIGHTS.markdown_row(),
        OPERATOR_KEYS.markdown_row(),
        PEER_SECRETS.markdown_row(),
        LOG_FORM.markdown_row(),
        LOG_LEVEL.markdown_row(),
        STATSD.markdown_row(),
        BODY_LIMIT.markdown_row(),
        DEADLINE.markdown_row(),
        SHUTDOWN.markdown_row(),
    ]
}

/// Values of the daemon's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the entry instance, as in the instance list.
    pub name: SmolStr,
    /// Availability zone, with its region before a slash if it has one.
    pub zone: SmolStr,
    /// Listen address of the HTTP interface for callers.
    pub callers_address: SocketAddr,
    /// Listen address of the HTTP interface for operators.
    pub operators_address: SocketAddr,
    /// Listen address of the links from other entries.
    pub peers_address: SocketAddr,
    /// Addresses, on their peers ports, of the entries that gossip starts with.
    pub seeds: Vec<SocketAddr>,
    /// Address of the log service.
    pub log_address: SocketAddr,
    /// Stream of the log service that holds the control records.
    pub log_stream: SmolStr,
    /// Address of the instance list.
    pub list_address: SocketAddr,
    /// Address of the weight store.
    pub weights_address: SocketAddr,
    /// Bearer keys that the operators interface accepts.
    pub operator_keys: Vec<SmolStr>,
    /// Secrets that all entries share: the first is sent, all are accepted.
    pub peer_secrets: Vec<SmolStr>,
    /// Format of log lines: `plain` or `json`.
    pub log_form: SmolStr,
    /// Lowest severity of events and of records of the log target `mgw` that is logged: `error`,
    /// `warn`, `info` or `debug`.
    pub log_level: SmolStr,
    /// UDP address of the StatsD receiver; `None` drops all metrics.
    pub statsd: Option<SocketAddr>,
    /// Maximum body size of a caller's request, in bytes.
    pub body_limit: usize,
    /// Deadline of requests without an `x-deadline-ms` header, from their arrival.
    pub default_deadline: Duration,
    /// Maximum time that a shutdown waits until callers no longer use the entry's address and the
    /// requests in flight have ended.
    pub shutdown_timeout: Duration,
}

/// Reads the settings from flags and environment variables.
///
/// # Errors
///
/// Returns the faults of all settings, not only of the first faulty one.
pub fn read<E>(flags: Vec<(&'static str, String)>, environment: E) -> Result<Config, Vec<Error>>
where
    E: IntoIterator<Item = (OsString, OsString)>,
{
    let mut reader = Reader::new(flags, environment);
    let name = reader.required(&NAME);
    let zone = reader.required(&ZONE);
    let callers = reader.required(&CALLERS);
    let operators = reader.required(&OPERATORS);
    let peers = reader.required(&PEERS);
    let seeds = reader.required(&SEEDS);
    let log = reader.required(&LOG);
    let stream = reader.required(&STREAM);
    let list = reader.required(&LIST);
    let weights = reader.required(&WEIGHTS);
    let operator_keys = reader.required(&OPERATOR_KEYS);
    let peer_secrets = reader.required(&PEER_SECRETS);
    let log_form = reader.required(&LOG_FORM);
    let log_level = reader.required(&LOG_LEVEL);
    let statsd = reader.optional(&STATSD);
    let body_limit = reader.required(&BODY_LIMIT);
    let deadline = reader.required(&DEADLINE);
    let shutdown = reader.required(&SHUTDOWN);
    reader.finish()?;
    let read = || {
        Some(Config {
            name: name?,
            zone: zone?,
            callers_address: callers?,
            operators_address: operators?,
            peers_address: peers?,
            seeds: seeds?,
            log_address: log?,
            log_stream: stream?,
            list_address: list?,
            weights_address: weights?,
            operator_keys: operator_keys?,
            peer_secrets: peer_secrets?,
            log_form: SmolStr::new(log_form?),
            log_level: SmolStr::new(log_level?),
            statsd,
            body_limit: usize::try_from(body_limit?).ok()?,
            default_deadline: deadline?,
            shutdown_timeout: shutdown?,
        })
    };
    // `finish` has already returned a fault for each missing value.
    read().ok_or_else(Vec::new)
}
