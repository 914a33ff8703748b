//! Fake callers: they query the directory, send calls, retry and verify every answer.

use mgw_booking::key;
use mgw_booking::outcome::{Cause, Outcome as Booked};
use mgw_booking::relay::Answer;
use mgw_member::directory::Endpoint;
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};

use super::entry::ProcessId;
use super::link::Party;
use super::{MILLISECOND, Micros, SECOND, World};

/// Caches, retries and timeouts of the callers.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Callers per zone; each caches the directory's answer separately.
    pub clients: usize,
    /// Maximum number of attempts per call.
    pub attempts: u32,
    /// Time without a byte after which a caller retries at another entry.
    pub idle_timeout: Micros,
    /// Base of the exponential backoff before a retry: attempt `n` is followed by
    /// `retry_backoff * 2^n`, with `n` capped at 6.
    pub retry_backoff: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self { clients: 8, attempts: 4, idle_timeout: 5 * SECOND, retry_backoff: 100 * MILLISECOND }
    }
}

/// How a booking's key is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// A key that starts with the `key_prefix` of the entry called first.
    Executor,
    /// A fixed key without routing information.
    Opaque(SmolStr),
}

/// Content and routing of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name by which the expectations of a script select calls.
    pub name: SmolStr,
    /// Team that makes the call.
    pub team: SmolStr,
    /// Model, or service in the case of a booking.
    pub model: SmolStr,
    /// How the key of a booking is made; `None` for a model call.
    pub booking: Option<KeyKind>,
    /// Length of the answer in tokens.
    pub tokens: u64,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Identifies the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// Priority from 0 (interactive) to 3 (batch).
    pub priority: u8,
    /// Whether the request crashes the engine that runs it.
    pub poison: bool,
    /// Identifies the body; 0 for a body unique to the call.
    pub body: u64,
    /// Time from the start of the call until the caller gives up.
    pub deadline: Micros,
    /// Index of the caller's zone; `None` for a random one.
    pub zone: Option<usize>,
    /// Entry for the first attempt; `None` to choose by the directory's weights.
    pub via: Option<usize>,
}

impl Request {
    /// Creates a model call with defaults for everything else.
    pub fn model(name: &str, team: &str, model: &str) -> Self {
        Self {
            name: name.into(),
            team: team.into(),
            model: model.into(),
            booking: None,
            tokens: 64,
            prompt: 500,
            prefix: 0,
            priority: 0,
            poison: false,
            body: 0,
            deadline: 30 * SECOND,
            zone: None,
            via: None,
        }
    }

    /// Creates a booking with defaults for everything else.
    pub fn booking(name: &str, team: &str, service: &str, key: KeyKind) -> Self {
        let request = Self::model(name, team, service);
        Self { booking: Some(key), deadline: 15 * SECOND, ..request }
    }
}

/// Outcome of a call as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Done,
    /// The call failed with this error code before the first byte.
    Refused(&'static str),
    /// The call failed with this error code after the first byte.
    Broken(&'static str),
    /// The entry reported that the booking was not run.
    NotRun,
    /// The outcome of the booking is unknown.
    Unknown,
    /// The caller's deadline passed.
    Expired,
}

impl Outcome {
    /// Returns the name of the outcome in scripts; the error code for a failed call.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Refused(code) | Outcome::Broken(code) => code,
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Expired => "expired",
        }
    }
}

/// A call and its progress.
#[derive(Clone, Debug)]
pub struct Call {
    /// Content and routing of the call.
    pub request: Request,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Start time.
    pub started_at: Micros,
    /// Time at which the caller gives up.
    pub deadline: Micros,
    /// Key of a booking; empty for a model call and before the first attempt.
    pub key: SmolStr,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Outcome; `None` while the call is open.
    pub outcome: Option<Outcome>,
    /// Time at which the call ended; 0 while it is open.
    pub ended_at: Micros,
    /// Arrival time of the first token in the current attempt.
    pub first_token_at: Option<Micros>,
    /// Tokens received in the current attempt.
    pub received: u64,
    /// Longest time between two consecutive chunks within an attempt.
    pub max_gap: Micros,
    last_token_at: Micros,
    client: usize,
    current: Option<ProcessId>,
    tried: Vec<usize>,
    body: u64,
}

impl Call {
    pub(crate) fn fingerprint(&self) -> u128 {
        key::hash(&self.request.team, &self.request.model, &format!("{}", self.body))
    }

