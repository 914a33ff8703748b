//! Seeded random sequences over several processes and one log, with restarts, pauses, lost replies,
//! late appends, relays and evictions.

use bytes::Bytes;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_booking::claim::{Append, Lookup};
use mgw_booking::coordinator::{Coordinator, Effect, Options, Origin, Request, Step};
use mgw_booking::key::Key;
use mgw_booking::ledger::{self, Dispatch, End, Waiter};
use mgw_booking::outcome::{Cause, Outcome, Reply};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const PROCESSES: usize = 3;

struct Process {
    incarnation: u64,
    started_at: u64,
    coordinator: Coordinator,
    /// Position in the log up to which the claims were passed to the coordinator.
    applied: usize,
    /// The current read: the time of its start, and the log's end once the log service answered.
    reading: Option<(u64, Option<usize>)>,
    /// The append without a reply yet: the sequence of its batch and its result.
    appending: Option<(u64, Append)>,
    /// Keys that the coordinator asked to run and that were not dispatched yet.
    ready: Vec<u128>,
    /// Keys that were dispatched, with the end of the call that is still to be reported.
    calls: Vec<(u128, End)>,
    paused_until: u64,
}

/// A request that waits at a process.
struct Attempt {
    key: u128,
    process: u64,
    arrived: u64,
    /// For a relayed request, the waiter at the relaying process that gets the answer.
    relayed_from: Option<u64>,
}

#[derive(Default)]
struct Run {
    dispatched_at: u64,
    ran: bool,
}

