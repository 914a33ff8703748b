//! The proxy path of one request: admission, choice of a target, attempts and retries, and the
//! response to the caller.

mod admit;
mod attempt;
mod response;

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_event::event::Body;
use mgw_fleet::balance::{self, Candidate};
use mgw_fleet::config::{Config, Kind, Route};
use mgw_fleet::peer_load;
use mgw_fleet::roster::{Phase, ServerKey};
use mgw_http::head::Request;
use mgw_http::sse::Splitter;
use mgw_route::poison::{Part, SETTLE_TIME};
use mgw_route::quarantine::InFlight;
use mgw_route::retry;
use platform::header;
use rand::Rng;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::clock;
use crate::connection::Connection;
use crate::crash::{self, Disconnect};
use crate::exchange::{Answer, Failure, Outcome};
use crate::gateway::Gateway;
use crate::in_flight::{Alarm, RequestKey, Wait};
use crate::limit;
use crate::reply::{self, Cause};

/// Number of failed connections after which a request fails. Failed connections do not count as
/// attempts and need no retry budget.
const MAX_FAILED_CONNECTS: usize = 4;

/// Time for which new requests avoid a server after a failed connection to it or a 421 response.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Time for which new requests avoid a stalled target.
pub const STALLED_COOLDOWN: Duration = Duration::from_millis(1_500);

/// Minimum time until the deadline for another attempt to be made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);

/// Time without an event after which a resumable stream may move to another group, even if other
/// streams of the present group make progress.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of refused attempts that do not count as attempts of the route once a stream has
/// begun.
const MAX_FREE_REFUSALS: u32 = 2;

/// A stall timeout longer than any request.
const NO_TIMEOUT: Duration = Duration::from_secs(86_400);

/// Maximum requests waiting at a group, beyond those that run in its slots.
const GROUP_QUEUE_LIMIT: f64 = 3.0;

/// Maximum requests waiting at a plain server, as a multiple of the largest number of slots of any
/// server of its service.
const PLAIN_QUEUE_FACTOR: f64 = 2.0;

/// Whether the caller's connection stays open after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection may carry another request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// The server chosen for an attempt: a plain server or the head of a group.
#[derive(Clone, Debug)]
struct Target {
    id: ServerKey,
    name: SmolStr,
    address: std::net::SocketAddr,
    /// Estimated requests of all entries at the server when it was chosen.
    requests: f64,
}

/// An admitted request with the state of its attempts and its response.
struct ActiveRequest<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    body: Bytes,
    /// What the caller states about the request in header fields.
    metadata: header::RequestMetadata,
    /// The configuration at admission, which applies to the request until its end.
    config: Rc<Config>,
    /// Index of the route in `config`.
    route_index: usize,
    service: SmolStr,
    /// The team that the key belongs to, if any.
    team: Option<SmolStr>,
    /// Priority sent to servers, 0 to 9; 0 is the highest.
    priority: u8,
    /// When its head was read.
    arrived: Instant,
    deadline: Instant,
    request_key: RequestKey,
    /// Notified when an alarm is raised.
    wake: Rc<Notify>,
    /// Servers of all attempts, including failed connections. They are not chosen again.
    tried: Vec<ServerKey>,
    /// Number of attempts so far, not counting failed connections.
    attempts: u32,
    /// Number of attempts that servers refused without running the request.
    refusals: u32,
    /// Number of failed connections.
    failed_connects: usize,
    /// Whether a server may have executed it.
    may_have_run: bool,
    /// Whether sending it has begun in the present attempt.
    has_begun_sending: bool,
    /// Whether a retry has already been drawn from the retry budget for the next attempt.
    has_retry_permit: bool,
    /// Splits a stream into events, and knows the last complete one.
    splitter: Splitter,
    /// Whether the head of a response has been passed on to the caller.
    is_started: bool,
    /// Whether this is the last request of the caller's connection.
    is_last: bool,
    /// When the first event or the whole response was passed on.
    first_event: Option<Instant>,
    /// When the server of the present attempt sent its first event; `None` before.
    writing_since: Option<Instant>,
    /// Whether that server has answered for long enough to clear the parts of the prompt.
    has_settled: bool,
    /// When events were last passed on, and the longest time between two such times.
    event_gap: (Option<Instant>, Duration),
    /// Fingerprint by which crashes are blamed on it.
    fingerprint: u128,
    /// Whether it is suspected of having crashed a server.
    suspect: bool,
    /// Parts of its prompt that other requests may share.
    shared_parts: Vec<Part>,
    /// Name of the server of the latest attempt; empty before the first.
    last_target: SmolStr,
    /// Estimated requests at that server when it was chosen.
    target_load: f64,
    /// An error response of a server, kept for the caller in case no retry succeeds.
    fallback: Option<Answer>,
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
    let attempt = metadata.attempt_id.clone();
    match admit::admit(gateway, request, body, metadata, arrived, is_last) {
        Ok(mut active) => {
            let persistence = active.run(connection).await;
            gateway.with(|state| state.requests.remove(active.request_key));
            persistence
        }
        Err(cause) => reject(gateway, connection, cause, &attempt, is_last).await,
    }
}

