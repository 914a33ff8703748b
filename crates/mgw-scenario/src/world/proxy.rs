//! Model calls proxied by an entry: opens the engine connections that its node requests and
//! forwards the answers to the callers.

use mgw_base::arena::Key;
use mgw_entry::call::{self, Action, Loss, Route};
use mgw_route::select::{Destination, Id};
use mgw_route::stream::{Chunk, Completion, Discard, Disposition};
use smol_str::format_smolstr;

use super::engine::Job;
use super::entry::ProcessId;
use super::link::Party;
use super::{MILLISECOND, Micros, World};

/// A model call in progress at an entry.
#[derive(Clone, Debug)]
pub(crate) struct ProxiedCall {
    key: Key<call::Call>,
    pub(crate) call: usize,
    attempt: u32,
    pub(crate) connection: u32,
    /// Index of the engine and id of the job there.
    job: Option<(usize, u64)>,
    /// Time of the last byte on this connection, or of its opening.
    last_received: Micros,
    /// Whether a byte was received on this connection.
    received_first_byte: bool,
    /// Injected fault: the connection stays open, but nothing more arrives on it.
    pub(crate) silenced: bool,
    /// Tokens forwarded to the caller.
    forwarded: u64,
    /// Time at which the last forwarded byte reaches the caller.
    caller_arrival: Micros,
}

impl World {
    /// Handles a model call that arrives at an entry.
    pub(crate) fn accept_call(&mut self, process_id: ProcessId, call: usize, attempt: u32) {
        let it = &self.calls[call];
        let (deadline, total) = (it.deadline, it.request.tokens);
        let request = call::Request {
            id: format_smolstr!("r{call}"),
            team: it.request.team.clone(),
            destination: Destination::Model(it.request.model.clone()),
            adapter: None,
            priority: it.request.priority,
            tokens: (it.request.prompt + total) as u32,
            deadline: self.local_time(process_id, deadline),
            fingerprint: it.fingerprint(),
            prefixes: if it.request.prefix == 0 { Vec::new() } else { vec![it.request.prefix] },
        };
        match self.with_node(process_id, |node, now| node.open_call(now, request)) {
            None => {}
            Some(Err(error)) => self.answer_call(process_id, call, attempt, error_code(&error)),
            Some(Ok(route)) => {
                let number = self.next_id();
                let now = self.now;
                let proxied = ProxiedCall {
                    key: route.call,
                    call,
                    attempt,
                    connection: 0,
                    job: None,
                    last_received: now,
                    received_first_byte: false,
                    silenced: false,
                    forwarded: 0,
                    caller_arrival: 0,
                };
                if let Some(process) = self.process_mut(process_id) {
                    process.proxied_calls.insert(number, proxied);
                }
                self.deliver_at(deadline, process_id, move |world, process_id| {
                    world.fail_call(process_id, number, "deadline_exceeded");
                });
                self.connect(process_id, number, &route);
            }
        }
    }

    fn proxied_call(&self, process_id: ProcessId, number: u64) -> Option<&ProxiedCall> {
        self.process(process_id)?.proxied_calls.get(&number)
    }

    fn proxied_call_mut(&mut self, process_id: ProcessId, number: u64) -> Option<&mut ProxiedCall> {
        self.process_mut(process_id)?.proxied_calls.get_mut(&number)
    }

