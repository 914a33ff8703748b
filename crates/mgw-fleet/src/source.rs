//! Where an entry learns what the store holds: from the store, or from another entry that reads it.
//!
//! Calls to the store are limited and priced, so a few entries read it for all. An entry whose
//! reader is silent or knows nothing new reads the store itself until it has another one, so no
//! bound depends on a reader.

use std::time::Duration;

use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::entry::Table;

/// Period of a follower's questions.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer after which a reader counts as silent.
pub const READER_TIMEOUT: Duration = Duration::from_millis(900);

/// Age of what a reader knows after which its follower reads the store itself: the time that a read
/// of the configuration waits, the period of questions, and the way.
pub const MAX_FEED_AGE: Duration = Duration::from_millis(1_250);

/// Time with old knowledge after which another reader is tried.
const PATIENCE: Duration = Duration::from_millis(800);

/// Time for which an entry stays with a reader that is not the preferred one any more. A change of
/// the source costs a read of everything.
pub const MIN_FOLLOW_TIME: Duration = Duration::from_secs(5);

/// Time for which a reader that failed is not tried again while there are others.
const AVOIDED: Duration = Duration::from_secs(3);

/// Where an entry learns what the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From the entry of this name.
    Reader(SmolStr),
}

/// How well a follower is informed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// When the reader last answered.
    answered: Option<Instant>,
    /// The oldest of the times at which parts of its knowledge were current.
    known: Instant,
    /// Since when its knowledge has been too old.
    stale: Option<Instant>,
}

impl Link {
    /// The link to another reader: what is known stays known.
    pub fn reconnected(self) -> Self {
        Self { stale: None, ..self }
    }

    /// Takes an answer that arrived at `now`.
    pub fn record_response(&mut self, known: Instant, now: Instant) {
        self.answered = Some(now);
        self.known = self.known.max(known);
        self.stale = match now.since(known) > MAX_FEED_AGE {
            true => self.stale.or(Some(now)),
            false => None,
        };
    }

    /// Whether the follower need not read the store itself.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.is_alive(now) && now.since(self.known) < MAX_FEED_AGE
    }

    /// Whether the reader answers, whatever it knows.
    pub fn is_alive(&self, now: Instant) -> bool {
        self.answered.is_some_and(|at| now.since(at) < READER_TIMEOUT)
    }

    /// Whether another reader is better.
    pub fn should_switch(&self, now: Instant) -> bool {
        self.stale.is_some_and(|since| now.since(since) > PATIENCE)
    }
}

/// Chooses the source of one entry.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    /// Readers that failed, with the times until which others are preferred.
    avoided: Map<SmolStr, Instant>,
}

impl Selector {
    /// Takes note that a reader could not be reached, fell silent or knew nothing new.
    pub fn mark_failed(&mut self, reader: &SmolStr, now: Instant) {
        self.avoided.insert(reader.clone(), now + AVOIDED);
    }

    /// The source of the entry `name` in `zone`: the store if it is a reader and can read it, else a
    /// reader of its zone, else any; followers are spread over equal ones.
    pub fn select(
        &mut self,
        table: &Table,
        (name, zone): (&str, &str),
        is_blind: bool,
        now: Instant,
    ) -> Source {
        self.avoided.retain(|_, until| now < *until);
        let mut readers = table.readers();
        let is_reader = readers.iter().any(|reader| *reader == name);
        if is_reader && !is_blind {
            return Source::Store;
        }
        readers.retain(|reader| *reader != name);
        let is_near =
            |reader: &SmolStr| table.get(reader).is_some_and(|entry| entry.heartbeat.zone == zone);
        let best =
            readers.into_iter().filter(|reader| self.avoided.get(reader).is_none()).min_by_key(
                |reader| (!is_near(reader), hash::parts(&[name.as_bytes(), reader.as_bytes()])),
            );
        best.map_or(Source::Store, |reader| Source::Reader(reader.clone()))
    }
}
