//! Seeded random sequences over several processes and one log: deaths, pauses, lost replies,
//! late appends, relays, eviction. Guards against two dispatches of a key and against "not run"
//! for a key that was run.

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
    born: u64,
    coordinator: Coordinator,
    /// Claims of the log below this position were passed to the coordinator.
    applied: usize,
    /// A read: when it was started, and the log's end when the log service answered it.
    reading: Option<(u64, Option<usize>)>,
    appending: Option<(u64, Append)>,
    ready: Vec<u128>,
    calls: Vec<(u128, End)>,
    paused_until: u64,
}

struct Attempt {
    key: u128,
    process: u64,
    arrived: u64,
    /// For a relayed request, the waiter at the relaying process.
    from: Option<u64>,
}

#[derive(Default)]
struct Run {
    dispatched_at: u64,
    ran: bool,
}

struct World {
    random: SmallRng,
    now: u64,
    log: Vec<(u128, u64)>,
    /// Claims whose append the writer takes for unknown and that reach the log later.
    late: Vec<(u128, u64)>,
    processes: Vec<Process>,
    attempts: Map<u64, Attempt>,
    waiters: u64,
    incarnations: u64,
    runs: Map<u128, Run>,
    /// Keys that were reported as not run for good.
    final_not_run: Map<u128, Cause>,
    /// When a process last reported a refused claim of a key.
    refused: Map<(u64, u128), u64>,
    /// The last request of a key that arrived at a process.
    arrivals: Map<(u64, u128), u64>,
    /// The last request that had arrived when a key was reported as refused with no other request
    /// of the key open anywhere. Nothing may run the key until another request arrives.
    settled: Map<u128, u64>,
    /// The executor keys in use: key hash to incarnation and issue time.
    executor_keys: Vec<(u128, u64, u64)>,
    seen: Map<&'static str, u32>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = World {
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            log: Vec::new(),
            late: Vec::new(),
            processes: Vec::new(),
            attempts: Map::default(),
            waiters: 0,
            incarnations: 0,
            runs: Map::default(),
            final_not_run: Map::default(),
            refused: Map::default(),
            arrivals: Map::default(),
            settled: Map::default(),
            executor_keys: Vec::new(),
            seen: Map::default(),
        };
        for _ in 0..PROCESSES {
            let process = world.start();
            world.processes.push(process);
        }
        world
    }

    fn start(&mut self) -> Process {
        self.incarnations += 1;
        // A small ledger, so that keys are evicted.
        let ledger = ledger::Options { max_keys: 6, ..ledger::Options::default() };
        let options = Options { ledger, ..Options::default() };
        Process {
            incarnation: self.incarnations,
            born: self.now,
            coordinator: Coordinator::new(
                options,
                self.incarnations,
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

    fn lookup(&self, place: usize, key: u128) -> Lookup {
        let read = &self.log[..self.processes[place].applied];
        match read.iter().find(|(claimed, _)| *claimed == key) {
            Some((_, executor)) => Lookup::Claimed(*executor),
            None if read.len() % 17 == 16 => Lookup::Full,
            None => Lookup::Unclaimed,
        }
    }

    fn call(&mut self) {
        let place = self.random.random_range(0..PROCESSES);
        let (key, hash) = match self.random.random_range(0..3) {
            0 => {
                let process = &self.processes[self.random.random_range(0..PROCESSES)];
                let issued_ms = self.now - process.born;
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
        self.arrive(place, &request, Origin::Caller, None);
    }

    fn arrive(&mut self, place: usize, request: &Request, origin: Origin, from: Option<u64>) {
        self.waiters += 1;
        let waiter = self.waiters;
        let lookup = self.lookup(place, request.hash);
        let now = Instant::from_millis(self.now);
        let process = &mut self.processes[place];
        let id = process.incarnation;
        let attempt = Attempt { key: request.hash, process: id, arrived: self.now, from };
        self.attempts.insert(waiter, attempt);
        self.arrivals.insert((id, request.hash), waiter);
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
            Some(place) if self.chance(90) => {
                self.count("relayed");
                // The answer is lost on the way back in some cases.
                let from = self.chance(80).then_some(waiter);
                if from.is_none() {
                    self.answer(waiter, Outcome::Unknown(Cause::AnswerLost));
                }
                self.arrive(place, request, Origin::Peer { executor }, from);
            }
            _ => self.answer(waiter, Outcome::Unknown(Cause::Unreachable)),
        }
    }

    fn answer(&mut self, waiter: u64, outcome: Outcome) {
        // A waiter is removed with its first answer, so a second one would fail here, unless its
        // caller left.
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
                if attempt.from.is_none() {
                    self.refused.insert((attempt.process, key), self.waiters);
                }
                if !self.attempts.iter().any(|(_, other)| other.key == key) {
                    self.settled.insert(key, self.waiters);
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
        if let Some(from) = attempt.from
            && self.attempts.get(&from).is_some()
        {
            self.answer(from, outcome);
        }
    }

    fn apply(&mut self, place: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Run(key) => self.processes[place].ready.push(key),
                Effect::Answer(Waiter(waiter), outcome) => self.answer(waiter, outcome),
                Effect::Relay { waiter: Waiter(waiter), executor, deadline } => {
                    let hash = self.attempts.get(&waiter).expect("the request waits").key;
                    let request = Request { key: Key::Opaque, hash, content: 1, deadline };
                    self.relay(waiter, &request, executor);
                }
            }
        }
    }

    fn send(&mut self, place: usize) {
        let now = Instant::from_millis(self.now);
        for key in std::mem::take(&mut self.processes[place].ready) {
            if self.chance(60) {
                self.processes[place].ready.push(key);
                continue;
            }
            if self.chance(5) {
                let effects = self.processes[place].coordinator.abandon(key);
                self.apply(place, effects);
                continue;
            }
            match self.processes[place].coordinator.dispatch(key, now) {
                Dispatch::Granted => {}
                Dispatch::Expired(answers) => {
                    let effects = answers.into_iter().map(|(w, o)| Effect::Answer(w, o)).collect();
                    self.apply(place, effects);
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
            let id = self.processes[place].incarnation;
            let run = Run { dispatched_at: self.now, ran };
            assert!(self.runs.insert(key, run).is_none(), "second dispatch of {key}");
            assert!(self.final_not_run.get(&key).is_none(), "dispatch after not run: {key}");
            if let Some(refused) = self.refused.get(&(id, key)) {
                let arrived = self.arrivals.get(&(id, key));
                assert!(arrived > Some(refused), "dispatch of a refused request: {key}");
            }
            if let Some(settled) = self.settled.get(&key) {
                let arrivals = self.arrivals.iter().filter(|((_, other), _)| *other == key);
                let last = arrivals.map(|(_, waiter)| *waiter).max();
                assert!(last > Some(*settled), "dispatch without a request: {key}");
            }
            self.processes[place].calls.push((key, end));
        }
        for (key, end) in std::mem::take(&mut self.processes[place].calls) {
            if self.chance(70) {
                self.processes[place].calls.push((key, end));
            } else {
                let effects = self.processes[place].coordinator.settle(key, end);
                self.apply(place, effects);
            }
        }
    }

    fn append(&mut self, place: usize) {
        let now = Instant::from_millis(self.now);
        let answered = self.chance(50);
        match self.processes[place].appending {
            Some((sequence, result)) if answered => {
                self.processes[place].coordinator.finish_append(sequence, result, now);
                self.processes[place].appending = None;
            }
            Some(_) => {}
            None => {
                let Some(batch) = self.processes[place].coordinator.next_batch(now) else { return };
                let id = self.processes[place].incarnation;
                let claims = batch.keys.into_iter().map(|key| (key, id));
                let result = match self.random.random_range(0..10) {
                    0 | 1 => Append::Refused,
                    2 => Append::Unknown,
                    3 => {
                        self.late.extend(claims);
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
                self.processes[place].appending = Some((batch.sequence, result));
            }
        }
    }

    fn read(&mut self, place: usize) {
        let (now, end) = (self.now, self.log.len());
        match self.processes[place].reading {
            None => self.processes[place].reading = Some((now, None)),
            Some((started, None)) => self.processes[place].reading = Some((started, Some(end))),
            Some((started, Some(end))) => {
                for position in self.processes[place].applied..end {
                    let (key, executor) = self.log[position];
                    let first = !self.log[..position].iter().any(|(claimed, _)| *claimed == key);
                    self.processes[place].applied = position + 1;
                    if first {
                        let effects =
                            self.processes[place].coordinator.observe_claim(key, executor);
                        self.apply(place, effects);
                    }
                }
                self.processes[place].reading = None;
                let started = Instant::from_millis(started);
                let effects = self.processes[place].coordinator.caught_up(started);
                self.apply(place, effects);
            }
        }
    }

    fn leave(&mut self) {
        let back = self.random.random_range(0..4);
        let Some(place) = self.attempts.len().checked_sub(back + 1) else { return };
        let Some((waiter, attempt)) = self.attempts.iter().nth(place) else { return };
        let (waiter, key, id) = (*waiter, attempt.key, attempt.process);
        if let Some(process) = self.processes.iter_mut().find(|other| other.incarnation == id) {
            process.coordinator.remove_waiter(key, Waiter(waiter));
            self.attempts.remove(&waiter);
        }
    }

    fn step(&mut self) {
        self.now += self.random.random_range(1..12);
        if self.chance(60) {
            self.call();
        }
        if self.chance(15) {
            self.leave();
        }
        if self.chance(10) && !self.late.is_empty() {
            let claim = self.late.remove(0);
            self.log.push(claim);
        }
        for place in 0..PROCESSES {
            if self.processes[place].paused_until > self.now {
                continue;
            }
            match self.random.random_range(0..400) {
                0 => {
                    let process = self.start();
                    self.processes[place] = process;
                }
                1..6 => {
                    let pause = self.random.random_range(10..900);
                    self.processes[place].paused_until = self.now + pause;
                }
                _ => {}
            }
            self.send(place);
            self.append(place);
            if self.chance(50) {
                self.read(place);
            }
            if self.chance(50) {
                let now = Instant::from_millis(self.now);
                let effects = self.processes[place].coordinator.tick(now);
                self.apply(place, effects);
            }
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.seen.entry(what, u32::default) += 1;
    }
}

/// Guards against two dispatches of a key, and against "not run" for a key that was run, while
/// processes die, pause and lose replies.
#[test]
fn no_key_is_dispatched_twice_and_not_run_is_true() {
    let mut seen: Map<&'static str, u32> = Map::default();
    for seed in 0..200 {
        let mut world = World::new(seed);
        for _ in 0..2_000 {
            world.step();
        }
        for (what, count) in world.seen.iter() {
            *seen.entry(what, u32::default) += count;
        }
    }
    // Every kind of answer must occur, otherwise the sequences do not test what they should.
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
        assert!(seen.get(&what).copied().unwrap_or(0) > 20, "{what} is too rare: {seen:?}");
    }
}
