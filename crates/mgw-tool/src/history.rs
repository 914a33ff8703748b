//! The configuration in force and its history, as entries report them.

use mgw_sheet::{Change, diff};
use serde::Deserialize;

use crate::client::{Client, Error};

/// A version that was or is in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Revision {
    /// Its version.
    pub version: u64,
    /// The publication that made it.
    #[serde(default)]
    pub publication: String,
    /// When the log service appended it, in ms since 1970.
    #[serde(default)]
    pub at_ms: u64,
}

/// A configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its version; 0 before the first publication.
    pub version: u64,
    /// The publication that made it.
    #[serde(default)]
    pub publication: String,
    /// The sheet as CSV.
    #[serde(default)]
    pub sheet: String,
    /// Versions up to this one, as far as they are kept.
    #[serde(default)]
    pub history: Vec<Revision>,
}

impl Config {
    /// The version that a publication made, if this configuration or its history has it.
    pub fn version_of(&self, publication: &str) -> Option<u64> {
        let current = (self.publication == publication).then_some(self.version);
        let revision = || self.history.iter().find(|revision| revision.publication == publication);
        current.or_else(|| revision().map(|revision| revision.version))
    }

    /// Whether the history certainly lists every version above `base`: it does if it reaches back
    /// to `base` or further.
    pub fn reaches_back_to(&self, base: u64) -> bool {
        self.history.iter().any(|revision| revision.version <= base)
    }
}

/// Fetches the configuration in force.
///
/// # Errors
///
/// No entry gave an answer of the right form.
pub async fn fetch_current(client: &Client) -> Result<Config, Vec<Error>> {
    fetch(client, "/operator/v1/config").await
}

/// Fetches the configuration in force from every entry and returns the newest one, because an entry
/// may lag behind the log.
///
/// # Errors
///
/// The errors of all entries, if none gave an answer of the right form.
pub async fn fetch_newest(client: &Client) -> Result<Config, Vec<Error>> {
    let mut newest: Option<Config> = None;
    let mut errors = Vec::new();
    for entry in client.entries() {
        let reply = client.get_from(*entry, "/operator/v1/config").await;
        match reply.and_then(|reply| reply.json::<Config>()) {
            Ok(config) if newest.as_ref().is_some_and(|known| known.version >= config.version) => {}
            Ok(config) => newest = Some(config),
            Err(error) => errors.push(error),
        }
    }
    newest.ok_or(errors)
}

/// Fetches a version of the history.
///
/// # Errors
///
/// No entry gave an answer of the right form; status 404 if the version is not kept.
pub async fn fetch_version(client: &Client, version: u64) -> Result<Config, Vec<Error>> {
    fetch(client, &format!("/operator/v1/config/{version}")).await
}

async fn fetch(client: &Client, path: &str) -> Result<Config, Vec<Error>> {
    let reply = client.get(path).await?;
    reply.json().map_err(|error| vec![error])
}

/// The difference between the sheets of two configurations; `None` if one of the sheets does not
/// parse, such as the empty one before the first publication.
pub fn changes(old: &Config, new: &Config) -> Option<Vec<Change>> {
    let old = mgw_sheet::parse(&old.sheet).ok()?;
    let new = mgw_sheet::parse(&new.sheet).ok()?;
    Some(diff(&old, &new))
}
