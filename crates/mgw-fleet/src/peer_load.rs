//! Load reports that entries send each other about their requests at shared targets.
//!
//! All entries use the same targets, and the load that a target states is only as recent as its
//! last response. Each entry therefore sends the others its numbers of requests in flight several
//! times a second, as datagrams. Each report replaces all earlier ones of its sender, so a lost
//! datagram does no harm.

use std::time::Duration;

use bincode::{Decode, Encode};
use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::codec;
use crate::fan_out::ROUND_INTERVAL;
use crate::work::left;

/// Version of the encoding, the first byte of each datagram.
const FORMAT_VERSION: u8 = 2;

/// Maximum size of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Age from which on a report is discarded, if each entry sends to all others in each round.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a report from the planner after which it counts as lost, if it sends to all others
/// in each round.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of cycles (see [`crate::fan_out`]) that these times last at least, as a report may be lost.
const MIN_TIMEOUT_CYCLES: u32 = 2;

/// Number of successive reports after which a planner counts as lost if all of them state that it
/// does not plan or has a stale view of the store.
const LOST_AFTER_IDLE_REPORTS: u32 = 3;

/// Age up to which a report shows that its sender is alive.
const ALIVE_REPORT_AGE: Duration = Duration::from_millis(400);

/// Number of other entries that must be alive for a silent planner to count as lost. With fewer, it
/// is more likely that this process has lost its network connection.
const MIN_ALIVE_PEERS: usize = 2;

/// Time after the last report of an entry until the entry is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the hash by which reports identify a target.
pub fn target_hash(id: &str) -> u64 {
    hash::parts(&[id.as_bytes()]) as u64
}

/// The load report of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Sequence number, which rises with each report of the sender.
    pub sequence: u64,
    /// The sender's requests in flight by the target's hash; targets without any are left out.
    pub in_flight: Vec<(u64, u16)>,
    /// Hashes of the targets that the sender found stalled.
    pub stalled: Vec<u64>,
    /// Set if the sender is the planner.
    pub planner: Option<PlannerStatus>,
}

/// State that the planner reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PlannerStatus {
    /// The planner's term.
    pub term: u64,
    /// Number of groups that it opened or closed in this term. A change makes the other entries
    /// read the servers' records at once.
    pub group_changes: u64,
    /// Whether its view of the store is too old, so that another entry should become planner.
    pub has_stale_view: bool,
}

/// Encodes a report: a version byte, then the report in bincode's standard format.
///
/// # Errors
///
/// The encoder fails.
pub fn encode(report: &Report) -> Result<Vec<u8>, bincode::error::EncodeError> {
    codec::encode(FORMAT_VERSION, report)
}

/// Decodes a report. Returns `None` if the datagram is malformed or of another version.
pub fn decode(bytes: &[u8]) -> Option<Report> {
    codec::decode::<_, MAX_DATAGRAM_BYTES>(FORMAT_VERSION, bytes)
}

#[derive(Clone, Debug)]
struct Peer {
    report: Report,
    received_at: Instant,
    /// Work left of its requests, from the newest report of it; `None` if the peer sends none.
    work: Option<Vec<left::Server>>,
    /// Whether `work` is newer than `report`.
    has_new_work: bool,
    /// Reports since the peer last stated that it plans with a current view of the store; 0 if it
    /// never was the planner.
    idle_reports: u32,
}

/// Sums over all peers for a target.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    /// Requests in flight.
    requests: u32,
    /// Those of peers that do not report their work.
    unstated_requests: u32,
    /// Work left of the other peers' requests, in milliseconds.
    left_ms: u32,
}

/// The newest load reports of the other entries.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Peers with a current report, by incarnation.
    peers: Map<u64, Peer>,
    /// Sums over all peers by the target's hash.
    totals: Map<u64, Total>,
    /// When each entry last sent a report, by incarnation. Kept for longer than the report.
    last_heard: Map<u64, Instant>,
    /// Time between two reports of an entry; see [`crate::fan_out::cycle`].
    cycle: Duration,
}

impl Table {
    /// Sets the time between two reports of an entry.
    pub fn set_cycle(&mut self, cycle: Duration) {
        self.cycle = cycle;
    }

    /// The time between two reports of an entry.
    pub fn cycle(&self) -> Duration {
        self.cycle
    }

    /// The time without a report after which something is concluded from that: `base`, or more if
    /// reports are rare.
    fn timeout(&self, base: Duration) -> Duration {
        base.max(self.cycle * MIN_TIMEOUT_CYCLES + ROUND_INTERVAL)
    }

