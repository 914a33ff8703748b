//! State of one model call, streamed or not, across the loss of engine connections.

use std::fmt;

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::select::Target;

/// Limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of consecutive connections to a target without a new token up to which the call is
    /// resumed there.
    pub max_resumes: u32,
    /// Maximum number of connections per call.
    pub max_connections: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_resumes: 1, max_connections: 6 }
    }
}

/// A part of the answer that an engine sends on one of the call's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk<'a> {
    /// Number of the connection; see [`Attempt::connection`].
    pub connection: u32,
    /// Request id that the engine states.
    pub request: &'a str,
    /// Number of tokens of the whole answer before this chunk. On a resumed or continued connection
    /// the first chunk starts at the offset that was requested.
    pub offset: u64,
    /// Number of tokens in this chunk.
    pub tokens: u64,
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Pass the chunk on without its first `skip` tokens, which the caller already has.
    Forward {
        /// Number of tokens to leave out.
        skip: u64,
    },
    /// Drop the chunk and emit an event.
    Discard(Discard),
    /// Tokens are missing before the chunk. Drop it, close the connection and call
    /// [`Call::connection_lost`].
    Gap,
}

/// The reason for which a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discard {
    /// The message states the id of another request. The connection mixes up answers, so close it
    /// and call [`Call::connection_lost`].
    Crossed,
    /// The message arrived on a connection that is not the current one.
    Late,
    /// The caller already has all tokens of the chunk.
    Duplicate,
    /// The call has ended.
    Over,
}

/// What to do when the engine states that the answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The answer is complete. End the caller's stream with `[DONE]`.
    Complete,
    /// Tokens are missing. Close the connection and call [`Call::connection_lost`].
    Truncated,
    /// Drop the message.
    Discard(Discard),
}

/// A connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the connection within the call, ascending from 0.
    pub connection: u32,
    /// Target of the connection.
    pub target: Key<Target>,
}

/// The ways to complete a call after the loss of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Alternatives {
    /// Whether the target of the lost connection is reachable and still available.
    pub same_target: bool,
    /// Another available target to which the call may be sent, if any.
    pub other_target: Option<Key<Target>>,
    /// Whether the retry budget allows another attempt. Continuing at another target
    /// generates anew and requires it; resuming at the same target does not.
    pub retry_budget: bool,
}

/// What to do after the loss of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Resume at the same target after `offset` tokens.
    Resume {
        /// The new connection.
        attempt: Attempt,
        /// Number of tokens that were passed on.
        offset: u64,
    },
    /// Continue at another target, with the tokens that were passed on appended to the prompt.
    Continue {
        /// The new connection.
        attempt: Attempt,
        /// Number of tokens that were passed on.
        offset: u64,
    },
    /// End the caller's stream with an error event and without `[DONE]`.
    Broken(Error),
    /// Do nothing: the connection is not the current one, or the call has ended.
    Ignored,
}

/// The reason for which a call cannot be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The deadline has passed.
    Deadline,
    /// Neither the same nor another target is available.
    NoTarget,
    /// The retry budget is spent.
    Budget,
    /// The call has reached [`Options::max_connections`].
    Connections,
    /// The received text was not kept, so that no other target can continue the answer; see
    /// [`Call::drop_text`].
    Text,
    /// The caller disconnected.
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
    Complete,
    Broken(Error),
}

/// One model call.
#[derive(Clone, Debug)]
pub struct Call {
    options: Options,
    request: SmolStr,
    deadline: Instant,
    /// The current connection. Messages on any other connection are dropped.
    current: Attempt,
    /// Number of tokens that were passed on, each exactly once and in order.
    received: u64,
    /// Value of `received` when the current connection was opened.
    received_at_open: u64,
    /// Number of consecutive connections to the current target that delivered no token.
    connections_without_progress: u32,
    /// Whether the text of all received tokens is kept, so that another target can continue the
    /// answer.
    text_kept: bool,
    state: State,
}

impl Call {
    /// Creates a call that is sent to `target` on connection 0.
    pub fn new(options: Options, request: SmolStr, target: Key<Target>, deadline: Instant) -> Self {
        Self {
            options,
            request,
            deadline,
            current: Attempt { connection: 0, target },
            received: 0,
            received_at_open: 0,
            connections_without_progress: 0,
            text_kept: true,
            state: State::Open,
        }
    }

