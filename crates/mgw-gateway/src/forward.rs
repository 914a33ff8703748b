//! One request of a caller: admission, placement, attempts at servers, and the answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_event::event::Body;
use mgw_fleet::config::{Config, Holder, Kind, Route};
use mgw_fleet::place::{self, Candidate};
use mgw_fleet::roster::{Id, Phase};
use mgw_fleet::share;
use mgw_http::body::{Decoder, Framing};
use mgw_http::event::Splitter;
use mgw_http::head::{self, Request, Response};
use mgw_http::write;
use mgw_route::quarantine::{self, Verdict};
use mgw_route::retry;
use platform::header;
use rand::Rng;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::clock;
use crate::connection::Connection;
use crate::exchange::{Fault, Outcome};
use crate::flight::{Alarm, Flight, Ticket, Wait};
use crate::gate::{Gate, State};
use crate::pool;
use crate::reply::{self, Cause};

/// Time for a connection to a server.
const CONNECT: Duration = Duration::from_millis(450);

/// Connections to different servers that are tried for one request.
const CONNECTS: usize = 4;

/// How long new requests avoid a server that refused a connection.
const AVOID_REFUSED: Duration = Duration::from_millis(1_000);

/// How long new requests avoid a target that stands still.
pub const AVOID_STALLED: Duration = Duration::from_millis(1_500);

/// Time that is left for the answer to reach the caller before it gives up.
const RETURN: Duration = Duration::from_millis(15);

/// Deadline of requests that state none.
const DEADLINE: Duration = Duration::from_secs(30);

/// The least time that is left for another attempt to be worth while.
const ATTEMPT: Duration = Duration::from_millis(60);

/// Time for the first event of a stream after which another group is asked.
const FIRST_EVENT: Duration = Duration::from_millis(1_300);

/// Time for the next event of a stream after which another group is asked although other streams
/// of the group go on.
const NEXT_EVENT: Duration = Duration::from_millis(1_500);

/// Objectives that a server of a plain service gets before another one is asked.
const PATIENCE: u32 = 2;

/// Longer than any request.
const FOREVER: Duration = Duration::from_secs(86_400);

/// Largest head of a server's answer in bytes.
const HEAD: usize = 32 << 10;

/// Largest body of an answer that is not a stream, in bytes.
const ANSWER: usize = 16 << 20;

/// Answers to other requests that are passed over on one connection.
const FOREIGN: usize = 2;

/// Requests that may wait at a group beyond its slots.
const GROUP_WAITING: f64 = 3.0;

/// Requests that may wait at a plain server, as a multiple of its slots.
const PLAIN_WAITING: f64 = 2.0;

/// Bytes of bodies beyond which new bodies are refused.
pub const HELD: usize = 64 << 20;

/// Whether the caller's connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It may carry another request.
    Keep,
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
struct Job<'a> {
    gate: &'a Gate,
    request: &'a Request,
    body: Bytes,
    caller: header::Caller,
    config: Rc<Config>,
    route: usize,
    service: SmolStr,
    team: Option<SmolStr>,
    /// Rank for servers, 0 first.
    priority: u8,
    arrived: Instant,
    deadline: Instant,
    ticket: Ticket,
    wake: Rc<Notify>,
    tried: Vec<Id>,
    /// Servers that the request was sent to.
    attempts: u32,
    connects: usize,
    /// Whether a server may have run it.
    may_have_run: bool,
    /// Whether any byte of it was sent in the present attempt.
    is_sent: bool,
    /// Whether the next attempt was drawn from the retry budget.
    is_drawn: bool,
    splitter: Splitter,
    /// Whether the head of the answer was passed on.
    is_started: bool,
    /// Whether this is the last request of the caller's connection.
    is_last: bool,
    first_event: Option<Instant>,
    suspect: bool,
    last_target: SmolStr,
    /// Requests that were probably at the last target when it was chosen.
    expected: f64,
    /// What a server answered although another one was to be asked.
    spare: Option<(Response, BytesMut)>,
}