    fn connect(&mut self, process_id: ProcessId, number: u64, route: &Route) {
        let now = self.now;
        let connection = route.connection;
        let Some(proxied) = self.proxied_call_mut(process_id, number) else { return };
        proxied.connection = connection;
        proxied.job = None;
        proxied.last_received = now;
        proxied.received_first_byte = false;
        proxied.silenced = false;
        let call = proxied.call;
        let (Some(Party::Engine(index)), Id::Group(group)) =
            (self.resolve_address(&route.address), route.target.clone())
        else {
            return;
        };
        self.check_route(process_id, group, call, connection == 0);
        let (from, to) = (Party::Entry(process_id.entry), Party::Engine(index));
        let job_number = self.next_id();
        let it = &self.calls[call];
        let mut job = Job::new(job_number, process_id, number, connection);
        job.request = format_smolstr!("r{call}");
        job.source_call = call as u64;
        job.next_token = route.resume_from;
        job.total_tokens = it.request.tokens;
        job.prompt_tokens = it.request.prompt;
        job.prefix = it.request.prefix;
        job.priority = it.request.priority;
        job.poison = it.request.poison;
        self.check_stream_timeout(process_id, number, connection);
        let Some(delay) = self.message_delay(from, to) else {
            let connect = self.options.entry.connect_timeout;
            self.deliver_at(now + connect, process_id, move |world, process_id| {
                world.lose_connection(process_id, number, connection, Loss::Refused);
            });
            return;
        };
        let back = self.message_delay(to, from).unwrap_or(delay);
        self.schedule_after(delay + back + delay, move |world| {
            if !world.engines[index].alive {
                let at = world.now + back;
                world.deliver_at(at, process_id, move |world, process_id| {
                    world.lose_connection(process_id, number, connection, Loss::Refused);
                });
                return;
            }
            if world.process(process_id).is_none() {
                return;
            }
            if !world.admit_job(index, group, job) {
                let at = world.now + back;
                world.deliver_at(at, process_id, move |world, process_id| {
                    world.lose_connection(process_id, number, connection, Loss::Unavailable);
                });
                return;
            }
            let open = world
                .proxied_call(process_id, number)
                .is_some_and(|it| it.connection == connection);
            match open {
                true => {
                    if let Some(proxied) = world.proxied_call_mut(process_id, number) {
                        proxied.job = Some((index, job_number));
                    }
                }
                false => world.cancel_job(index, job_number),
            }
        });
    }

    /// Closes a connection on which no byte arrives within the first-byte or idle timeout.
    fn check_stream_timeout(&mut self, process_id: ProcessId, number: u64, connection: u32) {
        let Some(proxied) = self.proxied_call(process_id, number) else { return };
        let options = self.options.entry;
        let bound = if proxied.received_first_byte {
            options.idle_timeout
        } else {
            options.first_byte_timeout
        };
        let at = proxied.last_received + bound;
        if self.now >= at {
            self.lose_connection(process_id, number, connection, Loss::IdleTimeout);
            return;
        }
        let next = at.min(self.now + options.idle_timeout);
        self.deliver_at(next, process_id, move |world, process_id| {
            let current = world
                .proxied_call(process_id, number)
                .is_some_and(|it| it.connection == connection);
            if current {
                world.check_stream_timeout(process_id, number, connection);
            }
        });
    }

    /// Closes an engine connection and lets the node decide how the call continues.
    pub(crate) fn lose_connection(
        &mut self,
        process_id: ProcessId,
        number: u64,
        connection: u32,
        loss: Loss,
    ) {
        let Some(proxied) = self.proxied_call_mut(process_id, number) else { return };
        if proxied.connection != connection {
            return;
        }
        let key = proxied.key;
        if let Some((index, job)) = proxied.job.take() {
            self.cancel_job(index, job);
        }
        let next = self
            .with_node(process_id, |node, now| node.connection_lost(now, key, connection, loss));
        if let Some(next) = next {
            self.apply_action(process_id, number, next);
        }
    }

    fn apply_action(&mut self, process_id: ProcessId, number: u64, next: Action) {
        match next {
            Action::Connect(route) => self.connect(process_id, number, &route),
            Action::RetryAfter(time) => {
                let at = self.now + time.as_micros() as Micros;
                self.deliver_at(at, process_id, move |world, process_id| {
                    let Some(proxied) = world.proxied_call(process_id, number) else { return };
                    let key = proxied.key;
                    let next = world.with_node(process_id, |node, now| node.retry_call(now, key));
                    if let Some(next) = next {
                        world.apply_action(process_id, number, next);
                    }
                });
            }
            Action::Fail(error) => self.fail_call(process_id, number, error_code(&error)),
            Action::Ignore => {}
        }
    }