    /// Returns the current connection.
    pub fn attempt(&self) -> Attempt {
        self.current
    }

    /// Returns the number of tokens that were passed on.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns whether the engine stated the end of the answer and all of it was passed on.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns the reason for which the call is broken, if it is.
    pub fn error(&self) -> Option<Error> {
        match self.state {
            State::Broken(error) => Some(error),
            _ => None,
        }
    }

    /// Records that the received text is too long to be kept. The call can then only be resumed at
    /// the same target.
    pub fn drop_text(&mut self) {
        self.text_kept = false;
    }

    /// Handles a chunk of the answer.
    pub fn receive(&mut self, chunk: &Chunk<'_>) -> Disposition {
        if let Some(discard) = self.discard_reason(chunk.connection, chunk.request) {
            return Disposition::Discard(discard);
        }
        if chunk.offset > self.received {
            return Disposition::Gap;
        }
        let skip = self.received - chunk.offset;
        if skip > 0 && skip >= chunk.tokens {
            return Disposition::Discard(Discard::Duplicate);
        }
        self.received += chunk.tokens - skip;
        Disposition::Forward { skip }
    }

    /// Handles the engine's statement that the answer ended. `total` is the number of tokens of the
    /// whole answer, if the engine states it.
    ///
    /// If the connection ends without such a statement, call [`Call::connection_lost`], even if the
    /// answer looks complete.
    pub fn finish(&mut self, connection: u32, request: &str, total: Option<u64>) -> Completion {
        if let Some(discard) = self.discard_reason(connection, request) {
            return Completion::Discard(discard);
        }
        match total {
            Some(total) if total != self.received => Completion::Truncated,
            _ => {
                self.state = State::Complete;
                Completion::Complete
            }
        }
    }

    /// Decides how to go on after a connection was closed, reset or silent for too long, or after a
    /// gap or a truncated answer on it.
    pub fn connection_lost(
        &mut self,
        connection: u32,
        alternatives: &Alternatives,
        now: Instant,
    ) -> Recovery {
        if self.state != State::Open || connection != self.current.connection {
            return Recovery::Ignored;
        }
        let progress = self.received > self.received_at_open;
        self.connections_without_progress =
            if progress { 0 } else { self.connections_without_progress + 1 };
        let same = alternatives.same_target
            && self.connections_without_progress <= self.options.max_resumes;
        let other = alternatives.other_target.filter(|other| *other != self.current.target);
        let error = match () {
            _ if now >= self.deadline => Error::Deadline,
            _ if self.current.connection + 1 >= self.options.max_connections => Error::Connections,
            _ if !same && other.is_none() => Error::NoTarget,
            _ if !same && !self.text_kept && self.received > 0 => Error::Text,
            _ if !same && !alternatives.retry_budget => Error::Budget,
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

    /// Ends the call if its deadline has passed. Returns true if this call of `expire` ended it, so
    /// that the caller must be informed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.state == State::Open && now >= self.deadline;
        if expired {
            self.state = State::Broken(Error::Deadline);
        }
        expired
    }

    /// Ends the call because the caller disconnected. If the call was open, returns the connection
    /// on which the engine must be informed.
    pub fn cancel(&mut self) -> Option<Attempt> {
        if self.state != State::Open {
            return None;
        }
        self.state = State::Broken(Error::Cancelled);
        Some(self.current)
    }

    fn reconnect(&mut self, target: Key<Target>, same: bool) -> Recovery {
        if !same {
            self.connections_without_progress = 0;
        }
        self.current = Attempt { connection: self.current.connection + 1, target };
        self.received_at_open = self.received;
        let (attempt, offset) = (self.current, self.received);
        match same {
            true => Recovery::Resume { attempt, offset },
            false => Recovery::Continue { attempt, offset },
        }
    }

    fn discard_reason(&self, connection: u32, request: &str) -> Option<Discard> {
        match () {
            _ if self.state != State::Open => Some(Discard::Over),
            _ if connection != self.current.connection => Some(Discard::Late),
            _ if request != self.request => Some(Discard::Crossed),
            _ => None,
        }
    }
}
