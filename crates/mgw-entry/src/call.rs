//! Calls that may be repeated: model calls and idempotent calls of plain services.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_route::eject::Change;
use mgw_route::limit::{self, Permit};
use mgw_route::quarantine::{InFlight, Status};
use mgw_route::retry;
use mgw_route::select::{self, Criteria, Destination, Id, Target};
use mgw_route::stream::{self, Alternatives, Chunk, Completion, Disposition, Recovery};
use mgw_state::record::Record;
use mgw_wire::frame::{Blame, Item};
use smol_str::SmolStr;

use crate::node::Node;
use crate::outbox::Purpose;

/// Refused connections of a target within this time are one crash.
const SAME_CRASH: Duration = Duration::from_secs(5);

/// Pause before a suspected request asks again for a target without another suspect.
const SUSPECT_WAIT: Duration = Duration::from_millis(100);

/// Time between two measurements of the pace of an answer that is under way.
///
/// The answers of a straggler end rarely: measured at their ends alone, a group that is 10 times
/// slower than the others was ejected after 30 s instead of 10 s.
const PACE: Duration = Duration::from_secs(1);

/// Assumed duration of another attempt.
const EXPECTED: Duration = Duration::from_millis(50);

/// Retry hint while groups are closed.
const CLOSED_HINT: Duration = Duration::from_secs(2);

/// A call as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The request id.
    pub id: SmolStr,
    /// The caller's team.
    pub team: SmolStr,
    /// The model or plain service.
    pub destination: Destination,
    /// The adapter, if any.
    pub adapter: Option<SmolStr>,
    /// 0 (interactive) to 3 (batch).
    pub priority: u8,
    /// Estimated tokens of prompt and answer; 0 for a plain service.
    pub tokens: u32,
    /// When the caller no longer waits.
    pub deadline: Instant,
    /// Hash of team, model and body.
    pub fingerprint: u128,
    /// Prefix hashes of the prompt.
    pub prefixes: Vec<u64>,
}

/// A call in flight.
#[derive(Debug)]
pub struct Call {
    request: Request,
    stream: stream::Call,
    permit: Option<Permit>,
    /// Identifies the call at its target.
    flight: u64,
    target: Key<Target>,
    /// Targets that the call was sent to.
    tried: Vec<Key<Target>>,
    attempts: u32,
    suspect: bool,
    probe: bool,
    /// Whether the connection to the current target ended after the request was written.
    cut: bool,
    /// When the first piece of the current target came, and how many tokens had come by then.
    first: Option<(Instant, u64)>,
    last: Instant,
    /// When the pace was last measured.
    paced: Instant,
}

impl Call {
    /// Time per token at the current target by `until`, not counting the first piece.
    fn pace(&self, until: Instant) -> Option<Duration> {
        let (first, before) = self.first?;
        let tokens = u32::try_from(self.stream.received() - before).unwrap_or(u32::MAX);
        let span = until.since(first);
        // A stream that has stalled after its first piece has a pace too.
        (tokens > 0 || span >= PACE).then(|| span / tokens.max(1))
    }
}

/// Where to send a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The call.
    pub call: Key<Call>,
    /// The connection's number; pieces and losses name it.
    pub connection: u32,
    /// The group or server.
    pub target: Id,
    /// Its address: rank 0 of a group.
    pub address: SmolStr,
    /// Tokens that the caller already has.
    pub resume_from: u64,
}