    /// Returns the hash of a booking's team, service and key.
    pub fn hash(&self) -> u128 {
        key::hash(&self.request.team, &self.request.model, &self.key)
    }
}

/// A caller and the directory answer it has cached.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    zone: usize,
    endpoints: Vec<Endpoint>,
    expires_at: Micros,
}

impl Client {
    pub(crate) fn new(zone: usize) -> Self {
        Self { zone, endpoints: Vec::new(), expires_at: 0 }
    }
}

impl World {
    /// Starts a call. Returns its index in [`World::calls`].
    pub fn call(&mut self, request: Request) -> usize {
        let client = match request.zone {
            Some(zone) => {
                let index = self.random.random_range(0..self.options.call.clients);
                index * self.zones.len() + zone
            }
            None => self.random.random_range(0..self.clients.len()),
        };
        let zone = self.clients[client].zone;
        let index = self.calls.len();
        let deadline = self.now + request.deadline;
        let body = if request.body == 0 { index as u64 + (1 << 32) } else { request.body };
        self.calls.push(Call {
            zone,
            started_at: self.now,
            deadline,
            key: SmolStr::default(),
            attempts: 0,
            outcome: None,
            ended_at: 0,
            first_token_at: None,
            received: 0,
            max_gap: 0,
            last_token_at: 0,
            client,
            current: None,
            tried: Vec::new(),
            body,
            request,
        });
        self.open_calls.push(index);
        self.schedule_at(deadline, move |world| world.end_call(index, Outcome::Expired));
        self.attempt(index);
        index
    }

    /// Returns all calls of the run in the order of their start.
    pub fn calls(&self) -> &[Call] {
        &self.calls
    }

    /// Returns the number of calls without an outcome.
    pub fn open_calls(&self) -> usize {
        self.open_calls.len()
    }

    fn refresh_client(&mut self, client: usize) {
        if self.clients[client].expires_at > self.now {
            return;
        }
        let zone = self.clients[client].zone;
        // Queries the entries in random order until a reachable one answers.
        let mut candidates: Vec<usize> = (0..self.entries.len()).collect();
        for index in (1..candidates.len()).rev() {
            let other = self.random.random_range(0..=index);
            candidates.swap(index, other);
        }
        let name = self.zones[zone].clone();
        for entry in candidates {
            let reachable = !self.is_cut(Party::Caller(zone), Party::Entry(entry));
            let Some(process_id) = self.current_process(entry).filter(|_| reachable) else {
                continue;
            };
            if self.process(process_id).is_none_or(|it| it.paused) {
                continue;
            }
            let answer = self.with_node(process_id, |node, now| node.directory(Some(&name), now));
            let Some(answer) = answer.filter(|it| !it.entries.is_empty()) else { continue };
            self.clients[client].expires_at = self.now + Micros::from(answer.ttl_ms) * MILLISECOND;
            self.clients[client].endpoints = answer.entries;
            return;
        }
    }

    /// Chooses an entry by the directory's weights. Prefers untried entries in the caller's zone,
    /// then untried entries elsewhere, then any entry.
    fn choose_entry(&mut self, call: usize) -> Option<(usize, SmolStr)> {
        let client = self.calls[call].client;
        self.refresh_client(client);
        let zone = self.zones[self.calls[call].zone].clone();
        let endpoints: Vec<(usize, u32, bool, SmolStr)> = self.clients[client]
            .endpoints
            .iter()
            .filter_map(|endpoint| match self.resolve_address(&endpoint.address) {
                Some(Party::Entry(entry)) => Some((
                    entry,
                    endpoint.weight,
                    endpoint.zone == zone,
                    endpoint.key_prefix.clone(),
                )),
                _ => None,
            })
            .collect();
        if let (Some(via), 0) = (self.calls[call].request.via, self.calls[call].attempts) {
            let prefix = endpoints.iter().find(|(entry, ..)| *entry == via);
            return Some((via, prefix.map_or(SmolStr::default(), |it| it.3.clone())));
        }
        let tried = &self.calls[call].tried;
        let untried: Vec<_> = endpoints.iter().filter(|it| !tried.contains(&it.0)).collect();
        let same_zone: Vec<_> = untried.iter().filter(|it| it.2).copied().collect();
        let all = endpoints.iter().collect();
        let pool = match (same_zone.is_empty(), untried.is_empty()) {
            (false, _) => same_zone,
            (true, false) => untried,
            (true, true) => all,
        };
        let sum: u32 = pool.iter().map(|it| it.1).sum();
        if sum == 0 {
            return None;
        }
        let mut remaining = self.random.random_range(0..sum);
        for (entry, weight, _, prefix) in pool {
            match remaining.checked_sub(*weight) {
                Some(rest) => remaining = rest,
                None => return Some((*entry, prefix.clone())),
            }
        }
        None
    }