    fn fail_call(&mut self, process_id: ProcessId, number: u64, code: &'static str) {
        let Some(process) = self.process_mut(process_id) else { return };
        let Some(proxied) = process.proxied_calls.remove(&number) else { return };
        if let Some((index, job)) = proxied.job {
            self.cancel_job(index, job);
        }
        let tokens = proxied.forwarded as u32;
        self.with_node(process_id, |node, now| node.close_call(now, proxied.key, false, tokens));
        let code = if proxied.forwarded > 0 { "stream_broken" } else { code };
        self.answer_call(process_id, proxied.call, proxied.attempt, code);
    }

    /// Handles a caller that closed its connection.
    pub(crate) fn close_caller_connection(
        &mut self,
        process_id: ProcessId,
        call: usize,
        attempt: u32,
    ) {
        let Some(process) = self.process(process_id) else { return };
        let found = process
            .proxied_calls
            .iter()
            .find(|(_, it)| it.call == call && it.attempt == attempt)
            .map(|(number, _)| *number);
        let Some(number) = found else { return };
        let Some(proxied) =
            self.process_mut(process_id).and_then(|it| it.proxied_calls.remove(&number))
        else {
            return;
        };
        if let Some((index, job)) = proxied.job {
            self.cancel_job(index, job);
        }
        let tokens = proxied.forwarded as u32;
        self.with_node(process_id, |node, now| node.close_call(now, proxied.key, false, tokens));
    }

    /// Cancels the engine's job of a call whose entry process has ended.
    pub(crate) fn cancel_orphaned_job(&mut self, process_id: ProcessId, proxied: &ProxiedCall) {
        if let Some((index, job)) = proxied.job {
            let delay = self.message_delay(Party::Entry(process_id.entry), Party::Engine(index));
            if let Some(delay) = delay {
                self.schedule_after(delay, move |world| world.cancel_job(index, job));
            }
        }
    }

    /// Closes the connection of a job from the engine's side.
    pub(crate) fn disconnect_job(&mut self, index: usize, job: &Job) {
        let (process_id, number, connection) = (job.process_id, job.proxied_call, job.connection);
        let Some(delay) = self.message_delay(Party::Engine(index), Party::Entry(process_id.entry))
        else {
            return;
        };
        let at = self.now + delay;
        self.deliver_at(at, process_id, move |world, process_id| {
            let is_open = world.proxied_call(process_id, number).is_some_and(|it| !it.silenced);
            if is_open {
                world.lose_connection(process_id, number, connection, Loss::Disconnected);
            }
        });
    }

    pub(crate) fn send_piece(
        &mut self,
        index: usize,
        job: u64,
        from: u64,
        tokens: u64,
        extra: Micros,
    ) {
        let Some(it) = self.engines[index].jobs.iter().find(|it| it.id == job) else { return };
        let (request, source_call) = (it.request.clone(), it.source_call);
        self.send_text(index, job, (request, source_call), (from, tokens), extra);
    }

    /// Sends a chunk with the id and text of another request at the engine, or of a request that
    /// does not exist if there is no other.
    pub(crate) fn send_crossed(&mut self, index: usize, job: u64, from: u64, tokens: u64) {
        let other = self.engines[index].jobs.iter().find(|it| it.id != job);
        let (request, source_call) =
            other.map_or(("r-other".into(), u64::MAX), |it| (it.request.clone(), it.source_call));
        self.send_text(index, job, (request, source_call), (from, tokens), 0);
    }

    fn send_text(
        &mut self,
        index: usize,
        job: u64,
        (request, source_call): (smol_str::SmolStr, u64),
        (offset, tokens): (u64, u64),
        extra: Micros,
    ) {
        let Some(it) = self.engines[index].jobs.iter().find(|it| it.id == job) else { return };
        let (process_id, number, connection) = (it.process_id, it.proxied_call, it.connection);
        let Some(at) = self.arrival(index, job, extra) else { return };
        self.deliver_at(at, process_id, move |world, process_id| {
            let now = world.now;
            let Some(proxied) = world.proxied_call_mut(process_id, number) else { return };
            if proxied.silenced {
                return;
            }
            let key = proxied.key;
            if proxied.connection == connection {
                proxied.last_received = now;
                proxied.received_first_byte = true;
            }
            let reception = world.with_node(process_id, |node, now| {
                node.receive_chunk(
                    now,
                    key,
                    &Chunk { connection, request: &request, offset, tokens },
                )
            });
            match reception {
                Some(Disposition::Forward { skip }) => {
                    world.forward(process_id, number, source_call, offset + skip, tokens - skip);
                }
                Some(Disposition::Gap | Disposition::Discard(Discard::Crossed)) => {
                    world.lose_connection(process_id, number, connection, Loss::InvalidAnswer);
                }
                Some(Disposition::Discard(_)) | None => {}
            }
        });
    }

