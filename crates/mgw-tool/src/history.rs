//! The configuration in force and its earlier versions, as the entries report them.

use mgw_sheet::{Change, diff};
use serde::Deserialize;

use crate::client::{Client, Error};

/// A version of the configuration that is or was in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Revision {
    /// Version number.
    pub version: u64,
    /// Id of the publication that created the version.
    #[serde(default)]
    pub publication: String,
    /// Time at which the log service appended the version, in ms since the Unix epoch.
    #[serde(default)]
    pub at_ms: u64,
}

/// A version of the configuration with its sheet.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Version number, 0 before the first publication.
    pub version: u64,
    /// Id of the publication that created the version.
    #[serde(default)]
    pub publication: String,
    /// Text of the sheet in CSV.
    #[serde(default)]
    pub sheet: String,
    /// Versions up to this one that the entry still keeps.
    #[serde(default)]
    pub history: Vec<Revision>,
}

impl Config {
    /// Returns the version that a publication created, if it is this one or in the history.
    pub fn version_of(&self, publication: &str) -> Option<u64> {
        let current = (self.publication == publication).then_some(self.version);
        let earlier = || self.history.iter().find(|revision| revision.publication == publication);
        current.or_else(|| earlier().map(|revision| revision.version))
    }

    /// Returns whether the history contains `base` or an earlier version. If so, it lists every
    /// version after `base`.
    pub fn reaches_back_to(&self, base: u64) -> bool {
        self.history.iter().any(|revision| revision.version <= base)
    }
}

/// Fetches the configuration in force.
///
/// # Errors
///
/// No entry sent a well-formed reply.
pub async fn fetch_current(client: &Client) -> Result<Config, Vec<Error>> {
    fetch_config(client, "/operator/v1/config").await
}

/// Fetches the configuration in force from every entry and returns the newest one, because entries
/// may lag behind the log.
///
/// # Errors
///
/// Returns the errors of all entries if none sent a well-formed reply.
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

/// Fetches an earlier version of the configuration.
///
/// # Errors
///
/// No entry sent a well-formed reply. The status is 404 if the entry no longer keeps the version.
pub async fn fetch_version(client: &Client, version: u64) -> Result<Config, Vec<Error>> {
    fetch_config(client, &format!("/operator/v1/config/{version}")).await
}

/// Fetches a configuration from the first entry that replies with status 200.
async fn fetch_config(client: &Client, path: &str) -> Result<Config, Vec<Error>> {
    let reply = client.get(path).await?;
    reply.json().map_err(|error| vec![error])
}

/// Returns the differences between the sheets of two configurations, or `None` if one of the sheets
/// cannot be parsed, such as the empty sheet before the first publication.
pub fn changes(old: &Config, new: &Config) -> Option<Vec<Change>> {
    let old = mgw_sheet::parse(&old.sheet).ok()?;
    let new = mgw_sheet::parse(&new.sheet).ok()?;
    Some(diff(&old, &new))
}