    fn attempt(&mut self, call: usize) {
        if self.calls[call].outcome.is_some() {
            return;
        }
        let Some((entry, prefix)) = self.choose_entry(call) else {
            self.retry(call, self.calls[call].attempts, "unreachable");
            return;
        };
        let it = &mut self.calls[call];
        it.attempts += 1;
        it.tried.push(entry);
        it.received = 0;
        it.first_token_at = None;
        it.current = None;
        let attempt = it.attempts;
        if it.key.is_empty() {
            it.key = match &it.request.booking {
                Some(KeyKind::Opaque(key)) => key.clone(),
                Some(KeyKind::Executor) if !prefix.is_empty() => {
                    format_smolstr!("{prefix}c{call}")
                }
                Some(KeyKind::Executor) => format_smolstr!("c{call}"),
                None => SmolStr::default(),
            };
        }
        let zone = it.zone;
        let is_booking = it.request.booking.is_some();
        if is_booking {
            let hash = self.calls[call].hash();
            self.check_attempt(hash);
        }
        let idle_timeout = self.options.call.idle_timeout;
        self.schedule_after(idle_timeout, move |world| world.check_idle_timeout(call, attempt, 0));
        let Some(delay) = self.message_delay(Party::Caller(zone), Party::Entry(entry)) else {
            return;
        };
        let Some(process_id) = self.current_process(entry) else {
            let back = delay * 2;
            self.schedule_after(back, move |world| world.retry(call, attempt, "unreachable"));
            return;
        };
        self.calls[call].current = Some(process_id);
        let at = self.now + delay * 3;
        self.deliver_at(at, process_id, move |world, process_id| match is_booking {
            true => world.accept_booking(process_id, call, attempt),
            false => world.accept_call(process_id, call, attempt),
        });
    }

    /// Retries at another entry if no byte arrived since the last check, when `got` tokens were in.
    fn check_idle_timeout(&mut self, call: usize, attempt: u32, received: u64) {
        let it = &self.calls[call];
        if it.outcome.is_some() || it.attempts != attempt {
            return;
        }
        if it.received > received {
            let received = it.received;
            let idle_timeout = self.options.call.idle_timeout;
            self.schedule_after(idle_timeout, move |world| {
                world.check_idle_timeout(call, attempt, received)
            });
            return;
        }
        self.abandon_attempt(call);
        self.retry(call, attempt, "timeout");
    }

    fn abandon_attempt(&mut self, call: usize) {
        let it = &self.calls[call];
        let (attempt, zone, is_booking) = (it.attempts, it.zone, it.request.booking.is_some());
        let Some(process_id) = it.current else { return };
        let Some(delay) = self.message_delay(Party::Caller(zone), Party::Entry(process_id.entry))
        else {
            return;
        };
        let at = self.now + delay;
        self.deliver_at(at, process_id, move |world, process_id| match is_booking {
            true => world.cancel_booking_wait(process_id, call, attempt),
            false => world.close_caller_connection(process_id, call, attempt),
        });
    }

    fn retry(&mut self, call: usize, attempt: u32, code: &'static str) {
        let it = &self.calls[call];
        if it.outcome.is_some() || it.attempts != attempt {
            return;
        }
        if it.attempts >= self.options.call.attempts {
            let outcome = match (it.received, it.request.booking.is_some()) {
                (0, true) if code != "team_over_capacity" => Outcome::Unknown,
                (0, _) => Outcome::Refused(code),
                _ => Outcome::Broken(code),
            };
            self.end_call(call, outcome);
            return;
        }
        let backoff = self.options.call.retry_backoff << it.attempts.min(6);
        self.schedule_after(backoff, move |world| {
            if world.calls[call].attempts == attempt {
                world.attempt(call);
            }
        });
    }

