//! Measures latency, prefix cache hits and overhead under a steady load with shared prompt prefixes
//! and without faults.

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
use crate::setup::Setup;
use crate::trial::{self, Calls};

/// Model calls per second.
const MODEL_CALLS_PER_SECOND: u64 = 60;

/// Bookings per second.
const BOOKINGS_PER_SECOND: u64 = 4;

/// Distinct prompt prefixes per model. An engine caches 64, so not all of them fit into one cache.
const PREFIXES_PER_MODEL: u64 = 160;

/// Length of each prompt in tokens.
const PROMPT_TOKENS: u64 = 4_000;

/// Duration before the load starts, in which groups form.
const WARMUP: Micros = 60 * SECOND;

/// Policy by which entries choose a group for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The product's own policy.
    Product,
    /// A random group.
    Random,
    /// The group with the fewest requests in flight from the same entry.
    LeastConnections,
}

impl Routing {
    /// All routing policies.
    pub const ALL: [Routing; 3] = [Routing::Product, Routing::Random, Routing::LeastConnections];

    /// Name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Routing::Product => "product",
            Routing::Random => "random",
            Routing::LeastConnections => "least-connections",
        }
    }

    /// The change to a node's options that selects this policy and times the planner.
    fn node_options(self) -> fn(&mut node::Options) {
        match self {
            Routing::Product => |options| options.planner = policy::timed_plan,
            Routing::Random => |options| {
                options.planner = policy::timed_plan;
                options.select.policy = Policy::Random;
            },
            Routing::LeastConnections => |options| {
                options.planner = policy::timed_plan;
                options.select.policy = Policy::LeastConnections;
            },
        }
    }
}

/// Processor time used, which differs between runs with the same seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessorCost {
    /// Processor time per entry and second of virtual time, in microseconds.
    pub busy_us: f64,
    /// Longest planning pass in microseconds.
    pub pass_us: f64,
}

/// Results of a run. The field names are the keys in the JSON output.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Times to the first token of the answered model calls in milliseconds, ascending.
    #[serde(skip)]
    pub first_ms: Vec<f64>,
    /// Share of the prompts (0 to 1) whose prefix was cached at the chosen group.
    pub hit_rate: f64,
    /// Number of calls by outcome.
    pub calls: Calls,
    /// Log appends per second under load.
    pub appends: f64,
    /// Gossip sent per entry, in bytes per second.
    pub gossip: f64,
    /// Size of the largest gossip frame in bytes.
    pub frame: u64,
    /// Number of invariant violations.
    pub violations: usize,
    /// Processor time used.
    pub cost: ProcessorCost,
}

/// Real time since the first call of this function, used as
/// [`mgw_scenario::world::entry::Options::cpu_clock`] to measure processor time.
pub fn clock() -> Duration {
    static FIRST_CALL: OnceLock<Instant> = OnceLock::new();
    FIRST_CALL.get_or_init(Instant::now).elapsed()
}

/// Sums the costs of all entries; `largest` is their maximum.
pub fn total_cost(world: &World) -> Cost {
    let costs = (0..world.entry_count()).filter_map(|it| world.cost(it));
    costs.fold(Cost::default(), |sum, it| Cost {
        cpu_time: sum.cpu_time + it.cpu_time,
        calls: sum.calls + it.calls,
        bytes_sent: sum.bytes_sent + it.bytes_sent,
        largest_frame: sum.largest_frame.max(it.largest_frame),
    })
}

/// Runs a steady load for `seconds` of virtual time, after the warm-up.
pub fn run(setup: &Setup, routing: Routing, seed: u64, seconds: u64) -> Outcome {
    let mut setup = setup.clone();
    setup.deployment.absent.clear();
    let mut options = trial::options(&setup, policy::Policy::Product, seed);
    options.entry.configure_node = routing.node_options();
    options.entry.cpu_clock = Some(clock);
    let Ok(mut world) = World::new(options) else { return Outcome::default() };
    let mut random = SmallRng::seed_from_u64(seed ^ 0x6c6f_6164);
    let _ = policy::take_pass_times();
    world.run_until(WARMUP);
    let (before, appends_before) = (total_cost(&world), world.log_size().1);
    let hits_before = world.prefix_hits();
    let period = SECOND / (MODEL_CALLS_PER_SECOND + BOOKINGS_PER_SECOND);
    let mut at = WARMUP;
    while at < WARMUP + seconds * SECOND {
        at += random.random_range(1..2 * period);
        world.run_until(at);
        call(&mut world, &setup, &mut random);
    }
    let (after, appends) = (total_cost(&world), world.log_size().1 - appends_before);
    let span = (world.now() - WARMUP) as f64 / SECOND as f64;
    // Lets the calls in flight end; their deadline is 30 s.
    world.run_until(at + 31 * SECOND);
    let entry_seconds = span * world.entry_count() as f64;
    let (hit, missed) = world.prefix_hits();
    let (hit, missed) = ((hit - hits_before.0) as f64, (missed - hits_before.1) as f64);
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
        cost: ProcessorCost {
            busy_us: (after.cpu_time - before.cpu_time).as_secs_f64() * 1e6 / entry_seconds,
            pass_us: policy::take_pass_times().1.as_secs_f64() * 1e6,
        },
    }
}

/// Starts one random call: a booking or a model call with a shared prefix.
fn call(world: &mut World, setup: &Setup, random: &mut SmallRng) {
    let models = &setup.deployment.models;
    // The first three teams are large and make 8 of 10 calls.
    let team = match random.random_range(0..10u32) {
        it @ 0..8 => it % 3,
        _ => random.random_range(3..10),
    };
    let team = format_smolstr!("team-{team}");
    if random.random_range(0..MODEL_CALLS_PER_SECOND + BOOKINGS_PER_SECOND) < BOOKINGS_PER_SECOND {
        let number = world.calls().len();
        let key = match number % 2 {
            0 => KeyKind::Executor,
            _ => KeyKind::Opaque(format_smolstr!("load-{number}")),
        };
        world.call(Request::booking("book", &team, "booking", key));
        return;
    }
    // The smaller models have more groups and get 9 of 10 calls.
    let model = match random.random_range(0..10u32) {
        0 => 0,
        1..=5 => 1,
        _ => 2,
    };
    // Squaring the uniform value makes low prefix numbers more frequent.
    let uniform: f64 = random.random::<f64>();
    let prefix = 1 + (uniform * uniform * PREFIXES_PER_MODEL as f64) as u64;
    let mut ask = Request::model("draft", &team, &models[model].name);
    ask.prompt = PROMPT_TOKENS;
    ask.prefix = prefix + model as u64 * 10_000;
    world.call(ask);
}
