//! Detection of prompt parts that crash servers.
//!
//! A server that crashes when it begins to answer requests with a certain part of the prompt does
//! so whatever else they contain, so a quarantine of single requests ([`crate::quarantine`]) does
//! not end the crashes. Here, a crash is evidence against each part of the requests that the server
//! had not begun to answer, and an answer clears all parts of its request.

use std::cmp::Reverse;
use std::fmt;
use std::time::Duration;

use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;

/// Time for which a server must have been answering a request to show that none of the request's
/// parts crashes it.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Parameters of the detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of crashed servers that prove a part to be poison.
    pub min_servers: usize,
    /// Number of different requests at these servers. A single request with its retries does not
    /// show which of its parts causes the crashes.
    pub min_requests: usize,
    /// The same for a part that was answered within [`Options::served_memory`].
    pub min_requests_if_served: usize,
    /// Time between the first and the last of the crashes. If many servers fail together, all
    /// common parts are at several of them.
    pub min_span: Duration,
    /// Time for which evidence counts, and for which a poison part stays quarantined.
    pub quarantine_duration: Duration,
    /// Time for which an answer to a part is remembered.
    pub served_memory: Duration,
    /// Maximum number of parts with evidence, and of parts that were answered.
    pub max_parts: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_servers: 3,
            min_requests: 2,
            min_requests_if_served: 5,
            min_span: Duration::from_millis(600),
            quarantine_duration: Duration::from_secs(600),
            served_memory: Duration::from_secs(60),
            max_parts: 4_096,
        }
    }
}

/// Maximum number of crashes that are stored per part.
const MAX_EVIDENCE: usize = 16;

/// Time for which news about a part are repeated to the peers.
const REPEAT_TIME: Duration = Duration::from_millis(2_000);

/// Time after a crash for which answers to the parts concerned are told to the peers.
const CLEARANCE_TIME: Duration = Duration::from_secs(20);

/// A part of a prompt: the value of its hexadecimal id, or else a hash of the id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part(pub u64);

impl Part {
    /// The part with this id.
    pub fn from_id(id: &str) -> Self {
        let value = u64::from_str_radix(id, 16);
        Self(value.unwrap_or_else(|_| hash::parts(&[id.as_bytes()]) as u64))
    }
}

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// A crash of a server that had not begun to answer a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The part.
    pub part: Part,
    /// Hash of the request, equal for its retries.
    pub request: u64,
    /// Hash of the server's process.
    pub server: u64,
    /// Position of the part in the request's prompt, from 0.
    pub position: u8,
}

/// Statement that a server has answered a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// The part.
    pub part: Part,
    /// When the server began to answer.
    pub began: Instant,
}

/// A part that is quarantined from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: Part,
    /// Whether requests with it are refused.
    pub is_quarantined: bool,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    evidence: Evidence,
    /// When it became known to this entry.
    at: Instant,
    is_own: bool,
    /// Whether a request with the part was answered later. A cleared crash is kept so that a late
    /// copy of it is recognized.
    is_cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// At most [`MAX_EVIDENCE`], each with a different pair of request and server.
    crashes: Vec<Crash>,
    quarantined_at: Option<Instant>,
    /// Until when the newest answer is told to the peers.
    announced_until: Option<Instant>,
}

impl Record {
    fn uncleared(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    fn last_crash(&self) -> Instant {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
    }
}

/// What one entry knows of crashes and answers, by part.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    records: Map<Part, Record>,
    /// When a server last began an answer to a request with the part, here or at a peer.
    served: Map<Part, Instant>,
    changes: Vec<Change>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(options: Options) -> Self {
        Self { options, records: Map::default(), served: Map::default(), changes: Vec::new() }
    }

    /// Whether a request with any of `parts` must be refused.
    pub fn is_quarantined(&self, parts: &[Part]) -> bool {
        parts.iter().any(|part| self.quarantined_at(part).is_some())
    }

    fn quarantined_at(&self, part: &Part) -> Option<Instant> {
        self.records.get(part).and_then(|record| record.quarantined_at)
    }

    /// Records that `server` crashed before it had begun to answer `request` with the shared
    /// `parts`, in the order of the prompt.
    pub fn record_crash(&mut self, parts: &[Part], request: u64, server: u64, now: Instant) {
        for (part, position) in parts.iter().zip(0..) {
            self.insert(Evidence { part: *part, request, server, position }, true, now);
        }
        self.judge(now);
    }

