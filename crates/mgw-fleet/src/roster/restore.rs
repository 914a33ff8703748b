//! Entries and lists of the copy that the store was restored from, which may be older than what is
//! known.

use std::time::Duration;

use mgw_base::time::Instant;

use crate::roster::{Phase, Record, Roster};

/// Time after a restore of the store within which it has dropped the entries of the copy that their
/// servers do not write again: three heartbeat intervals of 1.2 s, and one that may be late.
const COPY_TIMEOUT: Duration = Duration::from_millis(4_800);

/// How new an entry is that was read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Its position in the servers' topic.
    pub position: u64,
    /// Number of heartbeats that the process had sent when it wrote the entry, if it states one.
    pub heartbeat_count: Option<u64>,
}

/// A restore of the store from an older copy, while the list may still be that of the copy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restore {
    /// Position in the servers' topic before which records may be of the copy.
    copy_end: u64,
    /// Revision of the roster when the restore was seen.
    revision: u64,
    /// When the restore was seen.
    seen_at: Instant,
}

impl Restore {
    /// A restore that was seen at `now`, when the list ended at `copy_end` and the roster had
    /// `revision`.
    pub(super) fn new(copy_end: u64, revision: u64, now: Instant) -> Self {
        Self { copy_end, revision, seen_at: now }
    }
}

impl Roster {
    /// Whether an entry with this `stamp` was written before the newest one that is known of its
    /// process, or before the process was removed, as an entry of the copy that the store was
    /// restored from may be. It would undo a drain, a removal or a change of group.
    pub fn is_superseded(&self, id: &str, record: &Record, stamp: Stamp) -> bool {
        if self.restore.is_none_or(|restore| stamp.position >= restore.copy_end) {
            return false;
        }
        match self.by_id(id) {
            Some(known) if known.record.started_ms == record.started_ms => {
                // Without both counts, what is known holds until the process writes another entry or
                // the list is read again.
                let counts = stamp.heartbeat_count.zip(known.heartbeat_count);
                counts.is_none_or(|(count, known_count)| count < known_count)
            }
            Some(_) => false,
            None => self.removals.iter().any(|removal| {
                let counts = stamp.heartbeat_count.zip(removal.heartbeat_count);
                removal.id == id
                    && removal.started_ms >= record.started_ms
                    && counts.is_none_or(|(count, known_count)| count <= known_count)
            }),
        }
    }

    /// Whether a record that a reader sends undoes a drain or a removal from before the restore that
    /// was just seen. The reader may know only the copy that the store was restored from.
    pub fn is_undone_by(&self, id: &str, record: &Record) -> bool {
        let Some(restore) = self.restore else { return false };
        match self.by_id(id) {
            Some(known) => {
                known.record.started_ms == record.started_ms
                    && (known.record.phase, record.phase) == (Phase::Draining, Phase::Ready)
            }
            None => self.removals.iter().any(|removal| {
                removal.id == id
                    && removal.started_ms >= record.started_ms
                    && removal.mark.revision <= restore.revision
            }),
        }
    }

    /// Records the count of heartbeats in the newest entry of the process that started at
    /// `started_ms`.
    pub fn record_heartbeats(&mut self, id: &str, started_ms: u64, count: Option<u64>) {
        match self.servers.by_name_mut(id) {
            Some(server) if server.record.started_ms == started_ms => {
                server.heartbeat_count = count;
            }
            Some(_) | None => {}
        }
    }

    /// Whether the whole list must be read again, as the store no longer lists entries of the copy
    /// that nobody writes again. True once after each restore.
    pub fn take_reread(&mut self, now: Instant) -> bool {
        self.restore.take_if(|it| now.since(it.seen_at) >= COPY_TIMEOUT).is_some()
    }
}
