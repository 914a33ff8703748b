//! Model calls as an entry carries them: the connections that its node asks for.

use mgw_base::arena::Key;
use mgw_entry::call::{self, Action, Loss, Route};
use mgw_route::select::{Destination, Id};
use mgw_route::stream::{Chunk, Completion, Discard, Disposition};
use smol_str::format_smolstr;

use super::engine::Job;
use super::entry::Ref;
use super::link::Party;
use super::{MILLI, Micros, World};

/// A model call at an entry.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    key: Key<call::Call>,
    pub(crate) call: usize,
    attempt: u32,
    pub(crate) connection: u32,
    /// The engine and the request there.
    job: Option<(usize, u64)>,
    /// When the last byte came.
    heard: Micros,
    /// Whether a byte came on this connection.
    first: bool,
    /// The connection stays open, but nothing arrives on it any more.
    pub(crate) mute: bool,
    /// Tokens that were passed on.
    sent: u64,
    /// When the last byte reaches the caller.
    arrival: Micros,
}

impl World {
    /// A caller's request arrives at an entry.
    pub(crate) fn take_call(&mut self, who: Ref, call: usize, attempt: u32) {
        let it = &self.calls[call];
        let (deadline, total) = (it.deadline, it.ask.tokens);
        let request = call::Request {
            id: format_smolstr!("r{call}"),
            team: it.ask.team.clone(),
            destination: Destination::Model(it.ask.model.clone()),
            adapter: None,
            priority: it.ask.priority,
            tokens: (it.ask.prompt + total) as u32,
            deadline: self.local(who, deadline),
            fingerprint: it.fingerprint(),
            prefixes: if it.ask.prefix == 0 { Vec::new() } else { vec![it.ask.prefix] },
        };
        match self.drive(who, |node, now| node.open_call(now, request)) {
            None => {}
            Some(Err(error)) => self.answer_call(who, call, attempt, error_code(&error)),
            Some(Ok(route)) => {
                let number = self.number();
                let now = self.now;
                let flight = Flight {
                    key: route.call,
                    call,
                    attempt,
                    connection: 0,
                    job: None,
                    heard: now,
                    first: false,
                    mute: false,
                    sent: 0,
                    arrival: 0,
                };
                if let Some(process) = self.process_mut(who) {
                    process.flights.insert(number, flight);
                }
                self.inbound(deadline, who, move |world, who| {
                    world.break_flight(who, number, "deadline_exceeded");
                });
                self.connect(who, number, &route);
            }
        }
    }

    fn flight(&self, who: Ref, number: u64) -> Option<&Flight> {
        self.process(who)?.flights.get(&number)
    }

    fn flight_mut(&mut self, who: Ref, number: u64) -> Option<&mut Flight> {
        self.process_mut(who)?.flights.get_mut(&number)
    }

    fn connect(&mut self, who: Ref, number: u64, route: &Route) {
        let now = self.now;
        let connection = route.connection;
        let Some(flight) = self.flight_mut(who, number) else { return };
        flight.connection = connection;
        flight.job = None;
        flight.heard = now;
        flight.first = false;
        flight.mute = false;
        let call = flight.call;
        let (Some(Party::Engine(place)), Id::Group(group)) =
            (self.address(&route.address), route.target.clone())
        else {
            return;
        };
        self.judge_route(who, group, call, connection == 0);
        let (from, to) = (Party::Entry(who.entry), Party::Engine(place));
        let job_number = self.number();
        let it = &self.calls[call];
        let mut job = Job::new(job_number, who, number, connection);
        job.request = format_smolstr!("r{call}");
        job.tag = call as u64;
        job.next = route.resume_from;
        job.total = it.ask.tokens;
        job.prompt = it.ask.prompt;
        job.prefix = it.ask.prefix;
        job.priority = it.ask.priority;
        job.poison = it.ask.poison;
        self.watch(who, number, connection);
        let Some(delay) = self.delay(from, to) else {
            let connect = self.options.entry.connect;
            self.inbound(now + connect, who, move |world, who| {
                world.lose(who, number, connection, Loss::Refused);
            });
            return;
        };
        let back = self.delay(to, from).unwrap_or(delay);
        self.after(delay + back + delay, move |world| {
            if !world.engines[place].alive {
                let at = world.now + back;
                world.inbound(at, who, move |world, who| {
                    world.lose(who, number, connection, Loss::Refused);
                });
                return;
            }
            if world.process(who).is_none() {
                return;
            }
            if !world.arrive_job(place, group, job) {
                let at = world.now + back;
                world.inbound(at, who, move |world, who| {
                    world.lose(who, number, connection, Loss::Unavailable);
                });
                return;
            }
            let open = world.flight(who, number).is_some_and(|it| it.connection == connection);
            match open {
                true => {
                    if let Some(flight) = world.flight_mut(who, number) {
                        flight.job = Some((place, job_number));
                    }
                }
                false => world.cancel_job(place, job_number),
            }
        });
    }