/// Why a call is refused or broken off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The entry does not serve yet, or no longer.
    NotServing,
    /// No configuration declares the team.
    UnknownTeam,
    /// No configuration declares the model, adapter or service.
    UnknownDestination,
    /// No complete group of the model, or no server of the service.
    NoTargetAvailable {
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The request crashed servers.
    Quarantined {
        /// How long it is refused.
        retry_after: Duration,
    },
    /// The team is over its capacity.
    TeamCapacity {
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The entry sheds this priority, or no target can take the call.
    Overloaded {
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// The connection to the target was lost and nothing else can answer.
    Upstream(stream::Error),
}

/// How a connection to a target was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No connection could be had; nothing was written.
    Refused,
    /// The target answered that it does not serve now.
    Unavailable,
    /// The connection ended before the answer did.
    Disconnected,
    /// No byte came within the idle timeout.
    IdleTimeout,
    /// The answer was truncated, had a gap, or was that of another request.
    InvalidAnswer,
}

/// What to do after a loss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open this connection.
    Connect(Route),
    /// Ask again with [`Node::retry_call`] after this time.
    RetryAfter(Duration),
    /// End the call with this error.
    Fail(Error),
    /// The loss is of an earlier connection; nothing is to be done.
    Ignore,
}

impl Node {
    /// Admits a call and chooses its target.
    pub fn open_call(&mut self, now: Instant, request: Request) -> Result<Route, Error> {
        let (id, team) = (request.id.clone(), request.team.clone());
        self.admit(now, request).inspect_err(|error| {
            let body = Body::new(Kind::RequestRefused).request(&id).team(&team);
            self.events.push(body.text(format_args!("{error:?}")));
        })
    }

    fn admit(&mut self, now: Instant, request: Request) -> Result<Route, Error> {
        if self.refuses_requests(now) {
            return Err(Error::NotServing);
        }
        let suspect = self.check_quarantine(now, &request)?;
        let chosen = self.choose(now, &request, &[], suspect)?;
        let ask = limit::Request {
            priority: request.priority,
            tokens: request.tokens,
            wait: chosen.wait,
            deadline: request.deadline,
        };
        let permit = self.limiter.admit(&request.team, &ask, now).map_err(refusal)?;
        self.retries.count_request(&request.team, now);
        let stream = stream::Call::new(
            self.options.stream,
            request.id.clone(),
            chosen.target,
            request.deadline,
        );
        self.requests += 1;
        let call = Call {
            stream,
            permit: Some(permit),
            flight: self.requests,
            target: chosen.target,
            tried: Vec::new(),
            attempts: 1,
            suspect,
            probe: chosen.is_probe,
            cut: false,
            first: None,
            last: now,
            paced: now,
            request,
        };
        let key = self.calls.insert(call);
        self.begin(now, key, chosen.target);
        self.route(key, 0, 0).ok_or(Error::NoTargetAvailable { retry_after: CLOSED_HINT })
    }

    /// Takes a piece of the answer.
    pub fn receive_chunk(
        &mut self,
        now: Instant,
        call: Key<Call>,
        piece: &Chunk<'_>,
    ) -> Disposition {
        let Some(held) = self.calls.get_mut(call) else {
            return Disposition::Discard(stream::Discard::Over);
        };
        let reception = held.stream.receive(piece);
        match reception {
            Disposition::Forward { .. } => {
                if held.first.is_none() {
                    held.first = Some((now, held.stream.received()));
                    held.paced = now;
                }
                held.last = now;
            }
            Disposition::Discard(discard) => {
                let body = Body::new(Kind::AnswerDiscarded).request(&held.request.id);
                self.events.push(body.text(format_args!("{discard:?}")));
            }
            Disposition::Gap => {}
        }
        reception
    }

    /// Takes the engine's statement that the answer ended.
    pub fn finish_answer(
        &mut self,
        call: Key<Call>,
        connection: u32,
        request: &str,
        total: Option<u64>,
    ) -> Completion {
        match self.calls.get_mut(call) {
            Some(held) => held.stream.finish(connection, request, total),
            None => Completion::Discard(stream::Discard::Over),
        }
    }

    /// Notes that the received text is too long to continue at another target.
    pub fn drop_text(&mut self, call: Key<Call>) {
        if let Some(held) = self.calls.get_mut(call) {
            held.stream.drop_text();
        }
    }

