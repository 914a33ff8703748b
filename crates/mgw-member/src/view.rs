//! The table of entries, kept from heartbeats.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_wire::frame::{Heartbeat, Phase};

use crate::list::History;

/// Time bounds of the table.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// An entry that was not heard for this long is suspect.
    pub suspect_timeout: Duration,
    /// An entry that was not heard for this long is gone: neither in the directory nor relayed.
    pub removal_timeout: Duration,
    /// An entry that was not heard for this long is forgotten, unless the log lists it.
    ///
    /// Longer than `remove`, so that peers stop relaying an entry before anyone forgets it;
    /// otherwise a late frame would bring it back as new.
    pub forget_timeout: Duration,
    /// A longer gap between two beats of the own heartbeat counts as a pause of this process.
    pub pause_threshold: Duration,
    /// The most entries in the table; further ones are ignored.
    pub max_entries: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            suspect_timeout: Duration::from_secs(3),
            removal_timeout: Duration::from_secs(10),
            forget_timeout: Duration::from_secs(60),
            pause_threshold: Duration::from_millis(1_500),
            max_entries: 4_096,
        }
    }
}

/// What the table says of an entry's liveness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Heard lately.
    Live,
    /// Not heard within the suspicion bound.
    Suspect,
    /// Not heard within the removal bound, replaced, or unknown.
    Gone,
}

/// An entry of the table.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The newest heartbeat known in full.
    pub heartbeat: Heartbeat,
    /// The highest counter known; at least the heartbeat's.
    pub counter: u64,
    /// When the counter last rose here.
    pub last_heard: Instant,
    /// When the full heartbeat arrived here.
    pub received_at: Instant,
    /// A newer incarnation runs at the same address; never reverts.
    pub replaced: bool,
}

impl Entry {
    /// Time since the incarnation started serving, zero if it doesn't serve yet.
    pub fn uptime(&self, now: Instant) -> Duration {
        match self.heartbeat.phase {
            Phase::Starting => Duration::ZERO,
            Phase::Serving | Phase::Draining => Duration::from_millis(self.heartbeat.uptime_ms)
                .saturating_add(now.since(self.received_at)),
        }
    }
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry is new, or its phase changed.
    Updated,
    /// The counter rose.
    Refreshed,
    /// Nothing: it is older than what is known, of a replaced incarnation, or beyond the limit.
    Ignored,
}

/// The entries that this entry knows, itself included.
#[derive(Clone, Debug)]
pub struct View {
    own: u64,
    options: Options,
    entries: Map<u64, Entry>,
    /// The incarnations that the log lists as not proven dead.
    listed: History,
    /// Never below any applied offset seen.
    highest: u64,
    /// The last beat of the own heartbeat.
    beaten: Instant,
}

impl View {
    /// A table that holds the own entry only.
    pub fn new(own: Heartbeat, options: Options, now: Instant) -> Self {
        let incarnation = own.incarnation;
        let mut view = Self {
            own: incarnation,
            options,
            entries: Map::default(),
            listed: History::default(),
            highest: own.applied,
            beaten: now,
        };
        let entry = Entry {
            counter: own.counter,
            heartbeat: own,
            last_heard: now,
            received_at: now,
            replaced: false,
        };
        view.entries.insert(incarnation, entry);
        view
    }

    /// The own incarnation.
    pub fn own_incarnation(&self) -> u64 {
        self.own
    }

    /// Sets the own phase and applied offset; returns whether the phase changed.
    pub fn set_own_state(&mut self, phase: Phase, applied: u64, now: Instant) -> bool {
        self.highest = self.highest.max(applied);
        let Some(entry) = self.entries.get_mut(&self.own) else {
            return false;
        };
        let changed = entry.heartbeat.phase != phase;
        if changed {
            let uptime = entry.uptime(now);
            entry.heartbeat.uptime_ms = u64::from(crate::ceil_ms(uptime));
            entry.received_at = now;
            entry.heartbeat.phase = phase;
            // Peers tell the change by the counter.
            entry.counter += 1;
            entry.heartbeat.counter = entry.counter;
        }
        entry.heartbeat.applied = entry.heartbeat.applied.max(applied);
        changed
    }

