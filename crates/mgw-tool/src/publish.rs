//! Publication of a sheet.
//!
//! A publication takes effect only if its base is the version in force at its offset in the log. So
//! at most one publication succeeds on a base, and a publication whose reply was lost is settled by
//! looking for its id in the configuration and its history.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::{Duration, Instant};

use mgw_sheet::{Change, Fault};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::client::{Client, Error, Kind};
use crate::history::{self, Config};

/// Time between two questions for the outcome.
const POLL: Duration = Duration::from_millis(250);

/// What to publish.
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// The sheet as CSV.
    pub sheet: &'a str,
    /// The version that the sheet was made from; `None` for the version in force at the start.
    pub base: Option<u64>,
    /// How long to ask for the outcome if the reply is lost.
    pub settle_timeout: Duration,
}

/// How the publication ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The sheet is in force, or was until a later publication.
    InForce {
        /// Its version.
        version: u64,
        /// The publication.
        publication: SmolStr,
        /// Whether the reply was lost and the outcome was learnt from the configuration.
        settled: bool,
        /// The difference to the base, if it is known.
        changes: Option<Vec<Change>>,
    },
    /// The version in force has the same content; nothing was sent.
    Unchanged {
        /// The version in force.
        version: u64,
    },
    /// The base is outdated; the publication has no effect.
    Conflict {
        /// The base.
        base: u64,
        /// The version in force.
        in_force: u64,
        /// What changed since the base, if it is known.
        changes: Option<Vec<Change>>,
    },
    /// The sheet has faults; the publication has no effect.
    Invalid(Vec<Fault>),
    /// The outcome could not be learnt in time.
    Unknown {
        /// The publication.
        publication: SmolStr,
        /// The base.
        base: u64,
        /// Why the reply is missing.
        cause: String,
    },
}

#[derive(Serialize)]
struct Request<'a> {
    publication: &'a str,
    base: u64,
    sheet: &'a str,
}

#[derive(Deserialize)]
struct Accepted {
    version: u64,
}

#[derive(Deserialize)]
struct Conflict {
    in_force: u64,
    #[serde(default)]
    changed: serde_json::Value,
}

#[derive(Deserialize)]
struct Invalid {
    faults: Vec<Fault>,
}

/// Publishes a sheet.
///
/// # Errors
///
/// The request was not sent, or the entry refused it for another reason than its content; it has no
/// effect.
pub async fn publish(client: &Client, options: &Options<'_>) -> Result<Outcome, Vec<Error>> {
    let sheet = match mgw_sheet::parse(options.sheet) {
        Ok(sheet) => sheet,
        Err(faults) => return Ok(Outcome::Invalid(faults)),
    };
    let current = history::fetch_newest(client).await?;
    let base = options.base.unwrap_or(current.version);
    if base != current.version {
        return Ok(conflict(client, base, Some(current)).await);
    }
    let old = mgw_sheet::parse(&current.sheet).ok();
    let changes = old.map(|old| mgw_sheet::diff(&old, &sheet));
    if changes.as_ref().is_some_and(Vec::is_empty) {
        return Ok(Outcome::Unchanged { version: base });
    }
    let publication = new_publication();
    let request = Request { publication: &publication, base, sheet: options.sheet };
    let cause = match client.post("/operator/v1/sheets", &request).await {
        Ok(reply) => match reply.status {
            200 => match reply.json::<Accepted>() {
                Ok(Accepted { version }) => {
                    return Ok(Outcome::InForce { version, publication, settled: false, changes });
                }
                Err(error) => error.to_string(),
            },
            409 => return Ok(rejected(client, base, &publication, &reply.json().ok()).await),
            422 => match reply.json::<Invalid>() {
                Ok(Invalid { faults }) => return Ok(Outcome::Invalid(faults)),
                Err(error) => return Err(vec![error]),
            },
            // Status 503 says that the record was not appended; any other status above 500 leaves
            // it open, since the entry may have failed after the append.
            500 | 502 | 504.. => reply.unexpected().to_string(),
            _ => return Err(vec![reply.unexpected()]),
        },
        Err(errors) => match errors.as_slice() {
            [error] if error.kind == Kind::NoReply => error.to_string(),
            _ => return Err(errors),
        },
    };
    let settled = settle(client, base, &publication, options.settle_timeout).await;
    Ok(match settled {
        Some(Settled::InForce(version)) => {
            Outcome::InForce { version, publication, settled: true, changes }
        }
        Some(Settled::Overtaken(current)) => conflict(client, base, Some(current)).await,
        None => Outcome::Unknown { publication, base, cause },
    })
}

enum Settled {
    InForce(u64),
    /// Another publication took effect on the same base, so this one never will.
    Overtaken(Config),
}

/// Asks for the configuration until it shows the outcome; `None` if the time is over.
async fn settle(client: &Client, base: u64, publication: &str, bound: Duration) -> Option<Settled> {
    let start = Instant::now();
    loop {
        for entry in client.entries() {
            // An entry that does not answer, or lags behind, is asked again in the next round.
            let Ok(reply) = client.get_from(*entry, "/operator/v1/config").await else { continue };
            let Ok(current) = reply.json::<Config>() else { continue };
            if let Some(version) = current.version_of(publication) {
                return Some(Settled::InForce(version));
            }
            if current.version > base && current.reaches_back_to(base) {
                return Some(Settled::Overtaken(current));
            }
        }
        if start.elapsed() >= bound {
            return None;
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// The outcome after status 409.
async fn rejected(
    client: &Client,
    base: u64,
    publication: &SmolStr,
    reply: &Option<Conflict>,
) -> Outcome {
    let current = history::fetch_newest(client).await.ok();
    // The entry may have repeated the append and found its own first one.
    if let Some(version) = current.as_ref().and_then(|current| current.version_of(publication)) {
        let publication = publication.clone();
        return Outcome::InForce { version, publication, settled: true, changes: None };
    }
    let mut outcome = conflict(client, base, current).await;
    if let (Some(reply), Outcome::Conflict { in_force, changes, .. }) = (reply, &mut outcome) {
        // The entry that refused may know a newer version than those asked since.
        *in_force = reply.in_force.max(*in_force);
        let listed: Option<Vec<Change>> = serde_json::from_value(reply.changed.clone()).ok();
        if let Some(listed) = listed.filter(|listed| !listed.is_empty()) {
            *changes = Some(listed);
        }
    }
    outcome
}

async fn conflict(client: &Client, base: u64, current: Option<Config>) -> Outcome {
    let old = history::fetch_version(client, base).await.ok();
    let changes = match (&old, &current) {
        (Some(old), Some(current)) => history::changes(old, current),
        _ => None,
    };
    Outcome::Conflict { base, in_force: current.map_or(0, |current| current.version), changes }
}

/// A new id of 128 bits. The standard library seeds its hash keys from the operating system.
fn new_publication() -> SmolStr {
    let random = || RandomState::new().build_hasher().finish();
    format_smolstr!("{:016x}{:016x}", random(), random())
}