    /// Applies a report that arrived at `now`. A report with a sequence number that is not higher
    /// than that of the sender's known report is ignored.
    pub fn apply(&mut self, report: Report, now: Instant) {
        let is_older =
            self.peers.get(&report.sender).is_some_and(|it| it.report.sequence >= report.sequence);
        if !is_older {
            self.last_heard.insert(report.sender, now);
            let known = self.peers.get(&report.sender);
            let was_planner =
                known.is_some_and(|it| it.report.planner.is_some() || it.idle_reports > 0);
            let idle_reports = match report.planner {
                Some(status) if !status.has_stale_view => 0,
                None if !was_planner => 0,
                Some(_) | None => known.map_or(0, |it| it.idle_reports) + 1,
            };
            let known_work = known.filter(|it| it.has_new_work).and_then(|it| it.work.clone());
            let peer = Peer {
                work: known_work,
                has_new_work: false,
                received_at: now,
                idle_reports,
                report,
            };
            self.peers.insert(peer.report.sender, peer);
            self.recompute_totals();
        }
    }

    /// Applies a report of work, which follows a load report of the same sender.
    pub fn apply_work(&mut self, report: &left::Report) {
        let Some(peer) = self.peers.get_mut(&report.sender) else { return };
        if peer.report.sequence <= report.sequence {
            peer.work = Some(report.servers.clone());
            peer.has_new_work = true;
            self.recompute_totals();
        }
    }

    /// Discards reports that are too old, and forgets entries that have sent none for a long time.
    pub fn expire(&mut self, now: Instant) {
        self.last_heard.retain(|_, at| now.since(*at) < FORGET_TIMEOUT);
        let (before, timeout) = (self.peers.len(), self.timeout(REPORT_TIMEOUT));
        self.peers.retain(|_, peer| now.since(peer.received_at) < timeout);
        if self.peers.len() != before {
            self.recompute_totals();
        }
    }

    /// Whether the planner with the incarnation `planner` must be replaced.
    ///
    /// That is the case if it reports that it does not plan or has a stale view, or if it sends no
    /// reports while other entries do. In the latter case the planner has probably ended. If no
    /// reports arrive at all, this process has probably lost its network connection.
    pub fn is_planner_lost(&self, planner: u64, now: Instant) -> bool {
        let age = |peer: &Peer| now.since(peer.received_at);
        let timeout = self.timeout(PLANNER_TIMEOUT);
        let is_silent = self.last_heard.get(&planner).is_some_and(|at| now.since(*at) > timeout);
        let is_idle = self
            .peers
            .get(&planner)
            .is_some_and(|peer| peer.idle_reports >= LOST_AFTER_IDLE_REPORTS);
        let alive_peers =
            self.peers.iter().filter(|(id, peer)| **id != planner && age(peer) < ALIVE_REPORT_AGE);
        is_idle || (is_silent && alive_peers.count() >= MIN_ALIVE_PEERS)
    }

    /// Returns the number of entries with a current report.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no entry has a current report.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the number of requests that the other entries have in flight at the target with the
    /// hash `target`.
    pub fn requests(&self, target: u64) -> u32 {
        self.totals.get(&target).map_or(0, |it| it.requests)
    }

    /// Returns the work left of the other entries' requests at the target with the hash `target`, in
    /// seconds. The requests of an entry that does not report it are taken to need `mean_s` each.
    pub fn left_s(&self, target: u64, mean_s: f64) -> f64 {
        self.totals.get(&target).map_or(0.0, |it| {
            f64::from(it.left_ms) / 1_000.0 + f64::from(it.unstated_requests) * mean_s
        })
    }

    fn recompute_totals(&mut self) {
        let mut totals: Map<u64, Total> = Map::default();
        for (_, peer) in self.peers.iter() {
            for (target, count) in &peer.report.in_flight {
                let total = totals.get_or_insert_with(*target, Total::default);
                total.requests += u32::from(*count);
                total.unstated_requests += if peer.work.is_none() { u32::from(*count) } else { 0 };
            }
            for server in peer.work.iter().flatten() {
                let total = totals.get_or_insert_with(server.target, Total::default);
                total.left_ms = total.left_ms.saturating_add(server.left_ms);
            }
        }
        self.totals = totals;
    }
}

/// Returns the address for the load reports of the entry that accepts callers at `caller_address`:
/// the same IP address with `port`. `None` if `caller_address` has no port.
pub fn datagram_address(caller_address: &str, port: u16) -> Option<SmolStr> {
    let (ip, _) = caller_address.rsplit_once(':')?;
    Some(SmolStr::from(format!("{ip}:{port}")))
}