/// Serves a request whose body has arrived.
pub async fn run(
    gate: &Gate,
    connection: &mut Connection,
    request: &Request,
    body: Bytes,
    arrived: Instant,
    is_last: bool,
) -> Ending {
    let caller = header::caller(&request.fields);
    let attempt = caller.attempt.clone();
    match admit(gate, request, body, caller, arrived, is_last) {
        Ok(mut job) => {
            let ending = job.run(connection).await;
            gate.with(|state| state.flights.remove(job.ticket));
            ending
        }
        Err(cause) => refuse(gate, connection, cause, &attempt, is_last).await,
    }
}

/// Sends an answer of the gateway's own.
pub async fn refuse(
    gate: &Gate,
    connection: &mut Connection,
    cause: Cause,
    attempt: &str,
    is_last: bool,
) -> Ending {
    let spread = gate.with(|state| {
        state.metrics.count("refused", cause.name());
        let text = format!("{} {}", cause.status(), cause.name());
        let event = Body::new(EventKind::RequestRefused).request(attempt).text(text);
        state.journal.record(event);
        state.random.random::<f64>()
    });
    let mut output = BytesMut::new();
    reply::write(&mut output, cause, attempt, spread, is_last);
    match connection.write(&output).await {
        Ok(()) if !is_last => Ending::Keep,
        // A broken connection of a caller ends here in any case.
        Ok(()) | Err(_) => Ending::Close,
    }
}

/// Decides whether a request may be served, from the configuration alone.
fn admit<'a>(
    gate: &'a Gate,
    request: &'a Request,
    body: Bytes,
    caller: header::Caller,
    arrived: Instant,
    is_last: bool,
) -> Result<Job<'a>, Cause> {
    let config = gate.config().ok_or(Cause::NoConfig)?;
    let host = request.fields.text("host").ok_or(Cause::Malformed)?;
    let covers = gate.with(|state| state.covers_keys(gate.settings.bounds.revocation, arrived));
    let Some(route) = config.route(host, request.path()) else {
        return Err(if covers { Cause::NoRoute } else { Cause::StaleConfig });
    };
    let place = config.routes().iter().position(|it| std::ptr::eq(it, route)).unwrap_or(0);
    if config.needs_key(route) && !covers {
        return Err(Cause::StaleConfig);
    }
    let (team, rank) = match config.holder(route, caller.key.as_deref()) {
        Holder::Team(team) => (Some(team.name.clone()), team.priority),
        Holder::Anyone => (None, None),
        Holder::Unknown => return Err(Cause::UnknownKey),
    };
    let priority = rank.unwrap_or(route.priority).min(9);
    let whole = caller.deadline.unwrap_or(DEADLINE).min(route.timeout);
    let deadline = arrived + whole.saturating_sub(RETURN);
    if gate.leave.get().is_some_and(|leave| !leave.takes(deadline, arrived)) {
        return Err(Cause::Leaving);
    }
    let who = team.clone().or(caller.key.clone()).unwrap_or_default();
    let fingerprint = quarantine::fingerprint(&who, request.target(), &body);
    let wake = Rc::new(Notify::new());
    let (service, suspect, ticket) = gate.with(|state| {
        let suspect = match state.quarantine.check(fingerprint, arrived) {
            Verdict::Clear => false,
            Verdict::Suspect => true,
            Verdict::Quarantined { .. } => return Err(Cause::Quarantined),
        };
        let service = draw_service(&route.services, state);
        if let Some(work) = instance_seconds(&config, &service, &caller) {
            let key = (service.clone(), caller.model.clone().unwrap_or_default());
            *state.asked.entry(key, || 0.0) += work;
        }
        let ticket = state.flights.insert(Flight {
            deadline,
            target: None,
            wait: Wait::Nothing,
            progress: arrived,
            patience: FOREVER,
            alarm: None,
            wake: Rc::clone(&wake),
            fingerprint,
            is_suspect: suspect,
        });
        Ok((service, suspect, ticket))
    })?;
    Ok(Job {
        gate,
        request,
        body,
        caller,
        config: Rc::clone(&config),
        route: place,
        service,
        team,
        priority,
        arrived,
        deadline,
        ticket,
        wake,
        tried: Vec::new(),
        attempts: 0,
        connects: 0,
        may_have_run: false,
        is_sent: false,
        is_drawn: false,
        splitter: Splitter::default(),
        is_started: false,
        is_last,
        first_event: None,
        suspect,
        last_target: SmolStr::default(),
        expected: 0.0,
        spare: None,
    })
}

