//! Figures of the same node at growing numbers of entries in front of 600 servers.
//!
//! Every entry and every engine is simulated in full, because gossip, observation and replay of
//! the log depend on all of them.

use mgw_scenario::deployment::Edit;
use mgw_scenario::world::operator::Base;
use mgw_scenario::world::{MILLISECOND, Micros, SECOND, World};
use mgw_state::snapshot;
use serde::{Deserialize, Serialize};

use crate::load::{clock, costs};
use crate::policy::{self, Policy};
use crate::{shape, trial};

/// Numbers of entries.
pub const SIZES: [usize; 4] = [50, 100, 200, 420];

/// Time in which groups form.
const START: Micros = 35 * SECOND;

/// Time over which the steady state is measured.
const SPAN: Micros = 5 * SECOND;

/// Time within which a publication has to be in force.
const FORCE: Micros = 10 * SECOND;

/// What a run gave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Entries, all simulated in full.
    pub entries: usize,
    /// Seed.
    pub seed: u64,
    /// Serving groups at the end.
    pub groups: usize,
    /// Bytes of a snapshot of the state.
    pub snapshot: usize,
    /// Resident memory of the run per entry in bytes: all nodes, fakes and messages in flight
    /// together, divided by the entries. An upper estimate.
    pub resident: u64,
    /// Bytes of gossip that an entry sends per second.
    pub gossip: f64,
    /// Processor time per entry and second in microseconds.
    pub busy_us: f64,
    /// Longest planning pass in microseconds.
    pub pass_us: f64,
    /// Time until a publication is in force at every entry, in milliseconds; `None` if that took
    /// longer than 10 s.
    pub force_ms: Option<u64>,
    /// Broken invariants.
    pub violations: usize,
}

/// Resident memory of this process; 0 where the system does not tell.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Runs one size. The memory is that of the whole process, so each run needs a process of its own.
pub fn run(entries: usize, seed: u64) -> Outcome {
    let shape = shape::fleet(entries);
    let mut options = trial::options(&shape, Policy::Product, seed);
    options.entry.configure_node = |options| options.planner = policy::timed;
    options.entry.cpu_clock = Some(clock);
    options.checker.interval = 5 * SECOND;
    let base = resident();
    let Ok(mut world) = World::new(options) else { return Outcome::default() };
    let _ = policy::take_passes();
    world.run_until(START);
    let before = costs(&world);
    world.run_until(START + SPAN);
    let after = costs(&world);
    let edit = Edit::Rate("team-0".into(), 900);
    let published = world.now();
    let old = world.config_version();
    world.publish("slope", 0, Base::Current, shape.deployment.sheet(&[edit]));
    let is_in_force = |world: &World| {
        (0..world.entry_count())
            .all(|entry| world.node(entry).is_some_and(|node| node.state().config().version > old))
    };
    while !is_in_force(&world) && world.now() < published + FORCE {
        world.run_until(world.now() + 20 * MILLISECOND);
    }
    let force_ms = is_in_force(&world).then(|| (world.now() - published) / MILLISECOND);
    let snapshot = world.node(0).and_then(|node| snapshot::split(node.state()).ok());
    let groups: Vec<u64> = world.state().groups().map(|it| it.0).collect();
    let serving = groups
        .iter()
        .filter(|it| world.is_group_complete(**it) && world.servable_entry_count(**it) > 0);
    let entry_seconds = SPAN as f64 / SECOND as f64 * entries as f64;
    Outcome {
        entries,
        seed,
        groups: serving.count(),
        snapshot: snapshot.map_or(0, |parts| parts.iter().map(|it| it.bytes.len()).sum()),
        resident: resident().saturating_sub(base) / entries.max(1) as u64,
        gossip: (after.bytes_sent - before.bytes_sent) as f64 / entry_seconds,
        busy_us: (after.cpu_time - before.cpu_time).as_secs_f64() * 1e6 / entry_seconds,
        pass_us: policy::take_passes().1.as_secs_f64() * 1e6,
        force_ms,
        violations: world.violations().len(),
    }
}
