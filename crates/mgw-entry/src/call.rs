//! Calls that may be sent more than once: model calls and idempotent calls of plain services.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_route::eject::Change;
use mgw_route::limit::{self, Permit};
use mgw_route::select::{self, Destination, Id, Target};
use mgw_route::stream::{self, Chunk, Completion, Disposition};
use smol_str::SmolStr;

use crate::node::Node;

mod attempt;
mod crash;
mod recovery;

/// Interval at which the time per token of an unfinished answer is measured.
///
/// Answers of a slow target rarely end. When only finished answers were measured, a group 10 times
/// slower than the others was ejected after 30 s instead of 10 s.
const PACE_INTERVAL: Duration = Duration::from_secs(1);

/// Retry hint to the caller while no target can take the call.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A call as it arrives from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: SmolStr,
    /// Name of the caller's team.
    pub team: SmolStr,
    /// The model or plain service that is called.
    pub destination: Destination,
    /// Name of the model's adapter, if the call names one.
    pub adapter: Option<SmolStr>,
    /// Priority from 0 (interactive) to 3 (batch).
    pub priority: u8,
    /// Estimated number of tokens of prompt and answer; 0 for a plain service.
    pub tokens: u32,
    /// Time from which on the caller no longer waits.
    pub deadline: Instant,
    /// Hash of team, model and body, which identifies requests that crash servers.
    pub fingerprint: u128,
    /// Hashes of the prompt's prefixes, for cache affinity.
    pub prefixes: Vec<u64>,
}

/// A call in flight.
#[derive(Debug)]
pub struct Call {
    request: Request,
    stream: stream::Call,
    permit: Option<Permit>,
    /// Number of the call, which identifies it in the routing table.
    number: u64,
    target: Key<Target>,
    /// Targets that the call was sent to, in order.
    tried: Vec<Key<Target>>,
    /// Number of targets that the call was started at, counting repetitions. Resuming at the same
    /// target does not count.
    attempts: u32,
    /// Whether the request was suspected of crashing servers when it was last checked.
    suspect: bool,
    /// Whether the call probes an ejected target.
    probe: bool,
    /// Whether the connection to the current target ended after the request was written.
    disconnected: bool,
    /// Arrival of the first chunk from the current target, and the number of tokens received up to
    /// and including it.
    first_chunk: Option<(Instant, u64)>,
    /// Arrival of the newest chunk, or the time of admission if there is none.
    last_chunk_at: Instant,
    /// When the time per token was last measured.
    pace_measured_at: Instant,
}

impl Call {
    /// Mean time per token at the current target from its first chunk to `until`. `None` before the
    /// first chunk, and until more tokens arrived or [`PACE_INTERVAL`] has passed.
    fn pace(&self, until: Instant) -> Option<Duration> {
        let (first, before) = self.first_chunk?;
        let tokens = u32::try_from(self.stream.received() - before).unwrap_or(u32::MAX);
        let elapsed = until.since(first);
        // A stream that stalled after its first chunk counts as if one token took all the time.
        (tokens > 0 || elapsed >= PACE_INTERVAL).then(|| elapsed / tokens.max(1))
    }
}

/// The connection to open for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Key of the call.
    pub call: Key<Call>,
    /// Number of the connection within the call. Chunks and losses state it.
    pub connection: u32,
    /// The group or server to connect to.
    pub target: Id,
    /// Address of the server, or of the group's member of rank 0.
    pub address: SmolStr,
    /// Number of tokens that the caller already has. The answer must continue after them.
    pub resume_from: u64,
}