/// Time that a request takes of the instances of a group.
fn instance_seconds(config: &Config, service: &str, caller: &header::Caller) -> Option<f64> {
    let engine = config.services.get(&SmolStr::new(service))?.engine.as_ref()?;
    let model = engine.model(caller.model.as_deref()?)?;
    let (prompt, answer) = caller.work()?;
    Some(engine.work(model, prompt, answer) * model.size as f64)
}

fn draw_service(services: &[(SmolStr, u32)], state: &mut State) -> SmolStr {
    let total: u32 = services.iter().map(|(_, weight)| weight).sum();
    let mut point = if total > 0 { state.random.random_range(0..total) } else { 0 };
    for (service, weight) in services {
        match point.checked_sub(*weight) {
            Some(rest) => point = rest,
            None => return service.clone(),
        }
    }
    services.first().map(|(service, _)| service.clone()).unwrap_or_default()
}

impl Job<'_> {
    fn route(&self) -> &Route {
        &self.config.routes()[self.route]
    }

    async fn run(&mut self, caller: &mut Connection) -> Ending {
        loop {
            let target = match self.place() {
                Ok(target) => target,
                Err(cause) => return self.give_up(caller, cause).await,
            };
            self.last_target = target.name.clone();
            self.expected = target.requests;
            match self.attempt(caller, &target).await {
                Ok(Outcome::Streamed) => {
                    self.finish("streamed", 200);
                    return self.ending();
                }
                Ok(Outcome::Answer(response, body)) => {
                    let is_worth_retry = response.status >= 500
                        && response.status != 504
                        && self.route().kind == Kind::Idempotent;
                    self.may_have_run = true;
                    if is_worth_retry && self.may_retry(Fault::Broken) {
                        self.spare = Some((response, body));
                        continue;
                    }
                    return self.deliver(caller, response, body).await;
                }
                Err(Fault::CallerGone) => {
                    self.log(EventKind::RequestBroken, "caller left");
                    self.gate.count("requests", "caller_left");
                    return Ending::Close;
                }
                Err(fault) => {
                    self.note_fault(&target, fault);
                    if !self.may_retry(fault) {
                        let cause = self.cause(fault);
                        return self.give_up(caller, cause).await;
                    }
                    let text = format!("{fault} at {}", target.name);
                    let kind = match self.is_started {
                        true => EventKind::RequestResumed,
                        false => EventKind::RequestRetried,
                    };
                    self.log(kind, &text);
                }
            }
        }
    }

    /// Chooses a server.
    fn place(&self) -> Result<Target, Cause> {
        let now = clock::now();
        let gate = self.gate;
        gate.with(|state| {
            let groups = state.groups();
            let Some(service) = self.config.services.get(&self.service) else {
                return Err(Cause::NoTarget);
            };
            let suspects = |id: Id| {
                self.suspect
                    && state
                        .flights
                        .at(id)
                        .any(|it| it.is_suspect && it.fingerprint != 0 && it.target == Some(id))
            };
            let shares = Some(&state.shares).filter(|shares| !shares.is_empty());
            let told = |id: &str| shares.map(|it| it.requests(share::target(id)));
            let mut candidates: Vec<Candidate<'_>> = Vec::new();
            let mut add = |id: Id, slots: u32| {
                let Some(server) = state.roster.get(id) else { return };
                if !suspects(id) {
                    candidates.push(Candidate {
                        id,
                        load: &server.load,
                        requests: server.load.requests(told(&server.id), now),
                        slots,
                        is_near: server.record.zone == gate.settings.zone,
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
                    GROUP_WAITING
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
                    f64::from(slots) * PLAIN_WAITING
                }
            };
            let options = place::Options { waiting, ..place::Options::default() };
            let chosen = place::choose(&candidates, &options, now, &mut state.random);
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

    /// Sends the request to `target` and takes the answer.
    async fn attempt(
        &mut self,
        caller: &mut Connection,
        target: &Target,
    ) -> Result<Outcome, Fault> {
        self.gate.with(|state| {
            if let Some(load) = state.roster.load_mut(target.id) {
                load.in_flight += 1;
            }
        });
        self.tried.push(target.id);
        self.is_sent = false;
        let result = self.exchange(caller, target).await;
        self.watch(None, Wait::Nothing, FOREVER);
        self.gate.with(|state| {
            if let Some(load) = state.roster.load_mut(target.id) {
                load.in_flight = load.in_flight.saturating_sub(1);
            }
        });
        result
    }

    async fn exchange(
        &mut self,
        caller: &mut Connection,
        target: &Target,
    ) -> Result<Outcome, Fault> {
        let mut connection = self.connect(caller, target).await?;
        self.attempts += 1;
        let now = clock::now();
        let is_first = self.attempts == 1;
        self.gate.with(|state| {
            if is_first {
                state.retries.request(&self.service, now);
            }
        });
        let patience = match self.route().kind {
            Kind::Single | Kind::Stream => FOREVER,
            Kind::Idempotent => (self.route().objective * PATIENCE).max(ATTEMPT),
            Kind::Resumable => FIRST_EVENT,
        };
        self.watch(Some(target.id), Wait::Answer, patience);
        let output = self.encode(target, now);
        let is_sent = self.send(caller, &mut connection, &output).await?;
        let (response, answer) = self.response(caller, &mut connection).await?;
        self.gate.with(|state| {
            let now = clock::now();
            let Some(load) = state.roster.load_mut(target.id) else { return };
            load.trust();
            if let Some(requests) = answer.requests {
                load.report(requests, now);
            }
            let is_failure = answer.is_not_run || response.status >= 500;
            load.result(is_failure, now);
        });
        if answer.is_not_run {
            let status = response.status;
            self.drain(connection, target, &response, is_sent).await;
            return Err(Fault::NotRun { status });
        }
        let is_stream = response.is_success() && self.route().kind.is_stream();
        match is_stream {
            true => self.stream(caller, connection, target, response, is_sent).await,
            false => self.whole(caller, connection, target, response, is_sent).await,
        }
    }

    async fn connect(
        &mut self,
        caller: &mut Connection,
        target: &Target,
    ) -> Result<Connection, Fault> {
        let now = clock::now();
        if let Some(connection) = self.gate.with(|state| state.pool.take(target.id, now)) {
            return Ok(connection);
        }
        self.gate.count("connections", "opened");
        let connecting = Connection::connect(target.address, CONNECT);
        self.wait(caller, connecting).await?.map_err(|_| Fault::Connect)
    }

    fn encode(&self, target: &Target, now: Instant) -> BytesMut {
        let mut output = BytesMut::with_capacity(1_024 + self.body.len());
        let left = Duration::from_micros(self.deadline.as_micros().saturating_sub(now.as_micros()));
        let forward = header::Forward {
            deadline: left,
            server: &target.name,
            team: self.team.as_deref(),
            last_event: self.splitter.last().or(self.caller.last_event),
            priority: Some(self.priority),
            length: self.body.len(),
        };
        header::forward(&mut output, self.request, &forward);
        output.extend_from_slice(&self.body);
        output
    }

    async fn send(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
        output: &[u8],
    ) -> Result<bool, Fault> {
        self.is_sent = true;
        self.wait(caller, connection.send(output)).await?.map_err(|_| Fault::Broken)
    }

    /// The head of the answer to this request; answers to others are passed over.
    async fn response(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
    ) -> Result<(Response, header::Answer), Fault> {
        for _ in 0..=FOREIGN {
            let response = loop {
                match head::response(&mut connection.input, HEAD) {
                    Ok(Some(response)) if response.status >= 200 => break response,
                    Ok(Some(_)) => {}
                    Ok(None) => self.read(caller, connection).await?,
                    Err(_) => return Err(Fault::Malformed),
                }
            };
            let answer = header::answer(&response);
            match &answer.attempt {
                Some(attempt) if *attempt != self.caller.attempt => {
                    self.log(EventKind::AnswerDiscarded, &format!("answer to {attempt}"));
                    let mut decoder = Decoder::new(response.framing);
                    if response.framing == Framing::Close {
                        return Err(Fault::Malformed);
                    }
                    let mut dropped = BytesMut::new();
                    while !decoder.is_done() {
                        decoder
                            .decode(&mut connection.input, &mut dropped)
                            .map_err(|_| Fault::Malformed)?;
                        dropped.clear();
                        if !decoder.is_done() {
                            self.read(caller, connection).await?;
                        }
                    }
                }
                _ => return Ok((response, answer)),
            }
        }
        Err(Fault::Malformed)
    }

    /// Reads more of an answer; the end of the connection is a fault.
    async fn read(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
    ) -> Result<(), Fault> {
        match self.wait(caller, connection.read()).await? {
            Ok(0) | Err(_) => Err(Fault::Broken),
            Ok(_) => Ok(()),
        }
    }

    /// Takes a whole answer that is not a stream.
    async fn whole(
        &mut self,
        caller: &mut Connection,
        mut connection: Connection,
        target: &Target,
        response: Response,
        is_sent: bool,
    ) -> Result<Outcome, Fault> {
        let framing = match self.request.method() {
            "HEAD" => Framing::Length(0),
            _ => response.framing,
        };
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            decoder.decode(&mut connection.input, &mut body).map_err(|_| Fault::Malformed)?;
            if decoder.is_done() {
                break;
            }
            if body.len() > ANSWER {
                return Err(Fault::Malformed);
            }
            match self.wait(caller, connection.read()).await? {
                Ok(0) => decoder.end().map_err(|_| Fault::Broken)?,
                Ok(_) => {}
                Err(_) => return Err(Fault::Broken),
            }
        }
        self.keep(connection, target, &response, is_sent);
        Ok(Outcome::Answer(response, body))
    }

    /// Passes a stream on as it arrives.
    async fn stream(
        &mut self,
        caller: &mut Connection,
        mut connection: Connection,
        target: &Target,
        response: Response,
        is_sent: bool,
    ) -> Result<Outcome, Fault> {
        let mut decoder = Decoder::new(response.framing);
        let mut body = BytesMut::new();
        let mut output = BytesMut::new();
        loop {
            decoder.decode(&mut connection.input, &mut body).map_err(|_| Fault::Malformed)?;
            let mut events = BytesMut::new();
            self.splitter.push(&mut body, &mut events);
            if decoder.is_done() && response.framing == Framing::Close && self.splitter.is_partial()
            {
                return Err(Fault::Broken);
            }
            if decoder.is_done() {
                events.unsplit(self.splitter.take_partial());
            }
            if !events.is_empty() || decoder.is_done() {
                self.pass(&mut output, &response, &events, decoder.is_done());
                let written = self.write(caller, &output).await;
                output.clear();
                written?;
                self.progress(target.id);
            }
            if decoder.is_done() {
                self.keep(connection, target, &response, is_sent);
                return Ok(Outcome::Streamed);
            }
            match self.wait(caller, connection.read()).await? {
                Ok(0) => decoder.end().map_err(|_| Fault::Broken)?,
                Ok(_) => {}
                Err(_) => return Err(Fault::Broken),
            }
        }
    }

    /// Appends events for the caller, with the head of the answer before the first ones.
    fn pass(&mut self, output: &mut BytesMut, response: &Response, events: &[u8], is_end: bool) {
        let is_chunked = self.request.is_current;
        if !self.is_started {
            self.is_started = true;
            self.first_event = Some(clock::now());
            self.write_head(output, response, None);
        }
        match is_chunked {
            true => write::chunk(output, events),
            false => output.extend_from_slice(events),
        }
        if is_end && is_chunked {
            output.extend_from_slice(write::LAST_CHUNK);
        }
    }

    async fn write(&mut self, caller: &mut Connection, output: &[u8]) -> Result<(), Fault> {
        let wake = Rc::clone(&self.wake);
        let deadline = self.deadline;
        tokio::select! {
            biased;
            written = caller.write(output) => written.map_err(|_| Fault::CallerGone),
            () = async {
                loop {
                    wake.notified().await;
                    if clock::now() >= deadline {
                        return;
                    }
                }
            } => Err(Fault::Deadline),
        }
    }

    /// Appends the head of a server's answer; without a length the body is chunked.
    fn write_head(&self, output: &mut BytesMut, response: &Response, length: Option<usize>) {
        write::status(output, response.status);
        let fields = response.fields.iter().filter(|(name, _)| header::is_passed_back(name));
        fields.for_each(|(name, value)| write::field(output, name, value));
        match length {
            Some(length) => write::number_field(output, "Content-Length", length as u64),
            None if self.request.is_current => {
                write::field(output, b"Transfer-Encoding", b"chunked");
            }
            None => {}
        }
        if self.ending() == Ending::Close {
            write::field(output, b"Connection", b"close");
        }
        output.extend_from_slice(b"\r\n");
    }

    fn ending(&self) -> Ending {
        match self.is_last || !self.request.is_current {
            true => Ending::Close,
            false => Ending::Keep,
        }
    }

    /// Passes a whole answer on.
    async fn deliver(
        &mut self,
        caller: &mut Connection,
        response: Response,
        body: BytesMut,
    ) -> Ending {
        let mut output = BytesMut::with_capacity(512 + body.len());
        self.write_head(&mut output, &response, Some(body.len()));
        output.extend_from_slice(&body);
        self.is_started = true;
        self.first_event = Some(clock::now());
        let written = self.write(caller, &output).await;
        let label = if response.is_success() { "answered" } else { "server_error" };
        self.finish(label, response.status);
        match written {
            Ok(()) => self.ending(),
            Err(_) => Ending::Close,
        }
    }

    /// Ends a request that no server answered.
    async fn give_up(&mut self, caller: &mut Connection, cause: Cause) -> Ending {
        if let Some((response, body)) = self.spare.take() {
            return self.deliver(caller, response, body).await;
        }
        if self.is_started {
            self.log(EventKind::RequestBroken, cause.name());
            self.gate.count("requests", "cut");
            return Ending::Close;
        }
        let kind = match self.may_have_run {
            true => EventKind::RequestBroken,
            false => EventKind::RequestRefused,
        };
        self.log(kind, cause.name());
        let spread = self.gate.with(|state| {
            state.metrics.count("refused", cause.name());
            state.random.random::<f64>()
        });
        let mut output = BytesMut::new();
        reply::write(
            &mut output,
            cause,
            &self.caller.attempt,
            spread,
            self.ending() == Ending::Close,
        );
        match self.write(caller, &output).await {
            Ok(()) => self.ending(),
            Err(_) => Ending::Close,
        }
    }

    /// What the caller is told of a last fault.
    fn cause(&self, fault: Fault) -> Cause {
        match fault {
            Fault::Deadline if self.may_have_run => Cause::Timeout,
            Fault::Deadline => Cause::TooLate,
            _ if self.may_have_run => Cause::ServerFailed,
            _ => Cause::Refused,
        }
    }

    /// Takes note of a fault of a server.
    fn note_fault(&mut self, target: &Target, fault: Fault) {
        self.may_have_run |= self.is_sent && fault.may_have_run();
        let now = clock::now();
        self.splitter.drop_partial();
        self.gate.with(|state| {
            if matches!(fault, Fault::Connect | Fault::Broken) {
                state.pool.drop_server(target.id);
            }
            let Some(load) = state.roster.load_mut(target.id) else { return };
            match fault {
                Fault::Connect => load.avoid(now + AVOID_REFUSED),
                Fault::Broken | Fault::Malformed => load.result(true, now),
                Fault::NotRun { status: 421 } => load.avoid(now + AVOID_REFUSED),
                _ => {}
            }
        });
    }

    /// Whether the request goes to another server after `fault`; draws from the retry budget.
    fn may_retry(&mut self, fault: Fault) -> bool {
        let now = clock::now();
        let is_repeatable = self.route().kind.is_repeatable() || !self.may_have_run;
        if !fault.is_servers() || !is_repeatable || now + ATTEMPT >= self.deadline {
            return false;
        }
        if fault == Fault::Connect {
            self.connects += 1;
            return self.connects < CONNECTS;
        }
        if self.attempts >= self.route().attempts || self.place().is_err() {
            return false;
        }
        std::mem::take(&mut self.is_drawn) || self.draw(now)
    }

    fn draw(&mut self, now: Instant) -> bool {
        let ask = retry::Ask {
            kind: retry::Kind::Retry,
            idempotent: true,
            written: false,
            attempts: self.attempts,
            deadline: self.deadline,
            expected: ATTEMPT,
        };
        let drawn = self.gate.with(|state| state.retries.draw(&self.service, &ask, now));
        if let Err(error) = &drawn {
            self.log(EventKind::RetryBudgetSpent, &error.to_string());
        }
        drawn.is_ok()
    }

    /// Waits for `work`, the caller's leaving or an alarm.
    async fn wait<T, F>(&mut self, caller: &mut Connection, work: F) -> Result<T, Fault>
    where
        F: Future<Output = T>,
    {
        tokio::pin!(work);
        let wake = Rc::clone(&self.wake);
        loop {
            tokio::select! {
                biased;
                result = &mut work => return Ok(result),
                () = caller.closed() => return Err(Fault::CallerGone),
                () = wake.notified() => {
                    if let Some(fault) = self.take_alarm() {
                        return Err(fault);
                    }
                }
            }
        }
    }

    /// The fault that an alarm means. A request at a target that stands still stays there unless it
    /// can go on elsewhere.
    fn take_alarm(&mut self) -> Option<Fault> {
        let now = clock::now();
        let alarm = self.gate.with(|state| {
            let flight = state.flights.get_mut(self.ticket)?;
            flight.progress = now;
            flight.alarm.take()
        })?;
        match alarm {
            Alarm::Deadline => Some(Fault::Deadline),
            Alarm::Stalled => {
                let may_move = self.route().kind.is_repeatable()
                    && self.attempts < self.route().attempts
                    && now + ATTEMPT < self.deadline
                    && self.place().is_ok()
                    && self.draw(now);
                self.is_drawn = may_move;
                may_move.then_some(Fault::Stalled)
            }
        }
    }

    fn watch(&self, target: Option<Id>, wait: Wait, patience: Duration) {
        let now = clock::now();
        self.gate.with(|state| {
            let Some(flight) = state.flights.get_mut(self.ticket) else { return };
            flight.target = target;
            flight.wait = wait;
            flight.patience = patience;
            flight.progress = now;
        });
    }

    fn progress(&self, target: Id) {
        let patience = match self.route().kind {
            Kind::Resumable => NEXT_EVENT,
            _ => FOREVER,
        };
        self.watch(Some(target), Wait::Event, patience);
    }

    /// Keeps the connection of a finished exchange if it is sound.
    fn keep(&self, connection: Connection, target: &Target, response: &Response, is_sent: bool) {
        let is_sound = is_sent && response.keeps_alive() && connection.input.is_empty();
        if is_sound {
            let timeout = pool::keep_alive(response);
            let now = clock::now();
            self.gate.with(|state| state.pool.keep(target.id, connection, timeout, now));
        }
    }

    /// Takes the rest of a refusal that has arrived, so that the connection can be kept.
    async fn drain(
        &self,
        mut connection: Connection,
        target: &Target,
        response: &Response,
        is_sent: bool,
    ) {
        let mut decoder = Decoder::new(response.framing);
        let mut dropped = BytesMut::new();
        let decoded = decoder.decode(&mut connection.input, &mut dropped);
        if decoded.is_ok() && decoder.is_done() {
            self.keep(connection, target, response, is_sent);
        }
    }

    fn finish(&self, label: &'static str, status: u16) {
        let now = clock::now();
        let whole = now.since(self.arrived);
        let first = self.first_event.map_or(whole, |at| at.since(self.arrived));
        self.gate.with(|state| {
            state.metrics.count("requests", label);
            state.metrics.latency("first_byte", first);
            state.metrics.latency("answer", whole);
        });
        let text = format!(
            "{label} {status}, first byte {} ms, end {} ms",
            first.as_millis(),
            whole.as_millis()
        );
        self.log(EventKind::RequestCompleted, &text);
    }

    fn log(&self, kind: EventKind, text: &str) {
        let now = clock::now();
        let age = now.since(self.arrived).as_millis();
        let route = &self.route().name;
        self.gate.with(|state| {
            let proof = state.proof.age(now).map_or(0, |age| age.as_millis());
            let text = format!(
                "{text}; route {route}, config {} of {proof} ms ago, attempt {}, \
                 load {:.1}, {age} ms",
                self.config.version, self.attempts, self.expected
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
