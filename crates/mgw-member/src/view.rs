//! The membership view: the entries known from heartbeats, and whether they are live.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_wire::frame::{Heartbeat, Phase};

use crate::list::History;

/// Timeouts and limits of the view.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time without a newer heartbeat counter after which an entry is suspect.
    pub suspect_timeout: Duration,
    /// Time without a newer heartbeat counter after which an entry is gone: it is neither listed in
    /// the directory nor relayed to peers.
    pub removal_timeout: Duration,
    /// Time without a newer heartbeat counter after which an entry is forgotten, unless the log
    /// lists it.
    ///
    /// Must be longer than `removal_timeout`, so that all peers stop relaying an entry before any
    /// of them forgets it; otherwise a late frame would add it again as a new entry.
    pub forget_timeout: Duration,
    /// A gap between two calls of [`View::advance_own_counter`] that is longer than this counts as
    /// a pause of this process.
    pub pause_threshold: Duration,
    /// Maximum number of entries in the view; further ones are ignored.
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

/// Liveness of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Heard within [`Options::suspect_timeout`].
    Live,
    /// Not heard within [`Options::suspect_timeout`].
    Suspect,
    /// Not heard within [`Options::removal_timeout`], replaced, or unknown.
    Gone,
}

/// What the view holds of one entry incarnation.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The newest heartbeat that arrived in full.
    pub heartbeat: Heartbeat,
    /// The highest heartbeat counter known, in full or in short form; never below that of
    /// `heartbeat`.
    pub counter: u64,
    /// When `counter` last rose in this view.
    pub last_heard: Instant,
    /// When `heartbeat` arrived; its uptime is counted from there.
    pub received_at: Instant,
    /// A newer incarnation runs at the same address, or the log proves this one dead. Never reset.
    pub replaced: bool,
}

impl Entry {
    /// Returns the time since the incarnation started serving; zero while it is starting.
    pub fn uptime(&self, now: Instant) -> Duration {
        match self.heartbeat.phase {
            Phase::Starting => Duration::ZERO,
            Phase::Serving | Phase::Draining => Duration::from_millis(self.heartbeat.uptime_ms)
                .saturating_add(now.since(self.received_at)),
        }
    }
}

/// Result of merging a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry is new, or its phase changed.
    Updated,
    /// Only the counter rose.
    Refreshed,
    /// Nothing changed: the heartbeat is not newer than what is known, belongs to this entry or to
    /// a replaced incarnation, or the view is full.
    Ignored,
}

/// The entries that this entry knows, including itself.
#[derive(Clone, Debug)]
pub struct View {
    /// This entry's incarnation.
    own: u64,
    options: Options,
    /// By incarnation.
    entries: Map<u64, Entry>,
    /// The incarnations that the log lists as not proven dead.
    listed: History,
    /// The highest log offset that any entry is known to have applied.
    highest_applied: u64,
    /// When the own counter was last raised.
    last_advance: Instant,
}

