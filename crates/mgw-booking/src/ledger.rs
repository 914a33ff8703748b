//! The executor's ledger: the state and outcome of each booking in this process incarnation.

use std::collections::VecDeque;
use std::time::Duration;

use mgw_base::arena::{Arena, Key};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::outcome::{Cause, Outcome, Reply};

/// Identifies a request that waits for the outcome of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// Limits of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum total size of the stored answer bodies in bytes.
    pub max_bytes: usize,
    /// Maximum size in bytes of an answer body that is stored for retries.
    pub max_answer_bytes: usize,
    /// Maximum number of requests that wait for the same key.
    pub max_waiters: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_keys: 32_768, max_bytes: 16 << 20, max_answer_bytes: 256 << 10, max_waiters: 64 }
    }
}

/// A booking that arrives at the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Booking {
    /// Hash of team, service and key; see [`crate::key::hash`].
    pub key: u128,
    /// Hash of what the booking asks for; see [`crate::key::content_hash`].
    pub content: u128,
    /// Issue time of an executor key in ms since the start of this process; `None` for an opaque
    /// key.
    pub issued_ms: Option<u64>,
    /// Instant from which on the booking must not be sent.
    pub deadline: Instant,
}

/// The decision of the ledger about an arriving booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The key is new. With an executor key the booking can be dispatched; an opaque key must be
    /// claimed first.
    New,
    /// The request waits for the outcome of an earlier one with the same key.
    Joined,
    /// The outcome for the request is already known.
    Answer(Outcome),
    /// The key was already used with other content. Nothing is run for this request.
    Conflict,
}

/// Whether a booking may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// The first byte may be written now. Returned at most once per key.
    Granted,
    /// The booking must not be sent, as its deadline has passed. The listed requests must be
    /// answered with their outcome.
    Expired(Vec<(Waiter, Outcome)>),
    /// The booking must not be sent: its key is unknown, not claimed, already dispatched or already
    /// settled.
    Refused,
}

/// How the call to the plain service ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The complete answer arrived.
    Answered(Reply),
    /// No byte was written to any connection.
    NeverWritten,
    /// The service reported that it did not run the call.
    ReportedNotRun,
    /// At least one byte was written, and the complete answer did not arrive.
    Lost,
}

#[derive(Clone, Debug)]
enum State {
    /// The key waits for its claim and must not be dispatched.
    Claiming,
    /// The claim was given up, because its deadline passed or no request waits for it any more. The
    /// booking was not dispatched, and a request that arrives later starts over.
    Lapsed,
    /// This process is the executor, and nothing was written yet.
    Accepted,
    /// The first byte may have been written.
    Dispatched,
    /// The outcome is final.
    Settled(Outcome),
}

#[derive(Clone, Debug)]
struct Record {
    content: u128,
    deadline: Instant,
    state: State,
    /// Issue time of an executor key, or time of arrival of an opaque key, in ms since the start of
    /// the process. Records with the lowest value are evicted first.
    eviction_order: u64,
    opaque: bool,
    /// Requests that wait for the outcome, with their deadlines. Empty in the states `Lapsed` and
    /// `Settled`.
    waiters: Vec<(Waiter, Instant)>,
}

/// The ledger of one process incarnation.
///
/// A key is dispatched at most once. It becomes dispatchable only when it enters the ledger, and a
/// key that has left the ledger never becomes dispatchable again. This is ensured by the watermark
/// for executor keys, and by the claim in the log for opaque keys.
#[derive(Clone, Debug)]
pub struct Ledger {
    options: Options,
    start: Instant,
    records: Arena<Record>,
    index: Map<u128, Key<Record>>,
    /// Keys in the states `Claiming`, `Accepted` or `Dispatched`, which are never evicted.
    open: Map<u128, ()>,
    /// All other keys, ascending by (eviction order, key). Evicted from the front.
    evictable: VecDeque<(u64, u128)>,
    /// Total size of the stored answer bodies in bytes.
    bytes: usize,
    /// Highest issue time of an evicted executor key. An executor key that was issued at or before
    /// it and is not in the ledger may have been evicted, so it is never run.
    watermark: Option<u64>,
}