    /// Decides what follows from the loss of a connection.
    pub fn connection_lost(
        &mut self,
        now: Instant,
        call: Key<Call>,
        connection: u32,
        loss: Loss,
    ) -> Action {
        let Some(held) = self.calls.get_mut(call) else { return Action::Ignore };
        if held.stream.attempt().connection != connection {
            return Action::Ignore;
        }
        let (target, cut) = (held.target, held.cut);
        match loss {
            Loss::Disconnected => held.cut = true,
            Loss::Refused | Loss::Unavailable => self.refused(now, target, cut),
            Loss::IdleTimeout | Loss::InvalidAnswer => {}
        }
        self.recover(now, call, connection, loss)
    }

    /// Asks again after [`Action::RetryAfter`].
    pub fn retry_call(&mut self, now: Instant, call: Key<Call>) -> Action {
        let Some(held) = self.calls.get(call) else { return Action::Ignore };
        let connection = held.stream.attempt().connection;
        self.recover(now, call, connection, Loss::Unavailable)
    }

    /// Ends a call. `served` tells that the answer was passed on in full, `tokens` how many tokens
    /// were generated.
    pub fn close_call(&mut self, now: Instant, call: Key<Call>, served: bool, tokens: u32) {
        let Some(mut held) = self.calls.remove(call) else { return };
        self.targets.finish_request(held.target, held.flight, served, now);
        if let Some(permit) = held.permit.take() {
            self.limiter.finish(permit, tokens, now);
        }
        let pace = held.pace(held.last).filter(|_| served);
        match (held.probe, pace) {
            (true, pace) => {
                let change = self.ejections.finish_probe(held.target, pace, now);
                self.stand(change.into_iter().collect());
            }
            (false, Some(pace)) => self.ejections.observe(held.target, pace, now),
            (false, None) => {}
        }
        let kind = if served { Kind::RequestCompleted } else { Kind::RequestBroken };
        let body = Body::new(kind).request(&held.request.id).team(&held.request.team);
        self.events.push(body);
    }

