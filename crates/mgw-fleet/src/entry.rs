//! The gateway's entries, as their heartbeats show them.
//!
//! Entries write records to a topic of the store. A few of them, the readers, read it on behalf of the
//! others, and one of them is the planner.

mod election;
mod readers;
mod record;

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::position;

pub use election::Role;
pub use record::{
    Blame, Heartbeat, LEADER_KEY, Leader, Member, Phase, Record, decode, encode, heartbeat_key,
};

/// Interval between the heartbeats of an entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Delay from a change to the heartbeat that announces it, so that changes in quick succession share a
/// heartbeat.
const COALESCING_DELAY: Duration = Duration::from_millis(60);

/// Minimum time between two heartbeats, but for urgent changes. Followers come and go in numbers, and
/// a new reader has to list a follower before the former one drops it.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a heartbeat after which an entry counts as gone: two heartbeat intervals, and
/// 800 ms because new heartbeats are seen only when the store is read.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Longest time between two reads in which missing heartbeats count. After a longer gap, an entry
/// may have sent heartbeats that were not read.
const MAX_READ_GAP: Duration = Duration::from_secs(2);

/// The time at which a change of `changed_at` is announced, if the last heartbeat was written at
/// `written_at`.
pub fn announcement_time(changed_at: Instant, written_at: Instant, is_urgent: bool) -> Instant {
    let soon = changed_at + COALESCING_DELAY;
    match is_urgent {
        true => soon,
        false => soon.max(written_at + MIN_HEARTBEAT_INTERVAL),
    }
}

/// An entry as seen by another entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The newest known heartbeat.
    pub heartbeat: Heartbeat,
    /// When the heartbeat was received or last confirmed as current.
    pub last_seen: Instant,
    /// Position of the record that contained the heartbeat.
    position: u64,
    /// Name of the entry that wrote the record: the entry itself, or the reader that it follows.
    /// Empty if the heartbeat came from a reader that this process follows.
    source: SmolStr,
    /// When the entry's newest record of its own was seen; `None` if none is known.
    own_seen: Option<Instant>,
}

/// The known entries and the planner.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Map<SmolStr, Entry>,
    /// The newest leader record with its position.
    leader: Option<(u64, Leader)>,
    /// When the newest successful read of the records was sent.
    last_read: Option<Instant>,
    /// Position in the entries' topic up to which the records are known. It never decreases.
    end_offset: u64,
    /// Position before which records may be of the copy that the store was restored from; 0 if it
    /// was not restored.
    copy_end: u64,
    /// When `end_offset` last increased.
    advanced_at: Instant,
    /// Since when no live entry has been planner.
    vacant_since: Option<Instant>,
}

impl Table {
    /// Applies the record with `key` at `position`, which was current at `seen_at`.
    ///
    /// A heartbeat that may be of the copy that the store was restored from tells nothing of an entry
    /// that is known.
    pub fn apply(&mut self, key: &str, position: u64, record: Record, seen_at: Instant) {
        match (key.strip_prefix("entry/"), record) {
            (Some(name), Record::Heartbeat { own, followers, .. }) => {
                let source = SmolStr::new(name);
                if position >= self.copy_end {
                    self.delist(&source, &followers, position);
                }
                self.upsert(source.clone(), own, position, &source, seen_at);
                for member in followers {
                    self.upsert(member.name.into(), member.heartbeat, position, &source, seen_at);
                }
            }
            (None, Record::Leader(leader)) if key == LEADER_KEY => {
                self.apply_leader(position, leader)
            }
            _ => {}
        }
    }

    /// Handles the entries that an older record of the writer `source` listed and the one at
    /// `position` does not. They count as seen when they last wrote a record of their own, as the
    /// writer goes on listing a follower for a while after it has left.
    fn delist(&mut self, source: &SmolStr, followers: &[Member], position: u64) {
        self.entries.retain(|name, entry| {
            let is_listed = name == source || followers.iter().any(|it| name == &it.name);
            if entry.source != *source || entry.position > position || is_listed {
                return true;
            }
            let Some(own_seen) = entry.own_seen else { return false };
            entry.source = name.clone();
            entry.last_seen = own_seen;
            true
        });
    }

    /// Stores a heartbeat unless a newer one is known.
    fn upsert(
        &mut self,
        name: SmolStr,
        heartbeat: Heartbeat,
        position: u64,
        source: &SmolStr,
        last_seen: Instant,
    ) {
        let known = self.entries.get(&name);
        let is_copied = position < self.copy_end;
        if known.is_none_or(|known| known.position <= position && !is_copied) {
            let own_seen = match name == *source {
                true => Some(last_seen),
                false => known.and_then(|known| known.own_seen),
            };
            let entry = Entry { heartbeat, last_seen, position, source: source.clone(), own_seen };
            self.entries.insert(name, entry);
        }
    }

