//! Randomized simulation of several planners and of instances with faults, in virtual time.
//!
//! Each run is determined by its seed, which a failed assertion prints.

mod engines;

use engines::{Faults, Simulation};

/// Number of seeds per set of faults. The environment variable `MGW_SEEDS` overrides it for longer
/// runs.
const SEEDS: u64 = 20;

fn seeds() -> u64 {
    std::env::var("MGW_SEEDS").map_or(SEEDS, |text| text.parse().expect("a number of seeds"))
}

/// Runs the simulation with `faults` and then without any, for each seed. Asserts that no rule was
/// violated and that at the end at least 70 % of the live instances are in serving groups.
fn check(name: &str, faults: Faults) {
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed, faults);
        simulation.run(40_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "{name}, seed {seed}");
        simulation.stop_faults();
        simulation.run(45_000);
        assert_eq!(
            simulation.violations,
            Vec::<String>::new(),
            "{name}, seed {seed}, after the faults"
        );
        let (serving, live) = simulation.serving();
        assert!(
            serving * 10 >= live * 7,
            "{name}, seed {seed}: {serving} of {live} live instances serve"
        );
    }
}

/// Guards against a planner that leaves instances without faults unused.
#[test]
fn instances_without_faults_serve() {
    check("no fault", Faults::default());
}

/// Guards against members in two groups and incomplete groups that open while instances crash, hang
/// and drain.
#[test]
fn instances_crash_hang_and_drain() {
    check("instances", Faults { crash: 0.04, hang: 0.02, drain: 0.04, ..Faults::default() });
}

/// Guards against orders that take effect after newer ones, and against orders that take effect
/// although their reply is lost.
#[test]
fn orders_are_late_and_replies_lost() {
    let faults = Faults { late_order: 0.3, lost_reply: 0.1, crash: 0.03, ..Faults::default() };
    check("late orders", faults);
}

/// Guards against a new planner whose view is older than that of the previous one.
#[test]
fn planners_replace_each_other() {
    let faults = Faults {
        planner_change: 0.15,
        late_order: 0.15,
        drain: 0.03,
        crash: 0.03,
        ..Faults::default()
    };
    check("planners", faults);
}

/// Guards against outdated list entries, which occur when instances are partitioned from the store
/// or the store answers reads with an older state.
#[test]
fn list_entries_are_outdated() {
    let faults = Faults {
        partition: 0.05,
        stale_reads: 0.08,
        planner_change: 0.1,
        drain: 0.03,
        crash: 0.03,
        late_order: 0.1,
        ..Faults::default()
    };
    check("old entries", faults);
}
