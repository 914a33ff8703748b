//! Detection of prompt parts that crash servers.
//!
//! A server that crashes when it begins to answer requests with a certain part of the prompt does
//! so whatever else they contain, so a quarantine of single requests ([`crate::quarantine`]) does
//! not end the crashes. Here, a crash is evidence against each part of the requests that the server
//! had not begun to answer, and an answer that began later clears all parts of its request.
//!
//! Several parts may be at the same crashes. Then it is known only that they crash servers together:
//! requests with all of them are refused, and one with some of them shows by its outcome which it
//! is. What is refused is tried again; see [`crate::trial`].

mod record;
mod suspicion;

use std::cmp::Reverse;
use std::fmt;
use std::time::Duration;

use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::trial::{self, AtRisk, Seat};
use record::{Crash, MAX_EVIDENCE, Record};
use suspicion::{Suspicion, sorted_distinct};

/// Time for which a server must have been answering a request to show that none of the request's
/// parts crashes it.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Parameters of the detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of crashed servers that prove a part to be poison.
    pub min_servers: usize,
    /// The same for a part that was also at crashes which another part explains, and that were
    /// conclusive without it.
    pub min_servers_if_suspected: usize,
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
    /// When what is refused is tried again.
    pub trial: trial::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_servers: 3,
            min_servers_if_suspected: 2,
            min_requests: 2,
            min_requests_if_served: 5,
            min_span: Duration::from_millis(600),
            quarantine_duration: Duration::from_secs(600),
            served_memory: Duration::from_secs(60),
            max_parts: 4_096,
            trial: trial::Options::default(),
        }
    }
}

/// Maximum number of requests at one crashed server that are stored per part, so that a part of
/// many requests has evidence of as many servers as any other.
const MAX_EVIDENCE_PER_SERVER: usize = 2;

/// Time after which a caller is told to come back while it is open which part is the cause.
const EXPERIMENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Minimum time after which a caller is told to come back for a trial that is due.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

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

/// Parts that are quarantined together from now on, or no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The parts, sorted.
    pub parts: Vec<Part>,
    /// Whether requests with all of them are refused.
    pub is_quarantined: bool,
}

/// How a request must be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is routed normally.
    Clear,
    /// It may crash its server, and its outcome decides what is suspected. It must not be sent to a
    /// second server after it has lost the first one.
    AtRisk,
    /// It is refused.
    Refused {
        /// Time after which another try may be worth it.
        retry_after: Duration,
    },
}