    /// Adds evidence of a peer. With `is_conclusive`, the peer has quarantined the part.
    pub fn merge(&mut self, evidence: Evidence, is_conclusive: bool, now: Instant) {
        let is_new = self.insert(evidence, false, now);
        let record = self.records.get_mut(&evidence.part);
        if let Some(record) = record.filter(|record| is_conclusive && record.holds(&evidence))
            && record.quarantined_at.is_none()
        {
            record.quarantined_at = Some(now);
            self.changes.push(Change { part: evidence.part, is_quarantined: true });
        }
        // Peers repeat what they have said many times.
        if is_new {
            self.judge(now);
        }
    }

    /// Stores evidence and returns true unless it is known.
    fn insert(&mut self, evidence: Evidence, is_own: bool, now: Instant) -> bool {
        let is_served = self.served.get(&evidence.part).is_some();
        if self.records.get(&evidence.part).is_none()
            && self.records.len() >= self.options.max_parts
        {
            self.evict_oldest();
        }
        let record = self.records.get_or_insert_with(evidence.part, Record::default);
        let key = |it: &Evidence| (it.request, it.server);
        if record.crashes.iter().any(|crash| key(&crash.evidence) == key(&evidence)) {
            return false;
        }
        if record.crashes.len() >= MAX_EVIDENCE {
            record.crashes.remove(0);
        }
        record.crashes.push(Crash { evidence, at: now, is_own, is_cleared: false });
        if is_served {
            record.announced_until = Some(now + REPEAT_TIME);
        }
        true
    }

    /// Removes the part whose last crash is the oldest, but no quarantined one.
    fn evict_oldest(&mut self) {
        let free = self.records.iter().filter(|(_, record)| record.quarantined_at.is_none());
        if let Some(part) = free.min_by_key(|(_, it)| it.last_crash()).map(|(part, _)| *part) {
            self.records.remove(&part);
        }
    }

    /// Records that a server began to answer a request with the shared `parts` at `began` and has
    /// gone on for [`SETTLE_TIME`], or has completed its answer.
    pub fn record_answer(&mut self, parts: &[Part], began: Instant, now: Instant) {
        for part in parts {
            self.clear(Clearance { part: *part, began });
            if let Some(record) = self.records.get_mut(part)
                && now.since(record.last_crash()) < CLEARANCE_TIME
            {
                record.announced_until = Some(now + REPEAT_TIME);
            }
        }
    }

    /// Applies an answer that was seen here or by a peer.
    pub fn clear(&mut self, clearance: Clearance) {
        let Clearance { part, began } = clearance;
        let newest = self.served.get(&part).map_or(began, |known| began.max(*known));
        if self.served.get(&part).is_some() || self.served.len() < self.options.max_parts {
            self.served.insert(part, newest);
        }
        let Some(record) = self.records.get_mut(&part) else { return };
        let earlier = record.crashes.iter_mut().filter(|crash| crash.at < began);
        earlier.for_each(|crash| crash.is_cleared = true);
        if record.uncleared().next().is_none() && record.quarantined_at.take().is_some() {
            self.changes.push(Change { part, is_quarantined: false });
        }
    }

    /// Quarantines parts with conclusive evidence, one after the other: the crashes that one part
    /// explains are no evidence against others. The first one is that which was never answered or
    /// least recently, and of equal ones that which comes last in the prompt.
    fn judge(&mut self, now: Instant) {
        loop {
            let conclusive = self.records.iter().filter(|(part, record)| {
                record.quarantined_at.is_none() && self.is_conclusive(part, record, now)
            });
            let rank = |part: &Part, record: &Record| {
                let position = record.crashes.iter().map(|it| it.evidence.position).max();
                (self.served.get(part).copied(), Reverse(position))
            };
            let first = conclusive.min_by_key(|(part, record)| rank(part, record));
            let Some(part) = first.map(|(part, _)| *part) else { return };
            if let Some(record) = self.records.get_mut(&part) {
                record.quarantined_at = Some(now);
            }
            self.changes.push(Change { part, is_quarantined: true });
        }
    }

