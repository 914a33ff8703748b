//! Runs a script against a simulated deployment and checks its expectations and the invariants.

use std::fmt;

use smol_str::{SmolStr, format_smolstr};

use crate::script::{
    Action, Base, Condition, Expectation, Key, Metric, Script, Step, Target, When,
};
use crate::world::call::KeyKind;
use crate::world::entry::EntryStatus;
use crate::world::link::{Party, Side};
use crate::world::log::Mode;
use crate::world::operator::{self, Result as Published};
use crate::world::platform::Listed;
use crate::world::{MILLISECOND, Micros, World};

/// Interval in virtual time between two checks of the expectations and invariants.
const CHECK_INTERVAL: Micros = 100 * MILLISECOND;

/// Limits of the events that a failure report contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Period before the failure whose events are reported.
    pub event_window: Micros,
    /// Maximum number of events; the newest are kept.
    pub max_events: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { event_window: 4_000 * MILLISECOND, max_events: 120 }
    }
}

/// An expectation or invariant that did not hold.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The expectation with its line number.
    pub expectation: String,
    /// The last unrepeated step before the failure, with its line number.
    pub step: String,
    /// The value or violation that was observed, with its virtual time.
    pub observed: String,
    /// The last events before the failure and a summary of the deployment.
    pub events: Vec<String>,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}, {}, {}", self.expectation, self.step, self.observed)
    }
}

/// Runs a script to its end and returns the final state of the simulated deployment.
///
/// # Errors
///
/// Returns the first expectation that does not hold. A violated invariant counts as one.
pub fn run(script: &Script, options: Options) -> Result<World, Box<Failure>> {
    let world = World::new(script.deployment.options()).map_err(|faults| {
        Box::new(Failure {
            expectation: "a valid sheet".into(),
            step: "start".into(),
            observed: format!("{faults:?}"),
            events: Vec::new(),
        })
    })?;
    let mut runner = Runner {
        script,
        options,
        world,
        satisfied: vec![false; script.expectations.len()],
        last_planner: None,
        last_step: None,
    };
    runner.run()?;
    Ok(runner.world)
}

struct Runner<'a> {
    script: &'a Script,
    options: Options,
    world: World,
    /// Whether the condition of each `by` expectation has held at a check, by index.
    satisfied: Vec<bool>,
    /// The entry that the most recent `planner` resolved to; the target `last` refers to it.
    last_planner: Option<usize>,
    /// The last unrepeated step that was run, for failure reports.
    last_step: Option<&'a Step>,
}

impl<'a> Runner<'a> {
    fn run(&mut self) -> Result<(), Box<Failure>> {
        let mut schedule: Vec<(Micros, usize)> = Vec::new();
        for (index, step) in self.script.steps.iter().enumerate() {
            schedule.push((step.from, index));
            let mut at = step.from + step.interval;
            while step.interval > 0 && at <= step.to {
                schedule.push((at, index));
                at += step.interval;
            }
        }
        schedule.sort_unstable();
        let mut schedule = schedule.into_iter().peekable();
        let mut check_time = 0;
        loop {
            while let Some((at, index)) = schedule.next_if(|(at, _)| *at <= check_time) {
                self.world.run_until(at);
                let step = &self.script.steps[index];
                if step.interval == 0 {
                    self.last_step = Some(step);
                    self.world.trace_text("script", format!("line {}: {}", step.line, step.text));
                }
                self.apply(&step.action, step.interval > 0);
            }
            self.world.run_until(check_time);
            self.check(check_time)?;
            if check_time >= self.script.end {
                break;
            }
            check_time = (check_time + CHECK_INTERVAL).min(self.script.end);
        }
        self.check_end()
    }

