//! What to do with an arriving booking, and how claims, the ledger and deadlines act together.

use mgw_base::time::Instant;

use crate::claim::{self, Append, Batch, Executor, Lookup};
use crate::key::Key;
use crate::ledger::{self, Acceptance, Booking, Dispatch, End, Ledger, Waiter};
use crate::outcome::{Cause, Outcome};

/// Bounds of the booking decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Bounds of the ledger.
    pub ledger: ledger::Options,
    /// Bounds of claim batches.
    pub claim: claim::Options,
}

/// Where a booking came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry, which relays the booking to the incarnation that it takes for the executor.
    Peer {
        /// That incarnation.
        executor: u64,
    },
}

/// A booking with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The parsed key.
    pub key: Key,
    /// [`crate::key::hash`] of team, service and key.
    pub hash: u128,
    /// [`crate::key::content`] of what is asked for.
    pub content: u128,
    /// No byte is written at or after this instant.
    pub deadline: Instant,
}

/// What to do with a booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open a connection to a server, then call [`Coordinator::dispatch`] and write if it allows that.
    Run,
    /// Wait; a later [`Effect`] answers or relays the request.
    Wait,
    /// Relay to this incarnation.
    Relay(u64),
    /// Answer at once.
    Answer(Outcome),
    /// Refuse: the key was used with other content; nothing is run for this request.
    Conflict,
}

/// A consequence for a booking that was held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection for this key, then call [`Coordinator::dispatch`].
    Run(u128),
    /// Relay a waiting request to the executor.
    Relay {
        /// The request.
        waiter: Waiter,
        /// The executor's incarnation.
        executor: u64,
        /// The request's deadline.
        deadline: Instant,
    },
    /// Answer a waiting request.
    Answer(Waiter, Outcome),
}

/// The booking decisions of one process incarnation.
///
/// Nothing of it outlives the process: a restarted process has another incarnation, so it can
/// neither be named by an old key nor by an old claim.
#[derive(Clone, Debug)]
pub struct Coordinator {
    incarnation: u64,
    ledger: Ledger,
    claims: claim::Table,
}

impl Coordinator {
    /// The decisions of a process with this incarnation that started at `start`.
    pub fn new(options: Options, incarnation: u64, start: Instant) -> Self {
        Self {
            incarnation,
            ledger: Ledger::new(options.ledger, start),
            claims: claim::Table::new(options.claim, incarnation),
        }
    }

    /// The ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The `key_prefix` for a directory answer at `now`.
    pub fn prefix(&self, now: Instant) -> smol_str::SmolStr {
        crate::key::prefix(self.incarnation, self.ledger.issue_time(now))
    }