impl Ledger {
    /// Creates an empty ledger for a process that started at `start`.
    pub fn new(options: Options, start: Instant) -> Self {
        Self {
            options,
            start,
            records: Arena::default(),
            index: Map::default(),
            open: Map::default(),
            evictable: VecDeque::new(),
            bytes: 0,
            watermark: None,
        }
    }

    /// Returns the issue time of a key prefix that is issued at `now`, in ms since the start of the
    /// process.
    pub fn issue_time(&self, now: Instant) -> u64 {
        now.since(self.start).as_millis() as u64
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the ledger holds no key.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the number of keys whose booking waits for its claim, can be dispatched or runs.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns whether the ledger holds `key`.
    pub fn contains(&self, key: u128) -> bool {
        self.index.get(&key).is_some()
    }

    /// Returns whether the ledger holds `key` and its booking waits for its claim, can be
    /// dispatched or runs.
    pub fn is_open(&self, key: u128) -> bool {
        self.open.get(&key).is_some()
    }

    /// Adds a booking, or joins it to an earlier one with the same key.
    pub fn accept(&mut self, booking: Booking, waiter: Waiter, now: Instant) -> Acceptance {
        let limit = self.options.max_waiters;
        if let Some(slot) = self.index.get(&booking.key).copied()
            && let Some(record) = self.records.get_mut(slot)
        {
            return match &record.state {
                _ if record.content != booking.content => Acceptance::Conflict,
                State::Settled(outcome) => Acceptance::Answer(outcome.clone()),
                State::Lapsed => {
                    record.state = State::Claiming;
                    record.deadline = booking.deadline;
                    record.waiters.push((waiter, booking.deadline));
                    let eviction_order = record.eviction_order;
                    self.reopen(eviction_order, booking.key);
                    Acceptance::New
                }
                _ if record.waiters.len() >= limit => {
                    Acceptance::Answer(Outcome::Unknown(Cause::TooManyWaiters))
                }
                _ => {
                    record.waiters.push((waiter, booking.deadline));
                    Acceptance::Joined
                }
            };
        }
        let now_ms = self.issue_time(now);
        match booking.issued_ms {
            Some(issued_ms) if issued_ms > now_ms => {
                return Acceptance::Answer(Outcome::Unknown(Cause::NotIssued));
            }
            Some(issued_ms) if self.watermark.is_some_and(|watermark| issued_ms <= watermark) => {
                return Acceptance::Answer(Outcome::Unknown(Cause::Forgotten));
            }
            _ => {}
        }
        if self.open.len() >= self.options.max_keys {
            return Acceptance::Answer(Outcome::Unknown(Cause::LedgerFull));
        }
        self.evict(1, 0);
        // The eviction may move the watermark past this key. The key was above the watermark
        // before, so it was never evicted, and from now on its record prevents a second run.
        let opaque = booking.issued_ms.is_none();
        let slot = self.records.insert(Record {
            content: booking.content,
            deadline: booking.deadline,
            state: if opaque { State::Claiming } else { State::Accepted },
            eviction_order: booking.issued_ms.unwrap_or(now_ms),
            opaque,
            waiters: vec![(waiter, booking.deadline)],
        });
        self.index.insert(booking.key, slot);
        self.open.insert(booking.key, ());
        Acceptance::New
    }

    /// Records that the first claim of `key` in the log is by this process.
    ///
    /// Returns true if the booking can be dispatched now. A booking whose claim was given up before
    /// is settled as not run, as this process is the only executor and never sent it.
    pub fn claim_won(&mut self, key: u128) -> bool {
        let Some(slot) = self.index.get(&key).copied() else { return false };
        let Some(record) = self.records.get_mut(slot) else { return false };
        match record.state {
            State::Claiming => {
                record.state = State::Accepted;
                true
            }
            State::Lapsed => {
                record.state = State::Settled(Outcome::NotRun(Cause::GivenUp));
                false
            }
            _ => false,
        }
    }

    /// Removes a booking that waits for its claim, because another process is the executor or the
    /// claim was refused. Returns its requests with their deadlines.
    pub fn release(&mut self, key: u128) -> Vec<(Waiter, Instant)> {
        let Some(slot) = self.index.get(&key).copied() else { return Vec::new() };
        match self.records.get(slot) {
            Some(record) if matches!(record.state, State::Claiming | State::Lapsed) => {}
            _ => return Vec::new(),
        }
        self.index.remove(&key);
        let Some(record) = self.records.remove(slot) else { return Vec::new() };
        self.open.remove(&key);
        self.remove_evictable(record.eviction_order, key);
        record.waiters
    }

    /// Asks for permission to send a booking. Must be called immediately before the first byte is
    /// written, on a connection that is already open.
    pub fn dispatch(&mut self, key: u128, now: Instant) -> Dispatch {
        let Some(slot) = self.index.get(&key).copied() else { return Dispatch::Refused };
        match self.records.get_mut(slot) {
            Some(record) if !matches!(record.state, State::Accepted) => Dispatch::Refused,
            Some(record) if now < record.deadline => {
                record.state = State::Dispatched;
                Dispatch::Granted
            }
            Some(_) => Dispatch::Expired(self.settle_record(key, Outcome::NotRun(Cause::Deadline))),
            None => Dispatch::Refused,
        }
    }

    /// Gives up a booking that can be dispatched but was not, for example because no server can be
    /// reached. Does nothing once the booking was dispatched.
    pub fn abandon(&mut self, key: u128, cause: Cause) -> Vec<(Waiter, Outcome)> {
        match self.state(key) {
            Some(State::Accepted) => self.settle_record(key, Outcome::NotRun(cause)),
            _ => Vec::new(),
        }
    }

    /// Records how the call of a dispatched booking ended and returns the requests to answer. A
    /// second report of the same call is ignored.
    pub fn settle(&mut self, key: u128, end: End) -> Vec<(Waiter, Outcome)> {
        match self.state(key) {
            Some(State::Dispatched) => {}
            _ => return Vec::new(),
        }
        self.settle_record(
            key,
            match end {
                End::Answered(reply) => Outcome::Done(reply),
                End::NeverWritten => Outcome::NotRun(Cause::NeverWritten),
                End::ReportedNotRun => Outcome::NotRun(Cause::ReportedNotRun),
                End::Lost => Outcome::Unknown(Cause::AnswerLost),
            },
        )
    }

    /// Applies the deadlines up to `now`. Returns the requests to answer, and the keys whose claim
    /// was given up.
    pub fn expire(&mut self, now: Instant) -> (Vec<(Waiter, Outcome)>, Vec<u128>) {
        let keys: Vec<u128> = self.open.iter().map(|(key, _)| *key).collect();
        let (mut answers, mut lapsed) = (Vec::new(), Vec::new());
        for key in keys {
            let Some(slot) = self.index.get(&key).copied() else { continue };
            let Some(record) = self.records.get_mut(slot) else { continue };
            match record.state {
                State::Accepted if now >= record.deadline => {
                    answers.extend(self.settle_record(key, Outcome::NotRun(Cause::Deadline)));
                }
                State::Claiming if now >= record.deadline => {
                    let outcome = Outcome::Unknown(Cause::ClaimUnsettled);
                    let waiters = self.lapse(key).into_iter();
                    answers.extend(waiters.map(|(waiter, _)| (waiter, outcome.clone())));
                    lapsed.push(key);
                }
                _ => {
                    let cause = match record.state {
                        State::Claiming => Cause::ClaimUnsettled,
                        _ => Cause::StillRunning,
                    };
                    record.waiters.retain(|(waiter, deadline)| {
                        let expired = now >= *deadline;
                        if expired {
                            answers.push((*waiter, Outcome::Unknown(cause)));
                        }
                        !expired
                    });
                    let no_waiters = record.waiters.is_empty();
                    if no_waiters && matches!(record.state, State::Claiming) {
                        self.lapse(key);
                        lapsed.push(key);
                    }
                }
            }
        }
        (answers, lapsed)
    }

    /// Removes a request whose caller disconnected.
    ///
    /// Returns true if it was the last request of a booking that still waits for its claim. The
    /// claim is then given up: the caller may retry through another entry and be told there that
    /// the booking was not run, so it must not be run here afterwards. A booking that no longer
    /// waits for its claim goes on.
    pub fn remove_waiter(&mut self, key: u128, waiter: Waiter) -> bool {
        let Some(slot) = self.index.get(&key).copied() else { return false };
        let Some(record) = self.records.get_mut(slot) else { return false };
        record.waiters.retain(|(other, _)| *other != waiter);
        let has_lapsed = record.waiters.is_empty() && matches!(record.state, State::Claiming);
        if has_lapsed {
            self.lapse(key);
        }
        has_lapsed
    }

    /// Returns the earliest deadline of an undispatched booking or a waiting request.
    pub fn next_deadline(&self) -> Option<Instant> {
        let records =
            self.open.iter().filter_map(|(key, _)| self.records.get(*self.index.get(key)?));
        records
            .flat_map(|record| {
                let own = match record.state {
                    State::Dispatched => None,
                    _ => Some(record.deadline),
                };
                own.into_iter().chain(record.waiters.iter().map(|(_, deadline)| *deadline))
            })
            .min()
    }

    /// Returns the time since the watermark, or since the start of the process if no executor key
    /// was evicted. Keys issued within it are still covered.
    pub fn coverage(&self, now: Instant) -> Duration {
        Duration::from_millis(self.issue_time(now).saturating_sub(self.watermark.unwrap_or(0)))
    }

    fn state(&self, key: u128) -> Option<&State> {
        self.records.get(*self.index.get(&key)?).map(|record| &record.state)
    }

    fn settle_record(&mut self, key: u128, outcome: Outcome) -> Vec<(Waiter, Outcome)> {
        let Some(slot) = self.index.get(&key).copied() else { return Vec::new() };
        let body_len = match &outcome {
            Outcome::Done(reply) => reply.body.len(),
            _ => 0,
        };
        let too_large = body_len > self.options.max_answer_bytes.min(self.options.max_bytes);
        if !too_large {
            self.evict(0, body_len);
        }
        let Some(record) = self.records.get_mut(slot) else { return Vec::new() };
        let waiters = std::mem::take(&mut record.waiters);
        record.state = if too_large {
            State::Settled(Outcome::Unknown(Cause::AnswerTooLarge))
        } else {
            self.bytes += body_len;
            State::Settled(outcome.clone())
        };
        let eviction_order = record.eviction_order;
        self.open.remove(&key);
        self.insert_evictable(eviction_order, key);
        waiters.into_iter().map(|(waiter, _)| (waiter, outcome.clone())).collect()
    }

    /// Makes room for `keys` more keys and `bytes` more bytes by evicting settled and lapsed keys.
    /// Those with the oldest issue time are evicted first, so that the watermark moves as little as
    /// possible.
    fn evict(&mut self, keys: usize, bytes: usize) {
        while self.index.len() + keys > self.options.max_keys
            || self.bytes + bytes > self.options.max_bytes
        {
            let Some((eviction_order, key)) = self.evictable.pop_front() else { return };
            let Some(slot) = self.index.remove(&key) else { continue };
            let Some(record) = self.records.remove(slot) else { continue };
            if let State::Settled(Outcome::Done(reply)) = &record.state {
                self.bytes -= reply.body.len();
            }
            if !record.opaque {
                self.watermark = self.watermark.max(Some(eviction_order));
            }
        }
    }

    fn lapse(&mut self, key: u128) -> Vec<(Waiter, Instant)> {
        let Some(slot) = self.index.get(&key).copied() else { return Vec::new() };
        let Some(record) = self.records.get_mut(slot) else { return Vec::new() };
        record.state = State::Lapsed;
        let (waiters, eviction_order) =
            (std::mem::take(&mut record.waiters), record.eviction_order);
        self.open.remove(&key);
        self.insert_evictable(eviction_order, key);
        waiters
    }

    fn insert_evictable(&mut self, eviction_order: u64, key: u128) {
        if let Err(position) = self.evictable.binary_search(&(eviction_order, key)) {
            self.evictable.insert(position, (eviction_order, key));
        }
    }

    fn remove_evictable(&mut self, eviction_order: u64, key: u128) {
        if let Ok(position) = self.evictable.binary_search(&(eviction_order, key)) {
            self.evictable.remove(position);
        }
    }

    fn reopen(&mut self, eviction_order: u64, key: u128) {
        self.remove_evictable(eviction_order, key);
        self.open.insert(key, ());
    }
}
