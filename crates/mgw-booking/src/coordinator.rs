//! The booking decisions of a process, which combine key classification, claims, the ledger and
//! deadlines.

use mgw_base::time::Instant;

use crate::claim::{self, Append, Batch, Executor, Lookup};
use crate::key::Key;
use crate::ledger::{self, Acceptance, Booking, Dispatch, End, Ledger, Waiter};
use crate::outcome::{Cause, Outcome};

/// Limits of the coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Limits of the ledger.
    pub ledger: ledger::Options,
    /// Limits of claim batches.
    pub claim: claim::Options,
}

/// The source of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller sent the booking to this process.
    Caller,
    /// Another entry relayed the booking.
    Peer {
        /// Incarnation that the other entry considers to be the executor.
        executor: u64,
    },
}

/// A request to run a booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Parsed key.
    pub key: Key,
    /// Hash of team, service and key; see [`crate::key::hash`].
    pub hash: u128,
    /// Hash of what the booking asks for; see [`crate::key::content_hash`].
    pub content: u128,
    /// Instant from which on the booking must not be sent.
    pub deadline: Instant,
}

/// What to do with an arriving booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open a connection to a server, then call [`Coordinator::dispatch`] and write the booking if
    /// that is granted.
    Run,
    /// Wait. A later [`Effect`] answers or relays the request.
    Wait,
    /// Relay the booking to the process with this incarnation.
    Relay(u64),
    /// Answer the request with this outcome.
    Answer(Outcome),
    /// Refuse the request: the key was already used with other content. Nothing is run for it.
    Conflict,
}

/// What to do with a booking that was waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection to a server for the booking with this key hash, then call
    /// [`Coordinator::dispatch`].
    Run(u128),
    /// Relay a waiting request to the executor.
    Relay {
        /// Waiting request.
        waiter: Waiter,
        /// Incarnation of the executor.
        executor: u64,
        /// Deadline of the request.
        deadline: Instant,
    },
    /// Answer a waiting request.
    Answer(Waiter, Outcome),
}

/// Makes the booking decisions of one process incarnation.
///
/// Its state is not persisted. A restarted process has another incarnation, so neither an old key
/// nor an old claim names it as the executor.
#[derive(Clone, Debug)]
pub struct Coordinator {
    incarnation: u64,
    ledger: Ledger,
    claims: claim::Table,
}

impl Coordinator {
    /// Creates the coordinator of a process with this incarnation that started at `start`.
    pub fn new(options: Options, incarnation: u64, start: Instant) -> Self {
        Self {
            incarnation,
            ledger: Ledger::new(options.ledger, start),
            claims: claim::Table::new(options.claim, incarnation),
        }
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the `key_prefix` that a directory answer at `now` issues.
    pub fn prefix(&self, now: Instant) -> smol_str::SmolStr {
        crate::key::prefix(self.incarnation, self.ledger.issue_time(now))
    }

    /// Decides what to do with an arriving booking. `lookup` is the state of the key's claim in the
    /// log and is only used for opaque keys.
    pub fn arrive(
        &mut self,
        request: &Request,
        origin: Origin,
        lookup: Lookup,
        waiter: Waiter,
        now: Instant,
    ) -> Step {
        // A relay that names another incarnation was meant for a process that ran at this address
        // before and may have run the booking.
        if let Origin::Peer { executor } = origin
            && executor != self.incarnation
        {
            return Step::Answer(Outcome::Unknown(Cause::ExecutorGone));
        }
        let relayed = matches!(origin, Origin::Peer { .. });
        let booking = Booking {
            key: request.hash,
            content: request.content,
            issued_ms: None,
            deadline: request.deadline,
        };
        match request.key {
            Key::Executor { incarnation, issued_ms } if incarnation == self.incarnation => self
                .accept_executor_key(
                    Booking { issued_ms: Some(issued_ms), ..booking },
                    waiter,
                    now,
                ),
            Key::Executor { .. } if relayed => Step::Answer(Outcome::Unknown(Cause::ExecutorGone)),
            Key::Executor { incarnation, .. } => Step::Relay(incarnation),
            Key::Opaque => self.accept_opaque_key(booking, relayed, lookup, waiter, now),
        }
    }

    /// Returns the next batch of claims to append, if one is due.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        self.claims.next_batch(now)
    }

    /// Records the result of an append of claims.
    pub fn finish_append(&mut self, sequence: u64, result: Append, now: Instant) {
        self.claims.finish_append(sequence, result, now);
    }

    /// Records that the first claim of `key` was read from the log. Must be called for each first
    /// claim in log order, and before the next call of [`Coordinator::arrive`].
    pub fn observe_claim(&mut self, key: u128, executor: u64) -> Vec<Effect> {
        match self.claims.observe_claim(key, executor) {
            Some(Executor::Own) if self.ledger.claim_won(key) => vec![Effect::Run(key)],
            Some(Executor::Other(executor)) => self.relay_waiters(key, executor),
            // The key no longer waits for its claim. A booking that was given up is not run.
            None if executor == self.incarnation => {
                self.ledger.claim_won(key);
                Vec::new()
            }
            None => self.relay_waiters(key, executor),
            Some(Executor::Own) => Vec::new(),
        }
    }

