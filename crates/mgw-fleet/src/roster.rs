//! The servers that the platform lists.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::table::Table;
use mgw_base::time::Instant;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::place::Load;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// The progress of an instance within its group.
///
/// Between two orders to an instance, its stages follow each other as they are listed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The weights are not there yet.
    Joining,
    /// It could serve.
    Ready,
    /// As head, it takes requests.
    Open,
    /// As head, it finishes its requests.
    Closing,
    /// As head, it noticed the loss of a member.
    Broken,
}

/// The place of an instance in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The group's name.
    pub group: SmolStr,
    /// The group's epoch.
    pub epoch: u64,
    /// 0 for the head.
    pub rank: usize,
    /// Progress.
    pub stage: Stage,
}

/// What a model engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The model of its group.
    pub model: Option<SmolStr>,
    /// The model of its newest group since its start, as far as is known. It is still in memory.
    #[serde(rename = "recent")]
    pub last_model: Option<SmolStr>,
    /// Fabric domain.
    pub domain: SmolStr,
    /// Models whose weights are on the host.
    pub staged: Vec<SmolStr>,
    /// Its place in a group.
    #[serde(rename = "seat")]
    pub membership: Option<Membership>,
}

/// A server's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Service.
    pub service: SmolStr,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Start of the process in ms since 1970; another start under the same id is another process.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

impl Engine {
    /// Fills in what a server does not tell: the model of the group that it has left.
    fn remember(&mut self, known: Option<&Engine>) {
        let known = known.and_then(|known| known.last_model.clone());
        self.last_model = self.model.clone().or(self.last_model.take()).or(known);
    }
}

impl Record {
    /// The place in a group.
    pub fn membership(&self) -> Option<&Membership> {
        self.engine.as_ref().and_then(|engine| engine.membership.as_ref())
    }

    /// The place in a group if it is the head's.
    pub fn head_membership(&self) -> Option<&Membership> {
        self.membership().filter(|membership| membership.rank == 0)
    }
}

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Unique id.
    pub id: SmolStr,
    /// Its newest entry.
    pub record: Record,
    /// When an entry of it was last read, or it last answered a probe.
    pub last_seen: Instant,
    /// Orders accepted since the start, as of the report that `record.engine` is from. `None` while
    /// the engine may have changed since: an order that is given under this count is carried out
    /// only in the state that is known.
    pub order_count: Option<u64>,
    /// The highest known count of orders; a report with a lower one is older than what is known.
    counted: u64,
    /// When it last reported its engine's state itself.
    observed: Option<Instant>,
    /// The roster's revision at which its record changed last, and when that was.
    changed: u64,
    changed_at: Instant,
    /// Since when its entry is missing although the store may have dropped it by mistake.
    pub missing_since: Option<Instant>,
    /// What this process knows of its load.
    pub load: Load,
}

/// Key of a server.
pub type ServerKey = Key<Server>;

/// Time after the store's return within which live servers are listed again.
const RELIST: Duration = Duration::from_millis(2_200);

/// Time for which reports may show a state from before the newest order. Reports lag by some hundred
/// milliseconds.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Removals that are kept for entries that follow this one.
const REMOVALS: usize = 512;

/// Whether a report under the same count of orders is from before the known stage.
fn is_behind(known: Option<&Membership>, reported: Option<&Membership>) -> bool {
    known.zip(reported).is_some_and(|(known, reported)| {
        (&known.group, known.epoch) == (&reported.group, reported.epoch)
            && reported.stage < known.stage
    })
}

/// All servers.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    servers: Table<Server>,
    /// Rises with each change other than a heartbeat.
    revision: u64,
    /// When the store was last out of reach.
    outage: Option<Instant>,
    /// When the two newest reads of the list were sent.
    reads: (Instant, Instant),
    /// The newest removals with the revisions at which they happened, ascending.
    removals: Vec<(u64, SmolStr)>,
    /// The revision up to which removals are not kept any more.
    forgotten: u64,
}

/// What has changed since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The revision that is reached with them.
    pub revision: u64,
    /// Whether these are all servers, so that any other one is gone.
    pub is_whole: bool,
    /// New and changed servers.
    pub changed: Vec<(SmolStr, Record)>,
    /// Servers that are gone.
    pub gone: Vec<SmolStr>,
}

impl Roster {
    /// What has changed since `revision`; 0 stands for nothing known.
    pub fn changes(&self, revision: u64) -> Changes {
        let is_whole = revision == 0 || revision < self.forgotten;
        let is_new = |server: &&Server| is_whole || server.changed > revision;
        let removals = self.removals.iter().filter(|(at, _)| !is_whole && *at > revision);
        let record = |server: &Server| (server.id.clone(), server.record.clone());
        Changes {
            revision: self.revision,
            is_whole,
            changed: self.iter().map(|(_, it)| it).filter(is_new).map(record).collect(),
            gone: removals
                .map(|(_, id)| id.clone())
                .filter(|id| self.servers.by_name(id).is_none())
                .collect(),
        }
    }

    fn drop_server(&mut self, id: &str) {
        if self.servers.remove(id).is_some() {
            self.revision += 1;
            self.removals.push((self.revision, id.into()));
        }
        if self.removals.len() > REMOVALS {
            let dropped = self.removals.drain(..REMOVALS / 2).next_back();
            self.forgotten = dropped.map_or(self.forgotten, |(at, _)| at);
        }
    }

