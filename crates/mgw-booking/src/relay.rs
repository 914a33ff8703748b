//! Exchanges that relay bookings to their executor in another process.

use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::ledger::Waiter;
use crate::outcome::{Cause, Outcome};

/// A booking that is relayed to its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Request at this process that waits for the answer.
    pub waiter: Waiter,
    /// Incarnation of the process that may run the booking.
    pub executor: u64,
    /// Instant from which on the exchange no longer waits for an answer.
    pub deadline: Instant,
}

/// How an attempt to relay a booking ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The executor's complete answer arrived.
    Answered(Answer),
    /// Nothing was sent, as there is no connection or it refused the whole frame.
    Unsent,
    /// The frame may have been sent, and its answer can no longer arrive.
    Lost,
    /// The executor's process is known to have ended.
    Gone,
}

/// The answer of the executor to a relayed booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The outcome of the booking.
    Outcome(Outcome),
    /// The key was already used with other content. Nothing was run for this request.
    Conflict,
}

/// What to do after the end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the same frame again if the retry budget allows it. The exchange stays open.
    Retry(Exchange),
    /// Answer the waiting request. The exchange has ended.
    Answer(Waiter, Answer),
}

/// The open exchanges of one process.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Open exchanges by their number.
    exchanges: Map<u64, Exchange>,
    /// Number of the exchange that was opened last.
    last_number: u64,
}

impl Table {
    /// Opens an exchange and returns its number, by which the answer refers to it.
    pub fn begin(&mut self, exchange: Exchange) -> u64 {
        self.last_number += 1;
        self.exchanges.insert(self.last_number, exchange);
        self.last_number
    }

    /// Handles the end of an attempt; `from` is the incarnation at its other end. Returns `None` if
    /// the exchange has ended, for example after a duplicate or late answer, or if `from` is not
    /// its executor.
    ///
    /// An attempt that was not sent is retried until the deadline. Its outcome is never "not run",
    /// as an earlier request with the same key may have reached the executor.
    pub fn finish_attempt(
        &mut self,
        number: u64,
        from: u64,
        end: End,
        now: Instant,
    ) -> Option<Step> {
        let exchange = *self.exchanges.get(&number).filter(|exchange| exchange.executor == from)?;
        let answer = match end {
            End::Unsent if now < exchange.deadline => return Some(Step::Retry(exchange)),
            End::Answered(answer) => answer,
            End::Unsent => Answer::Outcome(Outcome::Unknown(Cause::Unreachable)),
            End::Lost => Answer::Outcome(Outcome::Unknown(Cause::AnswerLost)),
            End::Gone => Answer::Outcome(Outcome::Unknown(Cause::ExecutorGone)),
        };
        self.exchanges.remove(&number);
        Some(Step::Answer(exchange.waiter, answer))
    }

    /// Ends an exchange that cannot be retried because the retry budget is spent.
    pub fn give_up(&mut self, number: u64) -> Option<Step> {
        let exchange = self.exchanges.remove(&number)?;
        let answer = Answer::Outcome(Outcome::Unknown(Cause::Unreachable));
        Some(Step::Answer(exchange.waiter, answer))
    }

    /// Ends all exchanges with `executor` because its connection was lost or its process has ended.
    pub fn end_all(&mut self, executor: u64, cause: Cause) -> Vec<Step> {
        self.end_matching(|exchange| exchange.executor == executor, cause)
    }

    /// Ends the exchanges whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Step> {
        self.end_matching(|exchange| exchange.deadline <= now, Cause::Unreachable)
    }

    /// Returns the earliest deadline of an open exchange.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.exchanges.iter().map(|(_, exchange)| exchange.deadline).min()
    }

    /// Returns the number of open exchanges.
    pub fn len(&self) -> usize {
        self.exchanges.len()
    }

    /// Returns whether no exchange is open.
    pub fn is_empty(&self) -> bool {
        self.exchanges.is_empty()
    }

    fn end_matching<F>(&mut self, is_over: F, cause: Cause) -> Vec<Step>
    where
        F: Fn(&Exchange) -> bool,
    {
        let mut steps = Vec::new();
        self.exchanges.retain(|_, exchange| {
            let ended = is_over(exchange);
            if ended {
                let answer = Answer::Outcome(Outcome::Unknown(cause));
                steps.push(Step::Answer(exchange.waiter, answer));
            }
            !ended
        });
        steps
    }
}
