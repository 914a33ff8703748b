//! The executor's ledger: what became of each booking key in this process incarnation.

use std::collections::VecDeque;
use std::time::Duration;

use mgw_base::arena::{Arena, Key};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::outcome::{Cause, Outcome, Reply};

/// Identifies a request that waits for the outcome of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// Bounds of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The largest number of keys.
    pub max_keys: usize,
    /// The largest sum of stored answer bytes.
    pub max_bytes: usize,
    /// The largest answer that is stored for retries.
    pub max_answer_bytes: usize,
    /// The largest number of requests that wait for one key.
    pub max_waiters: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_keys: 32_768, max_bytes: 16 << 20, max_answer_bytes: 256 << 10, max_waiters: 64 }
    }
}

/// A booking as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Booking {
    /// Hash of team, service and key.
    pub key: u128,
    /// Hash of what the booking asks for.
    pub content: u128,
    /// Issue time of an executor key in ms since this process's start; `None` for an opaque key.
    pub issued_ms: Option<u64>,
    /// The booking is not sent at or after this instant.
    pub deadline: Instant,
}

/// What the ledger says of an arriving booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The key is new: an executor key can be dispatched, an opaque key must be claimed first.
    New,
    /// The request waits for the outcome of an earlier one with the same key.
    Joined,
    /// The outcome is known.
    Answer(Outcome),
    /// The key was used with other content; nothing is run for this request.
    Conflict,
}

/// Whether a booking may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// The first byte may be written now. Given once per key.
    Granted,
    /// Must not be sent: the deadline has passed. The listed requests get the outcome.
    Expired(Vec<(Waiter, Outcome)>),
    /// Must not be sent: the key is unknown here, not claimed, already sent or already settled.
    Refused,
}

/// How the call to the plain service ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The full answer arrived.
    Answered(Reply),
    /// No byte was written to any connection.
    NeverWritten,
    /// The service reported that it did not run the call.
    ReportedNotRun,
    /// Something was written, and the full answer did not arrive.
    Lost,
}

#[derive(Clone, Debug)]
enum State {
    /// Waits for its claim; must not be dispatched.
    Claiming,
    /// The claim was not settled by the deadline. Never dispatched, and the requests were told
    /// that the outcome is unknown; a retry may start over.
    Lapsed,
    /// This process is the executor; nothing was written.
    Accepted,
    /// The first byte may have been written.
    Dispatched,
    /// Final.
    Settled(Outcome),
}

#[derive(Clone, Debug)]
struct Record {
    content: u128,
    deadline: Instant,
    state: State,
    /// Issue time, or the time of arrival for an opaque key, in ms since the process's start.
    order: u64,
    opaque: bool,
    /// Empty once the state is `Lapsed` or `Settled`.
    waiters: Vec<(Waiter, Instant)>,
}

/// The ledger of one process incarnation.
///
/// A key is dispatched at most once: it becomes dispatchable only when it enters the ledger, and
/// a key that has left the ledger never enters it as dispatchable again. For executor keys the
/// watermark ensures this, for opaque keys the claim that the log remembers.
#[derive(Clone, Debug)]
pub struct Ledger {
    options: Options,
    start: Instant,
    records: Arena<Record>,
    index: Map<u128, Key<Record>>,
    /// Keys in `Claiming`, `Accepted` or `Dispatched`; never evicted.
    open: Map<u128, ()>,
    /// The other keys, ascending by (order, key); evicted from the front.
    closed: VecDeque<(u64, u128)>,
    /// Sum of the stored answers' bodies.
    bytes: usize,
    /// An executor key issued at or before this time that is not in the ledger may have been
    /// evicted and is never run.
    watermark: Option<u64>,
}

impl Ledger {
    /// An empty ledger of a process that started at `start`.
    pub fn new(options: Options, start: Instant) -> Self {
        Self {
            options,
            start,
            records: Arena::default(),
            index: Map::default(),
            open: Map::default(),
            closed: VecDeque::new(),
            bytes: 0,
            watermark: None,
        }
    }

