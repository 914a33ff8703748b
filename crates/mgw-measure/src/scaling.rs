//! Measures how the cost per entry grows with the number of entries in front of 600 servers.
//!
//! Every entry and every engine is simulated in full, because gossip, failure detection and log
//! replay depend on all of them.

use mgw_scenario::deployment::Edit;
use mgw_scenario::world::operator::Base;
use mgw_scenario::world::{MILLISECOND, Micros, SECOND, World};
use mgw_state::snapshot;
use serde::{Deserialize, Serialize};

use crate::load::{clock, total_cost};
use crate::policy::{self, Policy};
use crate::{setup, trial};

/// Numbers of entries that are measured; `scripts/measure` runs the same ones.
pub const ENTRY_COUNTS: [usize; 4] = [50, 100, 200, 420];

/// Duration before the measurement, in which groups form.
const WARMUP: Micros = 35 * SECOND;

/// Duration over which the steady state is measured.
const MEASURED_DURATION: Micros = 5 * SECOND;

/// How long a run waits for a publication to be in force at every entry.
const PUBLICATION_TIMEOUT: Micros = 10 * SECOND;

/// Results of a run. The field names are the keys in the JSON files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Number of entries, all simulated in full.
    pub entries: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Number of serving groups at the end of the run.
    pub groups: usize,
    /// Size of a snapshot of the state in bytes.
    pub snapshot: usize,
    /// Resident memory of the run per entry in bytes: that of all nodes, simulated services and
    /// messages in flight, divided by the number of entries. It therefore overestimates the memory
    /// of a single node.
    pub resident: u64,
    /// Gossip sent per entry, in bytes per second.
    pub gossip: f64,
    /// Processor time per entry and second of virtual time, in microseconds.
    pub busy_us: f64,
    /// Longest planning pass in microseconds.
    pub pass_us: f64,
    /// Time until a publication is in force at every entry, in milliseconds; `None` if it is not
    /// within 10 s.
    pub force_ms: Option<u64>,
    /// Number of invariant violations.
    pub violations: usize,
}

/// Resident memory of this process in bytes; 0 on systems without `/proc/self/status`.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Runs one number of entries. Resident memory is measured for the whole process, so each run needs
/// a process of its own.
pub fn run(entries: usize, seed: u64) -> Outcome {
    let setup = setup::large(entries);
    let mut options = trial::options(&setup, Policy::Product, seed);
    options.entry.configure_node = |options| options.planner = policy::timed_plan;
    options.entry.cpu_clock = Some(clock);
    options.checker.interval = 5 * SECOND;
    let resident_before = resident_bytes();
    let Ok(mut world) = World::new(options) else { return Outcome::default() };
    let _ = policy::take_pass_times();
    world.run_until(WARMUP);
    let before = total_cost(&world);
    world.run_until(WARMUP + MEASURED_DURATION);
    let after = total_cost(&world);
    let edit = Edit::Rate("team-0".into(), 900);
    let published = world.now();
    let old_version = world.config_version();
    world.publish("slope", 0, Base::Current, setup.deployment.sheet(&[edit]));
    let is_in_force = |world: &World| {
        (0..world.entry_count()).all(|entry| {
            world.node(entry).is_some_and(|node| node.state().config().version > old_version)
        })
    };
    while !is_in_force(&world) && world.now() < published + PUBLICATION_TIMEOUT {
        world.run_until(world.now() + 20 * MILLISECOND);
    }
    let force_ms = is_in_force(&world).then(|| (world.now() - published) / MILLISECOND);
    let snapshot = world.node(0).and_then(|node| snapshot::split(node.state()).ok());
    let groups: Vec<u64> = world.state().groups().map(|it| it.0).collect();
    let serving = groups
        .iter()
        .filter(|it| world.is_group_complete(**it) && world.servable_entry_count(**it) > 0);
    let entry_seconds = MEASURED_DURATION as f64 / SECOND as f64 * entries as f64;
    Outcome {
        entries,
        seed,
        groups: serving.count(),
        snapshot: snapshot.map_or(0, |parts| parts.iter().map(|it| it.bytes.len()).sum()),
        resident: resident_bytes().saturating_sub(resident_before) / entries.max(1) as u64,
        gossip: (after.bytes_sent - before.bytes_sent) as f64 / entry_seconds,
        busy_us: (after.cpu_time - before.cpu_time).as_secs_f64() * 1e6 / entry_seconds,
        pass_us: policy::take_pass_times().1.as_secs_f64() * 1e6,
        force_ms,
        violations: world.violations().len(),
    }
}
