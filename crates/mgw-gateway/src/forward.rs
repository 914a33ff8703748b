//! One request of a caller: admission, placement, attempts at servers, and the answer.

mod admit;
mod answer;
mod attempt;

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_event::event::Body;
use mgw_fleet::config::{Config, Kind, Route};
use mgw_fleet::place::{self, Candidate};
use mgw_fleet::roster::{Id, Phase};
use mgw_fleet::share;
use mgw_http::event::Splitter;
use mgw_http::head::{Request, Response};
use mgw_route::quarantine::Flight;
use mgw_route::retry;
use platform::header;
use rand::Rng;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::clock;
use crate::connection::Connection;
use crate::crash;
use crate::exchange::{Failure, Outcome};
use crate::gateway::Gateway;
use crate::in_flight::{Alarm, RequestKey, Wait};
use crate::reply::{self, Cause};

/// Connections to different servers that are tried for one request.
const MAX_CONNECT_ATTEMPTS: usize = 4;

/// How long new requests avoid a server that refused a connection.
const REFUSED_COOLDOWN: Duration = Duration::from_millis(1_000);

/// How long new requests avoid a target that stands still.
pub const STALLED_COOLDOWN: Duration = Duration::from_millis(1_500);

/// The least time that is left for another attempt to be worth while.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);

/// Time for the next event of a stream after which another group is asked although other streams
/// of the group go on.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longer than any request.
const NO_TIMEOUT: Duration = Duration::from_secs(86_400);

/// Requests that may wait at a group beyond its slots.
const GROUP_QUEUE_LIMIT: f64 = 3.0;

/// Requests that may wait at a plain server, as a multiple of its slots.
const PLAIN_QUEUE_FACTOR: f64 = 2.0;

/// Bytes of bodies beyond which new bodies are refused.
pub const MAX_HELD_BODY_BYTES: usize = 64 << 20;

/// Whether the caller's connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// It may carry another request.
    KeepAlive,
    /// It ends.
    Close,
}

/// A chosen server.
#[derive(Clone, Debug)]
struct Target {
    id: Id,
    name: SmolStr,
    address: std::net::SocketAddr,
    /// Requests that were probably there when it was chosen.
    requests: f64,
}

/// A request that was admitted.
struct ActiveRequest<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    body: Bytes,
    caller: header::Caller,
    config: Rc<Config>,
    route_index: usize,
    service: SmolStr,
    team: Option<SmolStr>,
    /// Rank for servers, 0 first.
    priority: u8,
    arrived: Instant,
    deadline: Instant,
    request_key: RequestKey,
    wake: Rc<Notify>,
    tried: Vec<Id>,
    /// Servers that the request was sent to.
    attempts: u32,
    connect_attempts: usize,
    /// Whether a server may have run it.
    may_have_run: bool,
    /// Whether any byte of it was sent in the present attempt.
    is_sent: bool,
    /// Whether the next attempt was drawn from the retry budget.
    has_retry_permit: bool,
    splitter: Splitter,
    /// Whether the head of the answer was passed on.
    is_started: bool,
    /// Whether this is the last request of the caller's connection.
    is_last: bool,
    first_event: Option<Instant>,
    /// When events were last passed on, and the longest time between two such times.
    event_gap: (Option<Instant>, Duration),
    /// Hash for blame.
    fingerprint: u128,
    /// Whether it was in flight at a server that crashed.
    suspect: bool,
    last_target: SmolStr,
    /// Requests that were probably at the last target when it was chosen.
    target_load: f64,
    /// What a server answered although another one was to be asked.
    fallback: Option<(Response, BytesMut)>,
}

/// Serves a request whose body has arrived.
pub async fn run(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
    request: &Request,
    body: Bytes,
    arrived: Instant,
    is_last: bool,
) -> Persistence {
    let caller = header::caller(&request.fields);
    let attempt = caller.attempt.clone();
    match admit::admit(gateway, request, body, caller, arrived, is_last) {
        Ok(mut active) => {
            let persistence = active.run(connection).await;
            gateway.with(|state| state.requests.remove(active.request_key));
            persistence
        }
        Err(cause) => reject(gateway, connection, cause, &attempt, is_last).await,
    }
}