    pub(crate) fn send_end(&mut self, index: usize, job: u64) {
        let Some(it) = self.engines[index].jobs.iter().find(|it| it.id == job) else { return };
        let (process_id, number, connection) = (it.process_id, it.proxied_call, it.connection);
        let (request, total) = (it.request.clone(), it.total_tokens);
        let Some(at) = self.arrival(index, job, 0) else { return };
        self.deliver_at(at, process_id, move |world, process_id| {
            let Some(proxied) = world.proxied_call(process_id, number) else { return };
            if proxied.silenced {
                return;
            }
            let key = proxied.key;
            let end = world.with_node(process_id, |node, _| {
                node.finish_answer(key, connection, &request, Some(total))
            });
            match end {
                Some(Completion::Complete) => world.complete(process_id, number),
                Some(Completion::Truncated | Completion::Discard(Discard::Crossed)) => {
                    world.lose_connection(process_id, number, connection, Loss::InvalidAnswer);
                }
                Some(Completion::Discard(_)) | None => {}
            }
        });
    }

    fn complete(&mut self, process_id: ProcessId, number: u64) {
        let Some(process) = self.process_mut(process_id) else { return };
        let Some(proxied) = process.proxied_calls.remove(&number) else { return };
        let tokens = proxied.forwarded as u32;
        self.with_node(process_id, |node, now| node.close_call(now, proxied.key, true, tokens));
        let zone = self.calls[proxied.call].zone;
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Caller(zone))
        else {
            return;
        };
        let at = (self.now + delay).max(proxied.caller_arrival);
        self.schedule_at(at, move |world| world.receive_end(proxied.call, proxied.attempt));
    }

    fn forward(
        &mut self,
        process_id: ProcessId,
        number: u64,
        source_call: u64,
        from: u64,
        tokens: u64,
    ) {
        let Some(proxied) = self.proxied_call(process_id, number) else { return };
        let (call, attempt) = (proxied.call, proxied.attempt);
        let zone = self.calls[call].zone;
        let delay = self.message_delay(Party::Entry(process_id.entry), Party::Caller(zone));
        let now = self.now;
        let Some(proxied) = self.proxied_call_mut(process_id, number) else { return };
        proxied.forwarded += tokens;
        let Some(delay) = delay else { return };
        proxied.caller_arrival = proxied.caller_arrival.max(now + delay);
        let at = proxied.caller_arrival;
        self.schedule_at(at, move |world| {
            world.receive_text(call, attempt, source_call, from, tokens)
        });
    }

    fn answer_call(
        &mut self,
        process_id: ProcessId,
        call: usize,
        attempt: u32,
        code: &'static str,
    ) {
        let zone = self.calls[call].zone;
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Caller(zone))
        else {
            return;
        };
        // The extra millisecond keeps the error behind the text forwarded before it.
        let at = self.now + delay + MILLISECOND;
        let entry = process_id.entry;
        self.schedule_at(at, move |world| world.receive_error(call, attempt, entry, code));
    }

    /// Stops all bytes on the open connections between an entry and an engine without closing them.
    pub fn silence_connections(&mut self, entry: usize, engine: usize) {
        self.trace_text(
            "world",
            format!("connections of entry {entry} to engine {engine} go silent"),
        );
        let Some(process) = &mut self.entries[entry].process else { return };
        for (_, proxied) in process.proxied_calls.iter_mut() {
            if proxied.job.is_some_and(|(index, _)| index == engine) {
                proxied.silenced = true;
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
