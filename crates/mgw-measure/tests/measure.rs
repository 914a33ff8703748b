//! Tests of the lower bound, the sums by cause and the reproducibility of runs.

use mgw_measure::bound::{Fleet, Solver};
use mgw_measure::fault::{self, Fault, Mix, Step, Window};
use mgw_measure::load::{self, ProcessorCost, Routing};
use mgw_measure::policy::Policy;
use mgw_measure::setup::{self, Setup};
use mgw_measure::{parallel, trial};
use mgw_scenario::world::SECOND;

const WINDOW: Window = Window { start: 30 * SECOND, end: 100 * SECOND };

/// A deployment with one small domain per zone. One domain has more than nine instances, so that
/// the order of the instances by name differs from that by number.
fn small() -> Setup {
    let mut setup = setup::tesnota();
    let deployment = &mut setup.deployment;
    deployment.domains.retain(|it| it.name.ends_with("-r1"));
    deployment.domains[0].size = 11;
    deployment.domains[1].size = 5;
    deployment.domains[2].size = 4;
    deployment.entries.truncate(4);
    deployment.models.iter_mut().for_each(|it| it.replicas = it.replicas.min(2));
    let names = deployment.instance_names();
    deployment.absent = names.iter().step_by(4).cloned().collect();
    setup
}

/// Guards against a policy whose cost is below the bound. This happened when a step was applied to
/// one instance in the world and to another one in the bound's fleet.
#[test]
fn no_policy_costs_less_than_the_lower_bound() {
    let setup = small();
    let mut jobs = Vec::new();
    for mix in Mix::ALL {
        for policy in Policy::ALL {
            jobs.extend((100..104).map(|seed| (mix, policy, seed)));
        }
    }
    let outcomes = parallel::map(&jobs, |(mix, policy, seed)| {
        trial::run(&setup, *mix, *policy, *seed, WINDOW)
    });
    for (job, outcome) in jobs.iter().zip(&outcomes) {
        let account = &outcome.account;
        assert_eq!(account.below, 0, "{job:?}");
        assert!(
            account.combined_cost(setup.weight) >= account.lower_bound(setup.weight),
            "{job:?}"
        );
        assert!(account.serving > 0.0, "nothing served in {job:?}");
    }
}

/// The least combined cost over all ways to place groups into zones, by recursion over the groups.
fn exhaustive_search(
    setup: &Setup,
    zones: &mut [usize],
    loaded: usize,
    on_hand: usize,
    placed: &mut Vec<usize>,
    first: usize,
) -> f64 {
    let models = &setup.deployment.models;
    let (mut down, mut serving) = (0, 0);
    for (model, placed) in models.iter().zip(placed.iter()) {
        down += (model.replicas as usize).saturating_sub(*placed) * model.instances as usize;
        serving += placed * model.instances as usize;
    }
    let idle = on_hand.saturating_sub(serving) as f64;
    let mut least = 8.0 * (setup.weight * down as f64 + (1.0 - setup.weight) * idle);
    for choice in first..models.len() * zones.len() {
        let (model, zone) = (choice / zones.len(), choice % zones.len());
        let size = models[model].instances as usize;
        if zones[zone] >= size && loaded >= size {
            zones[zone] -= size;
            placed[model] += 1;
            least =
                least.min(exhaustive_search(setup, zones, loaded - size, on_hand, placed, choice));
            placed[model] -= 1;
            zones[zone] += size;
        }
    }
    least
}

/// Guards against a result above the cost of the best assignment, which is no lower bound, and
/// against one below it, which is less tight than possible. Leaving instances can
/// serve without counting as available, so the steps of this test have none.
#[test]
fn lower_bound_equals_exhaustive_search() {
    let setup = small();
    let deployment = &setup.deployment;
    for seed in 0..40 {
        let mut steps = fault::schedule(deployment, Mix::Heavy, WINDOW, seed);
        steps.retain(|it| !matches!(it.fault, Fault::Leave(_) | Fault::Remove(_)));
        let mut fleet = Fleet::new(deployment);
        steps.iter().take(seed as usize).for_each(|it| fleet.apply(it));
        // All loads have ended by this time.
        let now = 1_000 * SECOND;
        let got = Solver::new(&setup).min_rate(&fleet, now).combined_cost(setup.weight);
        let mut zones = vec![0; 3];
        for it in fleet.instances.iter().filter(|it| it.is_up()) {
            zones[it.zone] += 1;
        }
        let running = fleet.instances.iter().filter(|it| it.running).count();
        let on_hand = fleet.instances.iter().filter(|it| it.is_available()).count();
        let mut placed = vec![0; deployment.models.len()];
        let best = exhaustive_search(&setup, &mut zones, running, on_hand, &mut placed, 0);
        assert!((got - best).abs() < 1e-6, "seed {seed}: {got} instead of {best}");
    }
}

/// Guards against a bound that lets more instances load concurrently than `weight_loads` allows, or
/// that does not require a load after a restart.
#[test]
fn lower_bound_limits_concurrent_loads() {
    let mut setup = small();
    setup.deployment.absent.clear();
    for (name, value) in &mut setup.deployment.settings {
        if name == "weight_loads" {
            *value = 4.0;
        }
    }
    let mut fleet = Fleet::new(&setup.deployment);
    let stranded = |fleet: &Fleet, seconds| {
        Solver::new(&setup).min_rate(fleet, seconds * SECOND).stranded / 8.0
    };
    let all: Vec<f64> = [7, 8, 16, 24, 32, 40].map(|it| stranded(&fleet, it)).to_vec();
    assert_eq!(all, [20.0, 16.0, 12.0, 8.0, 4.0, 2.0]);
    // A restarted instance has to load again.
    fleet.apply(&Step { at: 50 * SECOND, fault: Fault::Fail(0) });
    fleet.apply(&Step { at: 60 * SECOND, fault: Fault::Restart(0) });
    assert_eq!(stranded(&fleet, 61), 2.0);
    assert!(fleet.instances[0].started_at == 60 * SECOND);
}

/// Guards against downtime or stranded accelerators that are counted under no cause or under two.
#[test]
fn costs_by_cause_add_up_to_the_totals() {
    let setup = small();
    let wanted: u32 = setup.deployment.models.iter().map(|it| it.instances * it.replicas).sum();
    for (policy, seed) in Policy::ALL.into_iter().zip(7..) {
        let account = trial::run(&setup, Mix::Heavy, policy, seed, WINDOW).account;
        assert!((account.seconds - 70.0).abs() < 1e-6);
        let sum: f64 = account.stranded.iter().sum();
        assert!((account.on_hand - account.serving - sum).abs() < 1e-6, "{account:?}");
        assert!(account.down <= f64::from(wanted * 8) * account.seconds);
        // Groups have 2 to 8 instances of 8 accelerators.
        let seconds: f64 = account.downtime.iter().sum();
        assert!(account.down >= seconds * 16.0 && account.down <= seconds * 64.0);
    }
}

/// Guards against results that depend on anything but the seed.
#[test]
fn equal_seeds_give_equal_results() {
    let setup = small();
    let run = |seed| trial::run(&setup, Mix::Heavy, Policy::Product, seed, WINDOW);
    let first = run(5);
    assert_eq!(first, run(5));
    assert_ne!(first.account, run(6).account);
    let run = || load::Outcome {
        cost: ProcessorCost::default(),
        ..load::run(&setup, Routing::Product, 3, 4)
    };
    let first = run();
    assert!(first.calls.done > 0);
    assert_eq!(first, run());
}