/// Sends an answer of the gateway's own.
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
        // A broken connection of a caller ends here in any case.
        Ok(()) | Err(_) => Persistence::Close,
    }
}

impl ActiveRequest<'_> {
    fn route(&self) -> &Route {
        &self.config.routes()[self.route_index]
    }

    async fn run(&mut self, caller: &mut Connection) -> Persistence {
        loop {
            let target = match self.choose_target() {
                Ok(target) => target,
                Err(cause) => return self.fail(caller, cause).await,
            };
            self.last_target = target.name.clone();
            self.target_load = target.requests;
            match self.attempt(caller, &target).await {
                Ok(Outcome::Streamed) => {
                    self.record_completion("streamed", 200);
                    return self.persistence();
                }
                Ok(Outcome::Response(response, body)) => {
                    let is_worth_retry = response.status >= 500
                        && response.status != 504
                        && self.route().kind == Kind::Idempotent;
                    self.may_have_run = true;
                    if is_worth_retry && self.prepare_retry(Failure::ConnectionLost) {
                        self.fallback = Some((response, body));
                        continue;
                    }
                    return self.send_response(caller, response, body).await;
                }
                Err(Failure::CallerGone) => {
                    self.record_event(EventKind::RequestBroken, "caller left");
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

    /// Chooses a server.
    fn choose_target(&self) -> Result<Target, Cause> {
        let now = clock::now();
        let gateway = self.gateway;
        gateway.with(|state| {
            let groups = state.groups();
            let Some(service) = self.config.services.get(&self.service) else {
                return Err(Cause::NoTarget);
            };
            let suspects = |id: Id| {
                self.suspect
                    && state
                        .requests
                        .at_target(id)
                        .any(|it| it.is_suspect && it.fingerprint != 0 && it.target == Some(id))
            };
            let shares = Some(&state.shares).filter(|shares| !shares.is_empty());
            let peer_requests = |id: &str| shares.map(|it| it.requests(share::target(id)));
            let mut candidates: Vec<Candidate<'_>> = Vec::new();
            let mut add = |id: Id, slots: u32| {
                let Some(server) = state.roster.get(id) else { return };
                if !suspects(id) {
                    candidates.push(Candidate {
                        id,
                        load: &server.load,
                        requests: server.load.requests(peer_requests(&server.id), now),
                        slots,
                        is_near: server.record.zone == gateway.settings.zone,
                        is_tried: self.tried.contains(&id),
                    });
                }
            };
            let waiting = match &service.engine {
                Some(engine) => {
                    let model = self.caller.model.as_deref();
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
            let options = place::Options { waiting, ..place::Options::default() };
            let chosen = place::choose(&candidates, &options, now, &mut state.rng);
            let id = chosen.map_err(|error| match error {
                place::Error::Absent => Cause::NoTarget,
                place::Error::Full => Cause::Full,
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

    /// What the caller is peer_requests of a last fault.
    fn failure_cause(&self, failure: Failure) -> Cause {
        match failure {
            Failure::Deadline if self.may_have_run => Cause::Timeout,
            Failure::Deadline => Cause::TooLate,
            _ if self.may_have_run => Cause::ServerFailed,
            _ => Cause::RefusedByServers,
        }
    }

    /// Takes note of a fault of a server.
    fn record_failure(&mut self, target: &Target, failure: Failure) {
        self.may_have_run |= self.is_sent && failure.may_have_run();
        let now = clock::now();
        self.splitter.drop_partial();
        if failure == Failure::ConnectionLost && self.is_sent {
            let in_flight = Flight { fingerprint: self.fingerprint, suspect: self.suspect };
            crash::record_disconnect(self.gateway, target.id, target.address, in_flight);
        }
        self.gateway.with(|state| {
            if matches!(failure, Failure::Connect | Failure::ConnectionLost) {
                state.pool.close_idle(target.id);
            }
            let Some(load) = state.roster.load_mut(target.id) else { return };
            match failure {
                Failure::Connect => load.avoid(now + REFUSED_COOLDOWN),
                Failure::ConnectionLost | Failure::Malformed => load.result(true, now),
                Failure::NotRun { status: 421 } => load.avoid(now + REFUSED_COOLDOWN),
                _ => {}
            }
        });
    }

    /// Whether the request goes to another server after `failure`; draws from the retry budget.
    fn prepare_retry(&mut self, failure: Failure) -> bool {
        let now = clock::now();
        let is_repeatable = self.route().kind.is_repeatable() || !self.may_have_run;
        if !failure.is_server_failure() || !is_repeatable || now + MIN_ATTEMPT_TIME >= self.deadline
        {
            return false;
        }
        if failure == Failure::Connect {
            self.connect_attempts += 1;
            return self.connect_attempts < MAX_CONNECT_ATTEMPTS;
        }
        if self.attempts >= self.route().attempts || self.choose_target().is_err() {
            return false;
        }
        std::mem::take(&mut self.has_retry_permit) || self.draw_retry(now)
    }

    fn draw_retry(&mut self, now: Instant) -> bool {
        let ask = retry::Ask {
            kind: retry::Kind::Retry,
            idempotent: true,
            written: false,
            attempts: self.attempts,
            deadline: self.deadline,
            expected: MIN_ATTEMPT_TIME,
        };
        let drawn = self.gateway.with(|state| state.retry_budgets.draw(&self.service, &ask, now));
        if let Err(error) = &drawn {
            self.record_event(EventKind::RetryBudgetSpent, &error.to_string());
        }
        drawn.is_ok()
    }

    /// Waits for `work`, the caller's leaving or an alarm.
    async fn wait<T, F>(&mut self, caller: &mut Connection, work: F) -> Result<T, Failure>
    where
        F: Future<Output = T>,
    {
        tokio::pin!(work);
        let wake = Rc::clone(&self.wake);
        loop {
            tokio::select! {
                biased;
                result = &mut work => return Ok(result),
                () = caller.closed() => return Err(Failure::CallerGone),
                () = wake.notified() => {
                    if let Some(failure) = self.take_failure() {
                        return Err(failure);
                    }
                }
            }
        }
    }

    /// The fault that an alarm means. A request at a target that stands still stays there unless it
    /// can go on elsewhere.
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
                    && self.attempts < self.route().attempts
                    && now + MIN_ATTEMPT_TIME < self.deadline
                    && self.choose_target().is_ok()
                    && self.draw_retry(now);
                self.has_retry_permit = may_move;
                may_move.then_some(Failure::Stalled)
            }
        }
    }

    fn set_wait(&self, target: Option<Id>, wait: Wait, stall_timeout: Duration) {
        let now = clock::now();
        self.gateway.with(|state| {
            let Some(in_flight) = state.requests.get_mut(self.request_key) else { return };
            in_flight.target = target;
            in_flight.wait = wait;
            in_flight.stall_timeout = stall_timeout;
            in_flight.last_progress = now;
        });
    }

    fn record_progress(&self, target: Id) {
        let stall_timeout = match self.route().kind {
            Kind::Resumable => NEXT_EVENT_TIMEOUT,
            _ => NO_TIMEOUT,
        };
        self.set_wait(Some(target), Wait::Event, stall_timeout);
    }

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
            "{label} {status}, first byte {} ms, longest pause {} ms, end {} ms",
            first.as_millis(),
            self.event_gap.1.as_millis(),
            whole.as_millis()
        );
        self.record_event(EventKind::RequestCompleted, &text);
    }

    fn record_event(&self, kind: EventKind, text: &str) {
        let now = clock::now();
        let age = now.since(self.arrived).as_millis();
        let route = &self.route().name;
        self.gateway.with(|state| {
            let proof = state.config_proof.age(now).map_or(0, |age| age.as_millis());
            let text = format!(
                "{text}; route {route}, config {} of {proof} ms ago, attempt {}, \
                 load {:.1}, {age} ms",
                self.config.version, self.attempts, self.target_load
            );
            let event = Body::new(kind)
                .request(&self.caller.attempt)
                .instance(&self.last_target)
                .team(self.team.as_deref().unwrap_or_default())
                .text(text);
            state.journal.record(event);
        });
    }
}
