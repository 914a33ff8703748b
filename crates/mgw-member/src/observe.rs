//! Assignment of observers: which entries poll which backend servers.
//!
//! Each unit has two observers, chosen by rendezvous hashing over the live entries; entries in the
//! unit's zone take precedence. When an entry joins or leaves, only the units that it observes
//! change observers.

use mgw_base::time::Instant;
use mgw_wire::frame::Phase;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::view::{Status, View};

/// Number of entries that observe each unit.
pub const OBSERVERS_PER_UNIT: usize = 2;

/// The smallest set of backend servers that is assigned to observers together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unit {
    /// A model group, by its id. An observer polls all of its members.
    Group(u64),
    /// An instance outside of any group, by its name.
    Instance(SmolStr),
    /// A server of a plain service, by its name.
    Server(SmolStr),
}

/// A unit and the availability zone in which it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The unit to observe.
    pub unit: Unit,
    /// The unit's availability zone, which its observers should share.
    pub zone: SmolStr,
}

/// An entry that may be assigned units.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The entry's incarnation.
    pub incarnation: u64,
    /// The entry's availability zone.
    pub zone: SmolStr,
}

/// Returns the entries that may observe: the live ones that serve, or all live ones if none serves.
pub fn candidates(view: &View, now: Instant) -> Vec<Candidate> {
    let live = |serving: bool| -> Vec<Candidate> {
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
    let serving = live(true);
    if serving.is_empty() { live(false) } else { serving }
}

/// Returns the incarnations of a unit's observers, best rank first.
///
/// There are fewer than [`OBSERVERS_PER_UNIT`] only if there are fewer candidates.
pub fn observers(placement: &Placement, candidates: &[Candidate]) -> Vec<u64> {
    let hash = hash(&placement.unit);
    let mut best: [Option<(bool, u64, u64)>; OBSERVERS_PER_UNIT] = [None; OBSERVERS_PER_UNIT];
    for candidate in candidates {
        let local = candidate.zone == placement.zone;
        let mut rank =
            Some((local, crate::hash_pair(hash, candidate.incarnation), candidate.incarnation));
        for slot in &mut best {
            if rank > *slot {
                std::mem::swap(slot, &mut rank);
            }
        }
    }
    best.iter().flatten().map(|&(_, _, incarnation)| incarnation).collect()
}

/// The units that one entry observes.
///
/// They are recomputed only when the placements or the candidates change.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    candidates: Vec<Candidate>,
    placements: Vec<Placement>,
    /// The units that the entry observes, in ascending order.
    units: Vec<Unit>,
}

impl Assignment {
    /// Recomputes the units of entry `own`; returns whether they changed.
    pub fn update(
        &mut self,
        own: u64,
        placements: Vec<Placement>,
        candidates: Vec<Candidate>,
    ) -> bool {
        if self.placements == placements && self.candidates == candidates {
            return false;
        }
        let mut units: Vec<Unit> = placements
            .iter()
            .filter(|placement| observers(placement, &candidates).contains(&own))
            .map(|placement| placement.unit.clone())
            .collect();
        units.sort_unstable();
        self.placements = placements;
        self.candidates = candidates;
        let changed = self.units != units;
        self.units = units;
        changed
    }

    /// Returns the units that the entry observes, in ascending order.
    pub fn units(&self) -> &[Unit] {
        &self.units
    }

    /// Returns whether the entry observes `unit`.
    pub fn contains(&self, unit: &Unit) -> bool {
        self.units.binary_search(unit).is_ok()
    }
}

/// Hashes a unit. The first word keeps groups, instances and servers apart.
fn hash(unit: &Unit) -> u64 {
    match unit {
        Unit::Group(group) => crate::hash_pair(1, *group),
        Unit::Instance(name) => crate::hash_pair(2, xxh3_64(name.as_bytes())),
        Unit::Server(name) => crate::hash_pair(3, xxh3_64(name.as_bytes())),
    }
}