    /// Position in the entries' topic up to which the records are known.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Records at `now` that all records before `end_offset` are known.
    ///
    /// If they are the first ones since the store was restored from an older copy, it has lost
    /// heartbeats, so no entry times out for lack of one until it could send another.
    pub fn advance(&mut self, end_offset: u64, now: Instant) {
        if position::begins_era(self.end_offset, end_offset) {
            self.copy_end = end_offset;
            self.entries.iter_mut().for_each(|(_, entry)| entry.last_seen = now);
        }
        if end_offset > self.end_offset {
            self.end_offset = end_offset;
            self.advanced_at = now;
        }
    }

    /// Whether a reader's list of entries is at least as new as the known entries. It includes all
    /// records before `end_offset`, and was the reader's list as of `as_of` too, if that is known.
    pub fn is_superseded_by(&self, end_offset: u64, as_of: Option<Instant>) -> bool {
        end_offset >= self.end_offset || as_of.is_some_and(|as_of| as_of >= self.advanced_at)
    }

    /// Replaces the known entries by those that a reader of the store reports, which include all
    /// records before `end_offset`. They must not be older than the known ones; see
    /// [`Table::is_superseded_by`]. The list does not tell when the heartbeats were seen, so that a
    /// known entry counts as seen when it was before; see [`Table::confirm`].
    pub fn replace_all(&mut self, members: Vec<Member>, end_offset: u64, now: Instant) {
        self.advance(end_offset, now);
        let position = self.end_offset.saturating_sub(1);
        let known = std::mem::take(&mut self.entries);
        let entry = |member: Member| {
            let name = SmolStr::from(member.name);
            let incarnation = member.heartbeat.incarnation;
            let known = known.get(&name).filter(|it| it.heartbeat.incarnation == incarnation);
            let entry = Entry {
                heartbeat: member.heartbeat,
                last_seen: known.map_or(now, |known| known.last_seen),
                position,
                source: SmolStr::default(),
                own_seen: None,
            };
            (name, entry)
        };
        self.entries = members.into_iter().map(entry).collect();
    }

    /// Applies a heartbeat that a follower sent to this entry; unknown entries are ignored.
    pub fn update_heartbeat(&mut self, name: &SmolStr, heartbeat: &Heartbeat, now: Instant) {
        if let Some(known) = self.entries.get_mut(name) {
            known.heartbeat = heartbeat.clone();
            known.last_seen = now;
        }
    }

    /// Records that a reader of the store has confirmed the known entries as current at `as_of`, but
    /// for the `overdue` ones: these have sent no heartbeat since the given times.
    pub fn confirm(&mut self, as_of: Instant, overdue: &[(SmolStr, Instant)]) {
        let is_newest = self.last_read.is_none_or(|last_read| last_read <= as_of);
        self.last_read = self.last_read.max(Some(as_of));
        for (name, entry) in self.entries.iter_mut() {
            match overdue.iter().find(|(other, _)| other == name) {
                Some((_, last_seen)) if is_newest => entry.last_seen = *last_seen,
                Some(_) => {}
                None => entry.last_seen = entry.last_seen.max(as_of),
            }
        }
    }

    /// The entries whose newest heartbeat is older than the interval of heartbeats, with its time;
    /// at most `limit`, the oldest first.
    pub fn overdue(&self, limit: usize, now: Instant) -> Vec<(&SmolStr, Instant)> {
        let is_overdue = |entry: &Entry| now.since(entry.last_seen) > HEARTBEAT_INTERVAL;
        let mut overdue: Vec<(&SmolStr, Instant)> = self
            .serving()
            .filter(|(_, entry)| is_overdue(entry))
            .map(|(name, entry)| (name, entry.last_seen))
            .collect();
        overdue.sort_unstable_by_key(|(_, last_seen)| *last_seen);
        overdue.truncate(limit);
        overdue
    }

    /// Returns the time as of which the records are known: when the newest successful read was
    /// sent.
    pub fn last_read(&self) -> Option<Instant> {
        self.last_read
    }

    /// Records that a read sent at `sent_at` returned all records up to that time.
    pub fn record_read(&mut self, sent_at: Instant) {
        let last_read = self.last_read.unwrap_or(sent_at);
        // An entry that had already timed out at the previous read is gone. The others may have
        // sent heartbeats since then, so they do not time out because of a long gap between reads.
        self.entries.retain(|_, entry| last_read.since(entry.last_seen) < HEARTBEAT_TIMEOUT);
        if sent_at.since(last_read) > MAX_READ_GAP {
            self.entries.iter_mut().for_each(|(_, entry)| entry.last_seen = sent_at);
        }
        self.last_read = self.last_read.max(Some(sent_at));
    }

    /// Returns the entry called `name`.
    pub fn get(&self, name: &SmolStr) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Iterates over the entries that take requests, sorted by name.
    pub fn serving(&self) -> impl Iterator<Item = (&SmolStr, &Entry)> {
        let last_read = self.last_read.unwrap_or_default();
        self.entries.iter().filter(move |(_, entry)| {
            entry.heartbeat.phase == Phase::Serving
                && last_read.since(entry.last_seen) < HEARTBEAT_TIMEOUT
        })
    }
}