    /// Closes the connections of all callers of a process that has ended, so that they retry.
    pub(crate) fn disconnect_callers(&mut self, process_id: ProcessId) {
        for call in self.open_calls.clone() {
            let it = &self.calls[call];
            if it.current != Some(process_id) {
                continue;
            }
            let (attempt, zone) = (it.attempts, it.zone);
            let delay = self.message_delay(Party::Entry(process_id.entry), Party::Caller(zone));
            if let Some(delay) = delay {
                self.schedule_after(delay, move |world| world.retry(call, attempt, "unreachable"));
            }
        }
    }

    pub(crate) fn receive_text(
        &mut self,
        call: usize,
        attempt: u32,
        source_call: u64,
        from: u64,
        tokens: u64,
    ) {
        let now = self.now;
        if source_call != call as u64 {
            self.report_violation(
                "I3",
                format!("call {call} received text of another call, {source_call}"),
            );
        }
        let it = &mut self.calls[call];
        if it.outcome.is_some() || it.attempts != attempt {
            return;
        }
        if from != it.received {
            let received = it.received;
            self.report_violation(
                "I3",
                format!("call {call} received token {from}, expected token {received}"),
            );
            return;
        }
        if it.first_token_at.is_some() {
            it.max_gap = it.max_gap.max(now - it.last_token_at);
        }
        it.last_token_at = now;
        it.first_token_at = it.first_token_at.or(Some(now));
        it.received += tokens;
    }

    pub(crate) fn receive_end(&mut self, call: usize, attempt: u32) {
        let it = &self.calls[call];
        if it.attempts != attempt || it.outcome.is_some() {
            return;
        }
        if it.received != it.request.tokens {
            let (received, all) = (it.received, it.request.tokens);
            self.report_violation(
                "I3",
                format!("call {call} was reported complete with {received} of {all} tokens"),
            );
        }
        self.end_call(call, Outcome::Done);
    }

    pub(crate) fn receive_error(
        &mut self,
        call: usize,
        attempt: u32,
        _entry: usize,
        code: &'static str,
    ) {
        let it = &self.calls[call];
        if it.attempts != attempt || it.outcome.is_some() {
            return;
        }
        let retryable = matches!(
            code,
            "draining" | "no_complete_group" | "overloaded" | "upstream_failed" | "stream_broken"
        ) || (it.request.booking.is_some() && code == "team_over_capacity");
        match retryable {
            true => self.retry(call, attempt, code),
            false if it.received > 0 => self.end_call(call, Outcome::Broken(code)),
            false => self.end_call(call, Outcome::Refused(code)),
        }
    }

    pub(crate) fn receive_booking_answer(&mut self, call: usize, attempt: u32, answer: Answer) {
        let hash = self.calls[call].hash();
        let (outcome, cause) = match answer {
            Answer::Outcome(Booked::Done(reply)) => {
                if reply.body != format!("{hash:032x}").as_bytes() {
                    self.report_violation(
                        "I3",
                        format!("booking {call} received the answer to another booking"),
                    );
                }
                self.check_done(hash, call);
                (Outcome::Done, None)
            }
            Answer::Outcome(Booked::NotRun(cause)) => {
                self.check_not_run(hash, call, cause);
                (Outcome::NotRun, Some(cause))
            }
            Answer::Outcome(Booked::Unknown(cause)) => (Outcome::Unknown, Some(cause)),
            Answer::Conflict => (Outcome::Refused("key_conflict"), None),
        };
        if let Some(cause) = cause {
            self.trace_text(
                "caller",
                format!("booking {call} attempt {attempt}: {outcome:?} {cause:?}"),
            );
        }
        let _: Option<Cause> = cause;
        self.end_call(call, outcome);
    }

    fn end_call(&mut self, call: usize, outcome: Outcome) {
        let now = self.now;
        let it = &mut self.calls[call];
        if it.outcome.is_some() {
            return;
        }
        it.outcome = Some(outcome);
        it.ended_at = now;
        let request = &it.request;
        let text = format!("call {call} {} of {}: {}", request.name, request.team, outcome.name());
        if outcome != Outcome::Done {
            self.trace_text("caller", text);
        }
        if outcome == Outcome::Expired {
            self.abandon_attempt(call);
        }
        if let Some(index) = self.open_calls.iter().position(|it| *it == call) {
            self.open_calls.swap_remove(index);
        }
    }
}
