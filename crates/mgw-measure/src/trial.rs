//! Runs a deployment under a fault schedule and a policy, and measures its cost.

use mgw_entry::node;
use mgw_scenario::world::call::{KeyKind, Request};
use mgw_scenario::world::{MILLISECOND, Micros, Options, SECOND, Trace, World};
use serde::Serialize;
use smol_str::format_smolstr;

use crate::bound::{Fleet, Solver};
use crate::cost::Totals;
use crate::fault::{self, Mix, Step, Window};
use crate::policy::Policy;
use crate::setup::Setup;

/// Interval between two samples of the cost.
const SAMPLE_INTERVAL: Micros = 250 * MILLISECOND;

/// Interval between two calls of a run, which alternate between bookings and model calls. It is a
/// multiple of [`SAMPLE_INTERVAL`].
const CALL_INTERVAL: Micros = 500 * MILLISECOND;

/// The measured part of a full run.
pub const WINDOW: Window = Window { start: 60 * SECOND, end: 270 * SECOND };

/// Number of calls of a run by outcome. The field names are the keys in the JSON output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Calls started, whatever their outcome.
    pub made: u64,
    /// Calls that were answered completely.
    pub done: u64,
    /// Calls that were refused before the first byte, and bookings that were not run.
    pub refused: u64,
    /// Calls whose stream ended with an error.
    pub broken: u64,
    /// Bookings whose outcome is unknown, and calls without an answer by their deadline.
    pub unknown: u64,
    /// Calls that their caller attempted more than once.
    pub retried: u64,
    /// Bookings that were executed more than once.
    pub doubled: u64,
}

impl Calls {
    /// Counts the calls that `world` has recorded.
    pub fn count(world: &World) -> Self {
        use mgw_scenario::world::call::Outcome;
        let mut calls = Self::default();
        for call in world.calls() {
            calls.made += 1;
            calls.retried += u64::from(call.attempts > 1);
            match call.outcome {
                Some(Outcome::Done) => calls.done += 1,
                Some(Outcome::Refused(_) | Outcome::NotRun) => calls.refused += 1,
                Some(Outcome::Broken(_)) => calls.broken += 1,
                Some(Outcome::Unknown | Outcome::Expired) => calls.unknown += 1,
                None => {}
            }
            if call.request.booking.is_some() {
                calls.doubled += u64::from(world.booking_record(call.hash()).runs > 1);
            }
        }
        calls
    }

    /// Adds the counts of another run.
    pub fn merge(&mut self, other: &Self) {
        self.made += other.made;
        self.done += other.done;
        self.refused += other.refused;
        self.broken += other.broken;
        self.unknown += other.unknown;
        self.retried += other.retried;
        self.doubled += other.doubled;
    }
}

/// Results of a run. The field names are the keys in the JSON output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Group downtime, stranded accelerators and their lower bound.
    pub account: Totals,
    /// Number of calls by outcome.
    pub calls: Calls,
    /// Log appends per second, averaged over the whole run including the warm-up.
    pub appends: f64,
    /// Invariant violations that the judge found, each with its time in seconds; if the world could
    /// not be created, the reasons.
    pub violations: Vec<String>,
}

/// The change to a node's options that selects the planner of `policy`.
fn node_options(policy: Policy) -> fn(&mut node::Options) {
    match policy {
        Policy::Product => |_| {},
        Policy::Static => |options| options.planner = Policy::Static.planner(),
        Policy::SheetOrder => |options| options.planner = Policy::SheetOrder.planner(),
    }
}

/// The world options for a run of `setup`.
pub fn options(setup: &Setup, policy: Policy, seed: u64) -> Options {
    let mut options = setup.deployment.options();
    options.seed = seed;
    options.entry.configure_node = node_options(policy);
    // The cost is sampled by `run_steps`, so the judge checks its invariants only every second.
    options.checker.interval = SECOND;
    options
}

/// Runs the schedule that [`fault::schedule`] generates from `seed`.
pub fn run(setup: &Setup, mix: Mix, policy: Policy, seed: u64, window: Window) -> Outcome {
    let steps = fault::schedule(&setup.deployment, mix, window, seed);
    run_steps(setup, &steps, policy, seed, window, |_| {})
}

/// Runs the given steps, which are ordered by time, and passes the recorded events of the run to
/// `on_event` at the end.
pub fn run_steps<F>(
    setup: &Setup,
    steps: &[Step],
    policy: Policy,
    seed: u64,
    window: Window,
    on_event: F,
) -> Outcome
where
    F: Fn(&Trace),
{
    let (deployment, names) = (&setup.deployment, setup.deployment.instance_names());
    let mut account = Totals::default();
    let mut world = match World::new(options(setup, policy, seed)) {
        Ok(world) => world,
        Err(faults) => {
            let violations = faults.iter().map(|it| format!("{it:?}")).collect();
            return Outcome { account, calls: Calls::default(), appends: 0.0, violations };
        }
    };
    let mut fleet = Fleet::new(deployment);
    let mut solver = Solver::new(setup);
    let mut steps = steps.iter().peekable();
    let (mut now, mut call_number) = (0, 0);
    while now < window.end {
        now += SAMPLE_INTERVAL;
        while let Some(step) = steps.next_if(|it| it.at <= now) {
            world.run_until(step.at);
            fault::apply(&mut world, deployment, &names, step.fault);
            fleet.apply(step);
        }
        world.run_until(now);
        if now <= window.start {
            continue;
        }
        let least = solver.min_rate(&fleet, now);
        account.add_sample(&world, setup, &names, (&fleet, least), SAMPLE_INTERVAL);
        if now.is_multiple_of(CALL_INTERVAL) && now + 10 * SECOND < window.end {
            call(&mut world, setup, call_number);
            call_number += 1;
        }
    }
    world.trace().for_each(on_event);
    let seconds = window.end as f64 / SECOND as f64;
    let violations = world.violations().iter().map(|it| {
        let at = it.at as f64 / SECOND as f64;
        format!("{at:.3} {} {}", it.invariant, it.text)
    });
    Outcome {
        account,
        calls: Calls::count(&world),
        appends: world.log_size().1 as f64 / seconds,
        violations: violations.collect(),
    }
}

/// Starts the call with the given number; even numbers are bookings, odd ones model calls.
fn call(world: &mut World, setup: &Setup, call_number: usize) {
    let models = &setup.deployment.models;
    let team = format_smolstr!("team-{}", call_number % 10);
    let ask = match call_number % 4 {
        0 => Request::booking("book", &team, "booking", KeyKind::Executor),
        2 => {
            let key = KeyKind::Opaque(format_smolstr!("opaque-{call_number}"));
            Request::booking("book", &team, "booking", key)
        }
        _ => Request::model("draft", &team, &models[call_number / 2 % models.len()].name),
    };
    world.call(ask);
}