/// Sends the local reply for a request that is not admitted or could not be read, and counts it.
pub async fn reject(
    gateway: &Gateway,
    connection: &mut Connection,
    cause: Cause,
    attempt: &str,
    is_last: bool,
) -> Persistence {
    let spread = gateway.with(|state| {
        state.metrics.count("refused", cause.name());
        let text = format!("{} {}", cause.status(), cause.name());
        let event = Body::new(EventKind::RequestRefused).request(attempt).text(text);
        state.journal.record(event);
        state.rng.random::<f64>()
    });
    let mut output = BytesMut::new();
    reply::write(&mut output, cause, attempt, spread, is_last);
    match connection.write(&output).await {
        Ok(()) if !is_last => Persistence::KeepAlive,
        // An error means that the caller's connection is broken.
        Ok(()) | Err(_) => Persistence::Close,
    }
}

impl ActiveRequest<'_> {
    /// The route of the request.
    fn route(&self) -> &Route {
        &self.config.routes()[self.route_index]
    }

    /// Makes attempts until one succeeds or no other one is allowed, and sends the response.
    async fn run(&mut self, caller: &mut Connection) -> Persistence {
        loop {
            let target = match self.choose_target() {
                Ok(target) => target,
                // Most causes of a missing target would state that the request has not run.
                Err(_) if self.may_have_run => return self.fail(caller, Cause::ServerFailed).await,
                Err(cause) => return self.fail(caller, cause).await,
            };
            self.last_target = target.name.clone();
            self.target_load = target.requests;
            match self.attempt(caller, &target).await {
                Ok(Outcome::Streamed) => {
                    self.record_completion("streamed", 200);
                    return self.persistence();
                }
                Ok(Outcome::Answer(answer)) => {
                    let is_worth_retry = answer.head.status >= 500
                        && answer.head.status != 504
                        && self.route().kind == Kind::Idempotent;
                    self.may_have_run = true;
                    if is_worth_retry && self.prepare_retry(Failure::ConnectionLost) {
                        self.fallback = Some(answer);
                        continue;
                    }
                    return self.send_answer(caller, answer).await;
                }
                Err(Failure::CallerGone) => {
                    self.record_event(EventKind::RequestBroken, "caller disconnected");
                    self.gateway.count("requests", "caller_left");
                    return Persistence::Close;
                }
                Err(failure) => {
                    self.record_failure(&target, failure);
                    if !self.prepare_retry(failure) {
                        let cause = self.failure_cause(failure);
                        return self.fail(caller, cause).await;
                    }
                    let text = format!("{failure} at {}", target.name);
                    let kind = match self.is_started {
                        true => EventKind::RequestResumed,
                        false => EventKind::RequestRetried,
                    };
                    self.record_event(kind, &text);
                }
            }
        }
    }

    /// Chooses a target for the next attempt. A suspect is not sent to a target that already has a
    /// suspect of this entry, so that a crash can be blamed on one request.
    fn choose_target(&self) -> Result<Target, Cause> {
        let now = clock::now();
        let gateway = self.gateway;
        gateway.with(|state| {
            if state.poison.is_quarantined(&self.shared_parts) {
                return Err(Cause::Quarantined);
            }
            let groups = state.groups();
            let Some(service) = self.config.services.get(&self.service) else {
                return Err(Cause::NoTarget);
            };
            let has_suspect = |id: ServerKey| {
                self.suspect
                    && state
                        .requests
                        .at_target(id)
                        .any(|it| it.is_suspect && it.fingerprint != 0 && it.target == Some(id))
            };
            let peer_loads = Some(&state.peer_loads).filter(|peer_loads| !peer_loads.is_empty());
            let peer_requests =
                |id: &str| peer_loads.map(|it| it.requests(peer_load::target_hash(id)));
            let rate_share = limit::share(state);
            let mut is_limited = false;
            let mut candidates: Vec<Candidate<'_>> = Vec::new();
            let mut add = |id: ServerKey, slots: u32| {
                let Some(server) = state.roster.get(id) else { return };
                if !server.load.rate.admits(rate_share, now) {
                    is_limited = true;
                } else if !has_suspect(id) {
                    candidates.push(Candidate {
                        id,
                        load: &server.load,
                        requests: server.load.estimated_requests(peer_requests(&server.id), now),
                        slots,
                        is_same_zone: server.record.zone == gateway.settings.zone,
                        is_tried: self.tried.contains(&id),
                    });
                }
            };
            let max_queued = match &service.engine {
                Some(engine) => {
                    let model = self.metadata.model.as_deref();
                    let wanted =
                        engine.models.iter().position(|it| Some(it.name.as_str()) == model);
                    groups
                        .iter()
                        .filter(|it| it.is_servable && it.service == self.service)
                        .filter(|it| wanted.is_none_or(|wanted| wanted == it.model))
                        .for_each(|it| add(it.head, engine.slots));
                    GROUP_QUEUE_LIMIT
                }
                None => {
                    let ready = state.roster.iter().filter(|(_, it)| {
                        it.record.service == self.service && it.record.phase == Phase::Ready
                    });
                    let mut slots = 0;
                    for (id, server) in ready {
                        slots = slots.max(server.record.slots);
                        add(id, server.record.slots);
                    }
                    f64::from(slots) * PLAIN_QUEUE_FACTOR
                }
            };
            let options = balance::Options { max_queued, ..balance::Options::default() };
            let chosen = balance::choose(&candidates, &options, now, &mut state.rng);
            let id = chosen.map_err(|error| match error {
                balance::Error::NoTarget if is_limited => Cause::Full,
                balance::Error::NoTarget => Cause::NoTarget,
                balance::Error::Full => Cause::Full,
            })?;
            let requests = candidates.iter().find(|it| it.id == id).map(|it| it.requests);
            let server = state.roster.get(id).ok_or(Cause::NoTarget)?;
            Ok(Target {
                id,
                name: server.id.clone(),
                address: server.record.address,
                requests: requests.unwrap_or_default(),
            })
        })
    }

    /// The cause in the local reply after the failure of the last attempt.
    fn failure_cause(&self, failure: Failure) -> Cause {
        match failure {
            Failure::Deadline if self.may_have_run => Cause::Timeout,
            Failure::Deadline => Cause::TooLate,
            _ if self.may_have_run => Cause::ServerFailed,
            _ => Cause::RefusedByServers,
        }
    }

    /// Records the failure of an attempt: for the request, the load of the target, the pool and the
    /// detection of crashes.
    fn record_failure(&mut self, target: &Target, failure: Failure) {
        self.may_have_run |= self.has_begun_sending && failure.may_have_run();
        let now = clock::now();
        self.splitter.drop_partial();
        if matches!(failure, Failure::NotRun { .. }) {
            self.refusals += 1;
        }
        if failure == Failure::ConnectionLost && self.has_begun_sending {
            let disconnect = Disconnect {
                server: target.id,
                request: InFlight { fingerprint: self.fingerprint, suspect: self.suspect },
                attempt_id: self.metadata.attempt_id.clone(),
                shared_parts: self.metadata.shared_parts.clone(),
                writing_for: self.writing_since.map(|since| now.since(since)),
            };
            crash::record_disconnect(self.gateway, target.address, disconnect);
        }
        self.gateway.with(|state| {
            if matches!(failure, Failure::Connect | Failure::ConnectionLost) {
                state.pool.close_idle(target.id);
            }
            let Some(load) = state.roster.load_mut(target.id) else { return };
            match failure {
                Failure::Connect => load.avoid_until(now + UNREACHABLE_COOLDOWN),
                Failure::ConnectionLost | Failure::Malformed => load.record_result(true, now),
                Failure::NotRun { status: 421 } => load.avoid_until(now + UNREACHABLE_COOLDOWN),
                _ => {}
            }
        });
    }

    /// Whether the request may be sent to another server after `failure`. If so, counts a failed
    /// connection, or draws a retry from the budget unless one has already been drawn.
    fn prepare_retry(&mut self, failure: Failure) -> bool {
        let now = clock::now();
        let is_repeatable = self.route().kind.is_repeatable() || !self.may_have_run;
        if !failure.is_server_failure() || !is_repeatable || now + MIN_ATTEMPT_TIME >= self.deadline
        {
            return false;
        }
        if failure == Failure::Connect {
            self.failed_connects += 1;
            return self.failed_connects < MAX_FAILED_CONNECTS;
        }
        if !self.has_attempts_left() || self.choose_target().is_err() {
            return false;
        }
        std::mem::take(&mut self.has_retry_permit) || self.draw_retry(now)
    }

    /// Whether the route allows another attempt. Once a stream has begun, servers that refused it
    /// without running it do not use up attempts.
    fn has_attempts_left(&self) -> bool {
        let free = if self.is_started { self.refusals.min(MAX_FREE_REFUSALS) } else { 0 };
        self.attempts - free < self.route().max_attempts
    }

    /// Draws a retry from the budget of the service; records an event if it is refused.
    fn draw_retry(&mut self, now: Instant) -> bool {
        let retry_request = retry::Request {
            kind: retry::Kind::Retry,
            idempotent: true,
            written: false,
            attempts: self.attempts,
            deadline: self.deadline,
            expected_duration: MIN_ATTEMPT_TIME,
        };
        let drawn = self
            .gateway
            .with(|state| state.retry_budgets.withdraw(&self.service, &retry_request, now));
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
        let wake = Rc::clone(&self.wake);
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

    /// Takes the pending alarm and returns the failure that it means, if any. A request at a
    /// stalled target goes on waiting there unless a retry is allowed, another target is available
    /// and the retry budget permits it.
    fn take_failure(&mut self) -> Option<Failure> {
        let now = clock::now();
        let alarm = self.gateway.with(|state| {
            let in_flight = state.requests.get_mut(self.request_key)?;
            in_flight.last_progress = now;
            in_flight.alarm.take()
        })?;
        match alarm {
            Alarm::Deadline => Some(Failure::Deadline),
            Alarm::Stalled => {
                let may_move = self.route().kind.is_repeatable()
                    && self.has_attempts_left()
                    && now + MIN_ATTEMPT_TIME < self.deadline
                    && self.choose_target().is_ok()
                    && self.draw_retry(now);
                self.has_retry_permit = may_move;
                may_move.then_some(Failure::Stalled)
            }
        }
    }

    /// Sets what the request waits for in the table of requests in flight, and restarts its stall
    /// timeout.
    fn set_wait(&self, target: Option<ServerKey>, wait: Wait, stall_timeout: Duration) {
        let now = clock::now();
        self.gateway.with(|state| {
            let Some(in_flight) = state.requests.get_mut(self.request_key) else { return };
            in_flight.target = target;
            in_flight.wait = wait;
            in_flight.stall_timeout = stall_timeout;
            in_flight.last_progress = now;
        });
    }

    /// Records that the server of the present attempt has sent a part of its answer. Once it has
    /// answered for [`SETTLE_TIME`] or up to the end, the parts of the prompt are cleared.
    fn record_answering(&mut self, is_complete: bool) {
        let now = clock::now();
        let began = *self.writing_since.get_or_insert(now);
        if !self.has_settled && (is_complete || now.since(began) >= SETTLE_TIME) {
            self.has_settled = true;
            self.gateway.with(|state| {
                state.poison.record_answer(&self.shared_parts, began, now);
                state.record_poison_changes();
            });
        }
    }

    /// Records that a part of the stream from `target` has been relayed, and waits for the next
    /// event.
    fn record_progress(&self, target: ServerKey) {
        let stall_timeout = match self.route().kind {
            Kind::ResumableStream => NEXT_EVENT_TIMEOUT,
            _ => NO_TIMEOUT,
        };
        self.set_wait(Some(target), Wait::Event, stall_timeout);
    }

    /// Records the latencies of a request whose response is complete.
    fn record_completion(&self, label: &'static str, status: u16) {
        let now = clock::now();
        let whole = now.since(self.arrived);
        let first = self.first_event.map_or(whole, |at| at.since(self.arrived));
        self.gateway.with(|state| {
            state.metrics.count("requests", label);
            state.metrics.latency("first_byte", first);
            state.metrics.latency("answer", whole);
            state.metrics.latency("pause", self.event_gap.1);
        });
        let text = format!(
            "{label} {status}, first byte {} ms, longest gap {} ms, total {} ms",
            first.as_millis(),
            self.event_gap.1.as_millis(),
            whole.as_millis()
        );
        self.record_event(EventKind::RequestCompleted, &text);
    }

    /// Records an event about the request, with its route, attempts, target and age.
    fn record_event(&self, kind: EventKind, text: &str) {
        let now = clock::now();
        let age = now.since(self.arrived).as_millis();
        let route = &self.route().name;
        self.gateway.with(|state| {
            let proof = state.config_proof.age(now).map_or(0, |age| age.as_millis());
            let text = format!(
                "{text}; route {route}, config {} proven {proof} ms ago, attempt {}, \
                 target load {:.1}, age {age} ms",
                self.config.version, self.attempts, self.target_load
            );
            let event = Body::new(kind)
                .request(&self.metadata.attempt_id)
                .instance(&self.last_target)
                .team(self.team.as_deref().unwrap_or_default())
                .text(text);
            state.journal.record(event);
        });
    }
}