    /// Looks up the claims of all keys that wait for one. Must be called after the state was
    /// replaced by a snapshot, as the claims in it are not reported one by one.
    pub fn resync<F>(&mut self, lookup: F) -> Vec<Effect>
    where
        F: Fn(u128) -> Lookup,
    {
        let keys: Vec<u128> = self.claims.pending().collect();
        let mut effects = Vec::new();
        for key in keys {
            if let Lookup::Claimed(executor) = lookup(key) {
                effects.extend(self.observe_claim(key, executor));
            }
        }
        effects
    }

    /// Records that a read of the log that was started at `started` reached the log's end. All
    /// first claims up to there must have been passed to [`Coordinator::observe_claim`].
    ///
    /// A booking whose claim was definitely refused is only now answered as not run. Before the log
    /// was read to its end, another process may have claimed the key and run the booking for an
    /// earlier request without this process knowing of it. The answer holds for every request that
    /// ended before this one arrived, but cannot hold for a request with the same key that another
    /// process handles at the same time.
    pub fn caught_up(&mut self, started: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        for key in self.claims.caught_up(started) {
            for (waiter, _) in self.ledger.release(key) {
                effects.push(Effect::Answer(waiter, Outcome::NotRun(Cause::ClaimRefused)));
            }
        }
        effects
    }

    /// Asks for permission to send a booking; see [`Ledger::dispatch`].
    pub fn dispatch(&mut self, key: u128, now: Instant) -> Dispatch {
        self.ledger.dispatch(key, now)
    }

    /// Gives up a booking that was not dispatched, because no server can be reached.
    pub fn abandon(&mut self, key: u128) -> Vec<Effect> {
        answer_effects(self.ledger.abandon(key, Cause::NeverWritten))
    }

    /// Records how the call of a dispatched booking ended.
    pub fn settle(&mut self, key: u128, end: End) -> Vec<Effect> {
        answer_effects(self.ledger.settle(key, end))
    }

    /// Removes a request whose caller disconnected; see [`Ledger::remove_waiter`].
    pub fn remove_waiter(&mut self, key: u128, waiter: Waiter) {
        if self.ledger.remove_waiter(key, waiter) {
            self.claims.forget(key);
        }
    }

    /// Applies the deadlines up to `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let (expired, lapsed) = self.ledger.expire(now);
        for key in lapsed {
            self.claims.forget(key);
        }
        answer_effects(expired)
    }

    /// Returns the time at which [`Coordinator::next_batch`] or [`Coordinator::tick`] has something
    /// to do next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.claims.next_batch_at().into_iter().chain(self.ledger.next_deadline()).min()
    }

    fn accept_executor_key(&mut self, booking: Booking, waiter: Waiter, now: Instant) -> Step {
        match self.ledger.accept(booking, waiter, now) {
            Acceptance::New => Step::Run,
            Acceptance::Joined => Step::Wait,
            Acceptance::Answer(outcome) => Step::Answer(outcome),
            Acceptance::Conflict => Step::Conflict,
        }
    }

    fn accept_opaque_key(
        &mut self,
        booking: Booking,
        relayed: bool,
        lookup: Lookup,
        waiter: Waiter,
        now: Instant,
    ) -> Step {
        match lookup {
            Lookup::Claimed(executor) if executor != self.incarnation => {
                return match relayed {
                    // Entries that read the same log agree on the executor. Relaying on could loop.
                    true => Step::Answer(Outcome::Unknown(Cause::ClaimUnsettled)),
                    false => Step::Relay(executor),
                };
            }
            // This process holds the claim, and the ledger has evicted the key.
            Lookup::Claimed(_) if !self.ledger.contains(booking.key) => {
                return Step::Answer(Outcome::Unknown(Cause::Forgotten));
            }
            _ => {}
        }
        match self.ledger.accept(booking, waiter, now) {
            // The claim was read as part of a snapshot, without a call of `observe_claim`.
            Acceptance::New if matches!(lookup, Lookup::Claimed(_)) => {
                self.claims.forget(booking.key);
                match self.ledger.claim_won(booking.key) {
                    true => Step::Run,
                    false => Step::Wait,
                }
            }
            Acceptance::New if lookup == Lookup::Full => {
                self.claims.enqueue_refused(booking.key, now);
                Step::Wait
            }
            Acceptance::New => {
                self.claims.enqueue(booking.key, now);
                Step::Wait
            }
            Acceptance::Joined => {
                self.claims.join(booking.key, now);
                Step::Wait
            }
            Acceptance::Answer(outcome) => Step::Answer(outcome),
            Acceptance::Conflict => Step::Conflict,
        }
    }

    fn relay_waiters(&mut self, key: u128, executor: u64) -> Vec<Effect> {
        let waiters = self.ledger.release(key).into_iter();
        waiters.map(|(waiter, deadline)| Effect::Relay { waiter, executor, deadline }).collect()
    }
}

fn answer_effects(answers: Vec<(Waiter, Outcome)>) -> Vec<Effect> {
    answers.into_iter().map(|(waiter, outcome)| Effect::Answer(waiter, outcome)).collect()
}
