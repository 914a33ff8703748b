//! The proxy path of one request: admission, choice of a target, attempts and retries, and the
//! response to the caller.

mod admit;
mod attempt;
mod delivery;
mod exchange;
mod hold;
mod observe;
mod receive;
mod record;
mod response;
mod suspend;
mod target;

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_event::event::Body;
use mgw_fleet::config::Kind;
use mgw_fleet::roster::ServerKey;
use mgw_http::head::Request;
use mgw_http::sse::Splitter;
use mgw_route::quarantine::Status;
use mgw_route::retry;
use platform::header;
use rand::Rng;

use crate::clock;
use crate::connection::Connection;
use crate::exchange::{Failure, Outcome};
use crate::forward::admit::Admitted;
use crate::forward::delivery::Delivery;
use crate::forward::exchange::{Exchange, Progress};
use crate::forward::hold::{Contender, Stop};
use crate::forward::target::Target;
use crate::gateway::{Gateway, State};
use crate::in_flight::Alarm;
use crate::reply::{Cause, Reply};

/// Number of attempts that sent nothing, as with a failed connection, after which a request fails.
/// They do not count as attempts of the route and need no retry budget.
const MAX_FAILED_CONNECTS: usize = 4;

/// Time for which new requests avoid a stalled target.
pub const STALLED_COOLDOWN: Duration = Duration::from_millis(1_500);

/// Minimum time until the deadline for another attempt to be made.
const MIN_ATTEMPT_TIME: Duration = mgw_fleet::attempt::MIN_TIME;

/// Maximum number of refused attempts that do not count as attempts of the route once a stream has
/// begun.
const MAX_FREE_REFUSALS: u32 = 2;

/// Maximum number of attempts that do not count as attempts of the route because the server was no
/// longer what it was listed as.
const MAX_FREE_MISDIRECTED: u32 = 2;

/// A stall timeout longer than any request.
const NO_TIMEOUT: Duration = Duration::from_secs(86_400);

/// Whether the caller's connection stays open after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection may carry another request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// What a request that is not answered yet does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// It is sent to a target.
    Target,
    /// It waits for a server that had stalled.
    Suspended,
}

/// What a request that has sent waits for.
enum Either<T> {
    /// The work at its present server is done.
    Done(T),
    /// The server of the suspended exchange with this index has sent something or closed its
    /// connection.
    Readable(usize),
}

/// What an attempt is made at.
enum Source {
    /// A server that gets the request.
    Target(Target),
    /// A server that has the request.
    Suspended(Box<Exchange>),
}

/// An admitted request that is being served.
struct ActiveRequest<'a> {
    admitted: Admitted<'a>,
    /// Set if the request is subject to admission under overload.
    contender: Option<Contender>,
    attempts: Attempts,
    current: Current,
    /// What the caller has got of the response.
    delivery: Delivery,
    /// Splits a stream into events, and knows the last complete one.
    splitter: Splitter,
}

/// What is kept over all attempts of a request.
#[derive(Debug, Default)]
struct Attempts {
    /// Servers of all attempts, including those that sent nothing. They are not chosen again.
    tried: Vec<ServerKey>,
    /// Number of attempts so far, not counting those that sent nothing.
    sent: u32,
    /// Number of attempts that servers refused, as far as is known without running the request.
    refused: u32,
    /// Number of attempts at servers that are no longer what they were listed as (status 421).
    misdirected: u32,
    /// Number of attempts that sent nothing.
    failed_connects: usize,
    /// Whether a server may have executed the request.
    may_have_run: bool,
    /// Whether a retry has already been drawn from the retry budget for the next attempt.
    has_retry_permit: bool,
    /// Exchanges with other servers that may still answer. They end once something of an answer is
    /// passed on.
    suspended: Vec<Exchange>,
    /// The suspended exchange whose server goes on, until the request returns to it.
    going_on: Option<Exchange>,
}

/// State of the present attempt, or of the latest one.
#[derive(Debug, Default)]
struct Current {
    /// The server; `None` before the first attempt.
    target: Option<Target>,
    /// Whether sending the request has begun.
    has_begun_sending: bool,
    /// Progress of the server.
    progress: Progress,
    /// [`Exchange::given_up_at`] of its exchange.
    given_up_at: Option<Instant>,
    /// When the current or latest attempt began.
    sent_at: Option<Instant>,
    /// The last event of the current server, if it has sent one.
    last_event: Option<observe::LastEvent>,
}