    /// Ends a connection on which nothing comes for too long.
    fn watch(&mut self, who: Ref, number: u64, connection: u32) {
        let Some(flight) = self.flight(who, number) else { return };
        let options = self.options.entry;
        let bound = if flight.first { options.idle } else { options.first };
        let at = flight.heard + bound;
        if self.now >= at {
            self.lose(who, number, connection, Loss::IdleTimeout);
            return;
        }
        let next = at.min(self.now + options.idle);
        self.inbound(next, who, move |world, who| {
            let current = world.flight(who, number).is_some_and(|it| it.connection == connection);
            if current {
                world.watch(who, number, connection);
            }
        });
    }

    /// A connection is lost for the entry.
    pub(crate) fn lose(&mut self, who: Ref, number: u64, connection: u32, loss: Loss) {
        let Some(flight) = self.flight_mut(who, number) else { return };
        if flight.connection != connection {
            return;
        }
        let key = flight.key;
        if let Some((place, job)) = flight.job.take() {
            self.cancel_job(place, job);
        }
        let next = self.drive(who, |node, now| node.connection_lost(now, key, connection, loss));
        if let Some(next) = next {
            self.go_on(who, number, next);
        }
    }

    fn go_on(&mut self, who: Ref, number: u64, next: Action) {
        match next {
            Action::Connect(route) => self.connect(who, number, &route),
            Action::RetryAfter(time) => {
                let at = self.now + time.as_micros() as Micros;
                self.inbound(at, who, move |world, who| {
                    let Some(flight) = world.flight(who, number) else { return };
                    let key = flight.key;
                    let next = world.drive(who, |node, now| node.retry_call(now, key));
                    if let Some(next) = next {
                        world.go_on(who, number, next);
                    }
                });
            }
            Action::Fail(error) => self.break_flight(who, number, error_code(&error)),
            Action::Ignore => {}
        }
    }

    fn break_flight(&mut self, who: Ref, number: u64, code: &'static str) {
        let Some(process) = self.process_mut(who) else { return };
        let Some(flight) = process.flights.remove(&number) else { return };
        if let Some((place, job)) = flight.job {
            self.cancel_job(place, job);
        }
        let tokens = flight.sent as u32;
        self.drive(who, |node, now| node.close_call(now, flight.key, false, tokens));
        let code = if flight.sent > 0 { "stream_broken" } else { code };
        self.answer_call(who, flight.call, flight.attempt, code);
    }

    /// The caller went away.
    pub(crate) fn hang_up(&mut self, who: Ref, call: usize, attempt: u32) {
        let Some(process) = self.process(who) else { return };
        let found = process
            .flights
            .iter()
            .find(|(_, it)| it.call == call && it.attempt == attempt)
            .map(|(number, _)| *number);
        let Some(number) = found else { return };
        let Some(flight) = self.process_mut(who).and_then(|it| it.flights.remove(&number)) else {
            return;
        };
        if let Some((place, job)) = flight.job {
            self.cancel_job(place, job);
        }
        let tokens = flight.sent as u32;
        self.drive(who, |node, now| node.close_call(now, flight.key, false, tokens));
    }

    /// The entry that held a request at an engine has ended.
    pub(crate) fn drop_job(&mut self, who: Ref, flight: &Flight) {
        if let Some((place, job)) = flight.job {
            let delay = self.delay(Party::Entry(who.entry), Party::Engine(place));
            if let Some(delay) = delay {
                self.after(delay, move |world| world.cancel_job(place, job));
            }
        }
    }

    /// An engine ends the connection of a request.
    pub(crate) fn cut_job(&mut self, place: usize, job: &Job) {
        let (who, number, connection) = (job.who, job.flight, job.connection);
        let Some(delay) = self.delay(Party::Engine(place), Party::Entry(who.entry)) else { return };
        let at = self.now + delay;
        self.inbound(at, who, move |world, who| {
            let heard = world.flight(who, number).is_some_and(|it| !it.mute);
            if heard {
                world.lose(who, number, connection, Loss::Disconnected);
            }
        });
    }

    pub(crate) fn send_piece(
        &mut self,
        place: usize,
        job: u64,
        from: u64,
        tokens: u64,
        extra: Micros,
    ) {
        let Some(it) = self.engines[place].jobs.iter().find(|it| it.number == job) else { return };
        let (request, tag) = (it.request.clone(), it.tag);
        self.send_text(place, job, (request, tag), (from, tokens), extra);
    }

    /// Sends the text and id of another request, or of one that does not exist.
    pub(crate) fn send_crossed(&mut self, place: usize, job: u64, from: u64, tokens: u64) {
        let other = self.engines[place].jobs.iter().find(|it| it.number != job);
        let (request, tag) =
            other.map_or(("r-other".into(), u64::MAX), |it| (it.request.clone(), it.tag));
        self.send_text(place, job, (request, tag), (from, tokens), 0);
    }