struct Simulation {
    random: SmallRng,
    now: u64,
    log: Vec<(u128, u64)>,
    /// Claims whose append has an unknown result and that reach the log later.
    late_claims: Vec<(u128, u64)>,
    processes: Vec<Process>,
    attempts: Map<u64, Attempt>,
    last_waiter: u64,
    last_incarnation: u64,
    runs: Map<u128, Run>,
    /// Keys that were reported as not run, where the outcome is final.
    final_not_run: Map<u128, Cause>,
    /// By process and key, the last request that had arrived when the process last reported the
    /// claim of the key as refused.
    last_refused: Map<(u64, u128), u64>,
    /// By process and key, the last request that arrived.
    last_arrivals: Map<(u64, u128), u64>,
    /// By key, the last request that had arrived when the claim of the key was reported as refused
    /// while no other request of the key was open in any process. The key must not be run until
    /// another request arrives.
    last_settled: Map<u128, u64>,
    /// The executor keys in use, as key hash, incarnation and issue time in ms.
    executor_keys: Vec<(u128, u64, u64)>,
    /// How often each kind of answer or event occurred.
    outcome_counts: Map<&'static str, u32>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Simulation {
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            log: Vec::new(),
            late_claims: Vec::new(),
            processes: Vec::new(),
            attempts: Map::default(),
            last_waiter: 0,
            last_incarnation: 0,
            runs: Map::default(),
            final_not_run: Map::default(),
            last_refused: Map::default(),
            last_arrivals: Map::default(),
            last_settled: Map::default(),
            executor_keys: Vec::new(),
            outcome_counts: Map::default(),
        };
        for _ in 0..PROCESSES {
            let process = simulation.start();
            simulation.processes.push(process);
        }
        simulation
    }

    fn start(&mut self) -> Process {
        self.last_incarnation += 1;
        // The ledger is small so that keys are evicted.
        let ledger = ledger::Options { max_keys: 6, ..ledger::Options::default() };
        let options = Options { ledger, ..Options::default() };
        Process {
            incarnation: self.last_incarnation,
            started_at: self.now,
            coordinator: Coordinator::new(
                options,
                self.last_incarnation,
                Instant::from_millis(self.now),
            ),
            applied: self.log.len(),
            reading: None,
            appending: None,
            ready: Vec::new(),
            calls: Vec::new(),
            paused_until: 0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn lookup(&self, index: usize, key: u128) -> Lookup {
        let claims_read = &self.log[..self.processes[index].applied];
        match claims_read.iter().find(|(claimed, _)| *claimed == key) {
            Some((_, executor)) => Lookup::Claimed(*executor),
            None if claims_read.len() % 17 == 16 => Lookup::Full,
            None => Lookup::Unclaimed,
        }
    }

    fn send_request(&mut self) {
        let index = self.random.random_range(0..PROCESSES);
        let (key, hash) = match self.random.random_range(0..3) {
            0 => {
                let process = &self.processes[self.random.random_range(0..PROCESSES)];
                let issued_ms = self.now - process.started_at;
                let key = 1_000 + self.executor_keys.len() as u128;
                self.executor_keys.push((key, process.incarnation, issued_ms));
                (Key::Executor { incarnation: process.incarnation, issued_ms }, key)
            }
            1 if !self.executor_keys.is_empty() => {
                let newest = self.executor_keys.len();
                let pick = self.random.random_range(newest.saturating_sub(12)..newest);
                let (key, incarnation, issued_ms) = self.executor_keys[pick];
                (Key::Executor { incarnation, issued_ms }, key)
            }
            _ => {
                let newest = u128::from(self.now / 400);
                (Key::Opaque, newest.saturating_sub(self.random.random_range(0..6)))
            }
        };
        let content = if self.chance(3) { 2 } else { 1 };
        let deadline = Instant::from_millis(self.now + self.random.random_range(5..600));
        let request = Request { key, hash, content, deadline };
        self.arrive(index, &request, Origin::Caller, None);
    }

    fn arrive(
        &mut self,
        index: usize,
        request: &Request,
        origin: Origin,
        relayed_from: Option<u64>,
    ) {
        self.last_waiter += 1;
        let waiter = self.last_waiter;
        let lookup = self.lookup(index, request.hash);
        let now = Instant::from_millis(self.now);
        let process = &mut self.processes[index];
        let id = process.incarnation;
        let attempt = Attempt { key: request.hash, process: id, arrived: self.now, relayed_from };
        self.attempts.insert(waiter, attempt);
        self.last_arrivals.insert((id, request.hash), waiter);
        match process.coordinator.arrive(request, origin, lookup, Waiter(waiter), now) {
            Step::Run => process.ready.push(request.hash),
            Step::Wait => {}
            Step::Relay(executor) => self.relay(waiter, request, executor),
            Step::Answer(outcome) => self.answer(waiter, outcome),
            Step::Conflict => {
                self.count("conflict");
                self.attempts.remove(&waiter);
            }
        }
    }

    fn relay(&mut self, waiter: u64, request: &Request, executor: u64) {
        let found = self.processes.iter().position(|process| {
            process.incarnation == executor && process.paused_until <= self.now
        });
        match found {
            Some(index) if self.chance(90) => {
                self.count("relayed");
                // In some cases the answer is lost on its way back.
                let relayed_from = self.chance(80).then_some(waiter);
                if relayed_from.is_none() {
                    self.answer(waiter, Outcome::Unknown(Cause::AnswerLost));
                }
                self.arrive(index, request, Origin::Peer { executor }, relayed_from);
            }
            _ => self.answer(waiter, Outcome::Unknown(Cause::Unreachable)),
        }
    }

    fn answer(&mut self, waiter: u64, outcome: Outcome) {
        // A waiter is removed with its first answer, so a second answer fails here. A relayed
        // answer for a waiter whose caller disconnected is dropped below.
        let Some(attempt) = self.attempts.remove(&waiter) else {
            panic!("second answer {outcome:?} for waiter {waiter}");
        };
        let (key, run) = (attempt.key, self.runs.get(&attempt.key));
        match &outcome {
            Outcome::Done(_) => {
                assert!(run.is_some_and(|run| run.ran), "done without a run: {key}");
                self.count("done");
            }
            Outcome::NotRun(Cause::ClaimRefused) => {
                let before = run.is_some_and(|run| run.dispatched_at < attempt.arrived);
                assert!(!before, "not run, but it ran before the request arrived: {key}");
                if attempt.relayed_from.is_none() {
                    self.last_refused.insert((attempt.process, key), self.last_waiter);
                }
                if !self.attempts.iter().any(|(_, other)| other.key == key) {
                    self.last_settled.insert(key, self.last_waiter);
                    self.count("settled");
                }
                self.count("refused");
            }
            Outcome::NotRun(cause) => {
                assert!(!run.is_some_and(|run| run.ran), "not run ({cause}), but it ran: {key}");
                self.final_not_run.insert(key, *cause);
                self.count(if *cause == Cause::GivenUp { "given up" } else { "not run" });
            }
            Outcome::Unknown(cause) => self.count(match cause {
                Cause::Forgotten => "forgotten",
                Cause::ClaimUnsettled => "unsettled",
                _ => "unknown",
            }),
        }
        if let Some(relayed_from) = attempt.relayed_from
            && self.attempts.get(&relayed_from).is_some()
        {
            self.answer(relayed_from, outcome);
        }
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Run(key) => self.processes[index].ready.push(key),
                Effect::Answer(Waiter(waiter), outcome) => self.answer(waiter, outcome),
                Effect::Relay { waiter: Waiter(waiter), executor, deadline } => {
                    let hash = self.attempts.get(&waiter).expect("the request waits").key;
                    let request = Request { key: Key::Opaque, hash, content: 1, deadline };
                    self.relay(waiter, &request, executor);
                }
            }
        }
    }

    fn run_calls(&mut self, index: usize) {
        let now = Instant::from_millis(self.now);
        for key in std::mem::take(&mut self.processes[index].ready) {
            if self.chance(60) {
                self.processes[index].ready.push(key);
                continue;
            }
            if self.chance(5) {
                let effects = self.processes[index].coordinator.abandon(key);
                self.apply(index, effects);
                continue;
            }
            match self.processes[index].coordinator.dispatch(key, now) {
                Dispatch::Granted => {}
                Dispatch::Expired(answers) => {
                    let effects = answers.into_iter().map(|(w, o)| Effect::Answer(w, o)).collect();
                    self.apply(index, effects);
                    continue;
                }
                Dispatch::Refused => continue,
            }
            let body = Bytes::from_static(b"done");
            let reply = Reply { status: 200, content_type: "text/plain".into(), body };
            let (end, ran) = match self.random.random_range(0..10) {
                0 => (End::NeverWritten, false),
                1 => (End::ReportedNotRun, false),
                2 | 3 => (End::Lost, true),
                _ => (End::Answered(reply), true),
            };
            let id = self.processes[index].incarnation;
            let run = Run { dispatched_at: self.now, ran };
            assert!(self.runs.insert(key, run).is_none(), "second dispatch of {key}");
            assert!(self.final_not_run.get(&key).is_none(), "dispatch after not run: {key}");
            if let Some(last_refused) = self.last_refused.get(&(id, key)) {
                let arrived = self.last_arrivals.get(&(id, key));
                assert!(arrived > Some(last_refused), "dispatch of a refused request: {key}");
            }
            if let Some(last_settled) = self.last_settled.get(&key) {
                let arrivals = self.last_arrivals.iter().filter(|((_, other), _)| *other == key);
                let last = arrivals.map(|(_, waiter)| *waiter).max();
                assert!(last > Some(*last_settled), "dispatch without a request: {key}");
            }
            self.processes[index].calls.push((key, end));
        }
        for (key, end) in std::mem::take(&mut self.processes[index].calls) {
            if self.chance(70) {
                self.processes[index].calls.push((key, end));
            } else {
                let effects = self.processes[index].coordinator.settle(key, end);
                self.apply(index, effects);
            }
        }
    }

    fn step_append(&mut self, index: usize) {
        let now = Instant::from_millis(self.now);
        let answered = self.chance(50);
        match self.processes[index].appending {
            Some((sequence, result)) if answered => {
                self.processes[index].coordinator.finish_append(sequence, result, now);
                self.processes[index].appending = None;
            }
            Some(_) => {}
            None => {
                let Some(batch) = self.processes[index].coordinator.next_batch(now) else { return };
                let id = self.processes[index].incarnation;
                let claims = batch.keys.into_iter().map(|key| (key, id));
                let result = match self.random.random_range(0..10) {
                    0 | 1 => Append::Refused,
                    2 => Append::Unknown,
                    3 => {
                        self.late_claims.extend(claims);
                        Append::Unknown
                    }
                    4 | 5 => {
                        self.log.extend(claims);
                        Append::Unknown
                    }
                    _ => {
                        self.log.extend(claims);
                        Append::Accepted
                    }
                };
                self.processes[index].appending = Some((batch.sequence, result));
            }
        }
    }

    fn step_read(&mut self, index: usize) {
        let (now, end) = (self.now, self.log.len());
        match self.processes[index].reading {
            None => self.processes[index].reading = Some((now, None)),
            Some((started, None)) => self.processes[index].reading = Some((started, Some(end))),
            Some((started, Some(end))) => {
                for position in self.processes[index].applied..end {
                    let (key, executor) = self.log[position];
                    let first = !self.log[..position].iter().any(|(claimed, _)| *claimed == key);
                    self.processes[index].applied = position + 1;
                    if first {
                        let effects =
                            self.processes[index].coordinator.observe_claim(key, executor);
                        self.apply(index, effects);
                    }
                }
                self.processes[index].reading = None;
                let started = Instant::from_millis(started);
                let effects = self.processes[index].coordinator.caught_up(started);
                self.apply(index, effects);
            }
        }
    }

    fn disconnect(&mut self) {
        let back = self.random.random_range(0..4);
        let Some(index) = self.attempts.len().checked_sub(back + 1) else { return };
        let Some((waiter, attempt)) = self.attempts.iter().nth(index) else { return };
        let (waiter, key, id) = (*waiter, attempt.key, attempt.process);
        if let Some(process) = self.processes.iter_mut().find(|other| other.incarnation == id) {
            process.coordinator.remove_waiter(key, Waiter(waiter));
            self.attempts.remove(&waiter);
        }
    }

    fn step(&mut self) {
        self.now += self.random.random_range(1..12);
        if self.chance(60) {
            self.send_request();
        }
        if self.chance(15) {
            self.disconnect();
        }
        if self.chance(10) && !self.late_claims.is_empty() {
            let claim = self.late_claims.remove(0);
            self.log.push(claim);
        }
        for index in 0..PROCESSES {
            if self.processes[index].paused_until > self.now {
                continue;
            }
            match self.random.random_range(0..400) {
                0 => {
                    let process = self.start();
                    self.processes[index] = process;
                }
                1..6 => {
                    let pause = self.random.random_range(10..900);
                    self.processes[index].paused_until = self.now + pause;
                }
                _ => {}
            }
            self.run_calls(index);
            self.step_append(index);
            if self.chance(50) {
                self.step_read(index);
            }
            if self.chance(50) {
                let now = Instant::from_millis(self.now);
                let effects = self.processes[index].coordinator.tick(now);
                self.apply(index, effects);
            }
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.outcome_counts.get_or_insert_with(what, u32::default) += 1;
    }
}

/// Guards against two dispatches of a key, and against the outcome "not run" for a key that was
/// run, while processes restart, pause and lose replies.
#[test]
fn no_key_is_dispatched_twice_and_not_run_is_true() {
    let mut outcome_counts: Map<&'static str, u32> = Map::default();
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..2_000 {
            simulation.step();
        }
        for (what, count) in simulation.outcome_counts.iter() {
            *outcome_counts.get_or_insert_with(what, u32::default) += count;
        }
    }
    // Each kind must occur often enough, otherwise the sequences do not cover it.
    for what in [
        "done",
        "not run",
        "given up",
        "refused",
        "settled",
        "unknown",
        "forgotten",
        "unsettled",
        "conflict",
        "relayed",
    ] {
        assert!(
            outcome_counts.get(&what).copied().unwrap_or(0) > 20,
            "{what} is too rare: {outcome_counts:?}"
        );
    }
}