/// The reason for which a call is refused or ended early.
///
/// The names of the variants appear in the text of the event `request_refused` and are therefore
/// kept stable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The entry does not serve yet, or no longer accepts requests.
    Phase,
    /// The configuration does not declare the team.
    Team,
    /// The configuration does not declare the model, adapter or service.
    Unknown,
    /// No group of the model, or no server of the service, is available.
    Closed {
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The request has crashed servers and is quarantined.
    Quarantined {
        /// Remaining time of the quarantine.
        retry_after: Duration,
    },
    /// The team has used up its capacity.
    Capacity {
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The entry sheds requests of this priority, or every target runs another suspect.
    Overloaded {
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The connection to the target was lost and the call cannot be completed elsewhere.
    Upstream(stream::Error),
}

/// How a connection to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No connection could be opened; nothing was written.
    Refused,
    /// The target answered that it does not serve at the moment.
    Unavailable,
    /// The connection closed before the answer was complete.
    Disconnected,
    /// No byte arrived within the idle timeout.
    IdleTimeout,
    /// The answer was truncated, had a gap, or belonged to another request.
    InvalidAnswer,
}

/// What to do after a connection failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open this connection.
    Connect(Route),
    /// Call [`Node::retry_call`] after this time.
    RetryAfter(Duration),
    /// End the call with this error.
    Fail(Error),
    /// Do nothing: the failed connection is not the current one, or the call has ended.
    Ignore,
}

impl Node {
    /// Admits a call and selects its target.
    pub fn open_call(&mut self, now: Instant, request: Request) -> Result<Route, Error> {
        let (id, team) = (request.id.clone(), request.team.clone());
        self.admit(now, request).inspect_err(|error| {
            let body = Body::new(Kind::RequestRefused).request(&id).team(&team);
            self.events.push(body.text(format_args!("{error:?}")));
        })
    }

    fn admit(&mut self, now: Instant, request: Request) -> Result<Route, Error> {
        if self.refuses_requests(now) {
            return Err(Error::Phase);
        }
        let suspect = self.check_quarantine(now, &request)?;
        let selection = self.choose(now, &request, &[], suspect)?;
        let admission = limit::Request {
            priority: request.priority,
            tokens: request.tokens,
            wait: selection.wait,
            deadline: request.deadline,
        };
        let permit = self.limiter.admit(&request.team, &admission, now).map_err(refusal)?;
        self.retries.count_request(&request.team, now);
        let stream = stream::Call::new(
            self.options.stream,
            request.id.clone(),
            selection.target,
            request.deadline,
        );
        self.request_count += 1;
        let call = Call {
            stream,
            permit: Some(permit),
            number: self.request_count,
            target: selection.target,
            tried: Vec::new(),
            attempts: 1,
            suspect,
            probe: selection.is_probe,
            disconnected: false,
            first_chunk: None,
            last_chunk_at: now,
            pace_measured_at: now,
            request,
        };
        let key = self.calls.insert(call);
        self.start_attempt(now, key, selection.target);
        self.route(key, 0, 0).ok_or(Error::Closed { retry_after: UNAVAILABLE_RETRY_AFTER })
    }

    /// Handles a chunk of the answer and returns what to do with it.
    pub fn receive_chunk(
        &mut self,
        now: Instant,
        call: Key<Call>,
        chunk: &Chunk<'_>,
    ) -> Disposition {
        let Some(active) = self.calls.get_mut(call) else {
            return Disposition::Discard(stream::Discard::Over);
        };
        let disposition = active.stream.receive(chunk);
        match disposition {
            Disposition::Forward { .. } => {
                if active.first_chunk.is_none() {
                    active.first_chunk = Some((now, active.stream.received()));
                    active.pace_measured_at = now;
                }
                active.last_chunk_at = now;
            }
            Disposition::Discard(discard) => {
                let body = Body::new(Kind::AnswerDiscarded).request(&active.request.id);
                self.events.push(body.text(format_args!("{discard:?}")));
            }
            Disposition::Gap => {}
        }
        disposition
    }

    /// Handles the engine's statement that the answer is complete. `total` is the number of tokens
    /// that it states, if any.
    pub fn finish_answer(
        &mut self,
        call: Key<Call>,
        connection: u32,
        request: &str,
        total: Option<u64>,
    ) -> Completion {
        match self.calls.get_mut(call) {
            Some(active) => active.stream.finish(connection, request, total),
            None => Completion::Discard(stream::Discard::Over),
        }
    }

    /// Records that the received text is too long to be kept. The call can then only be resumed at
    /// the same target.
    pub fn drop_text(&mut self, call: Key<Call>) {
        if let Some(active) = self.calls.get_mut(call) {
            active.stream.drop_text();
        }
    }

