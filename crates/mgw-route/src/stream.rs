//! Progress of one model call, streamed or not, over the loss of engine connections.

use std::fmt;

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::select::Target;

/// Bounds of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Attempts to resume at the same target without a new token.
    pub max_resumes: u32,
    /// The largest number of connections used for one call.
    pub max_connections: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_resumes: 1, max_connections: 6 }
    }
}

/// A message of an engine on one of the call's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk<'a> {
    /// The connection's number, as in [`Attempt::connection`].
    pub connection: u32,
    /// The request id that the engine names.
    pub request: &'a str,
    /// The number of tokens before this piece, from the start of the whole answer; on a resumed
    /// or continued connection the first piece starts at the count that was asked for.
    pub offset: u64,
    /// The number of tokens in this piece.
    pub tokens: u64,
}

/// What to do with a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Pass on the piece without its first `skip` tokens, which the caller already has.
    Forward {
        /// Tokens to leave out.
        skip: u64,
    },
    /// Drop the piece and emit an event.
    Discard(Discard),
    /// Drop the piece, close the connection and call [`Call::lost`]: tokens are missing.
    Gap,
}

/// Why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discard {
    /// It names another request. The connection mixes up answers and must be closed, followed by
    /// [`Call::lost`].
    Crossed,
    /// It came on a connection that was given up.
    Late,
    /// The caller already has all of its tokens.
    Duplicate,
    /// The call is over.
    Over,
}

/// What follows from the engine's statement that the answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The answer is whole; end the caller's stream with `[DONE]`.
    Complete,
    /// Tokens are missing; close the connection and call [`Call::lost`].
    Truncated,
    /// Drop the message.
    Discard(Discard),
}

/// A connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Ascending per call.
    pub connection: u32,
    /// The target.
    pub target: Key<Target>,
}

/// What is possible after the loss of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Alternatives {
    /// Whether the target of the lost connection can be reached and still serves.
    pub same_target: bool,
    /// Another target that is open and allowed, if any.
    pub other_target: Option<Key<Target>>,
    /// Whether the retry budget allows another attempt. Continuing at another target generates
    /// anew and needs it, resuming at the same one does not.
    pub retry_budget: bool,
}

/// What to do after the loss of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Resume at the same target after `from` tokens.
    Resume {
        /// The new connection.
        attempt: Attempt,
        /// Tokens that the caller has.
        offset: u64,
    },
    /// Continue at another target, with the tokens that the caller has as part of the prompt.
    Continue {
        /// The new connection.
        attempt: Attempt,
        /// Tokens that the caller has.
        offset: u64,
    },
    /// End the caller's stream with an error event and without `[DONE]`.
    Broken(Error),
    /// The connection was not the current one, or the call is over; nothing is to be done.
    Ignored,
}

/// Why a call cannot be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The deadline has passed.
    Deadline,
    /// No target is left.
    NoTarget,
    /// The retry budget is spent.
    Budget,
    /// The call has used all its connections.
    Connections,
    /// The tokens received so far exceed what can be kept for another target.
    Text,
    /// The caller went away.
    Cancelled,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::Deadline => "the deadline passed before the answer was complete",
            Error::NoTarget => "the connection was lost and no other group can continue",
            Error::Budget => "the connection was lost and the retry budget is spent",
            Error::Connections => "the connection was lost too often",
            Error::Text => "the connection was lost and the answer is too long to be continued",
            Error::Cancelled => "the caller went away",
        })
    }
}

impl std::error::Error for Error {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Whole,
    Broken(Error),
}

/// One model call.
#[derive(Clone, Debug)]
pub struct Call {
    options: Options,
    request: SmolStr,
    deadline: Instant,
    /// Messages of any other connection are dropped.
    current: Attempt,
    /// Tokens that were passed on, each exactly once and in order.
    received: u64,
    /// Value of `received` when the current connection was opened.
    opened_at: u64,
    /// Connections in a row that were resumed at the same target and brought no token.
    idle: u32,
    /// Whether the text of all received tokens is kept, so that another target can continue.
    text: bool,
    state: State,
}

impl Call {
    /// A call that is sent to `target` on connection 0.
    pub fn new(options: Options, request: SmolStr, target: Key<Target>, deadline: Instant) -> Self {
        Self {
            options,
            request,
            deadline,
            current: Attempt { connection: 0, target },
            received: 0,
            opened_at: 0,
            idle: 0,
            text: true,
            state: State::Open,
        }
    }