    fn is_conclusive(&self, part: &Part, record: &Record, now: Instant) -> bool {
        let options = &self.options;
        let crashes: Vec<&Crash> = record
            .uncleared()
            .filter(|it| now.since(it.at) < options.quarantine_duration)
            .filter(|it| !self.is_explained(part, it.evidence.server))
            .collect();
        let (servers, requests) = (
            count_distinct(crashes.iter().map(|it| it.evidence.server)),
            count_distinct(crashes.iter().map(|it| it.evidence.request)),
        );
        let is_served = self.served.get(part).is_some();
        let min_requests =
            if is_served { options.min_requests_if_served } else { options.min_requests };
        let first = crashes.iter().map(|it| it.at).min();
        let last = crashes.iter().map(|it| it.at).max();
        let span = first.zip(last).map_or(Duration::ZERO, |(first, last)| last.since(first));
        servers >= options.min_servers && requests >= min_requests && span >= options.min_span
    }

    /// Whether another part that is quarantined was at `server` when it crashed.
    fn is_explained(&self, part: &Part, server: u64) -> bool {
        self.records.iter().any(|(other, record)| {
            other != part
                && record.quarantined_at.is_some()
                && record.uncleared().any(|crash| crash.evidence.server == server)
        })
    }

    /// Evidence that all entries, also later ones, have to know: that of quarantined parts, with
    /// `true`, and then the newest that this entry observed and that is not cleared; at most
    /// `limit`.
    pub fn published(&self, limit: usize) -> Vec<(Evidence, bool)> {
        let quarantined = self.records.iter().filter(|(_, it)| it.quarantined_at.is_some());
        let mut published: Vec<(Evidence, bool)> = quarantined
            .flat_map(|(_, record)| record.uncleared().take(self.options.min_servers))
            .map(|crash| (crash.evidence, true))
            .collect();
        let suspected = self.records.iter().filter(|(_, it)| it.quarantined_at.is_none());
        let mut own: Vec<&Crash> =
            suspected.flat_map(|(_, record)| record.uncleared()).filter(|it| it.is_own).collect();
        own.sort_by_key(|crash| Reverse(crash.at));
        published.extend(own.into_iter().map(|crash| (crash.evidence, false)));
        published.truncate(limit);
        published
    }

    /// This entry's newest evidence and the answers to parts that are in question, for the peers;
    /// at most `limit` of each.
    pub fn news(&self, limit: usize, now: Instant) -> (Vec<Evidence>, Vec<Clearance>) {
        let crashes = self.records.iter().flat_map(|(_, record)| &record.crashes);
        let evidence = crashes
            .filter(|crash| crash.is_own && now.since(crash.at) < REPEAT_TIME)
            .map(|crash| crash.evidence)
            .take(limit)
            .collect();
        let announced = self
            .records
            .iter()
            .filter(|(_, record)| record.announced_until.is_some_and(|until| now < until));
        let clearances = announced
            .filter_map(|(part, _)| {
                self.served.get(part).map(|began| Clearance { part: *part, began: *began })
            })
            .take(limit)
            .collect();
        (evidence, clearances)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Ends quarantines and removes what no longer counts.
    pub fn tick(&mut self, now: Instant) {
        let Options { quarantine_duration, served_memory, .. } = self.options;
        self.served.retain(|_, began| now.since(*began) < served_memory);
        let changes = &mut self.changes;
        self.records.retain(|part, record| {
            let is_over = |at: &mut Instant| now.since(*at) >= quarantine_duration;
            if record.quarantined_at.take_if(is_over).is_some() {
                changes.push(Change { part: *part, is_quarantined: false });
            }
            // Crashes are kept for twice the time so that late copies are recognized.
            now.since(record.last_crash()) < quarantine_duration * 2
        });
    }

    /// The number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.records.iter().filter(|(_, record)| record.quarantined_at.is_some()).count()
    }
}

impl Record {
    /// Whether this crash is known and not cleared.
    fn holds(&self, evidence: &Evidence) -> bool {
        self.uncleared().any(|crash| crash.evidence == *evidence)
    }
}

fn count_distinct<I>(values: I) -> usize
where
    I: Iterator<Item = u64>,
{
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values.dedup();
    values.len()
}