impl View {
    /// Creates a view that holds only this entry, described by the heartbeat `own`.
    pub fn new(own: Heartbeat, options: Options, now: Instant) -> Self {
        let incarnation = own.incarnation;
        let mut view = Self {
            own: incarnation,
            options,
            entries: Map::default(),
            listed: History::default(),
            highest_applied: own.applied_offset,
            last_advance: now,
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

    /// Returns this entry's incarnation.
    pub fn own_incarnation(&self) -> u64 {
        self.own
    }

    /// Sets this entry's phase and applied log offset; returns whether the phase changed.
    pub fn set_own_state(&mut self, phase: Phase, applied: u64, now: Instant) -> bool {
        self.highest_applied = self.highest_applied.max(applied);
        let Some(entry) = self.entries.get_mut(&self.own) else {
            return false;
        };
        let changed = entry.heartbeat.phase != phase;
        if changed {
            let uptime = entry.uptime(now);
            entry.heartbeat.uptime_ms = u64::from(crate::ceil_ms(uptime));
            entry.received_at = now;
            entry.heartbeat.phase = phase;
            // Peers ignore a heartbeat whose counter has not risen.
            entry.counter += 1;
            entry.heartbeat.counter = entry.counter;
        }
        entry.heartbeat.applied_offset = entry.heartbeat.applied_offset.max(applied);
        changed
    }

    /// Raises the own heartbeat counter; called once per gossip round.
    ///
    /// After a pause of this process, `last_heard` of all entries is moved forward by the length of
    /// the pause: silence during the pause says nothing about the other entries.
    pub fn advance_own_counter(&mut self, now: Instant) {
        let gap = now.since(self.last_advance);
        self.last_advance = now;
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

    /// Merges a heartbeat that arrived in full.
    pub fn merge(&mut self, heartbeat: &Heartbeat, now: Instant) -> Change {
        if heartbeat.incarnation == self.own {
            return Change::Ignored;
        }
        let is_full = self.entries.len() >= self.options.max_entries;
        let change = match self.entries.get_mut(&heartbeat.incarnation) {
            Some(entry) if entry.replaced => Change::Ignored,
            Some(entry) => {
                let risen = heartbeat.counter > entry.counter;
                if risen {
                    entry.counter = heartbeat.counter;
                    entry.last_heard = now;
                }
                // `Item::HeartbeatCounters` raises the counter without any content, so the content is ordered
                // by the counter of the last full heartbeat.
                let newer = heartbeat.counter > entry.heartbeat.counter;
                let updated = newer && heartbeat.phase != entry.heartbeat.phase;
                if newer {
                    entry.heartbeat = heartbeat.clone();
                    entry.received_at = now;
                }
                match () {
                    () if updated => Change::Updated,
                    () if risen => Change::Refreshed,
                    () => Change::Ignored,
                }
            }
            None if is_full => Change::Ignored,
            None => self.insert_new(heartbeat, now),
        };
        if change != Change::Ignored {
            self.highest_applied = self.highest_applied.max(heartbeat.applied_offset);
        }
        change
    }

    /// Merges the short form of a heartbeat counter, as `Item::HeartbeatCounters` carries it; returns whether
    /// it is newer.
    ///
    /// The short form is the counter modulo 255, or [`NOT_HEARD`].
    pub fn merge_short_counter(&mut self, incarnation: u64, short: u8, now: Instant) -> bool {
        match self.entries.get_mut(&incarnation) {
            Some(entry) if !entry.replaced && incarnation != self.own && short != NOT_HEARD => {
                let rise = (u64::from(short) + 255 - entry.counter % 255) % 255;
                // A rise of more than half of the range means that the short form is older. Senders
                // omit entries that they did not hear within the removal timeout, about 20 rounds,
                // so the order is never ambiguous.
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

    /// Returns the short form of an entry's counter for `Item::HeartbeatCounters`; [`NOT_HEARD`] if the entry
    /// is gone.
    pub fn short_counter(&self, incarnation: u64, now: Instant) -> u8 {
        match self.entries.get(&incarnation) {
            Some(entry) if self.status(incarnation, now) != Status::Gone => {
                (entry.counter % 255) as u8
            }
            _ => NOT_HEARD,
        }
    }

    /// Records what the log says: a newer incarnation runs at this one's address, or this one is
    /// proven dead. Has no effect on the own incarnation.
    pub fn mark_replaced(&mut self, incarnation: u64) {
        match self.entries.get_mut(&incarnation) {
            Some(entry) if incarnation != self.own => entry.replaced = true,
            _ => {}
        }
    }

    /// Sets the list of incarnations that the log knows and does not prove dead.
    pub fn set_listed(&mut self, incarnations: &[u64]) {
        self.listed.set_current(incarnations.iter().map(|&incarnation| (incarnation, 0)).collect());
    }

    /// Returns the list of incarnations from the log, with its earlier versions.
    pub fn listed(&self) -> &History {
        &self.listed
    }

    /// Removes entries that were not heard within [`Options::forget_timeout`], except this entry
    /// and those that the log lists and that are not replaced.
    pub fn expire(&mut self, now: Instant) {
        let (own, forget, listed) = (self.own, self.options.forget_timeout, &self.listed);
        self.entries.retain(|&incarnation, entry| {
            incarnation == own
                || now.since(entry.last_heard) < forget
                || (!entry.replaced && listed.contains((incarnation, 0)))
        });
    }

    /// Returns the liveness of an incarnation. The own one is always live.
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

    /// Returns whether the incarnation was heard within [`Options::suspect_timeout`].
    pub fn is_live(&self, incarnation: u64, now: Instant) -> bool {
        self.status(incarnation, now) == Status::Live
    }

    /// Returns the entry of an incarnation, whatever its status.
    pub fn get(&self, incarnation: u64) -> Option<&Entry> {
        self.entries.get(&incarnation)
    }

    /// Returns the newest full heartbeat of an incarnation with its present uptime, ready to be
    /// sent.
    pub fn heartbeat(&self, incarnation: u64, now: Instant) -> Option<Heartbeat> {
        let entry = self.entries.get(&incarnation)?;
        let uptime_ms = u64::from(crate::ceil_ms(entry.uptime(now)));
        Some(Heartbeat { uptime_ms, ..entry.heartbeat.clone() })
    }

    /// Iterates over all known entries and their status, including this entry.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&Entry, Status)> {
        self.entries.iter().map(move |(&incarnation, entry)| (entry, self.status(incarnation, now)))
    }

    /// Returns the highest log offset that any entry is known to have applied.
    pub fn highest_applied(&self) -> u64 {
        self.highest_applied
    }

    /// Returns the rendezvous rank of an incarnation for a term among the live, serving entries,
    /// where 0 is the first; `None` if the incarnation isn't one of them.
    pub fn rank(&self, term: u64, incarnation: u64, now: Instant) -> Option<usize> {
        let order = |incarnation| (crate::hash_pair(term, incarnation), incarnation);
        let (mut found, mut rank) = (false, 0);
        for other in self.serving(now) {
            found |= other == incarnation;
            rank += usize::from(order(other) < order(incarnation));
        }
        found.then_some(rank)
    }

    /// Returns the live, serving entry of rank 0 for a term; `None` if no entry is live and
    /// serving.
    pub fn first_ranked(&self, term: u64, now: Instant) -> Option<u64> {
        self.serving(now)
            .min_by_key(|&incarnation| (crate::hash_pair(term, incarnation), incarnation))
    }

    /// Iterates over the incarnations of the live, serving entries.
    fn serving(&self, now: Instant) -> impl Iterator<Item = u64> {
        self.iter(now)
            .filter(|(entry, status)| {
                *status == Status::Live && entry.heartbeat.phase == Phase::Serving
            })
            .map(|(entry, _)| entry.heartbeat.incarnation)
    }

    /// Adds an entry that was unknown so far. If the view holds another incarnation at its address,
    /// one of the two is marked as replaced.
    fn insert_new(&mut self, heartbeat: &Heartbeat, now: Instant) -> Change {
        let mut entry = Entry {
            heartbeat: heartbeat.clone(),
            counter: heartbeat.counter,
            last_heard: now,
            received_at: now,
            replaced: false,
        };
        // The log determines which incarnation at an address is newer. Until the log is read, the
        // one that started last, by its uptime, counts as newer: only one process at a time can
        // bind a port.
        let uptime = entry.uptime(now);
        for (&incarnation, other) in self.entries.iter_mut() {
            match other.heartbeat.peer_address == heartbeat.peer_address && !other.replaced {
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

/// Short counter of an entry that was not heard within the removal timeout. Also the modulus of
/// short counters, so that none of them takes this value.
pub const NOT_HEARD: u8 = 255;
