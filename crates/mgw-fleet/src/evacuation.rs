//! The availability zones that the operator has evacuated: nothing may be sent to their servers.
//!
//! The operator's records are in the topic of the configuration. Entries apply them in the order of
//! their positions, or take the whole table of another entry that has read as far.

use std::time::Duration;

use bincode::{Decode, Encode};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::position::{self, Position};

/// Time that the operator has to write again what the store lost when it was restored from an older
/// copy.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A record of the operator about one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the zone.
    pub zone: SmolStr,
    /// Position in the configuration's topic; see [`crate::position`].
    pub position: u64,
    /// Whether the zone is evacuated from here on, rather than used again.
    pub is_evacuated: bool,
}

/// What the newest known record says about a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Status {
    /// Position of the record.
    pub position: u64,
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

/// The known zones as of a position in the configuration's topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// Position up to which the topic was read.
    pub end_offset: u64,
    /// All evacuated zones by name, and some whose evacuation has ended.
    pub zones: Vec<(String, Status)>,
}

impl Snapshot {
    /// The snapshot with the newest records of all zones, as of `end_offset`.
    pub fn new<I>(records: I, end_offset: u64) -> Self
    where
        I: IntoIterator<Item = Record>,
    {
        let zone = |Record { zone, position, is_evacuated }| {
            (String::from(zone), Status { position, is_evacuated })
        };
        Self { end_offset, zones: records.into_iter().map(zone).collect() }
    }
}

/// The evacuated zones, as far as an entry has read the configuration's topic.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Position up to which the topic is known; never decreases. 0 before the first read.
    end_offset: u64,
    /// The evacuated zones, and those whose evacuation a record of the era of `end_offset` has ended.
    /// An evacuated zone may have a position of an earlier era, whose record the store has lost.
    zones: Map<SmolStr, Status>,
    /// Rises with each change, and with each snapshot that is taken over.
    revision: u64,
    /// When a restore was seen whose copy lacks some of the evacuated zones.
    restored_at: Option<Instant>,
}

impl Table {
    /// Whether nothing may be sent to the servers of `zone`.
    pub fn contains(&self, zone: &SmolStr) -> bool {
        self.zones.get(zone).is_some_and(|status| status.is_evacuated)
    }

    /// Number of evacuated zones.
    pub fn evacuated_count(&self) -> usize {
        self.zones.iter().filter(|(_, status)| status.is_evacuated).count()
    }

    /// Whether the topic was read at least once, here or by an entry whose table was taken over.
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Number that tells whether the table has changed; 0 before the topic is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The table as other entries get it.
    pub fn snapshot(&self) -> Snapshot {
        let zones = self.zones.iter().map(|(zone, status)| (zone.to_string(), *status));
        Snapshot { end_offset: self.end_offset, zones: zones.collect() }
    }

    /// Applies the records of a read that ended at `end_offset`, in the order of their positions.
    /// Those that are known already change nothing. Returns the records that did change something.
    pub fn apply<I>(&mut self, records: I, end_offset: u64) -> Vec<Record>
    where
        I: IntoIterator<Item = Record>,
    {
        let known_end = self.end_offset;
        let mut changes = Vec::new();
        for record in records.into_iter().filter(|it| it.position >= known_end) {
            let Record { position, is_evacuated, .. } = record;
            let was_evacuated = self.contains(&record.zone);
            self.zones.insert(record.zone.clone(), Status { position, is_evacuated });
            self.revision += 1;
            if was_evacuated != is_evacuated {
                changes.push(record);
            }
        }
        self.end_offset = known_end.max(end_offset);
        changes
    }

    /// Takes over a snapshot, unless it ends before what is known. Returns the zones that have become
    /// evacuated or are so no longer.
    ///
    /// A zone that a restored store lacks stays evacuated until [`Table::confirm`] ends that.
    pub fn replace(&mut self, snapshot: Snapshot, now: Instant) -> Vec<Record> {
        if self.is_known() && snapshot.end_offset < self.end_offset {
            return Vec::new();
        }
        let end_offset = snapshot.end_offset;
        let mut zones: Map<SmolStr, Status> =
            snapshot.zones.into_iter().map(|(zone, status)| (zone.into(), status)).collect();
        for (zone, status) in self.zones.iter() {
            // Kept are evacuations whose records a restore has lost, and ends of evacuations that are
            // not of an earlier era.
            let is_kept = status.is_evacuated == is_lost(status, end_offset);
            if is_kept && zones.get(zone).is_none() {
                zones.insert(zone.clone(), *status);
            }
        }
        if position::begins_era(self.end_offset, end_offset) {
            self.restored_at = None;
        }
        self.end_offset = end_offset;
        self.revision += 1;
        let has_lost = zones.iter().any(|(_, it)| it.is_evacuated && is_lost(it, end_offset));
        self.restored_at = self.restored_at.or(Some(now)).filter(|_| has_lost);
        self.set_zones(zones)
    }

    /// Ends the evacuations whose records the store has lost in a restore, if the operator has not
    /// written them again in time. `as_of` is a time at which the topic held nothing newer than what
    /// is known. Returns what has changed.
    pub fn confirm(&mut self, as_of: Instant) -> Vec<Record> {
        let is_due = self.restored_at.is_some_and(|at| as_of >= at + REWRITE_TIMEOUT);
        if !is_due {
            return Vec::new();
        }
        self.restored_at = None;
        self.revision += 1;
        let mut zones = self.zones.clone();
        zones.retain(|_, status| !is_lost(status, self.end_offset));
        self.set_zones(zones)
    }

    /// Replaces the known zones. Returns those that have become evacuated or are so no longer.
    fn set_zones(&mut self, zones: Map<SmolStr, Status>) -> Vec<Record> {
        let former = std::mem::replace(&mut self.zones, zones);
        let is_in = |zones: &Map<SmolStr, Status>, zone: &SmolStr| {
            zones.get(zone).is_some_and(|status| status.is_evacuated)
        };
        let ended = former
            .iter()
            .filter(|(zone, status)| status.is_evacuated && !is_in(&self.zones, zone))
            .map(|(zone, _)| Record {
                zone: zone.clone(),
                position: self.end_offset,
                is_evacuated: false,
            });
        let begun = self
            .zones
            .iter()
            .filter(|(zone, status)| status.is_evacuated && !is_in(&former, zone))
            .map(|(zone, status)| Record {
                zone: zone.clone(),
                position: status.position,
                is_evacuated: true,
            });
        ended.chain(begun).collect()
    }
}

/// Whether the record of `status` is of an era before that of `end_offset`, so that the store may
/// have lost it.
fn is_lost(status: &Status, end_offset: u64) -> bool {
    Position::unpack(status.position).era < Position::unpack(end_offset).era
}