/// Admits and serves a request whose body has been read, up to the end of its response. `arrived`
/// is when its head was read, and `is_last` whether the caller's connection ends with it.
pub async fn run(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
    request: &Request,
    body: Bytes,
    arrived: Instant,
    is_last: bool,
) -> Persistence {
    let metadata = header::parse_request_metadata(&request.fields);
    match admit::admit(gateway, request, body, metadata, arrived, is_last) {
        Ok(admitted) => {
            let request_key = admitted.request_key;
            let persistence = ActiveRequest::new(admitted).run(connection).await;
            gateway.with(|state| state.requests.remove(request_key));
            persistence
        }
        Err(cause) => reject(gateway, connection, cause, Some(request), is_last).await,
    }
}

/// Sends the local reply for a request that is not admitted or could not be read, and counts it.
/// `request` is its head, if that could be read.
pub async fn reject(
    gateway: &Gateway,
    connection: &mut Connection,
    cause: Cause,
    request: Option<&Request>,
    is_last: bool,
) -> Persistence {
    let attempt = request.map(|it| header::parse_request_metadata(&it.fields).attempt_id);
    let attempt = attempt.as_deref().unwrap_or_default();
    let spread = gateway.with(|state| {
        state.metrics.count("refused", cause.name());
        let text = format!("{} {}", cause.status(), cause.name());
        let event = Body::new(EventKind::RequestRefused).request(attempt).text(text);
        state.journal.record(event);
        state.rng.random::<f64>()
    });
    let mut output = BytesMut::new();
    let has_body = !request.is_some_and(Request::is_head);
    Reply { cause, attempt, spread, is_last, has_body }.write(&mut output);
    match connection.write(&output).await {
        Ok(()) if !is_last => Persistence::KeepAlive,
        // An error means that the caller's connection is broken.
        Ok(()) | Err(_) => Persistence::Close,
    }
}