/// What one entry knows of crashes and answers, by part.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    records: Map<Part, Record>,
    /// When a server last began an answer to a request with the part, here or at a peer.
    served: Map<Part, Instant>,
    /// What is quarantined, as follows from `records` and `served`.
    suspicions: Vec<Suspicion>,
    /// Parts that may crash servers as well; see [`Table::find_unproven`]. Sorted.
    unproven: Vec<Part>,
    at_risk: AtRisk,
    changes: Vec<Change>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            records: Map::default(),
            served: Map::default(),
            suspicions: Vec::new(),
            unproven: Vec::new(),
            at_risk: AtRisk::default(),
            changes: Vec::new(),
        }
    }

    /// Whether requests with `parts` are refused, but for trials.
    pub fn is_quarantined(&self, parts: &[Part]) -> bool {
        self.suspicions.iter().any(|it| it.covers(parts))
    }

    /// Decides whether a request with `parts` is sent to a server at `now`. `seat` gives the place
    /// of this entry for a matter.
    pub fn admit<F>(&mut self, parts: &[Part], now: Instant, seat: F) -> Verdict
    where
        F: Fn(u64) -> Seat,
    {
        let options = self.options.trial;
        let mut touched = self.suspicions.iter().filter(|it| it.touches(parts));
        let Some(suspicion) = touched.next() else {
            return self.admit_unproven(parts, now, seat);
        };
        let matter = suspicion.matter();
        let (is_allowed, retry_after) = match suspicion.covers(parts) {
            true => {
                let due = self.trial_due(suspicion);
                let left = due.since(now).max(TRIAL_RETRY_AFTER);
                (options.allows_trial(seat(matter), due, now), left)
            }
            false => (options.allows_experiment(seat(matter)), EXPERIMENT_RETRY_AFTER),
        };
        // The outcome of a request on several matters would decide none.
        let is_on_several = touched.next().is_some();
        if !is_allowed || is_on_several || self.at_risk.is_busy(matter, &options, now) {
            return Verdict::Refused { retry_after };
        }
        self.at_risk.begin(matter, &options, now);
        Verdict::AtRisk
    }

    /// As [`Table::admit`], for a request without a part that is quarantined.
    fn admit_unproven<F>(&mut self, parts: &[Part], now: Instant, seat: F) -> Verdict
    where
        F: Fn(u64) -> Seat,
    {
        let Some(part) = parts.iter().find(|it| self.unproven.binary_search(it).is_ok()) else {
            return Verdict::Clear;
        };
        let options = self.options.trial;
        if !options.allows_experiment(seat(part.0)) || self.at_risk.is_busy(part.0, &options, now) {
            return Verdict::Refused { retry_after: EXPERIMENT_RETRY_AFTER };
        }
        self.at_risk.begin(part.0, &options, now);
        Verdict::AtRisk
    }

    /// Whether `request`, which has lost its server, must not be sent to another one: a part that was
    /// never answered was at the crash of a server with another request, too.
    pub fn forbids_retry(&self, parts: &[Part], request: u64) -> bool {
        let is_repeated = |part: &Part| {
            self.records.get(part).is_some_and(|record| {
                record.uncleared().any(|crash| crash.evidence.request != request)
            })
        };
        parts.iter().any(|part| self.served.get(part).is_none() && is_repeated(part))
    }

    /// When a request with all parts of `suspicion` is tried next.
    fn trial_due(&self, suspicion: &Suspicion) -> Instant {
        let records = suspicion.parts.iter().filter_map(|part| self.records.get(part));
        let crashes: Vec<&Crash> = records.flat_map(Record::uncleared).collect();
        let last = crashes.iter().map(|crash| crash.at).max().unwrap_or(suspicion.since);
        let later = crashes.iter().filter(|crash| crash.at > suspicion.since);
        let failed = sorted_distinct(later.map(|crash| crash.evidence.server)).len();
        self.options.trial.due(suspicion.certainty(), last, failed)
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
        let told = record.filter(|it| is_conclusive && !it.is_told && it.holds(&evidence));
        let is_told = told.map(|record| record.is_told = true).is_some();
        // Peers repeat what they have said many times.
        if is_new || is_told {
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
        let at_server = record.crashes.iter().filter(|it| it.evidence.server == evidence.server);
        if at_server.count() >= MAX_EVIDENCE_PER_SERVER {
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
        let free = self.records.iter().filter(|(part, _)| !self.is_suspected(part));
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
        let earlier =
            record.crashes.iter_mut().filter(|crash| !crash.is_cleared && crash.at < began);
        let cleared = earlier.map(|crash| crash.is_cleared = true).count();
        if record.uncleared().next().is_none() {
            record.is_told = false;
        }
        if cleared > 0 {
            self.judge(began);
        }
    }

    /// Whether a part is quarantined, alone or together with others.
    fn is_suspected(&self, part: &Part) -> bool {
        self.suspicions.iter().any(|it| it.parts.contains(part))
    }

    /// Finds out anew what is quarantined, and notes the changes.
    fn judge(&mut self, now: Instant) {
        let mut found = self.find_suspicions(now);
        for suspicion in &mut found {
            let earlier = self.suspicions.iter().filter(|it| it.touches(&suspicion.parts));
            suspicion.since = earlier.map(|it| it.since).min().unwrap_or(now);
        }
        let old = std::mem::replace(&mut self.suspicions, found);
        self.unproven = self.find_unproven(now);
        let change =
            |it: &Suspicion, is_quarantined| Change { parts: it.parts.clone(), is_quarantined };
        let is_in =
            |it: &Suspicion, all: &[Suspicion]| all.iter().any(|other| other.parts == it.parts);
        let ended = old.iter().filter(|it| !is_in(it, &self.suspicions));
        self.changes.extend(ended.map(|it| change(it, false)));
        let begun = self.suspicions.iter().filter(|it| !is_in(it, &old));
        self.changes.extend(begun.map(|it| change(it, true)));
    }

    /// Evidence that all entries, also later ones, have to know: that of quarantined parts, with
    /// `true`, and then the newest that this entry observed and that is not cleared; at most
    /// `limit`.
    pub fn published(&self, limit: usize) -> Vec<(Evidence, bool)> {
        let (suspected, others): (Vec<_>, Vec<_>) =
            self.records.iter().partition(|(part, _)| self.is_suspected(part));
        let conclusive = suspected.into_iter().flat_map(|(_, record)| {
            // The same servers for parts that cannot be told apart.
            let mut crashes: Vec<Evidence> = record.uncleared().map(|it| it.evidence).collect();
            crashes.sort_by_key(|it| (it.server, it.request));
            crashes.dedup_by_key(|it| it.server);
            crashes.truncate(self.options.min_servers);
            crashes
        });
        let mut published: Vec<(Evidence, bool)> = conclusive.map(|it| (it, true)).collect();
        let mut own: Vec<&Crash> = others
            .into_iter()
            .flat_map(|(_, record)| record.uncleared())
            .filter(|it| it.is_own)
            .collect();
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
        // Crashes are kept for twice the time so that late copies are recognized.
        self.records.retain(|_, record| now.since(record.last_crash()) < quarantine_duration * 2);
        if self.has_suspects() {
            self.judge(now);
        }
    }

    fn has_suspects(&self) -> bool {
        !self.suspicions.is_empty() || !self.unproven.is_empty()
    }

    /// The number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.suspicions.iter().map(|it| it.parts.len()).sum()
    }
}
