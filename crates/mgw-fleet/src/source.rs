//! The source of an entry's view of the store: the store itself, or another entry that reads it.
//!
//! Calls to the store are limited in number and cost money, so a few entries, the readers, read it
//! on behalf of all. The others follow a reader; see [`crate::feed`]. An entry whose reader is
//! silent or has stale knowledge reads the store itself until it follows another reader, so no
//! bound on the age of its view depends on a reader.

use std::time::Duration;

use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::entry::Table;

/// Interval between a follower's polls.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer to a poll after which a reader counts as silent.
pub const READER_TIMEOUT: Duration = Duration::from_millis(900);

/// Age of a reader's knowledge from which on its follower reads the store itself. It covers the
/// time for which a read of the configuration waits for a change, the poll interval and the
/// transfer.
pub const MAX_FEED_AGE: Duration = Duration::from_millis(1_250);

/// Age of a reader's knowledge from which on it is late. Its follower then connects to another reader,
/// and follows the present one until that has succeeded.
pub const LATE_FEED_AGE: Duration = Duration::from_millis(950);

/// Minimum interval between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of the poll that shows whether a reader's knowledge is late.
const LATE_POLL_DELAY: Duration = Duration::from_millis(10);

/// Age of a reader's knowledge from which on it follows another entry. The proofs of the readers are up
/// to 0.7 s apart, so if the store responds late to all of them, the others are late by then and refuse
/// it. Otherwise readers would follow each other, learn nothing, and lose their followers.
pub const MAX_READER_AGE: Duration = Duration::from_millis(1_750);

/// Time for which a reader's knowledge may exceed [`MAX_FEED_AGE`] before its follower switches to
/// another reader.
const STALE_READER_TIMEOUT: Duration = Duration::from_millis(800);

/// Minimum time for which an entry follows a reader before it switches to a preferred one. After
/// each switch the entry receives all records again.
pub const MIN_FOLLOW_TIME: Duration = Duration::from_secs(5);

/// Time for which a reader that failed is not selected again. If all readers have failed, the entry
/// reads the store.
const FAILED_READER_TIMEOUT: Duration = Duration::from_secs(3);

/// Where an entry gets its view of the store from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// The reader with this name.
    Reader(SmolStr),
}

/// State of a follower's connection to its reader.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// When the reader last answered a poll.
    last_answer: Option<Instant>,
    /// Time as of which all of the follower's knowledge is current.
    known_as_of: Instant,
    /// Since when the age of the reader's knowledge has exceeded [`MAX_FEED_AGE`].
    stale_since: Option<Instant>,
    /// Whether the knowledge was older than [`LATE_FEED_AGE`] after the last answer.
    is_late: bool,
}

impl Link {
    /// Returns the state after the follower has connected to another reader. What the follower
    /// already knows remains valid.
    pub fn reconnected(self) -> Self {
        Self { stale_since: None, is_late: false, ..self }
    }

    /// Records an answer, received at `now`, of a reader whose knowledge was current at `as_of`.
    pub fn record_response(&mut self, as_of: Instant, now: Instant) {
        self.last_answer = Some(now);
        self.known_as_of = self.known_as_of.max(as_of);
        self.is_late = now.since(self.known_as_of) > LATE_FEED_AGE;
        self.stale_since = match now.since(as_of) > MAX_FEED_AGE {
            true => self.stale_since.or(Some(now)),
            false => None,
        };
    }

    /// Whether the follower's knowledge is recent enough that it need not read the store itself.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.is_alive(now) && now.since(self.known_as_of) < MAX_FEED_AGE
    }

    /// Whether the reader answers polls, even if its knowledge is old.
    pub fn is_alive(&self, now: Instant) -> bool {
        self.last_answer.is_some_and(|at| now.since(at) < READER_TIMEOUT)
    }

    /// Whether the reader's last answer has left the follower with late knowledge, so that it should
    /// connect to another reader while it still follows this one.
    pub fn is_late(&self) -> bool {
        self.is_late
    }

    /// The time until the follower's next poll. A poll is sent earlier if its answer shows in time that
    /// the reader's knowledge is late.
    pub fn poll_delay(&self, now: Instant) -> Duration {
        let late_at = self.known_as_of + LATE_FEED_AGE + LATE_POLL_DELAY;
        match late_at.since(now) {
            Duration::ZERO => POLL_INTERVAL,
            left => left.clamp(MIN_POLL_INTERVAL, POLL_INTERVAL),
        }
    }

    /// Whether the follower should switch to another reader, because this one's knowledge has been
    /// too old for too long.
    pub fn should_switch(&self, now: Instant) -> bool {
        self.stale_since.is_some_and(|since| now.since(since) > STALE_READER_TIMEOUT)
    }
}

/// Selects the source of one entry.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    /// Readers that failed, with the times until which they are not selected.
    failed_until: Map<SmolStr, Instant>,
}

impl Selector {
    /// Records that a reader could not be reached, was silent, or had stale knowledge.
    pub fn mark_failed(&mut self, reader: &SmolStr, now: Instant) {
        self.failed_until.insert(reader.clone(), now + FAILED_READER_TIMEOUT);
    }

    /// Selects the source of the entry `name` in `zone`.
    ///
    /// That is the store if the entry is a reader and its own view is current. Otherwise it is a
    /// reader, one of the same zone if there is any, and in a large zone not the planner. Rendezvous hashing spreads the followers over
    /// the readers. If no reader is usable and the entry's own view is stale, it is any other
    /// entry: the store may refuse just the readers and this entry, and the others read it
    /// themselves then. Else it is the store.
    pub fn select(
        &mut self,
        table: &Table,
        (name, zone): (&str, &str),
        has_stale_view: bool,
        now: Instant,
    ) -> Source {
        self.failed_until.retain(|_, until| now < *until);
        let readers = table.readers();
        let is_reader = readers.iter().any(|reader| *reader == name);
        if is_reader && !has_stale_view {
            return Source::Store;
        }
        let best = match self.best(table, (name, zone), readers.into_iter()) {
            None if has_stale_view => {
                self.best(table, (name, zone), table.serving().map(|(entry, _)| entry))
            }
            reader => reader,
        };
        best.map_or(Source::Store, Source::Reader)
    }

    /// Selects the reader to which the entry `name` in `zone` changes from `present`, whose knowledge is
    /// late; `None` if no other one is usable.
    pub fn select_other(
        &mut self,
        table: &Table,
        (name, zone): (&str, &str),
        present: &SmolStr,
        now: Instant,
    ) -> Option<SmolStr> {
        self.failed_until.retain(|_, until| now < *until);
        let others = table.readers().into_iter().filter(|reader| *reader != present);
        self.best(table, (name, zone), others)
    }

    /// The best usable one of `sources` for the entry `name` in `zone`.
    fn best<'a, I>(&self, table: &Table, (name, zone): (&str, &str), sources: I) -> Option<SmolStr>
    where
        I: Iterator<Item = &'a SmolStr>,
    {
        let is_same_zone =
            |entry: &SmolStr| table.get(entry).is_some_and(|it| it.heartbeat.zone == zone);
        let is_usable =
            |entry: &&SmolStr| entry.as_str() != name && self.failed_until.get(*entry).is_none();
        let spared = table.leader_name().filter(|_| table.spares_planner(zone));
        let rank = |entry: &&SmolStr| {
            let is_spared = spared == Some(entry.as_str());
            (!is_same_zone(entry), is_spared, hash::parts(&[name.as_bytes(), entry.as_bytes()]))
        };
        sources.filter(is_usable).min_by_key(rank).cloned()
    }
}
