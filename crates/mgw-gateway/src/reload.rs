//! Reload of the settings while the process runs.
//!
//! The platform replaces the settings file, with or without SIGHUP. New settings are applied at once
//! or, if any of them is invalid, not at all.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use mgw_event::Kind;
use mgw_event::event::Body;
use platform::settings::{Change, Settings};
use tokio::signal::unix::Signal;

use crate::clock;
use crate::gateway::Gateway;

pub mod watch;

use watch::{CHECK_INTERVAL, Step, Watch};

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

/// The settings file and the signal that announces its changes.
#[derive(Debug)]
pub struct Options {
    /// Path of the file.
    pub path: PathBuf,
    /// SIGHUP, after which the file is read at once.
    pub hangup: Signal,
}

/// Reads the file after each SIGHUP and at an interval, for as long as the process runs. An error is
/// recorded once, until the file changes again.
pub async fn run(gateway: Rc<Gateway>, options: Options) {
    let Options { path, mut hangup } = options;
    let mut watch = Watch::default();
    let mut wait = CHECK_INTERVAL;
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(wait) => {}
        }
        let read = std::fs::read_to_string(&path).map_err(Error::Read);
        wait = match watch.observe(read, clock::now()) {
            Step::Wait(wait) => wait,
            Step::Apply(newer) => {
                apply(&gateway, &newer);
                CHECK_INTERVAL
            }
            Step::Report(error) => {
                gateway.record(Body::new(Kind::SettingsRejected).text(error.to_string()));
                CHECK_INTERVAL
            }
        };
    }
}

/// Applies settings that differ from those in use, and records what has changed.
fn apply(gateway: &Gateway, newer: &Settings) {
    let changes = gateway.settings().changes(newer);
    if changes.is_empty() {
        return;
    }
    gateway.apply_settings(newer);
    let texts: Vec<String> = changes.iter().map(Change::to_string).collect();
    gateway.record(Body::new(Kind::SettingsChanged).text(texts.join("; ")));
}
