//! Reload of the settings while the process runs.
//!
//! The platform replaces the settings file, with or without SIGHUP. New settings are applied at once
//! or, if any of them is invalid, not at all.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mgw_event::Kind;
use mgw_event::event::Body;
use platform::settings::{Change, Settings};
use tokio::signal::unix::Signal;

use crate::gateway::Gateway;

/// Interval at which the file is read without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Why the settings could not be reloaded. Those in use stay in force.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    Read(io::Error),
    /// The file is not valid, or was not completely written.
    Invalid(platform::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Read(cause) => write!(formatter, "read the settings file: {cause}"),
            Error::Invalid(cause) => write!(formatter, "{cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// The settings file and what was last found in it.
#[derive(Debug)]
pub struct Options {
    /// Path of the file.
    pub path: PathBuf,
    /// SIGHUP, after which the file is read at once.
    pub hangup: Signal,
}

/// Result of reading the file again.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The file is as it was last read.
    Unchanged,
    /// The settings are in use, with these changes; those that need a restart are not.
    Applied(Vec<Change>),
}

/// Reads the file after each SIGHUP and at an interval, for as long as the process runs. An error is
/// recorded once, until the file changes again.
pub async fn run(gateway: Rc<Gateway>, options: Options) {
    let Options { path, mut hangup } = options;
    let mut last_text = std::fs::read_to_string(&path).ok();
    let mut last_error: Option<String> = None;
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let read = std::fs::read_to_string(&path).map_err(Error::Read);
        let result = read.and_then(|text| reload(&gateway, &mut last_text, text));
        let error = match result {
            Ok(Outcome::Unchanged) => continue,
            Ok(Outcome::Applied(changes)) => {
                record_changes(&gateway, &changes);
                None
            }
            Err(error) => Some(error.to_string()),
        };
        if let Some(text) = error.as_ref().filter(|_| error != last_error) {
            gateway.record(Body::new(Kind::SettingsRejected).text(text));
        }
        last_error = error;
    }
}

/// Applies the `text` of the settings file, unless it is `last_text`.
///
/// # Errors
///
/// The settings are not valid; nothing has changed.
fn reload(
    gateway: &Gateway,
    last_text: &mut Option<String>,
    text: String,
) -> Result<Outcome, Error> {
    if last_text.as_ref() == Some(&text) {
        return Ok(Outcome::Unchanged);
    }
    let parsed = Settings::parse(&text);
    *last_text = Some(text);
    let newer = parsed.map_err(Error::Invalid)?;
    let changes = gateway.settings().changes(&newer);
    gateway.apply_settings(&newer);
    Ok(Outcome::Applied(changes))
}

/// Records what has changed, if anything has.
fn record_changes(gateway: &Gateway, changes: &[Change]) {
    let texts: Vec<String> = changes.iter().map(Change::to_string).collect();
    if !texts.is_empty() {
        gateway.record(Body::new(Kind::SettingsChanged).text(texts.join("; ")));
    }
}