    /// Ejects stragglers and forgets blame that no longer matters.
    pub(crate) fn tick_routing(&mut self, now: Instant) {
        let paces: Vec<(Key<Call>, Duration)> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.probe && now.since(call.paced) >= PACE)
            .filter_map(|(key, call)| Some((key, call.pace(now)?)))
            .collect();
        for (key, pace) in paces {
            let Some(call) = self.calls.get_mut(key) else { continue };
            call.paced = now;
            self.ejections.observe(call.target, pace, now);
        }
        let changes = self.ejections.tick(now);
        self.stand(changes);
        self.quarantine.tick(now);
        self.refusals.retain(|_, at| now.since(*at) < Duration::from_secs(60));
        self.send_urgent(now);
    }

    fn stand(&mut self, changes: Vec<Change>) {
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

    fn check_quarantine(&self, now: Instant, request: &Request) -> Result<bool, Error> {
        match self.quarantine.check(request.fingerprint, now) {
            Status::Clear => Ok(false),
            Status::Suspect => Ok(true),
            Status::Quarantined { until } => {
                Err(Error::Quarantined { retry_after: until.since(now) })
            }
        }
    }

    fn choose(
        &mut self,
        now: Instant,
        request: &Request,
        tried: &[Key<Target>],
        suspect: bool,
    ) -> Result<select::Selection, Error> {
        let ask = Criteria {
            destination: &request.destination,
            adapter: request.adapter.as_deref(),
            prefixes: &request.prefixes,
            tried,
            suspect,
            can_probe: true,
        };
        self.targets.choose(&ask, now, &mut self.random).map_err(|error| match error {
            select::Error::NotServed if self.is_declared(request) => {
                Error::NoTargetAvailable { retry_after: CLOSED_HINT }
            }
            select::Error::NotServed => Error::UnknownDestination,
            select::Error::NoneAvailable | select::Error::AllTried => {
                Error::NoTargetAvailable { retry_after: CLOSED_HINT }
            }
            select::Error::AllRunSuspects => Error::Overloaded { retry_after: CLOSED_HINT },
        })
    }

    fn is_declared(&self, request: &Request) -> bool {
        let Some(sheet) = self.reader.state().sheet() else { return false };
        let adapted = request.adapter.as_ref().is_none_or(|adapter| {
            sheet.adapters.binary_search_by(|it| it.name.cmp(adapter)).is_ok()
        });
        adapted
            && match &request.destination {
                Destination::Model(name) => {
                    sheet.models.binary_search_by(|it| it.name.cmp(name)).is_ok()
                }
                Destination::Service(name) => {
                    sheet.services.binary_search_by(|it| it.name.cmp(name)).is_ok()
                }
            }
    }

    fn begin(&mut self, now: Instant, call: Key<Call>, target: Key<Target>) {
        let Some(held) = self.calls.get_mut(call) else { return };
        held.target = target;
        held.tried.push(target);
        held.cut = false;
        held.first = None;
        let request = &held.request;
        self.targets.start_request(target, held.flight, held.suspect, &request.prefixes, now);
        let body = Body::new(Kind::RequestAdmitted).request(&request.id).team(&request.team);
        self.events.push(match self.targets.get(target).map(|it| it.id()) {
            Some(Id::Group(id)) => body.group(*id),
            Some(Id::Server(name)) => body.instance(name),
            None => body,
        });
    }

    fn route(&self, call: Key<Call>, connection: u32, resume_from: u64) -> Option<Route> {
        let held = self.calls.get(call)?;
        let target = self.targets.get(held.target)?.id().clone();
        let address = self.address(&target)?;
        Some(Route { call, connection, target, address, resume_from })
    }

    /// The address of rank 0 of a group, or of a server.
    pub(crate) fn address(&self, target: &Id) -> Option<SmolStr> {
        let state = self.reader.state();
        let sheet = state.sheet()?;
        match target {
            Id::Group(id) => {
                let seat = state.group(*id)?.members.first()?;
                let place = sheet.instances.binary_search_by(|it| it.name.cmp(&seat.instance));
                place.ok().map(|place| sheet.instances[place].address.clone())
            }
            Id::Server(name) => {
                let place = sheet.servers.binary_search_by(|it| it.name.cmp(name)).ok()?;
                Some(sheet.servers[place].address.clone())
            }
        }
    }

    /// Notes that a target refused a connection or said that it does not serve.
    ///
    /// After a connection that ended with the request written, this means that the target
    /// crashed. A refusal alone does not: the target may have been stopped.
    fn refused(&mut self, now: Instant, target: Key<Target>, cut: bool) {
        let Some(id) = self.targets.get(target).map(|target| target.id().clone()) else { return };
        let known = self.refusals.get(&id).copied();
        let crashed = self.crashes.get(&id).copied();
        self.refusals.insert(id.clone(), known.map_or(now, |known| known.max(now)));
        if cut && crashed.is_none_or(|at| now.since(at) >= SAME_CRASH) {
            self.crashes.insert(id.clone(), now);
            self.blame(now, target, &id);
        }
        self.sync_targets(now);
    }

    fn blame(&mut self, now: Instant, target: Key<Target>, id: &Id) {
        let flights: Vec<InFlight> = self
            .calls
            .iter()
            .filter(|(_, call)| call.target == target)
            .map(|(_, call)| InFlight {
                fingerprint: call.request.fingerprint,
                suspect: call.suspect,
            })
            .collect();
        let group = match id {
            Id::Group(group) => *group,
            Id::Server(_) => 0,
        };
        for blame in self.quarantine.observe_crash(&flights, now) {
            let text = format_args!("{:032x}", blame.fingerprint);
            self.events.push(Body::new(Kind::CrashBlamed).group(group).text(text));
            let item = Item::Blame(Blame {
                fingerprint: blame.fingerprint,
                observer: blame.observer,
                counter: blame.counter,
            });
            self.gossip.receive(&mut self.peers, &mut self.store, vec![item], now);
            let record = Record::Crash { fingerprint: blame.fingerprint, group };
            self.outbox.push(Purpose::Crash, record);
        }
        self.send_urgent(now);
    }

    fn recover(&mut self, now: Instant, call: Key<Call>, connection: u32, loss: Loss) -> Action {
        let Some(held) = self.calls.get(call) else { return Action::Ignore };
        let (request, mut tried) = (held.request.clone(), held.tried.clone());
        let (attempts, was) = (held.attempts, held.suspect);
        let reachable =
            matches!(loss, Loss::Disconnected | Loss::IdleTimeout | Loss::InvalidAnswer);
        let open = self.targets.get(held.target).is_some_and(|it| it.attributes().available);
        let mut means =
            Alternatives { same_target: reachable && open, other_target: None, retry_budget: true };
        let mut trial = held.stream.clone();
        let suspect = match self.check_quarantine(now, &request) {
            Ok(suspect) => suspect || was,
            Err(error) => return Action::Fail(error),
        };
        if !means.same_target
            || matches!(trial.clone().connection_lost(connection, &means, now), Recovery::Broken(_))
        {
            tried.dedup();
            match self.choose(now, &request, &tried, suspect) {
                Ok(chosen) => means.other_target = Some(chosen.target),
                Err(Error::Overloaded { .. }) if now + SUSPECT_WAIT < request.deadline => {
                    return Action::RetryAfter(SUSPECT_WAIT);
                }
                Err(_) => {}
            }
        }
        if matches!(trial.connection_lost(connection, &means, now), Recovery::Continue { .. }) {
            let ask = retry::Request {
                kind: retry::Kind::Retry,
                idempotent: true,
                written: true,
                attempts,
                deadline: request.deadline,
                expected_duration: EXPECTED,
            };
            means.retry_budget = self.retries.withdraw(&request.team, &ask, now).is_ok();
            if !means.retry_budget {
                let body = Body::new(Kind::RetryBudgetSpent).request(&request.id);
                self.events.push(body.team(&request.team));
            }
        }
        let Some(held) = self.calls.get_mut(call) else { return Action::Ignore };
        held.suspect = suspect;
        match held.stream.connection_lost(connection, &means, now) {
            Recovery::Ignored => Action::Ignore,
            Recovery::Broken(stream::Error::Deadline) => Action::Fail(Error::DeadlineExceeded),
            Recovery::Broken(error) => Action::Fail(Error::Upstream(error)),
            Recovery::Resume { attempt, offset } => {
                let kind = Kind::RequestResumed;
                self.reroute(call, kind, attempt.connection, offset)
            }
            Recovery::Continue { attempt, offset } => {
                held.attempts += 1;
                let (old, flight) = (held.target, held.flight);
                self.targets.finish_request(old, flight, false, now);
                self.begin(now, call, attempt.target);
                let kind = if offset > 0 { Kind::RequestResumed } else { Kind::RequestRetried };
                self.reroute(call, kind, attempt.connection, offset)
            }
        }
    }

    fn reroute(
        &mut self,
        call: Key<Call>,
        kind: Kind,
        connection: u32,
        resume_from: u64,
    ) -> Action {
        let Some(held) = self.calls.get(call) else { return Action::Ignore };
        let body = Body::new(kind).request(&held.request.id).team(&held.request.team);
        self.events.push(body.text(format_args!("{resume_from} tokens received")));
        match self.route(call, connection, resume_from) {
            Some(route) => Action::Connect(route),
            None => Action::Fail(Error::Upstream(stream::Error::NoTarget)),
        }
    }
}

/// The error for a caller that admission refused.
pub(crate) fn refusal(error: limit::Error) -> Error {
    match error {
        limit::Error::UnknownTeam => Error::UnknownTeam,
        limit::Error::Overloaded { retry_after } => Error::Overloaded { retry_after },
        limit::Error::Deadline => Error::DeadlineExceeded,
        limit::Error::TeamCapacity { retry_after } => Error::TeamCapacity { retry_after },
    }
}
