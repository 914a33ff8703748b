//! The servers in the platform's server list, with what is known of their state.
//!
//! An entry of the list and a report that a server sends when probed may each be older than what is
//! already known, so the roster compares read times and order counts before it applies them.

mod changes;
mod outdated;
mod record;
mod report;
mod restore;
mod statement;
mod unlisted;

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::sorted::Map;
use mgw_base::table::Table;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::balance::Load;
use crate::notice::{Notice, Process};
use crate::position;

pub use changes::{Base, Changes};
use changes::{Mark, Removal};
pub use outdated::Outdated;
pub use record::{Engine, Membership, Phase, Record, Stage};
use restore::Restore;
pub use restore::Stamp;
use statement::Statements;

/// A listed server with its runtime state.
#[derive(Clone, Debug)]
pub struct Server {
    /// Id in the server list, unique among the listed servers.
    pub id: SmolStr,
    /// Its newest list entry, with the engine state of a newer report if there was one.
    pub record: Record,
    /// When its list entry was last read, or when it last replied to a probe.
    pub last_seen: Instant,
    /// Number of orders that the process has accepted, as of the report that `record.engine` is
    /// from. `None` while the engine may have changed since that report. An order with this count
    /// as its precondition is carried out only in the known state.
    pub order_count: Option<u64>,
    /// Order count of the newest applied report or confirmed order. A report with a lower count is
    /// older than the known state.
    latest_order_count: u64,
    /// When the engine state was last taken from a report or a confirmed order instead of the list.
    reported_at: Option<Instant>,
    /// When the record last changed.
    changed: Mark,
    /// When a list entry last changed the record.
    changed_at: Instant,
    /// Since when the list entry is missing, while the store may have dropped it because of an
    /// outage. For the entries that follow this one, the server is removed.
    pub missing_since: Option<Instant>,
    /// Since when an instance without a list entry is known only as a possible member of a group;
    /// see [`Roster::instances`]. `None` for all listed servers.
    pub unlisted_since: Option<Instant>,
    /// What its process has stated in its responses.
    pub notice: Notice,
    /// Number of heartbeats that the process had sent when it wrote the newest known entry; `None` if
    /// that came from a reader, which does not tell it.
    heartbeat_count: Option<u64>,
    /// Load of the server as this process knows it.
    pub load: Load,
}

impl Server {
    /// Whether the server accepts new work: not if its list entry or a response of its process
    /// states that it is leaving.
    pub fn phase(&self) -> Phase {
        match self.notice.is_leaving {
            true => Phase::Draining,
            false => self.record.phase,
        }
    }

    /// Whether a request may be sent to the server.
    pub fn takes_requests(&self, now: Instant) -> bool {
        self.phase() == Phase::Ready && self.notice.pause_left(now).is_zero()
    }

    /// Whether the instance may become a member of a group: it accepts orders, and it has replied to
    /// a probe since if it is no longer listed.
    pub fn may_join(&self) -> bool {
        self.phase() == Phase::Ready
            && self.missing_since.is_none()
            && self.unlisted_since.is_none_or(|since| self.last_seen > since)
    }

    /// The process that the list entry is of.
    pub fn process(&self) -> Process {
        Process { id: self.id.clone(), started_ms: self.record.started_ms }
    }
}

/// Key of a server in the [`Roster`]. A server that restarts under the same id gets a new key.
pub type ServerKey = Key<Server>;

/// Longest time without contact to the store after which no entry of a live server can have lapsed.
/// An entry lapses after three heartbeat intervals of 1.2 s, so that the store has to miss at least
/// two heartbeats of a server.
const MAX_CONTACT_GAP: Duration = Duration::from_secs(2);

/// Time after an outage of the store within which live servers are listed again.
const RELIST_TIMEOUT: Duration = Duration::from_millis(2_200);