impl ActiveRequest<'_> {
    fn new(admitted: Admitted<'_>) -> ActiveRequest<'_> {
        ActiveRequest {
            contender: Contender::new(&admitted),
            admitted,
            attempts: Attempts::default(),
            current: Current::default(),
            delivery: Delivery::default(),
            splitter: Splitter::default(),
        }
    }

    /// Makes attempts until one succeeds or no other one is allowed, and sends the response.
    async fn run(&mut self, caller: &mut Connection) -> Persistence {
        let persistence = self.run_attempts(caller).await;
        self.end_suspended();
        persistence
    }

    async fn run_attempts(&mut self, caller: &mut Connection) -> Persistence {
        let mut next = Next::Target;
        loop {
            let source = match self.take_next(next) {
                Err(Cause::Full) if self.may_wait() => {
                    self.wait_for_room(caller).await.map(Source::Target)
                }
                source => source.map_err(Stop::Refused),
            };
            let result = match source {
                Ok(Source::Target(target)) => self.attempt(caller, target).await,
                Ok(Source::Suspended(exchange)) => self.return_to(caller, *exchange).await,
                Err(Stop::CallerGone) => Err(Failure::CallerGone),
                // Most causes of a missing target would state that the request has not run.
                Err(Stop::Refused(_)) if self.attempts.may_have_run => {
                    return self.fail(caller, Cause::ServerFailed).await;
                }
                Err(Stop::Refused(cause)) => return self.fail(caller, cause).await,
            };
            next = match result {
                Ok(Outcome::Streamed) => {
                    self.record_completion("streamed", 200);
                    return self.admitted.persistence();
                }
                Ok(Outcome::Answer(answer)) => {
                    self.attempts.may_have_run = true;
                    // The server does not state that it has not run the request, but the caller
                    // would take its status for that.
                    if header::is_not_run_promise(answer.head.head().status)
                        && !self.admitted.route().kind.is_repeatable()
                    {
                        return self.fail(caller, Cause::ServerFailed).await;
                    }
                    let Some(retry) = self.next_after_answer(answer.head.head().status) else {
                        self.end_suspended();
                        return self.send_answer(caller, answer).await;
                    };
                    self.delivery.keep(answer);
                    retry
                }
                Err(Failure::CallerGone) => {
                    self.record_event(EventKind::RequestBroken, "caller disconnected");
                    self.admitted.gateway.count("requests", "caller_left");
                    return Persistence::Close;
                }
                Err(failure) => {
                    self.record_failure(failure);
                    match self.next_after(failure) {
                        Some(next) => {
                            self.record_retry(next, failure);
                            next
                        }
                        None => {
                            let cause = self.failure_cause(failure);
                            return self.fail(caller, cause).await;
                        }
                    }
                }
            };
        }
    }

    /// Takes what the next attempt is made at. A server that had stalled is waited for if there is no
    /// other target.
    fn take_next(&mut self, next: Next) -> Result<Source, Cause> {
        let target = match next {
            Next::Target => self.choose_target(),
            Next::Suspended => Err(Cause::NoTarget),
        };
        match target {
            Ok(target) => Ok(Source::Target(target)),
            Err(cause) => match self.take_suspended() {
                Some(exchange) => Ok(Source::Suspended(Box::new(exchange))),
                None => Err(cause),
            },
        }
    }

    /// What to do after `failure`; `None` if the request has failed.
    fn next_after(&mut self, failure: Failure) -> Option<Next> {
        match failure {
            Failure::Superseded => Some(Next::Suspended),
            _ if failure.is_server_failure() && self.has_live_alternative() => {
                Some(Next::Suspended)
            }
            _ if self.prepare_retry(failure) => Some(Next::Target),
            _ if failure.is_server_failure() && !self.attempts.suspended.is_empty() => {
                Some(Next::Suspended)
            }
            _ => None,
        }
    }

    /// What to do after an answer with `status`; `None` if the caller gets it.
    fn next_after_answer(&mut self, status: u16) -> Option<Next> {
        let may_go_on =
            !self.attempts.suspended.is_empty() || self.admitted.route().kind == Kind::Idempotent;
        match status {
            // 504 Gateway Timeout: no time is left.
            504 => None,
            500.. if may_go_on => self.next_after(Failure::ConnectionLost),
            _ => None,
        }
    }

    /// The cause in the local reply after the failure of the last attempt.
    fn failure_cause(&self, failure: Failure) -> Cause {
        match failure {
            Failure::Deadline if self.attempts.may_have_run => Cause::Timeout,
            Failure::Deadline => Cause::TooLate,
            _ if self.attempts.may_have_run => Cause::ServerFailed,
            _ => self.refusal_cause(),
        }
    }

    /// The cause of a refusal after each server that was tried has refused the request.
    fn refusal_cause(&self) -> Cause {
        match self.choose_target() {
            Err(cause @ Cause::Paused { .. }) => cause,
            Ok(_) | Err(_) => Cause::RefusedByServers,
        }
    }

    /// Whether the request may be sent to another server after `failure`. If so, counts an attempt
    /// that sent nothing, or draws a retry from the budget unless one has already been drawn.
    fn prepare_retry(&mut self, failure: Failure) -> bool {
        let now = clock::now();
        let is_repeatable = self.is_repeatable() || !self.attempts.may_have_run;
        if !failure.is_server_failure()
            || !is_repeatable
            || now + MIN_ATTEMPT_TIME >= self.admitted.deadline
        {
            return false;
        }
        if failure == Failure::ConnectionLost && self.may_crash_servers() {
            return false;
        }
        if matches!(failure, Failure::Connect | Failure::Withdrawn) {
            self.attempts.failed_connects += 1;
            return self.attempts.failed_connects < MAX_FAILED_CONNECTS;
        }
        if !self.has_attempts_left() || self.choose_target().is_err() {
            return false;
        }
        std::mem::take(&mut self.attempts.has_retry_permit) || self.draw_retry(now)
    }

    /// Whether a request that has lost its server may have crashed it and would crash the next one.
    fn may_crash_servers(&self) -> bool {
        let Admitted { gateway, shared_parts, fingerprint, caution, .. } = &self.admitted;
        let has_answered = self.current.progress.writing_since.is_some();
        let is_suspected = |state: &mut State| {
            state.quarantine.check(*fingerprint, clock::now()) != Status::Clear
                || state.poison.forbids_retry(shared_parts, *fingerprint as u64)
        };
        !has_answered && (caution.is_at_risk || gateway.with(is_suspected))
    }

    /// Whether the request may be sent again although it may have run. A stream that has begun
    /// needs an id after which it goes on.
    fn is_repeatable(&self) -> bool {
        let has_position = !self.delivery.is_started() || self.splitter.last_id().is_some();
        has_position && self.admitted.route().kind.is_repeatable()
    }

    /// Whether the route allows another attempt. Up to [`MAX_FREE_MISDIRECTED`] attempts at servers
    /// that are no longer what they were listed as do not count, and once a stream has begun, up to
    /// [`MAX_FREE_REFUSALS`] attempts that servers refused without running the request do not.
    fn has_attempts_left(&self) -> bool {
        let free = if self.delivery.is_started() {
            self.attempts.refused.min(MAX_FREE_REFUSALS)
        } else {
            self.attempts.misdirected.min(MAX_FREE_MISDIRECTED)
        };
        self.attempts.sent - free < self.admitted.route().max_attempts
    }

    /// Draws a retry from the budget of the service; records an event if it is refused.
    fn draw_retry(&mut self, now: Instant) -> bool {
        let retry_request = retry::Request {
            kind: retry::Kind::Retry,
            idempotent: true,
            written: false,
            attempts: self.attempts.sent,
            deadline: self.admitted.deadline,
            expected_duration: MIN_ATTEMPT_TIME,
        };
        let drawn = self.admitted.gateway.with(|state| {
            state.retry_budgets.withdraw(&self.admitted.service, &retry_request, now)
        });
        if let Err(error) = &drawn {
            self.record_event(EventKind::RetryBudgetSpent, &error.to_string());
        }
        drawn.is_ok()
    }

    /// Waits for `work`. Fails if the caller disconnects first, or if an alarm means a failure.
    async fn wait<T, F>(&mut self, caller: &mut Connection, work: F) -> Result<T, Failure>
    where
        F: Future<Output = T>,
    {
        tokio::pin!(work);
        let wake = Rc::clone(&self.admitted.wake);
        loop {
            tokio::select! {
                biased;
                // Comes first, as a server that sends without a pause always has a result.
                () = caller.closed() => return Err(Failure::CallerGone),
                result = &mut work => return Ok(result),
                () = wake.notified() => {
                    if let Some(failure) = self.take_failure() {
                        return Err(failure);
                    }
                }
            }
        }
    }

    /// Waits for `work` as [`Self::wait`], but also fails if the server of a suspended exchange goes
    /// on.
    async fn wait_or_switch<T, F>(&mut self, caller: &mut Connection, work: F) -> Result<T, Failure>
    where
        F: Future<Output = T>,
    {
        tokio::pin!(work);
        loop {
            let suspended = std::mem::take(&mut self.attempts.suspended);
            let either = async {
                tokio::select! {
                    biased;
                    result = &mut work => Either::Done(result),
                    index = exchange::readable(&suspended) => Either::Readable(index),
                }
            };
            let waited = self.wait(caller, either).await;
            self.attempts.suspended = suspended;
            match waited? {
                Either::Done(result) => return Ok(result),
                Either::Readable(index) if self.goes_on(index) => return Err(Failure::Superseded),
                Either::Readable(_) => {}
            }
        }
    }

    /// Takes the pending alarm and returns the failure that it means, if any. A request at a
    /// stalled target goes on waiting there unless a retry is allowed, another target is available
    /// and the retry budget permits it.
    fn take_failure(&mut self) -> Option<Failure> {
        let now = clock::now();
        let alarm = self.admitted.gateway.with(|state| {
            let in_flight = state.requests.get_mut(self.admitted.request_key)?;
            in_flight.last_progress = now;
            in_flight.alarm.take()
        })?;
        match alarm {
            Alarm::Deadline => Some(Failure::Deadline),
            Alarm::Stalled => {
                let may_move = self.is_repeatable()
                    && self.has_attempts_left()
                    && now + MIN_ATTEMPT_TIME < self.admitted.deadline
                    && self.choose_target().is_ok()
                    && self.draw_retry(now);
                self.attempts.has_retry_permit = may_move;
                let is_given_up = self
                    .current
                    .target
                    .as_ref()
                    .is_some_and(|it| self.is_given_up(it.id, self.current.given_up_at));
                (may_move || is_given_up).then_some(Failure::Stalled)
            }
        }
    }
}
