//! Applies what the store and readers tell of evacuated zones, and records events about it.

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::evacuation::{Record, Snapshot};

use crate::gateway::State;
use crate::journal::Journal;

impl State {
    /// Applies the records of a read of the configuration's topic that ended at `end_offset`.
    pub fn apply_evacuations(&mut self, records: Vec<Record>, end_offset: u64) {
        let changes = self.evacuations.apply(records, end_offset);
        record_changes(&mut self.journal, &changes);
    }

    /// Takes over all evacuated zones as the store or a reader shows them.
    pub fn replace_evacuations(&mut self, snapshot: Snapshot, now: Instant) {
        let changes = self.evacuations.replace(snapshot, now);
        record_changes(&mut self.journal, &changes);
    }

    /// Records that the configuration's topic held nothing newer than what is known at `as_of`.
    pub fn renew_config_proof(&mut self, as_of: Instant) {
        self.config_proof.renew(as_of);
        let changes = self.evacuations.confirm(as_of);
        record_changes(&mut self.journal, &changes);
    }
}

fn record_changes(journal: &mut Journal, changes: &[Record]) {
    for change in changes {
        let kind = match change.is_evacuated {
            true => Kind::ZoneEvacuated,
            false => Kind::EvacuationEnded,
        };
        journal.record(Body::new(kind).offset(change.position).text(change.zone.as_str()));
    }
}
