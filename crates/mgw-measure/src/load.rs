//! Supporting figures under a steady load with shared prompt prefixes and no faults.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use mgw_entry::node;
use mgw_route::select::Policy;
use mgw_scenario::world::call::{KeyKind, Outcome as End, Request};
use mgw_scenario::world::entry::Cost;
use mgw_scenario::world::{Micros, SECOND, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use smol_str::format_smolstr;

use crate::policy;
use crate::shape::Shape;
use crate::trial::{self, Calls};

/// Model calls per second.
const RATE: u64 = 60;

/// Bookings per second.
const BOOKINGS: u64 = 4;

/// Prompt prefixes per model; an engine caches 64.
const PREFIXES: u64 = 160;

/// Tokens of each prompt.
const PROMPT: u64 = 4_000;

/// Time before the load, in which groups form.
const START: Micros = 60 * SECOND;

/// How requests are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The product.
    Product,
    /// At random.
    Random,
    /// To the group with the fewest requests in flight from the same entry.
    LeastConnections,
}

impl Routing {
    /// All kinds.
    pub const ALL: [Routing; 3] = [Routing::Product, Routing::Random, Routing::LeastConnections];

    /// Its name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Routing::Product => "product",
            Routing::Random => "random",
            Routing::LeastConnections => "least-connections",
        }
    }

    fn tune(self) -> fn(&mut node::Options) {
        match self {
            Routing::Product => |options| options.planner = policy::timed,
            Routing::Random => |options| {
                options.planner = policy::timed;
                options.select.policy = Policy::Random;
            },
            Routing::LeastConnections => |options| {
                options.planner = policy::timed;
                options.select.policy = Policy::LeastConnections;
            },
        }
    }
}

/// Processor cost, which differs from run to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Busy {
    /// Processor time per entry and second, in microseconds.
    pub busy_us: f64,
    /// Largest planning pass in microseconds.
    pub pass_us: f64,
}

/// What a run gave.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Times to the first token of the answered model calls in milliseconds, ascending.
    #[serde(skip)]
    pub first_ms: Vec<f64>,
    /// Share of the prompts whose prefix was cached at the chosen group.
    pub hit_rate: f64,
    /// How the calls ended.
    pub calls: Calls,
    /// Log appends per second under load.
    pub appends: f64,
    /// Bytes of gossip that an entry sends per second.
    pub gossip: f64,
    /// The largest gossip frame in bytes.
    pub frame: u64,
    /// Broken invariants.
    pub violations: usize,
    /// Processor cost.
    pub cost: Busy,
}

/// The time since the first call, for [`mgw_scenario::world::entry::Options::cpu_clock`].
pub fn clock() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

/// The sum of the costs of all entries.
pub fn costs(world: &World) -> Cost {
    let costs = (0..world.entry_count()).filter_map(|it| world.cost(it));
    costs.fold(Cost::default(), |sum, it| Cost {
        cpu_time: sum.cpu_time + it.cpu_time,
        calls: sum.calls + it.calls,
        bytes_sent: sum.bytes_sent + it.bytes_sent,
        largest_frame: sum.largest_frame.max(it.largest_frame),
    })
}

/// Runs a steady load for `seconds`.
pub fn run(shape: &Shape, routing: Routing, seed: u64, seconds: u64) -> Outcome {
    let mut shape = shape.clone();
    shape.deployment.absent.clear();
    let mut options = trial::options(&shape, policy::Policy::Product, seed);
    options.entry.configure_node = routing.tune();
    options.entry.cpu_clock = Some(clock);
    let Ok(mut world) = World::new(options) else { return Outcome::default() };
    let mut random = SmallRng::seed_from_u64(seed ^ 0x6c6f_6164);
    let _ = policy::take_passes();
    world.run_until(START);
    let (before, log) = (costs(&world), world.log_size().1);
    let hits = world.prefix_hits();
    let period = SECOND / (RATE + BOOKINGS);
    let mut at = START;
    while at < START + seconds * SECOND {
        at += random.random_range(1..2 * period);
        world.run_until(at);
        call(&mut world, &shape, &mut random);
    }
    let (after, appends) = (costs(&world), world.log_size().1 - log);
    let span = (world.now() - START) as f64 / SECOND as f64;
    // The calls in flight end; their deadline is 30 s.
    world.run_until(at + 31 * SECOND);
    let entry_seconds = span * world.entry_count() as f64;
    let (hit, missed) = world.prefix_hits();
    let (hit, missed) = ((hit - hits.0) as f64, (missed - hits.1) as f64);
    let first = world.calls().iter().filter(|it| it.request.booking.is_none());
    let first = first.filter(|it| it.outcome == Some(End::Done)).filter_map(|it| {
        let first = it.first_token_at?;
        Some((first - it.started_at) as f64 / 1e3)
    });
    let mut first_ms: Vec<f64> = first.collect();
    first_ms.sort_by(f64::total_cmp);
    Outcome {
        first_ms,
        hit_rate: hit / (hit + missed).max(1.0),
        calls: Calls::count(&world),
        appends: appends as f64 / span,
        gossip: (after.bytes_sent - before.bytes_sent) as f64 / entry_seconds,
        frame: after.largest_frame,
        violations: world.violations().len(),
        cost: Busy {
            busy_us: (after.cpu_time - before.cpu_time).as_secs_f64() * 1e6 / entry_seconds,
            pass_us: policy::take_passes().1.as_secs_f64() * 1e6,
        },
    }
}

fn call(world: &mut World, shape: &Shape, random: &mut SmallRng) {
    let models = &shape.deployment.models;
    // The first three teams are large.
    let team = match random.random_range(0..10u32) {
        it @ 0..8 => it % 3,
        _ => random.random_range(3..10),
    };
    let team = format_smolstr!("team-{team}");
    if random.random_range(0..RATE + BOOKINGS) < BOOKINGS {
        let number = world.calls().len();
        let key = match number % 2 {
            0 => KeyKind::Executor,
            _ => KeyKind::Opaque(format_smolstr!("load-{number}")),
        };
        world.call(Request::booking("book", &team, "booking", key));
        return;
    }
    // Small models get more of the calls, as they have more groups.
    let model = match random.random_range(0..10u32) {
        0 => 0,
        1..=5 => 1,
        _ => 2,
    };
    // Low numbers are more frequent.
    let draw: f64 = random.random::<f64>();
    let prefix = 1 + (draw * draw * PREFIXES as f64) as u64;
    let mut ask = Request::model("draft", &team, &models[model].name);
    ask.prompt = PROMPT;
    ask.prefix = prefix + model as u64 * 10_000;
    world.call(ask);
}