    /// Raises the own counter; called once per gossip round.
    ///
    /// After a pause of this process, the other entries are given the time that was missed:
    /// their silence during the pause says nothing about them.
    pub fn advance_own_counter(&mut self, now: Instant) {
        let gap = now.since(self.beaten);
        self.beaten = now;
        if gap > self.options.pause_threshold {
            for (_, entry) in self.entries.iter_mut() {
                entry.last_heard = (entry.last_heard + gap).min(now);
            }
        }
        if let Some(entry) = self.entries.get_mut(&self.own) {
            entry.counter += 1;
            entry.heartbeat.counter = entry.counter;
            entry.last_heard = now;
        }
    }

    /// Merges a full heartbeat.
    pub fn merge(&mut self, heartbeat: &Heartbeat, now: Instant) -> Change {
        if heartbeat.incarnation == self.own {
            return Change::Ignored;
        }
        let full = self.entries.len() >= self.options.max_entries;
        let change = match self.entries.get_mut(&heartbeat.incarnation) {
            Some(entry) if entry.replaced => Change::Ignored,
            Some(entry) => {
                let fresher = heartbeat.counter > entry.counter;
                if fresher {
                    entry.counter = heartbeat.counter;
                    entry.last_heard = now;
                }
                // Counters rise by `Beats` without content, so the content has its own order.
                let newer = heartbeat.counter > entry.heartbeat.counter;
                let news = newer && heartbeat.phase != entry.heartbeat.phase;
                if newer {
                    entry.heartbeat = heartbeat.clone();
                    entry.received_at = now;
                }
                match () {
                    () if news => Change::Updated,
                    () if fresher => Change::Refreshed,
                    () => Change::Ignored,
                }
            }
            None if full => Change::Ignored,
            None => self.add(heartbeat, now),
        };
        if change != Change::Ignored {
            self.highest = self.highest.max(heartbeat.applied);
        }
        change
    }

    /// Merges the low part of a counter, as `Beats` carries it; returns whether it is newer.
    pub fn merge_short_counter(&mut self, incarnation: u64, beat: u8, now: Instant) -> bool {
        match self.entries.get_mut(&incarnation) {
            Some(entry) if !entry.replaced && incarnation != self.own && beat != NOT_HEARD => {
                let rise = (u64::from(beat) + 255 - entry.counter % 255) % 255;
                // Half of the range counts as older. Senders omit what they did not hear within
                // the removal bound, about 20 beats, so the order is never ambiguous.
                let newer = (1..=127).contains(&rise);
                if newer {
                    entry.counter += rise;
                    entry.last_heard = now;
                }
                newer
            }
            _ => false,
        }
    }

    /// The low part of an entry's counter for `Beats`.
    pub fn short_counter(&self, incarnation: u64, now: Instant) -> u8 {
        match self.entries.get(&incarnation) {
            Some(entry) if self.status(incarnation, now) != Status::Gone => {
                (entry.counter % 255) as u8
            }
            _ => NOT_HEARD,
        }
    }

    /// Notes from the log that a newer incarnation runs at this one's address, or that it is
    /// proven dead.
    pub fn mark_replaced(&mut self, incarnation: u64) {
        match self.entries.get_mut(&incarnation) {
            Some(entry) if incarnation != self.own => entry.replaced = true,
            _ => {}
        }
    }

    /// Sets the incarnations that the log knows and that are not proven dead.
    pub fn set_listed(&mut self, incarnations: &[u64]) {
        self.listed.set_current(incarnations.iter().map(|&incarnation| (incarnation, 0)).collect());
    }

    /// The incarnations from the log, with earlier lists.
    pub fn listed(&self) -> &History {
        &self.listed
    }

