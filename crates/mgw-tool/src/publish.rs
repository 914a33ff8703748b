//! Publication of a sheet.
//!
//! A publication takes effect only if its base is the version in force at its offset in the log.
//! Therefore at most one publication succeeds for each base. If the reply to a publication is lost,
//! its outcome is found by looking up its id in the configuration in force and its history.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::{Duration, Instant};

use mgw_sheet::{Change, Fault};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::client::{Client, Error, Kind};
use crate::history::{self, Config};

/// Interval between two polls for the outcome of a publication.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Parameters of a publication.
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// Text of the sheet in CSV.
    pub sheet: &'a str,
    /// Version that the sheet is based on, or `None` for the version in force at the start.
    pub base: Option<u64>,
    /// Time limit for polling for the outcome if the reply is lost.
    pub settle_timeout: Duration,
}

/// The result of a publication.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The sheet took effect. A later publication may have replaced it since.
    InForce {
        /// Version that the publication created.
        version: u64,
        /// Id of the publication.
        publication: SmolStr,
        /// Whether the outcome was found in the configuration because the reply was lost or did not
        /// report it.
        settled: bool,
        /// Changes since the base, if they are known.
        changes: Option<Vec<Change>>,
    },
    /// The version in force has the same content. Nothing was sent.
    Unchanged {
        /// Version in force.
        version: u64,
    },
    /// The base is outdated. The publication has no effect.
    Conflict {
        /// Base version of the publication.
        base: u64,
        /// Version in force, or 0 if no entry reported one.
        in_force: u64,
        /// Changes between the base and the version in force, if they are known.
        changes: Option<Vec<Change>>,
    },
    /// The sheet has faults. The publication has no effect.
    Invalid(Vec<Fault>),
    /// The outcome could not be determined within the time limit.
    Unknown {
        /// Id of the publication.
        publication: SmolStr,
        /// Base version of the publication.
        base: u64,
        /// Reason why there is no conclusive reply.
        cause: String,
    },
}

/// Body of the request.
#[derive(Serialize)]
struct Request<'a> {
    publication: &'a str,
    base: u64,
    sheet: &'a str,
}

/// Body of a reply with status 200.
#[derive(Deserialize)]
struct AcceptedReply {
    version: u64,
}

/// Body of a reply with status 409.
#[derive(Deserialize)]
struct ConflictReply {
    in_force: u64,
    #[serde(default)]
    changed: serde_json::Value,
}

/// Body of a reply with status 422.
#[derive(Deserialize)]
struct InvalidReply {
    faults: Vec<Fault>,
}

/// Publishes a sheet, unless it is invalid, unchanged or based on an outdated version.
///
/// # Errors
///
/// The request was not sent, or the entry refused it for a reason other than its content. It has no
/// effect.
pub async fn publish(client: &Client, options: &Options<'_>) -> Result<Outcome, Vec<Error>> {
    let sheet = match mgw_sheet::parse(options.sheet) {
        Ok(sheet) => sheet,
        Err(faults) => return Ok(Outcome::Invalid(faults)),
    };
    let current = history::fetch_newest(client).await?;
    let base = options.base.unwrap_or(current.version);
    if base != current.version {
        return Ok(conflict_outcome(client, base, Some(current)).await);
    }
    let old = mgw_sheet::parse(&current.sheet).ok();
    let changes = old.map(|old| mgw_sheet::diff(&old, &sheet));
    if changes.as_ref().is_some_and(Vec::is_empty) {
        return Ok(Outcome::Unchanged { version: base });
    }
    let publication = new_publication_id();
    let request = Request { publication: &publication, base, sheet: options.sheet };
    let cause = match client.post("/operator/v1/sheets", &request).await {
        Ok(reply) => match reply.status {
            200 => match reply.json::<AcceptedReply>() {
                Ok(AcceptedReply { version }) => {
                    return Ok(Outcome::InForce { version, publication, settled: false, changes });
                }
                Err(error) => error.to_string(),
            },
            409 => return Ok(handle_conflict(client, base, &publication, &reply.json().ok()).await),
            422 => match reply.json::<InvalidReply>() {
                Ok(InvalidReply { faults }) => return Ok(Outcome::Invalid(faults)),
                Err(error) => return Err(vec![error]),
            },
            // With status 503, the record was not appended to the log. With any other status from
            // 500 on, the outcome is unknown, since the entry may have failed after the append.
            500 | 502 | 504.. => reply.unexpected_status().to_string(),
            _ => return Err(vec![reply.unexpected_status()]),
        },
        Err(errors) => match errors.as_slice() {
            [error] if error.kind == Kind::NoReply => error.to_string(),
            _ => return Err(errors),
        },
    };
    let resolution = await_outcome(client, base, &publication, options.settle_timeout).await;
    Ok(match resolution {
        Some(Resolution::InForce(version)) => {
            Outcome::InForce { version, publication, settled: true, changes }
        }
        Some(Resolution::Superseded(current)) => {
            conflict_outcome(client, base, Some(current)).await
        }
        None => Outcome::Unknown { publication, base, cause },
    })
}

