//! Exchanges with the executor of a booking in another process.

use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::ledger::Waiter;
use crate::outcome::{Cause, Outcome};

/// A booking on its way to its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The request that waits here.
    pub waiter: Waiter,
    /// The incarnation that may run the booking.
    pub executor: u64,
    /// No answer is awaited at or after this instant.
    pub deadline: Instant,
}

/// How an attempt to relay ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The executor's answer arrived in full.
    Answered(Answer),
    /// Nothing was sent: there is no connection, or it refused the frame as a whole.
    Unsent,
    /// The frame may have been sent, and no answer can arrive any more.
    Lost,
    /// The executor's incarnation is proven dead.
    Gone,
}

/// The executor's answer to a relayed booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The booking's outcome.
    Outcome(Outcome),
    /// The key was used with other content; nothing was run for this request.
    Conflict,
}

/// What follows from the end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the same frame again, within the retry budget; the exchange is still open.
    Retry(Exchange),
    /// Answer the waiting request; the exchange is over.
    Answer(Waiter, Answer),
}

/// The open exchanges of one process.
#[derive(Clone, Debug, Default)]
pub struct Table {
    exchanges: Map<u64, Exchange>,
    issued: u64,
}

impl Table {
    /// Opens an exchange and returns its number, which the answer must carry.
    pub fn begin(&mut self, exchange: Exchange) -> u64 {
        self.issued += 1;
        self.exchanges.insert(self.issued, exchange);
        self.issued
    }

    /// Handles the end of an attempt. `None` if the exchange is over, as with a duplicate or late
    /// answer, or if the answer came from a process other than the executor.
    ///
    /// An attempt that was not sent is retried until the deadline. It never makes the outcome
    /// "not run": an earlier request with the same key may have reached the executor.
    pub fn finish_attempt(
        &mut self,
        number: u64,
        from: u64,
        end: End,
        now: Instant,
    ) -> Option<Step> {
        let exchange = *self.exchanges.get(&number).filter(|open| open.executor == from)?;
        let verdict = match end {
            End::Unsent if now < exchange.deadline => return Some(Step::Retry(exchange)),
            End::Answered(verdict) => verdict,
            End::Unsent => Answer::Outcome(Outcome::Unknown(Cause::Unreachable)),
            End::Lost => Answer::Outcome(Outcome::Unknown(Cause::AnswerLost)),
            End::Gone => Answer::Outcome(Outcome::Unknown(Cause::ExecutorGone)),
        };
        self.exchanges.remove(&number);
        Some(Step::Answer(exchange.waiter, verdict))
    }

    /// Ends an exchange that is not retried because the retry budget is spent.
    pub fn give_up(&mut self, number: u64) -> Option<Step> {
        let exchange = self.exchanges.remove(&number)?;
        let verdict = Answer::Outcome(Outcome::Unknown(Cause::Unreachable));
        Some(Step::Answer(exchange.waiter, verdict))
    }

    /// Ends all exchanges with `executor` after its connection was lost or its death was proven.
    pub fn end_all(&mut self, executor: u64, cause: Cause) -> Vec<Step> {
        self.drain(|exchange| exchange.executor == executor, cause)
    }

    /// Ends the exchanges whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Step> {
        self.drain(|exchange| exchange.deadline <= now, Cause::Unreachable)
    }

    /// The earliest deadline of an exchange.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.exchanges.iter().map(|(_, exchange)| exchange.deadline).min()
    }

    /// The number of open exchanges.
    pub fn len(&self) -> usize {
        self.exchanges.len()
    }

    /// Whether no exchange is open.
    pub fn is_empty(&self) -> bool {
        self.exchanges.is_empty()
    }

    fn drain<F>(&mut self, over: F, cause: Cause) -> Vec<Step>
    where
        F: Fn(&Exchange) -> bool,
    {
        let mut steps = Vec::new();
        self.exchanges.retain(|_, exchange| {
            let ended = over(exchange);
            if ended {
                let verdict = Answer::Outcome(Outcome::Unknown(cause));
                steps.push(Step::Answer(exchange.waiter, verdict));
            }
            !ended
        });
        steps
    }
}