/// All known servers.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    servers: Table<Server>,
    /// Position in the servers' topic up to which the list is known. It never decreases.
    end_offset: u64,
    /// Position from which on each single change of the list is known. Of earlier changes, only the
    /// result is known.
    history_start: u64,
    /// The newest restore of the store, until the list is read again some seconds later.
    restore: Option<Restore>,
    /// Increases with each change of a record, each removal, and each server that states that it is
    /// leaving. A heartbeat that changes nothing leaves it as it is.
    revision: u64,
    /// When a read of the server list succeeded after more than [`MAX_CONTACT_GAP`] without one, or
    /// showed that the store was restored.
    regained_at: Option<Instant>,
    /// When the two newest reads of the server list were sent, the older one first; `None` before
    /// the first read. They are this entry's own reads or those of the reader that it follows.
    read_times: Option<(Instant, Instant)>,
    /// The newest removals in the order of their revisions.
    removals: Vec<Removal>,
    /// Revision and position up to which removals are no longer kept.
    compacted: Mark,
    /// What processes that are not listed have stated.
    unlisted_statements: Map<Process, Statements>,
    /// Instances that were removed from the list and may go on as members of their groups, by id.
    /// None of them is in `servers`.
    unlisted: Map<SmolStr, Server>,
}

impl Roster {
    /// Position in the servers' topic up to which the list is known.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Begins at `now` the application of a list, or of changes, that ends at `end_offset`.
    ///
    /// If it is the first one since the store was restored from an older copy, entries of live
    /// servers may be missing for a while, as after an outage.
    ///
    /// # Errors
    ///
    /// The list is older than the known one.
    pub fn advance(&mut self, end_offset: u64, now: Instant) -> Result<(), Outdated> {
        if end_offset < self.end_offset {
            return Err(Outdated { end_offset, known_end: self.end_offset });
        }
        let is_restored = position::begins_era(self.end_offset, end_offset);
        if is_restored {
            self.regained_at = Some(now);
        }
        // A process that starts in a later era may begin with the list of the copy.
        if is_restored || self.end_offset == 0 && position::is_after_restore(end_offset) {
            self.restore = Some(Restore::new(end_offset, self.revision, now));
        }
        if self.end_offset == 0 {
            self.history_start = end_offset;
        }
        self.end_offset = end_offset;
        Ok(())
    }

    /// Removes a server and records the removal for [`Roster::changes`].
    fn delete(&mut self, id: &str, now: Instant) {
        if let Some(server) = self.servers.remove(id) {
            self.record_removal(&server);
            self.keep_unlisted(server, now);
        }
    }

    /// Marks a server as missing, if it is not yet, and records a removal for [`Roster::changes`].
    fn mark_missing(&mut self, id: &str, now: Instant) {
        let Some(server) = self.servers.by_name_mut(id) else { return };
        if server.missing_since.is_none() {
            server.missing_since = Some(now);
            let server = server.clone();
            self.record_removal(&server);
        }
    }