/// Outcome of a publication according to the configuration.
enum Resolution {
    /// The publication took effect and created this version.
    InForce(u64),
    /// Another publication took effect on the same base, so this one never will. The value is the
    /// configuration in force.
    Superseded(Config),
}

/// Polls the entries for the configuration until it shows the outcome of a publication. Returns
/// `None` after `timeout`.
async fn await_outcome(
    client: &Client,
    base: u64,
    publication: &str,
    timeout: Duration,
) -> Option<Resolution> {
    let start = Instant::now();
    loop {
        for entry in client.entries() {
            // An entry that fails to reply or lags behind the log is polled again in the next
            // round.
            let Ok(reply) = client.get_from(*entry, "/operator/v1/config").await else { continue };
            let Ok(current) = reply.json::<Config>() else { continue };
            if let Some(version) = current.version_of(publication) {
                return Some(Resolution::InForce(version));
            }
            if current.version > base && current.reaches_back_to(base) {
                return Some(Resolution::Superseded(current));
            }
        }
        if start.elapsed() >= timeout {
            return None;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Determines the outcome after a reply with status 409.
async fn handle_conflict(
    client: &Client,
    base: u64,
    publication: &SmolStr,
    reply: &Option<ConflictReply>,
) -> Outcome {
    let current = history::fetch_newest(client).await.ok();
    // The entry may have retried the append and conflicted with its own first attempt.
    if let Some(version) = current.as_ref().and_then(|current| current.version_of(publication)) {
        let publication = publication.clone();
        return Outcome::InForce { version, publication, settled: true, changes: None };
    }
    let mut outcome = conflict_outcome(client, base, current).await;
    if let (Some(reply), Outcome::Conflict { in_force, changes, .. }) = (reply, &mut outcome) {
        // The entry that sent the conflict may know a newer version than the entries that replied
        // since.
        *in_force = reply.in_force.max(*in_force);
        let reported: Option<Vec<Change>> = serde_json::from_value(reply.changed.clone()).ok();
        if let Some(reported) = reported.filter(|reported| !reported.is_empty()) {
            *changes = Some(reported);
        }
    }
    outcome
}

/// Returns the outcome for an outdated base, with the changes since then if the base can be
/// fetched.
async fn conflict_outcome(client: &Client, base: u64, current: Option<Config>) -> Outcome {
    let old = history::fetch_version(client, base).await.ok();
    let changes = match (&old, &current) {
        (Some(old), Some(current)) => history::changes(old, current),
        _ => None,
    };
    Outcome::Conflict { base, in_force: current.map_or(0, |current| current.version), changes }
}

/// Generates a random publication id of 128 bits. The randomness comes from the keys of the
/// standard library's hasher, which are seeded by the operating system.
fn new_publication_id() -> SmolStr {
    let random = || RandomState::new().build_hasher().finish();
    format_smolstr!("{:016x}{:016x}", random(), random())
}