    /// Decides what to do after a connection failed.
    pub fn connection_lost(
        &mut self,
        now: Instant,
        call: Key<Call>,
        connection: u32,
        loss: Loss,
    ) -> Action {
        let Some(active) = self.calls.get_mut(call) else { return Action::Ignore };
        if active.stream.attempt().connection != connection {
            return Action::Ignore;
        }
        let (target, disconnected) = (active.target, active.disconnected);
        match loss {
            Loss::Disconnected => active.disconnected = true,
            Loss::Refused | Loss::Unavailable => self.handle_refusal(now, target, disconnected),
            Loss::IdleTimeout | Loss::InvalidAnswer => {}
        }
        self.recover(now, call, connection, loss)
    }

    /// Decides again what to do, after the time of [`Action::RetryAfter`].
    pub fn retry_call(&mut self, now: Instant, call: Key<Call>) -> Action {
        let Some(active) = self.calls.get(call) else { return Action::Ignore };
        let connection = active.stream.attempt().connection;
        self.recover(now, call, connection, Loss::Unavailable)
    }

    /// Ends a call. `served` states whether the whole answer was passed on, and `tokens` is the
    /// number of generated tokens.
    pub fn close_call(&mut self, now: Instant, call: Key<Call>, served: bool, tokens: u32) {
        let Some(mut active) = self.calls.remove(call) else { return };
        self.targets.finish_request(active.target, active.number, served, now);
        if let Some(permit) = active.permit.take() {
            self.limiter.finish(permit, tokens, now);
        }
        let pace = active.pace(active.last_chunk_at).filter(|_| served);
        match (active.probe, pace) {
            (true, pace) => {
                let change = self.ejections.finish_probe(active.target, pace, now);
                self.apply_health_changes(change.into_iter().collect());
            }
            (false, Some(pace)) => self.ejections.observe(active.target, pace, now),
            (false, None) => {}
        }
        let kind = if served { Kind::RequestCompleted } else { Kind::RequestBroken };
        let body = Body::new(kind).request(&active.request.id).team(&active.request.team);
        self.events.push(body);
    }

    /// Measures unfinished answers, ejects and readmits targets, and expires quarantine entries and
    /// refusals.
    pub(crate) fn tick_routing(&mut self, now: Instant) {
        let paces: Vec<(Key<Call>, Duration)> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.probe && now.since(call.pace_measured_at) >= PACE_INTERVAL)
            .filter_map(|(key, call)| Some((key, call.pace(now)?)))
            .collect();
        for (key, pace) in paces {
            let Some(call) = self.calls.get_mut(key) else { continue };
            call.pace_measured_at = now;
            self.ejections.observe(call.target, pace, now);
        }
        let changes = self.ejections.tick(now);
        self.apply_health_changes(changes);
        self.quarantine.tick(now);
        self.refused_at.retain(|_, at| now.since(*at) < Duration::from_secs(60));
        self.send_urgent(now);
    }

    /// Applies changes of health to the routing table and emits their events.
    fn apply_health_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            self.targets.set_health(change.target, change.health);
            let kind = match change.health {
                select::Health::Ejected => Kind::TargetEjected,
                select::Health::Healthy => Kind::TargetReadmitted,
                select::Health::Probe => continue,
            };
            let body = match self.targets.get(change.target).map(|target| target.id()) {
                Some(Id::Group(id)) => Body::new(kind).group(*id),
                Some(Id::Server(name)) => Body::new(kind).instance(name),
                None => continue,
            };
            self.events.push(body);
        }
    }
}

/// Converts the error of admission to that of a call.
pub(crate) fn refusal(error: limit::Error) -> Error {
    match error {
        limit::Error::UnknownTeam => Error::Team,
        limit::Error::Overloaded { retry_after } => Error::Overloaded { retry_after },
        limit::Error::Deadline => Error::Deadline,
        limit::Error::TeamCapacity { retry_after } => Error::Capacity { retry_after },
    }
}
