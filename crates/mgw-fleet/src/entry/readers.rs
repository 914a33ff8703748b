//! Which entries read the store on behalf of the others.

use std::cmp::Reverse;

use mgw_base::hash;
use mgw_base::sorted::Map;
use smol_str::SmolStr;

use crate::entry::Table;

/// Number of serving entries in a zone per reader of the store.
const ENTRIES_PER_READER: usize = 48;

/// Minimum number of readers of the store over all zones, if there are enough entries.
const MIN_READERS: usize = 3;

/// Part of the CPU share of the zone's largest entry that a reader beyond [`MIN_READERS`] has at least.
/// The followers of a smaller one would get their updates late.
const MIN_SHARE: f64 = 0.5;

/// A serving entry that may become a reader of its zone. Ordered by precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate<'a> {
    cores_milli: Reverse<u32>,
    /// Hash of the name, so that entries of the same size come in no particular order.
    tie_breaker: u128,
    name: &'a SmolStr,
}

/// The serving entries of a zone, as candidates for its readers.
#[derive(Clone, Debug, Default)]
struct Zone<'a> {
    /// Sorted by precedence.
    candidates: Vec<Candidate<'a>>,
    planner: Option<&'a str>,
}

impl<'a> Zone<'a> {
    /// Adds an entry.
    fn insert(&mut self, name: &'a SmolStr, cores_milli: u32) {
        let tie_breaker = hash::parts(&[name.as_bytes()]);
        let candidate = Candidate { cores_milli: Reverse(cores_milli), tie_breaker, name };
        let index = self.candidates.partition_point(|it| *it < candidate);
        self.candidates.insert(index, candidate);
    }

    /// Whether it needs more than one reader.
    fn is_large(&self) -> bool {
        self.candidates.len() > ENTRIES_PER_READER
    }

    /// Number of readers, if `min_count` is the minimum.
    fn reader_count(&self, min_count: usize) -> usize {
        self.candidates.len().div_ceil(ENTRIES_PER_READER).max(min_count)
    }

    /// Whether an entry with this CPU share is large enough for a reader of this zone.
    fn is_capable(&self, cores_milli: u32) -> bool {
        let largest = self.candidates.first().map_or(0, |it| it.cores_milli.0);
        f64::from(cores_milli) >= f64::from(largest) * MIN_SHARE
    }

    fn is_planner(&self, candidate: &Candidate<'_>) -> bool {
        self.planner == Some(candidate.name.as_str())
    }

    /// Whether the planner is left alone, as there is another reader that is large enough.
    fn spares_planner(&self) -> bool {
        let is_substitute =
            |it: &Candidate<'_>| !self.is_planner(it) && self.is_capable(it.cores_milli.0);
        self.is_large() && self.candidates.iter().any(is_substitute)
    }

    /// The readers, at least `min_count` if there are as many entries.
    fn readers(&self, min_count: usize) -> impl Iterator<Item = &'a SmolStr> {
        let spares_planner = self.spares_planner();
        let eligible =
            self.candidates.iter().filter(move |it| !spares_planner || !self.is_planner(it));
        eligible
            .take(self.reader_count(min_count))
            .enumerate()
            .filter(move |(index, it)| *index < min_count || self.is_capable(it.cores_milli.0))
            .map(|(_, it)| it.name)
    }
}

impl Table {
    /// The zones that have serving entries.
    fn zones(&self) -> Map<&str, Zone<'_>> {
        let new = || Zone { candidates: Vec::new(), planner: self.leader_name() };
        let mut zones = Map::default();
        for (name, entry) in self.serving() {
            let heartbeat = &entry.heartbeat;
            let zone: &mut Zone<'_> = zones.get_or_insert_with(heartbeat.zone.as_str(), new);
            zone.insert(name, heartbeat.cores_milli);
        }
        zones
    }

    /// Returns the entries that read the store on behalf of the others, sorted by name: in each
    /// zone the entries with the largest CPU shares, and the planner. In a zone with more entries than
    /// one reader serves, the planner is not one of the former; see [`Table::spares_planner`]. A zone
    /// of many small entries and few large ones has fewer readers rather than small ones.
    ///
    /// Entries with different views may compute different readers. This only costs additional
    /// calls to the store, because any entry may read it and may follow any other that does.
    pub fn readers(&self) -> Vec<&SmolStr> {
        let zones = self.zones();
        let min_count = MIN_READERS.div_ceil(zones.len().max(1));
        let mut readers: Vec<&SmolStr> =
            zones.iter().flat_map(|(_, zone)| zone.readers(min_count)).collect();
        let planner = self.leader_name();
        let serving = self.serving().map(|(name, _)| name);
        readers.extend(serving.filter(|name| Some(name.as_str()) == planner));
        readers.sort_unstable();
        readers.dedup();
        readers
    }

    /// Whether the entry `name`, which takes requests but is not listed yet, will be one of the readers
    /// of `zone` once it is. False for an entry that is listed.
    pub fn is_future_reader(&self, name: &str, zone: &str, cores_milli: u32) -> bool {
        if self.serving().any(|(entry, _)| entry.as_str() == name) {
            return false;
        }
        let name = SmolStr::new(name);
        let mut zones = self.zones();
        zones.get_or_insert_with(zone, Zone::default).insert(&name, cores_milli);
        let min_count = MIN_READERS.div_ceil(zones.len());
        zones.get(&zone).is_some_and(|zone| zone.readers(min_count).any(|it| *it == name))
    }

    /// Whether the followers in `zone` leave the planner alone, as the zone has other readers. With that
    /// many entries and the servers before them, the planner may not run for longer than a reader may
    /// be silent.
    pub fn spares_planner(&self, zone: &str) -> bool {
        self.zones().get(&zone).is_some_and(Zone::spares_planner)
    }
}
