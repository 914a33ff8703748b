//! Replays of a day on which many instances are partitioned from the store at once, while a few
//! members of groups are lost for good every three seconds.

mod engines;

use engines::{Faults, Simulation, Size, Weights};

/// Time for which a model may have too few groups: that of a load, and 5 s.
const RECOVERY_MS: u64 = 16_000 + 5_000;

/// Interval between two checks.
const CHECK_INTERVAL_MS: u64 = 500;

/// Time of the day in milliseconds.
const DAY_MS: u64 = 34_000;

/// Interval between two losses of members.
const LOSS_INTERVAL_MS: u64 = 3_000;

/// Plays the day with `domains` domains of 19 instances, with groups of 8 and of 4. At 1 s, 23% of
/// the instances are partitioned from the store for 10 s, and at 12 s another 12% for 5 s.
fn play(seed: u64, domains: usize) {
    let size =
        Size { domains, instances: 19, groups: (8, 4), weights: Weights::Newest, step_ms: 50 };
    let mut simulation = Simulation::with_size(seed, Faults::default(), size);
    simulation.stage_weights(11);
    simulation.run(25_000);
    let planned = (simulation.open_groups("large"), simulation.open_groups("small"));
    let (mut too_few_since, mut longest, mut broken) = (None, 0, 0);
    let dissolved_before = simulation.notes("dissolved: a member was lost");
    for at in (0..DAY_MS).step_by(CHECK_INTERVAL_MS as usize) {
        match at {
            1_000 => simulation.partition(0.23, 10_000),
            12_000 => simulation.partition(0.12, 5_000),
            _ => {}
        }
        if at % LOSS_INTERVAL_MS == 0 {
            broken += simulation.lose_members((domains / 5).max(2));
        }
        simulation.run(CHECK_INTERVAL_MS);
        match simulation.open_groups("large") * 4 < planned.0 * 3 {
            true => longest = longest.max(at - *too_few_since.get_or_insert(at)),
            false => too_few_since = None,
        }
    }
    assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    let open = (simulation.open_groups("large"), simulation.open_groups("small"));
    assert!(longest <= RECOVERY_MS, "seed {seed}: {longest} ms, {planned:?} then {open:?}");
    let dissolved = simulation.notes("dissolved: a member was lost") - dissolved_before;
    assert!(dissolved <= broken, "seed {seed}: {dissolved} dissolved, {broken} broke");
    assert!(open.1 * 2 >= planned.1, "seed {seed}: {planned:?} then {open:?}");
}

/// Guards against a planner that takes the instances that only the store cannot reach for lost ones,
/// and against a model whose groups are given up for another one and not restored. The failure was
/// observed with 171 instances: 34 groups were dissolved of which 8 had lost a member, and the larger
/// model fell from 7 groups to 1.
#[test]
fn partitioned_instances_keep_their_groups_in_9_domains() {
    (0..3).for_each(|seed| play(seed, 9));
}

/// The same with 760 instances: 99 groups were dissolved of which 1 had lost a member, and the
/// larger model fell from 40 groups to 5.
#[test]
fn partitioned_instances_keep_their_groups_in_40_domains() {
    play(0, 40);
}
