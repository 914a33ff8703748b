//! The directory: tells callers the addresses of the entries.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_wire::frame::Phase;
use rand::Rng;
use smol_str::SmolStr;

use crate::view::{Entry, Status, View};

/// How long a caller may cache an answer, in ms.
pub const TTL_MS: u32 = 10_000;

/// Maximum number of entries in an answer.
///
/// All 420 entries of the largest fleet would make an answer of 60 KB, and a caller seldom tries
/// more than a few.
pub const MAX_ENTRIES: usize = 24;

/// Weight of an entry that has served for [`SLOW_START_WINDOW`] or longer.
pub const FULL_WEIGHT: u32 = 100;

/// Time over which the weight of a new entry rises linearly to [`FULL_WEIGHT`].
pub const SLOW_START_WINDOW: Duration = Duration::from_secs(30);

/// An entry as the answer lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address at which the entry accepts callers.
    pub address: SmolStr,
    /// The entry's availability zone.
    pub zone: SmolStr,
    /// Relative share of new calls that the entry should get, from 1 to [`FULL_WEIGHT`].
    pub weight: u32,
    /// Prefix of the idempotency keys whose bookings only this incarnation of the entry runs.
    pub key_prefix: SmolStr,
}

/// The directory's answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How long the caller may cache the answer, in ms.
    pub ttl_ms: u32,
    /// The entries, at most [`MAX_ENTRIES`], in the order in which the caller should try them.
    pub entries: Vec<Endpoint>,
}

/// Returns the answer for a caller in `zone`, or for one that names no zone.
///
/// Only serving entries are listed; starting and draining ones are left out. Live entries come
/// first; among them, those of the caller's zone come before others if that zone has enough weight.
/// Otherwise the order is a shuffle weighted by [`Endpoint::weight`], so that callers that use only
/// the first entry are spread by weight as well. Suspect entries come last, with weight 1.
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
    let preferred = zone.filter(|zone| has_sufficient_weight(&candidates, zone));
    let mut ordered: Vec<((bool, bool, f64), Endpoint)> = candidates
        .iter()
        .map(|&(entry, status, weight)| {
            let other_zone = preferred.is_some_and(|zone| entry.heartbeat.zone != zone);
            // Sorting by exponential variates whose rates are the weights is a weighted shuffle.
            let variate = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / f64::from(weight);
            ((status == Status::Suspect, other_zone, variate), endpoint(entry, weight))
        })
        .collect();
    ordered.sort_by(|(left, _), (right, _)| {
        (left.0, left.1).cmp(&(right.0, right.1)).then(left.2.total_cmp(&right.2))
    });
    let entries = ordered.into_iter().map(|(_, endpoint)| endpoint).take(MAX_ENTRIES).collect();
    Answer { ttl_ms: TTL_MS, entries }
}

/// Returns the prefix of the idempotency keys whose bookings only `incarnation` runs.
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

/// Returns whether the live entries of `zone` have at least half of the average weight per zone.
///
/// All callers of a zone prefer its entries. Without this check, the first entry to come back after
/// the loss of a zone would get all calls of that zone. Until the zone has enough weight again, its
/// callers use the entries of all zones.
fn has_sufficient_weight(candidates: &[(&Entry, Status, u32)], zone: &str) -> bool {
    let mut zones: Vec<&str> =
        candidates.iter().map(|(entry, _, _)| entry.heartbeat.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let live_weight = |wanted: Option<&str>| -> u64 {
        candidates
            .iter()
            .filter(|(entry, status, _)| {
                *status == Status::Live && wanted.is_none_or(|zone| entry.heartbeat.zone == zone)
            })
            .map(|(_, _, weight)| u64::from(*weight))
            .sum()
    };
    let own = live_weight(Some(zone));
    own > 0 && own * 2 * zones.len() as u64 >= live_weight(None)
}

fn endpoint(entry: &Entry, weight: u32) -> Endpoint {
    Endpoint {
        address: SmolStr::new(&entry.heartbeat.caller_address),
        zone: SmolStr::new(&entry.heartbeat.zone),
        weight,
        key_prefix: key_prefix(entry.heartbeat.incarnation),
    }
}