    /// The issue time of a key prefix that is handed out at `now`.
    pub fn issue_time(&self, now: Instant) -> u64 {
        now.since(self.start).as_millis() as u64
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether the ledger holds no key.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// The number of keys that are not settled.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Whether the ledger holds `key`.
    pub fn contains(&self, key: u128) -> bool {
        self.index.get(&key).is_some()
    }

    /// Whether the ledger holds `key` and its booking waits or runs.
    pub fn is_open(&self, key: u128) -> bool {
        self.open.get(&key).is_some()
    }

    /// Enters a booking or joins it to an earlier one with the same key.
    pub fn accept(&mut self, booking: Booking, waiter: Waiter, now: Instant) -> Acceptance {
        let limit = self.options.max_waiters;
        if let Some(place) = self.index.get(&booking.key).copied()
            && let Some(record) = self.records.get_mut(place)
        {
            return match &record.state {
                _ if record.content != booking.content => Acceptance::Conflict,
                State::Settled(outcome) => Acceptance::Answer(outcome.clone()),
                State::Lapsed => {
                    record.state = State::Claiming;
                    record.deadline = booking.deadline;
                    record.waiters.push((waiter, booking.deadline));
                    let order = record.order;
                    self.reopen(order, booking.key);
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
        let present = self.issue_time(now);
        match booking.issued_ms {
            Some(issued_ms) if issued_ms > present => {
                return Acceptance::Answer(Outcome::Unknown(Cause::NotIssued));
            }
            Some(issued_ms) if self.watermark.is_some_and(|mark| issued_ms <= mark) => {
                return Acceptance::Answer(Outcome::Unknown(Cause::Forgotten));
            }
            _ => {}
        }
        if self.open.len() >= self.options.max_keys {
            return Acceptance::Answer(Outcome::Unknown(Cause::LedgerFull));
        }
        self.evict(1, 0);
        // The eviction may move the watermark past this key. It was above the watermark before, so
        // it was never evicted, and from here on its record prevents a second run.
        let opaque = booking.issued_ms.is_none();
        let place = self.records.insert(Record {
            content: booking.content,
            deadline: booking.deadline,
            state: if opaque { State::Claiming } else { State::Accepted },
            order: booking.issued_ms.unwrap_or(present),
            opaque,
            waiters: vec![(waiter, booking.deadline)],
        });
        self.index.insert(booking.key, place);
        self.open.insert(booking.key, ());
        Acceptance::New
    }

    /// Notes that the first claim of `key` in the log names this process.
    ///
    /// Returns true if the booking can be dispatched now. A booking that was given up before is
    /// recorded as not run: this process is the sole executor and never sent it.
    pub fn claim_won(&mut self, key: u128) -> bool {
        let Some(place) = self.index.get(&key).copied() else { return false };
        let Some(record) = self.records.get_mut(place) else { return false };
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

    /// Removes a booking that waits for its claim and returns its requests with their deadlines:
    /// another process is the executor, or the claim was refused.
    pub fn release(&mut self, key: u128) -> Vec<(Waiter, Instant)> {
        let Some(place) = self.index.get(&key).copied() else { return Vec::new() };
        match self.records.get(place) {
            Some(record) if matches!(record.state, State::Claiming | State::Lapsed) => {}
            _ => return Vec::new(),
        }
        self.index.remove(&key);
        let Some(record) = self.records.remove(place) else { return Vec::new() };
        self.open.remove(&key);
        self.unlist(record.order, key);
        record.waiters
    }

    /// Asks for the permission to send a booking; call it immediately before the first byte is
    /// written, on a connection that is already open.
    pub fn dispatch(&mut self, key: u128, now: Instant) -> Dispatch {
        let Some(place) = self.index.get(&key).copied() else { return Dispatch::Refused };
        match self.records.get_mut(place) {
            Some(record) if !matches!(record.state, State::Accepted) => Dispatch::Refused,
            Some(record) if now < record.deadline => {
                record.state = State::Dispatched;
                Dispatch::Granted
            }
            Some(_) => Dispatch::Expired(self.close(key, Outcome::NotRun(Cause::Deadline))),
            None => Dispatch::Refused,
        }
    }

    /// Gives up a booking that was accepted and not sent, for instance because no server can be
    /// reached. Does nothing once the booking was dispatched.
    pub fn abandon(&mut self, key: u128, cause: Cause) -> Vec<(Waiter, Outcome)> {
        match self.state(key) {
            Some(State::Accepted) => self.close(key, Outcome::NotRun(cause)),
            _ => Vec::new(),
        }
    }

    /// Records how the call of a dispatched booking ended and returns the requests to answer. A
    /// second or late report of the same call changes nothing.
    pub fn settle(&mut self, key: u128, end: End) -> Vec<(Waiter, Outcome)> {
        match self.state(key) {
            Some(State::Dispatched) => {}
            _ => return Vec::new(),
        }
        self.close(
            key,
            match end {
                End::Answered(reply) => Outcome::Done(reply),
                End::NeverWritten => Outcome::NotRun(Cause::NeverWritten),
                End::ReportedNotRun => Outcome::NotRun(Cause::ReportedNotRun),
                End::Lost => Outcome::Unknown(Cause::AnswerLost),
            },
        )
    }

    /// Applies deadlines and returns the requests to answer, and the keys whose claim is no
    /// longer awaited.
    pub fn expire(&mut self, now: Instant) -> (Vec<(Waiter, Outcome)>, Vec<u128>) {
        let keys: Vec<u128> = self.open.iter().map(|(key, _)| *key).collect();
        let (mut answers, mut lapsed) = (Vec::new(), Vec::new());
        for key in keys {
            let Some(place) = self.index.get(&key).copied() else { continue };
            let Some(record) = self.records.get_mut(place) else { continue };
            match record.state {
                State::Accepted if now >= record.deadline => {
                    answers.extend(self.close(key, Outcome::NotRun(Cause::Deadline)));
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
                    let left = record.waiters.is_empty();
                    if left && matches!(record.state, State::Claiming) {
                        self.lapse(key);
                        lapsed.push(key);
                    }
                }
            }
        }
        (answers, lapsed)
    }

    /// Removes a request whose caller went away.
    ///
    /// Returns true if nothing else waits for a booking that still waits for its claim. It lapses:
    /// the caller will ask through another entry, and must not learn there that the booking was
    /// not run while it is run here afterwards. A booking that was accepted goes on.
    pub fn remove_waiter(&mut self, key: u128, waiter: Waiter) -> bool {
        let Some(place) = self.index.get(&key).copied() else { return false };
        let Some(record) = self.records.get_mut(place) else { return false };
        record.waiters.retain(|(other, _)| *other != waiter);
        let lapses = record.waiters.is_empty() && matches!(record.state, State::Claiming);
        if lapses {
            self.lapse(key);
        }
        lapses
    }

    /// The earliest deadline of an unsettled booking or a waiting request.
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

    /// The time span of issue times that the ledger still covers at `now`.
    pub fn coverage(&self, now: Instant) -> Duration {
        Duration::from_millis(self.issue_time(now).saturating_sub(self.watermark.unwrap_or(0)))
    }

    fn state(&self, key: u128) -> Option<&State> {
        self.records.get(*self.index.get(&key)?).map(|record| &record.state)
    }

    fn close(&mut self, key: u128, outcome: Outcome) -> Vec<(Waiter, Outcome)> {
        let Some(place) = self.index.get(&key).copied() else { return Vec::new() };
        let size = match &outcome {
            Outcome::Done(reply) => reply.body.len(),
            _ => 0,
        };
        let too_large = size > self.options.max_answer_bytes.min(self.options.max_bytes);
        if !too_large {
            self.evict(0, size);
        }
        let Some(record) = self.records.get_mut(place) else { return Vec::new() };
        let waiters = std::mem::take(&mut record.waiters);
        record.state = if too_large {
            State::Settled(Outcome::Unknown(Cause::AnswerTooLarge))
        } else {
            self.bytes += size;
            State::Settled(outcome.clone())
        };
        let order = record.order;
        self.open.remove(&key);
        self.list(order, key);
        waiters.into_iter().map(|(waiter, _)| (waiter, outcome.clone())).collect()
    }

    /// Makes room for `keys` more keys and `bytes` more bytes by evicting settled keys, those
    /// with the oldest issue time first, so that the watermark moves as little as possible.
    fn evict(&mut self, keys: usize, bytes: usize) {
        while self.index.len() + keys > self.options.max_keys
            || self.bytes + bytes > self.options.max_bytes
        {
            let Some((order, key)) = self.closed.pop_front() else { return };
            let Some(place) = self.index.remove(&key) else { continue };
            let Some(record) = self.records.remove(place) else { continue };
            if let State::Settled(Outcome::Done(reply)) = &record.state {
                self.bytes -= reply.body.len();
            }
            if !record.opaque {
                self.watermark = self.watermark.max(Some(order));
            }
        }
    }

    fn lapse(&mut self, key: u128) -> Vec<(Waiter, Instant)> {
        let Some(place) = self.index.get(&key).copied() else { return Vec::new() };
        let Some(record) = self.records.get_mut(place) else { return Vec::new() };
        record.state = State::Lapsed;
        let (waiters, order) = (std::mem::take(&mut record.waiters), record.order);
        self.open.remove(&key);
        self.list(order, key);
        waiters
    }

    fn list(&mut self, order: u64, key: u128) {
        if let Err(place) = self.closed.binary_search(&(order, key)) {
            self.closed.insert(place, (order, key));
        }
    }

    fn unlist(&mut self, order: u64, key: u128) {
        if let Ok(place) = self.closed.binary_search(&(order, key)) {
            self.closed.remove(place);
        }
    }

    fn reopen(&mut self, order: u64, key: u128) {
        self.unlist(order, key);
        self.open.insert(key, ());
    }
}
