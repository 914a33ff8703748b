//! Which units this entry observes.
//!
//! Each unit has two observers, chosen by rendezvous hash over the live entries, those in the
//! unit's zone first. When an entry comes or goes, only units that it observes change observers.

use mgw_base::time::Instant;
use mgw_wire::frame::Phase;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::view::{Status, View};

/// The number of observers of each unit.
pub const OBSERVERS_PER_UNIT: usize = 2;

/// What is observed as a whole.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unit {
    /// A model group, by its id: an observer polls all members.
    Group(u64),
    /// An instance outside a group.
    Instance(SmolStr),
    /// A plain service's server.
    Server(SmolStr),
}

/// A unit and the availability zone that it is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The unit.
    pub unit: Unit,
    /// Its availability zone.
    pub zone: SmolStr,
}

/// An entry that may observe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: SmolStr,
}

/// The entries that may observe: the live and serving ones, or all live ones if none serves.
pub fn candidates(view: &View, now: Instant) -> Vec<Candidate> {
    let pick = |serving: bool| -> Vec<Candidate> {
        view.iter(now)
            .filter(|(entry, status)| {
                *status == Status::Live && (!serving || entry.heartbeat.phase == Phase::Serving)
            })
            .map(|(entry, _)| Candidate {
                incarnation: entry.heartbeat.incarnation,
                zone: SmolStr::new(&entry.heartbeat.zone),
            })
            .collect()
    };
    let serving = pick(true);
    if serving.is_empty() { pick(false) } else { serving }
}

/// The observers of a unit, fewer than two only if there are fewer candidates.
pub fn observers(place: &Placement, candidates: &[Candidate]) -> Vec<u64> {
    let hash = hash(&place.unit);
    let mut best: [Option<(bool, u64, u64)>; OBSERVERS_PER_UNIT] = [None; OBSERVERS_PER_UNIT];
    for candidate in candidates {
        let local = candidate.zone == place.zone;
        let mut rank =
            Some((local, crate::mix(hash, candidate.incarnation), candidate.incarnation));
        for slot in &mut best {
            if rank > *slot {
                std::mem::swap(slot, &mut rank);
            }
        }
    }
    best.iter().flatten().map(|&(_, _, incarnation)| incarnation).collect()
}

/// The units that one entry observes, recomputed only when units or candidates change.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    candidates: Vec<Candidate>,
    places: Vec<Placement>,
    /// Ascending.
    units: Vec<Unit>,
}

impl Assignment {
    /// Brings the assignment up to date; returns whether the own units changed.
    pub fn update(&mut self, own: u64, places: Vec<Placement>, candidates: Vec<Candidate>) -> bool {
        if self.places == places && self.candidates == candidates {
            return false;
        }
        let mut units: Vec<Unit> = places
            .iter()
            .filter(|place| observers(place, &candidates).contains(&own))
            .map(|place| place.unit.clone())
            .collect();
        units.sort_unstable();
        self.places = places;
        self.candidates = candidates;
        let changed = self.units != units;
        self.units = units;
        changed
    }

    /// The units that the entry observes, ascending.
    pub fn units(&self) -> &[Unit] {
        &self.units
    }

    /// Whether the entry observes a unit.
    pub fn contains(&self, unit: &Unit) -> bool {
        self.units.binary_search(unit).is_ok()
    }
}

fn hash(unit: &Unit) -> u64 {
    match unit {
        Unit::Group(group) => crate::mix(1, *group),
        Unit::Instance(name) => crate::mix(2, xxh3_64(name.as_bytes())),
        Unit::Server(name) => crate::mix(3, xxh3_64(name.as_bytes())),
    }
}