    /// Checks the invariants and the expectations that apply at `now`.
    fn check(&mut self, now: Micros) -> Result<(), Box<Failure>> {
        if let Some(violation) = self.world.violations().first() {
            let observed = format!(
                "at {:.3}s {}: {}",
                violation.at as f64 / 1e6,
                violation.invariant,
                violation.text
            );
            return Err(self.failure("the invariants hold".into(), observed));
        }
        for index in 0..self.script.expectations.len() {
            let expectation = &self.script.expectations[index];
            let (applies, expected) = match expectation.when {
                When::At(at) => (at <= now && now < at + CHECK_INTERVAL, true),
                When::By(from, to) => (from <= now && now <= to && !self.satisfied[index], true),
                When::Always(from, to) => (from <= now && now <= to, true),
                When::Never(from, to) => (from <= now && now <= to, false),
                When::End => (false, true),
            };
            if !applies {
                continue;
            }
            let holds = self.holds(&expectation.condition);
            match expectation.when {
                When::By(_, to) => {
                    self.satisfied[index] |= holds;
                    if !holds && now + CHECK_INTERVAL > to {
                        return Err(self.unmet_expectation(expectation));
                    }
                }
                _ if holds != expected => return Err(self.unmet_expectation(expectation)),
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks the expectations for the end of the run.
    fn check_end(&mut self) -> Result<(), Box<Failure>> {
        for expectation in &self.script.expectations {
            if expectation.when == When::End && !self.holds(&expectation.condition) {
                return Err(self.unmet_expectation(expectation));
            }
        }
        Ok(())
    }

    fn unmet_expectation(&self, expectation: &Expectation) -> Box<Failure> {
        let value = self.evaluate(&expectation.condition.metric);
        let observed = format!("seen {value} at {:.1}s", self.world.now() as f64 / 1e6);
        self.failure(format!("line {}: {}", expectation.line, expectation.text), observed)
    }

    fn failure(&self, expectation: String, observed: String) -> Box<Failure> {
        let step = match self.last_step {
            Some(step) => format!("after line {}: {}", step.line, step.text),
            None => "before the first step".into(),
        };
        let since = self.world.now().saturating_sub(self.options.event_window);
        let events: Vec<String> =
            self.world.trace().filter(|it| it.at >= since).map(ToString::to_string).collect();
        let skip = events.len().saturating_sub(self.options.max_events);
        let mut events = events[skip..].to_vec();
        events.extend(self.world.summary());
        Box::new(Failure { expectation, step, observed, events })
    }

    fn holds(&self, condition: &Condition) -> bool {
        condition.relation.holds(self.evaluate(&condition.metric), condition.value)
    }

    /// Resolves a target to an entry, or `None` if it is something else.
    fn entry(&mut self, target: &Target) -> Option<usize> {
        match self.party(target) {
            Some(Party::Entry(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Resolves a target to a single party; domains and zones give `None`.
    fn party(&mut self, target: &Target) -> Option<Party> {
        match target {
            Target::Node(name) => self.world.find_party(name),
            Target::Planner => {
                self.last_planner = self.world.planner();
                self.last_planner.map(Party::Entry)
            }
            Target::TrappedEntry => self.world.last_stopped_entry().map(Party::Entry),
            Target::LastPlanner => self.last_planner.map(Party::Entry),
            Target::Domain(_) | Target::Zone(_) => None,
        }
    }

    /// Resolves a target to the set of parties whose network connections an action changes.
    fn side(&mut self, target: &Target) -> Option<Side> {
        match target {
            Target::Domain(name) => self.world.find_domain(name),
            Target::Zone(name) => self.world.find_zone(name),
            _ => self.party(target).map(Side::One),
        }
    }

    /// Runs an action. An action whose target cannot be resolved has no effect.
    ///
    /// `repeated` marks a step with an interval.
    fn apply(&mut self, action: &'a Action, repeated: bool) {
        match action {
            Action::Fail(target) => self.apply_to(target, World::stop),
            Action::Restart(target) => self.apply_to(target, World::restart),
            Action::Pause(target) => self.apply_to(target, World::pause),
            Action::Resume(target) => self.apply_to(target, World::resume),
            Action::Slow(target, factor) => {
                self.apply_to(target, |world, party| world.slow(party, *factor))
            }
            Action::Leave(target) => {
                self.apply_to(target, |world, party| world.set_listed(party, Listed::Leaving));
            }
            Action::Arrive(target) => self.apply_to(target, |world, party| {
                world.bring_up(party);
            }),
            Action::Vanish(target) => self.apply_to(target, |world, party| {
                world.stop(party);
                world.set_listed(party, Listed::Absent);
            }),
            Action::Dark(target) => {
                if let Some(side) = self.side(target) {
                    self.world.isolate(side);
                }
            }
            Action::Cut(left, right) => {
                if let (Some(left), Some(right)) = (self.side(left), self.side(right)) {
                    self.world.partition(left, right);
                }
            }
            Action::Heal(left, right) => {
                let left = left.as_ref().and_then(|it| self.side(it));
                let right = right.as_ref().and_then(|it| self.side(it));
                self.world.heal(left, right);
            }
            Action::LogDown => self.world.set_log_mode(Mode::Down),
            Action::LogUp => self.world.set_log_mode(Mode::Up),
            Action::LogSilent => self.world.set_log_mode(Mode::Silent),
            Action::LogSlow(time) => self.world.set_log_mode(Mode::Slow(*time)),
            Action::LogLose(count) => self.world.drop_append_replies(*count),
            Action::LogRetain(count) => self.world.trim_log(*count),
            Action::ListStale(stale) => self.world.set_list_frozen(*stale),
            Action::ListDown(down) => self.world.set_list_down(*down),
            Action::Weights { down, slowdown } => self.world.set_store(*down, *slowdown),
            Action::Publish { name, via, base, edits } => {
                let Some(entry) = self.entry(via) else { return };
                let sheet = self.script.deployment.sheet(edits);
                let base = match base {
                    Base::Current => operator::Base::Current,
                    Base::Publication(other) => operator::Base::Version(self.version_of(other)),
                };
                // A second publication under the same name has no effect, so each repetition gets
                // a name of its own.
                let count = self.world.publications().len();
                let name = match repeated {
                    true => format_smolstr!("{name}-{count}"),
                    false => name.clone(),
                };
                self.world.publish(&name, entry, base, sheet);
            }
            Action::Silent(entry, engine) => {
                if let (Some(entry), Some(Party::Engine(engine))) =
                    (self.entry(entry), self.party(engine))
                {
                    self.world.silence_connections(entry, engine);
                }
            }
            Action::Mute(target, muted) => {
                if let Some(Party::Server(server)) = self.party(target) {
                    self.world.set_silent(server, *muted);
                }
            }
            Action::Refuse(target, refuses) => {
                if let Some(Party::Server(server)) = self.party(target) {
                    self.world.set_refusing(server, *refuses);
                }
            }
            Action::Replace(target, after) => {
                if let Some(entry) = self.entry(target) {
                    self.world.replace_entry(entry, *after);
                }
            }
            Action::Trap(point, kill) => self.world.set_breakpoint(*point, *kill),
            Action::Drain(target) => {
                if let Some(entry) = self.entry(target) {
                    self.world.drain_entry(entry);
                }
            }
            Action::Mark(target, mark) => {
                let serving = (0..self.world.entry_count())
                    .find(|entry| self.world.entry_status(*entry) == EntryStatus::Serving);
                if let (Some(party), Some(entry)) = (self.party(target), serving) {
                    self.world.mark(entry, party, *mark);
                }
            }
            Action::Gone(target) => {
                let gone = self.entry(target);
                let serving = (0..self.world.entry_count())
                    .find(|entry| self.world.entry_status(*entry) == EntryStatus::Serving);
                if let (Some(gone), Some(entry)) = (gone, serving) {
                    self.world.declare_gone(entry, gone);
                }
            }
            Action::Flaw(target, flaw) => {
                if let Some(Party::Engine(engine)) = self.party(target) {
                    self.world.set_flaw(engine, *flaw);
                }
            }
            Action::Call { ask, zone, via } => {
                let mut ask = ask.clone();
                ask.zone = zone.as_deref().and_then(|it| self.zone_index(it));
                ask.via = via.as_ref().and_then(|it| self.entry(it));
                self.world.call(ask);
            }
            Action::Book { ask, key, zone, via } => {
                let mut ask = ask.clone();
                ask.zone = zone.as_deref().and_then(|it| self.zone_index(it));
                ask.via = via.as_ref().and_then(|it| self.entry(it));
                let count = self.world.calls().len();
                ask.booking = Some(match key {
                    Key::Executor => KeyKind::Executor,
                    Key::Opaque(key) => KeyKind::Opaque(key.clone()),
                    Key::Unique => KeyKind::Opaque(format_smolstr!("{}-{count}", ask.name)),
                    Key::SameAs(name) => {
                        let first = self.world.calls().iter().find(|it| it.request.name == *name);
                        KeyKind::Opaque(first.map_or(SmolStr::default(), |it| it.key.clone()))
                    }
                });
                self.world.call(ask);
            }
        }
    }

    /// Calls `act` for the party of a target, or does nothing if the target is not a single party.
    fn apply_to<F>(&mut self, target: &Target, act: F)
    where
        F: FnOnce(&mut World, Party),
    {
        if let Some(party) = self.party(target) {
            act(&mut self.world, party);
        }
    }

    fn zone_index(&self, name: &str) -> Option<usize> {
        match self.world.find_zone(name) {
            Some(Side::Zone(zone)) => Some(zone),
            _ => None,
        }
    }

    /// Returns the version that a publication brought into force, or 0 if it is not in force.
    fn version_of(&self, publication: &str) -> u64 {
        let found = self.world.publications().iter().find(|it| it.name == publication);
        match found.and_then(|it| it.result.clone()) {
            Some(Published::InForce(version)) => version,
            _ => 0,
        }
    }

    /// Returns the present value of a metric.
    fn evaluate(&self, metric: &Metric) -> f64 {
        let world = &self.world;
        let calls_named = |name: &SmolStr| {
            let name = name.clone();
            world.calls().iter().filter(move |it| it.request.name == name)
        };
        let ended_count = |name: &SmolStr, outcome: &SmolStr| {
            let outcome = outcome.clone();
            calls_named(name)
                .filter(move |it| it.outcome.is_some_and(|it| it.name() == outcome))
                .count()
        };
        let publication_count = |names: &[SmolStr], is: fn(&Published) -> bool| {
            let publications = world.publications().iter();
            let found = publications
                .filter(|it| names.contains(&it.name) && it.result.as_ref().is_some_and(is));
            found.count() as f64
        };
        let millis = |micros: Micros| (micros / MILLISECOND) as f64;
        match metric {
            Metric::Serving(model) => world.serving_group_count(model) as f64,
            Metric::Groups(model, version) => {
                let groups = world.state().groups().filter(|(_, group)| {
                    group.model == *model
                        && version.as_ref().is_none_or(|version| group.version == *version)
                });
                groups.count() as f64
            }
            Metric::Entries => {
                let serving = (0..world.entry_count())
                    .filter(|entry| world.entry_status(*entry) == EntryStatus::Serving);
                serving.count() as f64
            }
            Metric::Behind => {
                let behind = (0..world.entry_count()).filter(|entry| {
                    let version = world.node(*entry).map(|it| it.state().config().version);
                    version.is_some_and(|version| version != world.config_version())
                });
                behind.count() as f64
            }
            Metric::Term => world.state().term().number as f64,
            Metric::Serves(name) => {
                f64::from(u8::from(world.group_of(name).is_some_and(|it| it.1)))
            }
            Metric::Grouped(name) => f64::from(u8::from(world.group_of(name).is_some())),
            Metric::Published(names) => {
                publication_count(names, |it| matches!(it, Published::InForce(_)))
            }
            Metric::Superseded(names) => {
                publication_count(names, |it| matches!(it, Published::Superseded(_)))
            }
            Metric::Refused(names) => {
                publication_count(names, |it| matches!(it, Published::Refused(_)))
            }
            Metric::Crashes => f64::from(world.crash_count()),
            Metric::Calls(name) => calls_named(name).count() as f64,
            Metric::Count(name, outcome) => ended_count(name, outcome) as f64,
            Metric::Open(name) => {
                calls_named(name).filter(|it| it.outcome.is_none()).count() as f64
            }
            Metric::Share(name, outcome) => {
                let all = calls_named(name).filter(|it| it.outcome.is_some()).count();
                if all == 0 { 0.0 } else { ended_count(name, outcome) as f64 / all as f64 }
            }
            Metric::Runs(name) => {
                let runs = calls_named(name).map(|it| world.booking_record(it.hash()).runs).max();
                f64::from(runs.unwrap_or(0))
            }
            Metric::Ran(name) => {
                let mut keys: Vec<u128> = calls_named(name).map(|it| it.hash()).collect();
                keys.sort_unstable();
                keys.dedup();
                keys.iter().filter(|key| world.booking_record(**key).runs > 0).count() as f64
            }
            Metric::First(name) => {
                let mut times: Vec<Micros> = calls_named(name)
                    .filter_map(|it| Some(it.first_token_at? - it.started_at))
                    .collect();
                times.sort_unstable();
                millis(times.get(times.len() * 95 / 100).copied().unwrap_or(0))
            }
            Metric::Slowest(name) => {
                let successful = calls_named(name)
                    .filter(|it| it.outcome == Some(crate::world::call::Outcome::Done));
                millis(successful.map(|it| it.ended_at - it.started_at).max().unwrap_or(0))
            }
            Metric::Within(name, time) => {
                let in_time = |it: &&crate::world::call::Call| {
                    it.outcome == Some(crate::world::call::Outcome::Done)
                        && it.ended_at - it.started_at <= *time
                };
                let all = calls_named(name).count();
                if all == 0 {
                    0.0
                } else {
                    calls_named(name).filter(in_time).count() as f64 / all as f64
                }
            }
            Metric::Gap(name) => millis(calls_named(name).map(|it| it.max_gap).max().unwrap_or(0)),
            Metric::Attempts(name) => {
                let (count, sum) = calls_named(name)
                    .fold((0, 0), |(count, sum), it| (count + 1, sum + it.attempts));
                if count == 0 { 0.0 } else { f64::from(sum) / f64::from(count) }
            }
            Metric::Downtime => world.measure().total_downtime(),
            Metric::Stranded => world.measure().total_stranded(),
            Metric::Events(name) => world.event_count(name) as f64,
            Metric::Records => world.log_size().0 as f64,
        }
    }
}
