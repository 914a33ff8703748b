//! The answer to a caller that asks for the addresses of entries.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_wire::frame::Phase;
use rand::Rng;
use smol_str::SmolStr;

use crate::view::{Entry, Status, View};

/// How long callers may use an answer, in ms.
pub const TTL_MS: u32 = 10_000;

/// Entries of an answer at most. All 420 of the largest fleet would make 60 KB; a caller seldom
/// tries more than a few.
pub const MAX_ENTRIES: usize = 24;

/// Weight of an entry that has served for `SLOW_START_WINDOW` or longer.
pub const FULL_WEIGHT: u32 = 100;

/// Time over which the weight of a new entry rises.
pub const SLOW_START_WINDOW: Duration = Duration::from_secs(30);

/// An entry in the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address for callers.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Share of new calls that the entry is to get, from 1 to [`FULL_WEIGHT`].
    pub weight: u32,
    /// Start of idempotency keys whose bookings only this incarnation runs.
    pub key_prefix: SmolStr,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How long it may be used, in ms.
    pub ttl_ms: u32,
    /// The entries in the order in which the caller should try them.
    pub entries: Vec<Endpoint>,
}

/// The answer for a caller in `zone`; `None` if the caller doesn't name its zone.
///
/// Serving entries come first, the caller's zone before others, in a random order in which an
/// entry's chance to be early follows its weight, so that callers that use only the first line
/// spread by weight too. Suspect entries come last with weight 1. Draining and starting entries
/// are left out.
pub fn answer<R>(view: &View, zone: Option<&str>, now: Instant, random: &mut R) -> Answer
where
    R: Rng,
{
    let candidates: Vec<(&Entry, Status, u32)> = view
        .iter(now)
        .filter(|(entry, status)| {
            *status != Status::Gone && entry.heartbeat.phase == Phase::Serving
        })
        .map(|(entry, status)| (entry, status, weight(entry, status, now)))
        .collect();
    let preferred = zone.filter(|zone| holds_its_share(&candidates, zone));
    let mut ordered: Vec<((bool, bool, f64), Endpoint)> = candidates
        .iter()
        .map(|&(entry, status, weight)| {
            let foreign = preferred.is_some_and(|zone| entry.heartbeat.zone != zone);
            // An exponential variate with the weight as its rate gives a weighted shuffle.
            let draw = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / f64::from(weight);
            ((status == Status::Suspect, foreign, draw), line(entry, weight))
        })
        .collect();
    ordered.sort_by(|(left, _), (right, _)| {
        (left.0, left.1).cmp(&(right.0, right.1)).then(left.2.total_cmp(&right.2))
    });
    let entries = ordered.into_iter().map(|(_, line)| line).take(MAX_ENTRIES).collect();
    Answer { ttl_ms: TTL_MS, entries }
}

/// The start of executor keys of an incarnation.
pub fn key_prefix(incarnation: u64) -> SmolStr {
    smol_str::format_smolstr!("mgw1.{incarnation:016x}.")
}

fn weight(entry: &Entry, status: Status, now: Instant) -> u32 {
    match status {
        Status::Live => {
            let served = entry.uptime(now).min(SLOW_START_WINDOW).as_millis() as u32;
            (FULL_WEIGHT * served / SLOW_START_WINDOW.as_millis() as u32).max(1)
        }
        Status::Suspect | Status::Gone => 1,
    }
}

/// Whether a zone's live entries have at least half of the average weight of a zone.
///
/// All callers of a zone prefer its entries. Right after the loss of a zone, the first new entry
/// would get the whole zone's calls; its callers use all zones until more of it is back.
fn holds_its_share(candidates: &[(&Entry, Status, u32)], zone: &str) -> bool {
    let mut zones: Vec<&str> =
        candidates.iter().map(|(entry, _, _)| entry.heartbeat.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let sum = |wanted: Option<&str>| -> u64 {
        candidates
            .iter()
            .filter(|(entry, status, _)| {
                *status == Status::Live && wanted.is_none_or(|zone| entry.heartbeat.zone == zone)
            })
            .map(|(_, _, weight)| u64::from(*weight))
            .sum()
    };
    let own = sum(Some(zone));
    own > 0 && own * 2 * zones.len() as u64 >= sum(None)
}

fn line(entry: &Entry, weight: u32) -> Endpoint {
    Endpoint {
        address: SmolStr::new(&entry.heartbeat.callers),
        zone: SmolStr::new(&entry.heartbeat.zone),
        weight,
        key_prefix: key_prefix(entry.heartbeat.incarnation),
    }
}