    /// Rises with each change other than a heartbeat.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All servers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.keys().filter_map(|(_, key)| Some((key, self.servers.get(key)?)))
    }

    /// The server of `key`.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// The server of `key`, for a change of its load.
    pub fn load_mut(&mut self, key: ServerKey) -> Option<&mut Load> {
        self.servers.get_mut(key).map(|server| &mut server.load)
    }

    /// The key of the server called `id`.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.servers.find(id)
    }

    /// The server called `id`.
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

    /// Takes an entry of the list that was read at `now`. Returns whether the server is a new
    /// process under a known id.
    pub fn upsert(&mut self, id: &str, record: Record, now: Instant) -> bool {
        match self.servers.by_name_mut(id) {
            // A late heartbeat of an earlier process under the same id.
            Some(server) if server.record.started_ms > record.started_ms => false,
            Some(server) if server.record.started_ms == record.started_ms => {
                server.last_seen = now;
                server.missing_since = None;
                let mut record = record;
                if let Some(engine) = &mut record.engine {
                    engine.remember(server.record.engine.as_ref());
                }
                // The entry may have been written before the report.
                if server.observed.is_some_and(|at| at >= self.reads.0) {
                    record.engine.clone_from(&server.record.engine);
                }
                if server.record.engine != record.engine {
                    server.order_count = None;
                }
                if server.record != record {
                    self.revision += 1;
                    server.changed = self.revision;
                    server.changed_at = now;
                    server.record = record;
                }
                false
            }
            known => {
                let is_restart = known.is_some();
                let mut record = record;
                if let Some(engine) = &mut record.engine {
                    engine.remember(None);
                }
                self.servers.remove(id);
                self.revision += 1;
                let server = Server {
                    id: id.into(),
                    record,
                    last_seen: now,
                    order_count: None,
                    counted: 0,
                    observed: None,
                    changed: self.revision,
                    changed_at: now,
                    missing_since: None,
                    load: Load::default(),
                };
                self.servers.insert(id.into(), server);
                is_restart
            }
        }
    }

    /// Takes what a server reports when asked directly.
    pub fn apply_report(
        &mut self,
        id: &str,
        started_ms: u64,
        engine: Engine,
        orders: u64,
        now: Instant,
    ) {
        let Some(server) = self.servers.by_name_mut(id) else { return };
        if server.record.started_ms != started_ms {
            return;
        }
        server.last_seen = now;
        let was_ordered = server.observed.is_some_and(|at| now.since(at) < REPORT_LAG);
        let has_changed = now.since(server.changed_at) < REPORT_LAG;
        let is_older = match orders.cmp(&server.counted) {
            Ordering::Less => was_ordered,
            Ordering::Equal => {
                has_changed && is_behind(server.record.membership(), engine.membership.as_ref())
            }
            Ordering::Greater => false,
        };
        if is_older {
            return;
        }
        server.observed = Some(now);
        server.order_count = Some(orders);
        server.counted = orders;
        let mut engine = engine;
        engine.remember(server.record.engine.as_ref());
        if server.record.engine.as_ref() != Some(&engine) {
            server.record.engine = Some(engine);
            self.revision += 1;
            server.changed = self.revision;
        }
    }

    /// Notes that a server carried out an order that was given under the count `accepted`, which
    /// leaves it in the place `seat`. Its reports show that only after a while.
    pub fn confirm_order(
        &mut self,
        id: &str,
        accepted: u64,
        membership: Option<Membership>,
        now: Instant,
    ) {
        let Some(server) = self.servers.by_name_mut(id) else { return };
        server.observed = Some(now);
        server.counted = accepted + 1;
        server.order_count = Some(accepted + 1);
        if let Some(engine) = &mut server.record.engine {
            engine.membership = membership;
            self.revision += 1;
            server.changed = self.revision;
        }
    }

    /// Notes that a server was given an order, so that its state and count are open until it reports.
    pub fn clear_order_count(&mut self, id: &str) {
        if let Some(server) = self.servers.by_name_mut(id) {
            server.order_count = None;
        }
    }

    /// Takes the removal of an entry. Right after an outage of the store the entry may be back.
    pub fn remove(&mut self, id: &str, now: Instant) {
        let is_doubtful = self.outage.is_some_and(|outage| now.since(outage) < RELIST);
        match self.servers.by_name_mut(id) {
            Some(server) if is_doubtful && server.record.phase == Phase::Ready => {
                server.missing_since = server.missing_since.or(Some(now));
            }
            Some(_) => self.drop_server(id),
            None => {}
        }
    }

    /// Removes the servers that are not in `ids`, as after a read of the whole list. `ids` is
    /// sorted.
    pub fn retain(&mut self, ids: &[SmolStr], now: Instant) {
        let gone: Vec<SmolStr> = self
            .servers
            .keys()
            .map(|(id, _)| id.clone())
            .filter(|id| ids.binary_search(id).is_err())
            .collect();
        gone.iter().for_each(|id| self.remove(id, now));
    }

    /// Up to when the list is known.
    pub fn list_read_at(&self) -> Instant {
        self.reads.1
    }

    /// Notes that the list is read with a call that was sent at `asked`.
    pub fn record_read(&mut self, asked: Instant) {
        self.reads = (self.reads.1, asked);
    }

    /// Notes that the store did not answer at `now`.
    pub fn record_outage(&mut self, now: Instant) {
        self.outage = Some(now);
    }

    /// Removes servers that were not listed again in time after an outage.
    pub fn tick(&mut self, now: Instant) {
        let Some(outage) = self.outage else { return };
        if now.since(outage) < RELIST {
            return;
        }
        let gone: Vec<SmolStr> = self
            .servers
            .iter()
            .filter(|(_, server)| server.missing_since.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().for_each(|id| self.drop_server(id));
    }
}
