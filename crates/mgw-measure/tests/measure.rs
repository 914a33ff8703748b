//! The lower bound, the accounts and the repeatability of runs.

use mgw_measure::bound::{Fleet, Solver};
use mgw_measure::fault::{self, Fault, Mix, Step, Window};
use mgw_measure::load::{self, ProcessorCost, Routing};
use mgw_measure::policy::Policy;
use mgw_measure::setup::{self, Setup};
use mgw_measure::{parallel, trial};
use mgw_scenario::world::SECOND;

const WINDOW: Window = Window { start: 30 * SECOND, end: 100 * SECOND };

/// A deployment with one small domain per zone, of more than nine instances in one of them, so that
/// the order by name differs from that by number.
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

/// Guards against a bound that some policy beats, as it was when the steps of a script reached
/// other instances than the bound was told.
#[test]
fn no_policy_is_below_the_bound() {
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

/// The least cost over all ways to put groups into zones, one group at a time.
fn exhaustive(
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
            least = least.min(exhaustive(setup, zones, loaded - size, on_hand, placed, choice));
            placed[model] -= 1;
            zones[zone] += size;
        }
    }
    least
}

/// Guards against a bound that is above the best assignment (and so no bound), and against one that
/// is needlessly far below it. Leaving instances may be left out of the bound's stranded ones, so
/// the script of this test has none.
#[test]
fn the_bound_is_the_best_assignment() {
    let setup = small();
    let deployment = &setup.deployment;
    for seed in 0..40 {
        let mut steps = fault::schedule(deployment, Mix::Heavy, WINDOW, seed);
        steps.retain(|it| !matches!(it.fault, Fault::Leave(_) | Fault::Remove(_)));
        let mut fleet = Fleet::new(deployment);
        steps.iter().take(seed as usize).for_each(|it| fleet.apply(it));
        // Long after the last start, all loads have ended.
        let now = 1_000 * SECOND;
        let got = Solver::new(&setup).min_rate(&fleet, now).combined_cost(setup.weight);
        let mut zones = vec![0; 3];
        for it in fleet.instances.iter().filter(|it| it.is_up()) {
            zones[it.zone] += 1;
        }
        let alive = fleet.instances.iter().filter(|it| it.running).count();
        let on_hand = fleet.instances.iter().filter(|it| it.is_available()).count();
        let mut placed = vec![0; deployment.models.len()];
        let best = exhaustive(&setup, &mut zones, alive, on_hand, &mut placed, 0);
        assert!((got - best).abs() < 1e-6, "seed {seed}: {got} instead of {best}");
    }
}

/// Guards against a bound that lets more instances load at a time than the weight store does.
#[test]
fn the_bound_waits_for_loads() {
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
    // A restarted instance loads again.
    fleet.apply(&Step { at: 50 * SECOND, fault: Fault::Fail(0) });
    fleet.apply(&Step { at: 60 * SECOND, fault: Fault::Restart(0) });
    assert_eq!(stranded(&fleet, 61), 2.0);
    assert!(fleet.instances[0].started_at == 60 * SECOND);
}

/// Guards against causes that leave out or count twice what is stranded or down.
#[test]
fn the_account_adds_up() {
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

/// Guards against runs that depend on anything but their seed.
#[test]
fn the_same_seed_gives_the_same_result() {
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