    /// The current connection.
    pub fn attempt(&self) -> Attempt {
        self.current
    }

    /// Tokens that were passed on.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Whether the engine said that the answer ended, and all of it was passed on.
    pub fn is_complete(&self) -> bool {
        self.state == State::Whole
    }

    /// Why the call is broken, if it is.
    pub fn error(&self) -> Option<Error> {
        match self.state {
            State::Broken(error) => Some(error),
            _ => None,
        }
    }

    /// Notes that the received text grew beyond what is kept; the call can then only be resumed
    /// at the same target.
    pub fn drop_text(&mut self) {
        self.text = false;
    }

    /// Handles a piece of the answer.
    pub fn receive(&mut self, piece: &Chunk<'_>) -> Disposition {
        if let Some(discard) = self.mismatch(piece.connection, piece.request) {
            return Disposition::Discard(discard);
        }
        if piece.offset > self.received {
            return Disposition::Gap;
        }
        let skip = self.received - piece.offset;
        if skip > 0 && skip >= piece.tokens {
            return Disposition::Discard(Discard::Duplicate);
        }
        self.received += piece.tokens - skip;
        Disposition::Forward { skip }
    }

    /// Handles the engine's statement that the answer ended. The end of the connection without such
    /// a statement is a loss, however complete the answer looks. `total` is the number of tokens
    /// of the whole answer that the engine states, if it does.
    pub fn finish(&mut self, connection: u32, request: &str, total: Option<u64>) -> Completion {
        if let Some(discard) = self.mismatch(connection, request) {
            return Completion::Discard(discard);
        }
        match total {
            Some(total) if total != self.received => Completion::Truncated,
            _ => {
                self.state = State::Whole;
                Completion::Complete
            }
        }
    }

    /// Decides what follows from the loss of a connection: closed, reset, silent for too long, a
    /// gap, or an end that came too early.
    pub fn connection_lost(
        &mut self,
        connection: u32,
        means: &Alternatives,
        now: Instant,
    ) -> Recovery {
        if self.state != State::Open || connection != self.current.connection {
            return Recovery::Ignored;
        }
        let progress = self.received > self.opened_at;
        self.idle = if progress { 0 } else { self.idle + 1 };
        let same = means.same_target && self.idle <= self.options.max_resumes;
        let other = means.other_target.filter(|other| *other != self.current.target);
        let error = match () {
            _ if now >= self.deadline => Error::Deadline,
            _ if self.current.connection + 1 >= self.options.max_connections => Error::Connections,
            _ if !same && other.is_none() => Error::NoTarget,
            _ if !same && !self.text && self.received > 0 => Error::Text,
            _ if !same && !means.retry_budget => Error::Budget,
            _ => {
                let target = match other {
                    Some(other) if !same => other,
                    _ => self.current.target,
                };
                return self.reconnect(target, same);
            }
        };
        self.state = State::Broken(error);
        Recovery::Broken(error)
    }

    /// Ends the call if its deadline has passed. Returns true if the caller is to be told.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.state == State::Open && now >= self.deadline;
        if expired {
            self.state = State::Broken(Error::Deadline);
        }
        expired
    }

    /// Ends the call because the caller went away. Returns the connection on which the engine is
    /// to be told, if the call was open.
    pub fn cancel(&mut self) -> Option<Attempt> {
        if self.state != State::Open {
            return None;
        }
        self.state = State::Broken(Error::Cancelled);
        Some(self.current)
    }

    fn reconnect(&mut self, target: Key<Target>, same: bool) -> Recovery {
        if !same {
            self.idle = 0;
        }
        self.current = Attempt { connection: self.current.connection + 1, target };
        self.opened_at = self.received;
        let (attempt, offset) = (self.current, self.received);
        match same {
            true => Recovery::Resume { attempt, offset },
            false => Recovery::Continue { attempt, offset },
        }
    }

    fn mismatch(&self, connection: u32, request: &str) -> Option<Discard> {
        match () {
            _ if self.state != State::Open => Some(Discard::Over),
            _ if connection != self.current.connection => Some(Discard::Late),
            _ if request != self.request => Some(Discard::Crossed),
            _ => None,
        }
    }
}