    /// Decides about an arriving booking. `lookup` is the state of the key's claim in the log; it
    /// matters for opaque keys only.
    pub fn arrive(
        &mut self,
        request: &Request,
        origin: Origin,
        lookup: Lookup,
        waiter: Waiter,
        now: Instant,
    ) -> Step {
        // A relay that names another incarnation was meant for a process that no longer runs at
        // this address and may have run the booking.
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
            Key::Executor { incarnation, issued_ms } if incarnation == self.incarnation => {
                self.local(Booking { issued_ms: Some(issued_ms), ..booking }, waiter, now)
            }
            Key::Executor { .. } if relayed => Step::Answer(Outcome::Unknown(Cause::ExecutorGone)),
            Key::Executor { incarnation, .. } => Step::Relay(incarnation),
            Key::Opaque => self.opaque(booking, relayed, lookup, waiter, now),
        }
    }

    /// The next batch of claims to append, if one is due.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        self.claims.next_batch(now)
    }

    /// Notes the result of an append of claims.
    pub fn finish_append(&mut self, sequence: u64, result: Append, now: Instant) {
        self.claims.finish_append(sequence, result, now);
    }

    /// Notes that the first claim of `key` was read from the log. Must be called for every first
    /// claim in log order, before the next booking arrives.
    pub fn observe_claim(&mut self, key: u128, executor: u64) -> Vec<Effect> {
        match self.claims.observe_claim(key, executor) {
            Some(Executor::Own) if self.ledger.claim_won(key) => vec![Effect::Run(key)],
            Some(Executor::Other(executor)) => self.relay(key, executor),
            // Nothing waits for this claim any more. If the booking was given up, it stays so.
            None if executor == self.incarnation => {
                self.ledger.claim_won(key);
                Vec::new()
            }
            None => self.relay(key, executor),
            Some(Executor::Own) => Vec::new(),
        }
    }

    /// Looks up all keys that wait for a claim again. Needed after the state was replaced by a
    /// snapshot, where single claims are not reported.
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

    /// Notes that a read of the log that was started at `started` reached the log's end. All
    /// claims up to there must have been passed to [`Coordinator::seen`].
    ///
    /// Bookings whose claim was definitely refused are answered as not run here and not at the
    /// refusal: until the log has been read up to its end, an earlier request with the same key
    /// may have been claimed and run by another process without this one knowing. The answer
    /// covers every request that ended before this one arrived. It cannot cover a request with
    /// the same key that another process holds at the same time.
    pub fn caught_up(&mut self, started: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        for key in self.claims.caught_up(started) {
            for (waiter, _) in self.ledger.release(key) {
                effects.push(Effect::Answer(waiter, Outcome::NotRun(Cause::ClaimRefused)));
            }
        }
        effects
    }

    /// Asks for the permission to send a booking; see [`Ledger::dispatch`].
    pub fn dispatch(&mut self, key: u128, now: Instant) -> Dispatch {
        self.ledger.dispatch(key, now)
    }

    /// Gives up a booking that was not dispatched because no server can be reached.
    pub fn abandon(&mut self, key: u128) -> Vec<Effect> {
        answers(self.ledger.abandon(key, Cause::NeverWritten))
    }

    /// Records how the call of a dispatched booking ended.
    pub fn settle(&mut self, key: u128, end: End) -> Vec<Effect> {
        answers(self.ledger.settle(key, end))
    }

    /// Removes a request whose caller went away; see [`Ledger::leave`].
    pub fn remove_waiter(&mut self, key: u128, waiter: Waiter) {
        if self.ledger.remove_waiter(key, waiter) {
            self.claims.forget(key);
        }
    }

    /// Applies deadlines.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let (expired, lapsed) = self.ledger.expire(now);
        for key in lapsed {
            self.claims.forget(key);
        }
        answers(expired)
    }

    /// When [`Coordinator::flush`] or [`Coordinator::tick`] has something to do next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.claims.next_batch_at().into_iter().chain(self.ledger.next_deadline()).min()
    }

    fn local(&mut self, booking: Booking, waiter: Waiter, now: Instant) -> Step {
        match self.ledger.accept(booking, waiter, now) {
            Acceptance::New => Step::Run,
            Acceptance::Joined => Step::Wait,
            Acceptance::Answer(outcome) => Step::Answer(outcome),
            Acceptance::Conflict => Step::Conflict,
        }
    }

    fn opaque(
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
                    // Two entries that read the same log cannot disagree; relaying on would loop.
                    true => Step::Answer(Outcome::Unknown(Cause::ClaimUnsettled)),
                    false => Step::Relay(executor),
                };
            }
            // The claim is this process's and the ledger has evicted the key.
            Lookup::Claimed(_) if !self.ledger.contains(booking.key) => {
                return Step::Answer(Outcome::Unknown(Cause::Forgotten));
            }
            _ => {}
        }
        match self.ledger.accept(booking, waiter, now) {
            // The claim was read without a call of `seen`, as part of a snapshot.
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

    fn relay(&mut self, key: u128, executor: u64) -> Vec<Effect> {
        let waiters = self.ledger.release(key).into_iter();
        waiters.map(|(waiter, deadline)| Effect::Relay { waiter, executor, deadline }).collect()
    }
}

fn answers(answers: Vec<(Waiter, Outcome)>) -> Vec<Effect> {
    answers.into_iter().map(|(waiter, outcome)| Effect::Answer(waiter, outcome)).collect()
}
