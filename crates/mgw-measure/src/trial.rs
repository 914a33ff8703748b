//! One run of a deployment under a script and a policy.

use mgw_entry::node;
use mgw_scenario::world::call::{KeyKind, Request};
use mgw_scenario::world::{MILLISECOND, Micros, Options, SECOND, Trace, World};
use serde::Serialize;
use smol_str::format_smolstr;

use crate::account::Account;
use crate::bound::{Bound, Fleet};
use crate::fault::{self, Mix, Span, Step};
use crate::policy::Policy;
use crate::shape::Shape;

/// Period of the samples.
const SAMPLE: Micros = 250 * MILLISECOND;

/// Period of the calls of a run, which alternate between model calls and bookings.
const CALL: Micros = 500 * MILLISECOND;

/// The span of a run.
pub const SPAN: Span = Span { from: 60 * SECOND, to: 270 * SECOND };

/// How the calls of a run ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// All calls.
    pub made: u64,
    /// Answered in full.
    pub done: u64,
    /// Refused before the first byte, or bookings that were not run.
    pub refused: u64,
    /// Streams that ended with an error.
    pub broken: u64,
    /// Bookings whose outcome cannot be told, and calls without an answer in time.
    pub unknown: u64,
    /// Calls that needed more than one attempt of their caller.
    pub retried: u64,
    /// Bookings that ran more than once.
    pub doubled: u64,
}

impl Calls {
    /// The calls of a run.
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

    /// Adds the calls of another run.
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

/// What a run gave.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// The measures.
    pub account: Account,
    /// The calls.
    pub calls: Calls,
    /// Log appends per second.
    pub appends: f64,
    /// Broken invariants that the judge found, with their times in seconds.
    pub violations: Vec<String>,
}

/// A node's options for a policy.
fn tune(policy: Policy) -> fn(&mut node::Options) {
    match policy {
        Policy::Product => |_| {},
        Policy::Static => |options| options.planner = Policy::Static.planner(),
        Policy::SheetOrder => |options| options.planner = Policy::SheetOrder.planner(),
    }
}

/// The options of a run of `shape`.
pub fn options(shape: &Shape, policy: Policy, seed: u64) -> Options {
    let mut options = shape.deployment.options();
    options.seed = seed;
    options.entry.configure_node = tune(policy);
    // The measures are taken here, so the judge checks less often.
    options.checker.interval = SECOND;
    options
}

/// Runs a script that [`fault::script`] draws from the seed.
pub fn run(shape: &Shape, mix: Mix, policy: Policy, seed: u64, span: Span) -> Outcome {
    let steps = fault::script(&shape.deployment, mix, span, seed);
    play(shape, &steps, policy, seed, span, |_| {})
}

/// Runs a script and shows `watch` the events of the run.
pub fn play<F>(
    shape: &Shape,
    steps: &[Step],
    policy: Policy,
    seed: u64,
    span: Span,
    watch: F,
) -> Outcome
where
    F: Fn(&Trace),
{
    let (deployment, names) = (&shape.deployment, shape.deployment.instance_names());
    let mut account = Account::default();
    let mut world = match World::new(options(shape, policy, seed)) {
        Ok(world) => world,
        Err(faults) => {
            let violations = faults.iter().map(|it| format!("{it:?}")).collect();
            return Outcome { account, calls: Calls::default(), appends: 0.0, violations };
        }
    };
    let mut fleet = Fleet::new(deployment);
    let mut bound = Bound::new(shape);
    let mut steps = steps.iter().peekable();
    let (mut now, mut turn) = (0, 0);
    while now < span.to {
        now += SAMPLE;
        while let Some(step) = steps.next_if(|it| it.at <= now) {
            world.run_until(step.at);
            fault::apply(&mut world, deployment, &names, step.fault);
            fleet.apply(step);
        }
        world.run_until(now);
        if now <= span.from {
            continue;
        }
        let least = bound.at(&fleet, now);
        account.add(&world, shape, &names, (&fleet, least), SAMPLE);
        if now.is_multiple_of(CALL) && now + 10 * SECOND < span.to {
            call(&mut world, shape, turn);
            turn += 1;
        }
    }
    world.trace().for_each(watch);
    let seconds = span.to as f64 / SECOND as f64;
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

fn call(world: &mut World, shape: &Shape, turn: usize) {
    let models = &shape.deployment.models;
    let team = format_smolstr!("team-{}", turn % 10);
    let ask = match turn % 4 {
        0 => Request::booking("book", &team, "booking", KeyKind::Executor),
        2 => {
            let key = KeyKind::Opaque(format_smolstr!("opaque-{turn}"));
            Request::booking("book", &team, "booking", key)
        }
        _ => Request::model("draft", &team, &models[turn / 2 % models.len()].name),
    };
    world.call(ask);
}