    /// Forgets entries that were not heard for long and that the log doesn't list.
    pub fn expire(&mut self, now: Instant) {
        let (own, forget, listed) = (self.own, self.options.forget_timeout, &self.listed);
        self.entries.retain(|&incarnation, entry| {
            incarnation == own
                || now.since(entry.last_heard) < forget
                || (!entry.replaced && listed.contains((incarnation, 0)))
        });
    }

    /// The liveness of an incarnation.
    pub fn status(&self, incarnation: u64, now: Instant) -> Status {
        match self.entries.get(&incarnation) {
            _ if incarnation == self.own => Status::Live,
            Some(entry) if entry.replaced => Status::Gone,
            Some(entry) if now.since(entry.last_heard) < self.options.suspect_timeout => {
                Status::Live
            }
            Some(entry) if now.since(entry.last_heard) < self.options.removal_timeout => {
                Status::Suspect
            }
            _ => Status::Gone,
        }
    }

    /// Whether the incarnation was heard within the suspicion bound, as asked for a planner.
    pub fn is_live(&self, incarnation: u64, now: Instant) -> bool {
        self.status(incarnation, now) == Status::Live
    }

    /// The entry of an incarnation, whatever its status.
    pub fn get(&self, incarnation: u64) -> Option<&Entry> {
        self.entries.get(&incarnation)
    }

    /// The newest heartbeat of an incarnation, as it is to be sent now.
    pub fn heartbeat(&self, incarnation: u64, now: Instant) -> Option<Heartbeat> {
        let entry = self.entries.get(&incarnation)?;
        let uptime_ms = u64::from(crate::ceil_ms(entry.uptime(now)));
        Some(Heartbeat { uptime_ms, ..entry.heartbeat.clone() })
    }

    /// All known entries with their status, the own one included.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&Entry, Status)> {
        self.entries.iter().map(move |(&incarnation, entry)| (entry, self.status(incarnation, now)))
    }

    /// The highest offset that is known to be in force anywhere.
    pub fn highest_applied(&self) -> u64 {
        self.highest
    }

    /// Rendezvous rank of an incarnation for a term: 0 is first among the live, serving entries.
    /// `None` if the incarnation isn't one of them.
    pub fn rank(&self, term: u64, incarnation: u64, now: Instant) -> Option<usize> {
        let order = |incarnation| (crate::mix(term, incarnation), incarnation);
        let (mut found, mut before) = (false, 0);
        for other in self.serving(now) {
            found |= other == incarnation;
            before += usize::from(order(other) < order(incarnation));
        }
        found.then_some(before)
    }

    /// The live, serving entry with the lowest rank for a term.
    pub fn first_ranked(&self, term: u64, now: Instant) -> Option<u64> {
        self.serving(now).min_by_key(|&incarnation| (crate::mix(term, incarnation), incarnation))
    }

    fn serving(&self, now: Instant) -> impl Iterator<Item = u64> {
        self.iter(now)
            .filter(|(entry, status)| {
                *status == Status::Live && entry.heartbeat.phase == Phase::Serving
            })
            .map(|(entry, _)| entry.heartbeat.incarnation)
    }

    fn add(&mut self, heartbeat: &Heartbeat, now: Instant) -> Change {
        let mut entry = Entry {
            heartbeat: heartbeat.clone(),
            counter: heartbeat.counter,
            last_heard: now,
            received_at: now,
            replaced: false,
        };
        // The log settles which incarnation at an address is newer. Until it is read, the one that
        // started last counts: a port is bound by one process at a time.
        let uptime = entry.uptime(now);
        for (&incarnation, other) in self.entries.iter_mut() {
            match other.heartbeat.peers == heartbeat.peers && !other.replaced {
                true if incarnation == self.own || other.uptime(now) < uptime => {
                    entry.replaced = true;
                }
                true => other.replaced = true,
                false => {}
            }
        }
        let change = if entry.replaced { Change::Ignored } else { Change::Updated };
        self.entries.insert(heartbeat.incarnation, entry);
        change
    }
}

/// Stands for an entry that was not heard lately; counters are sent modulo this.
pub const NOT_HEARD: u8 = 255;