    /// Increases with each change of a record, each removal and each server that states that it is
    /// leaving, but not with heartbeats that change nothing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All servers with their keys, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.keys().filter_map(|(_, key)| Some((key, self.servers.get(key)?)))
    }

    /// The server with `key`; `None` if it was removed or has restarted.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Mutable access to the load of the server with `key`.
    pub fn load_mut(&mut self, key: ServerKey) -> Option<&mut Load> {
        self.servers.get_mut(key).map(|server| &mut server.load)
    }

    /// The key of the server with the given id.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.servers.find(id)
    }

    /// The server with the given id.
    pub fn by_id(&self, id: &str) -> Option<&Server> {
        self.servers.by_name(id)
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Applies an entry of the server list that was read at `now`. Returns whether it is of a new
    /// process under a known id.
    pub fn upsert(&mut self, id: &str, record: Record, now: Instant) -> bool {
        self.relist(id, record.started_ms, now);
        let end_offset = self.end_offset;
        match self.servers.by_name_mut(id) {
            // The entry is a late heartbeat of an earlier process with the same id.
            Some(server) if server.record.started_ms > record.started_ms => false,
            Some(server) if server.record.started_ms == record.started_ms => {
                server.last_seen = now;
                let was_missing = server.missing_since.take().is_some();
                let mut record = record;
                if let Some(engine) = &mut record.engine {
                    engine.fill_last_model(server.record.engine.as_ref());
                }
                let is_confirmed = server.record == record;
                // The entry may have been written before the report. It counts as newer only if the
                // report was received before the older of the two newest reads was sent.
                let read_before = self.read_times.map_or(Instant::default(), |(older, _)| older);
                if server.reported_at.is_some_and(|at| at >= read_before) {
                    record.engine.clone_from(&server.record.engine);
                }
                if server.record.engine != record.engine {
                    server.order_count = None;
                }
                let is_changed = server.record != record;
                if is_changed || was_missing {
                    self.revision += 1;
                    server.changed = Mark { revision: self.revision, position: end_offset };
                } else if is_confirmed {
                    server.changed.position = server.changed.position.min(end_offset);
                }
                if is_changed {
                    server.changed_at = now;
                    server.record = record;
                }
                false
            }
            known => {
                let is_restart = known.is_some();
                let mut record = record;
                if let Some(engine) = &mut record.engine {
                    engine.fill_last_model(None);
                }
                if let Some(ended) = self.servers.remove(id) {
                    self.keep_statements(&ended, now);
                }
                let process = Process { id: id.into(), started_ms: record.started_ms };
                let kept = self.unlisted_statements.remove(&process).unwrap_or_default();
                self.revision += 1;
                let server = Server {
                    id: id.into(),
                    record,
                    last_seen: now,
                    order_count: None,
                    latest_order_count: 0,
                    reported_at: None,
                    changed: Mark { revision: self.revision, position: end_offset },
                    changed_at: now,
                    missing_since: None,
                    unlisted_since: None,
                    notice: kept.notice,
                    heartbeat_count: None,
                    load: Load::with_rate(kept.rate),
                };
                self.servers.insert(id.into(), server);
                is_restart
            }
        }
    }

    /// Applies the removal of a list entry. During and shortly after an outage of the store the
    /// server is only marked as missing, because the store may have dropped an entry whose
    /// heartbeats it did not receive.
    pub fn remove(&mut self, id: &str, now: Instant) {
        let is_doubtful = self.has_recent_outage(now);
        match self.servers.by_name(id) {
            Some(server) if is_doubtful && server.phase() == Phase::Ready => {
                self.mark_missing(id, now);
            }
            Some(_) => self.delete(id, now),
            None => {}
        }
    }

    /// Whether the store may have dropped entries of live servers that are not listed again yet,
    /// since there has been no contact to it for too long. Failed calls do not show that: the store
    /// may refuse this entry and serve the servers and the reader that this entry follows.
    fn has_recent_outage(&self, now: Instant) -> bool {
        self.read_times.is_some_and(|(_, newest)| now.since(newest) > MAX_CONTACT_GAP)
            || self.regained_at.is_some_and(|at| now.since(at) < RELIST_TIMEOUT)
    }

    /// Returns the ids of the listed servers that are not in `ids`, which must be sorted.
    pub fn unlisted(&self, ids: &[SmolStr]) -> Vec<SmolStr> {
        self.servers
            .iter()
            .filter(|(_, server)| server.missing_since.is_none())
            .map(|(id, _)| id.clone())
            .filter(|id| ids.binary_search(id).is_err())
            .collect()
    }

    /// When the newest read of the server list was sent. The roster reflects the list as of this
    /// time.
    pub fn list_read_at(&self) -> Instant {
        self.read_times.map_or(Instant::default(), |(_, newest)| newest)
    }

    /// Records at `now` that the roster reflects the server list as of `sent`, the time at which a
    /// successful read was sent. Ignored if a newer read is known.
    pub fn record_read(&mut self, sent: Instant, now: Instant) {
        match self.read_times {
            None => self.read_times = Some((Instant::default(), sent)),
            Some((_, newest)) if sent > newest => {
                if sent.since(newest) > MAX_CONTACT_GAP {
                    self.regained_at = Some(now);
                }
                self.read_times = Some((newest, sent));
            }
            Some(_) => {}
        }
    }

    /// Removes servers that were not listed again in time after an outage, and notices that are no
    /// longer needed.
    pub fn tick(&mut self, now: Instant) {
        self.forget_statements(now);
        self.forget_unlisted(now);
        if self.has_recent_outage(now) {
            return;
        }
        let gone: Vec<SmolStr> = self
            .servers
            .iter()
            .filter(|(_, server)| server.missing_since.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().for_each(|id| self.delete(id, now));
    }
}