    fn send_text(
        &mut self,
        place: usize,
        job: u64,
        (request, tag): (smol_str::SmolStr, u64),
        (offset, tokens): (u64, u64),
        extra: Micros,
    ) {
        let Some(it) = self.engines[place].jobs.iter().find(|it| it.number == job) else { return };
        let (who, number, connection) = (it.who, it.flight, it.connection);
        let Some(at) = self.arrival(place, job, extra) else { return };
        self.inbound(at, who, move |world, who| {
            let now = world.now;
            let Some(flight) = world.flight_mut(who, number) else { return };
            if flight.mute {
                return;
            }
            let key = flight.key;
            if flight.connection == connection {
                flight.heard = now;
                flight.first = true;
            }
            let reception = world.drive(who, |node, now| {
                node.receive_chunk(
                    now,
                    key,
                    &Chunk { connection, request: &request, offset, tokens },
                )
            });
            match reception {
                Some(Disposition::Forward { skip }) => {
                    world.forward(who, number, tag, offset + skip, tokens - skip);
                }
                Some(Disposition::Gap | Disposition::Discard(Discard::Crossed)) => {
                    world.lose(who, number, connection, Loss::InvalidAnswer);
                }
                Some(Disposition::Discard(_)) | None => {}
            }
        });
    }

    pub(crate) fn send_end(&mut self, place: usize, job: u64) {
        let Some(it) = self.engines[place].jobs.iter().find(|it| it.number == job) else { return };
        let (who, number, connection) = (it.who, it.flight, it.connection);
        let (request, total) = (it.request.clone(), it.total);
        let Some(at) = self.arrival(place, job, 0) else { return };
        self.inbound(at, who, move |world, who| {
            let Some(flight) = world.flight(who, number) else { return };
            if flight.mute {
                return;
            }
            let key = flight.key;
            let end = world
                .drive(who, |node, _| node.finish_answer(key, connection, &request, Some(total)));
            match end {
                Some(Completion::Complete) => world.complete(who, number),
                Some(Completion::Truncated | Completion::Discard(Discard::Crossed)) => {
                    world.lose(who, number, connection, Loss::InvalidAnswer);
                }
                Some(Completion::Discard(_)) | None => {}
            }
        });
    }

    fn complete(&mut self, who: Ref, number: u64) {
        let Some(process) = self.process_mut(who) else { return };
        let Some(flight) = process.flights.remove(&number) else { return };
        let tokens = flight.sent as u32;
        self.drive(who, |node, now| node.close_call(now, flight.key, true, tokens));
        let zone = self.calls[flight.call].zone;
        let Some(delay) = self.delay(Party::Entry(who.entry), Party::Caller(zone)) else { return };
        let at = (self.now + delay).max(flight.arrival);
        self.at(at, move |world| world.take_done(flight.call, flight.attempt));
    }

    fn forward(&mut self, who: Ref, number: u64, tag: u64, from: u64, tokens: u64) {
        let Some(flight) = self.flight(who, number) else { return };
        let (call, attempt) = (flight.call, flight.attempt);
        let zone = self.calls[call].zone;
        let delay = self.delay(Party::Entry(who.entry), Party::Caller(zone));
        let now = self.now;
        let Some(flight) = self.flight_mut(who, number) else { return };
        flight.sent += tokens;
        let Some(delay) = delay else { return };
        flight.arrival = flight.arrival.max(now + delay);
        let at = flight.arrival;
        self.at(at, move |world| world.take_text(call, attempt, tag, from, tokens));
    }

    fn answer_call(&mut self, who: Ref, call: usize, attempt: u32, code: &'static str) {
        let zone = self.calls[call].zone;
        let Some(delay) = self.delay(Party::Entry(who.entry), Party::Caller(zone)) else { return };
        // Behind all text that was passed on.
        let at = self.now + delay + MILLI;
        let entry = who.entry;
        self.at(at, move |world| world.take_error(call, attempt, entry, code));
    }

    /// Makes the open connections between an entry and an engine silent.
    pub fn silence(&mut self, entry: usize, engine: usize) {
        self.note("world", format!("connections of entry {entry} to engine {engine} are silent"));
        let Some(process) = &mut self.entries[entry].process else { return };
        for (_, flight) in process.flights.iter_mut() {
            if flight.job.is_some_and(|(place, _)| place == engine) {
                flight.mute = true;
            }
        }
    }
}

fn error_code(error: &call::Error) -> &'static str {
    match error {
        call::Error::Phase => "draining",
        call::Error::Team => "unauthorized",
        call::Error::Unknown => "unknown_model",
        call::Error::Closed { .. } => "no_complete_group",
        call::Error::Quarantined { .. } => "request_quarantined",
        call::Error::Capacity { .. } => "team_over_capacity",
        call::Error::Overloaded { .. } => "overloaded",
        call::Error::Deadline => "deadline_exceeded",
        call::Error::Upstream(_) => "upstream_failed",
    }
}
