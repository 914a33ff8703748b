//! Generates schedules of arrivals and faults from a seed, and injects them into a world.

use mgw_scenario::deployment::Deployment;
use mgw_scenario::world::link::Party;
use mgw_scenario::world::log::Mode;
use mgw_scenario::world::platform::Listed;
use mgw_scenario::world::{Micros, SECOND, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

/// Which faults occur, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Arrivals only.
    None,
    /// The faults of an ordinary day, compressed into one run: crashes, restarts, pauses, one
    /// straggler, one leaving server and one replaced entry.
    Today,
    /// About twice as many, and an unreachable fabric domain, a log outage, a slow weight store and
    /// a stale instance list.
    Heavy,
}

impl Mix {
    /// All mixes.
    pub const ALL: [Mix; 3] = [Mix::None, Mix::Today, Mix::Heavy];

    /// Name in the output and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Mix::None => "none",
            Mix::Today => "today",
            Mix::Heavy => "heavy",
        }
    }
}

/// A fault, its end, or an arrival. Instances are indices in [`Deployment::instance_names`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An absent instance starts, or a leaving one stays.
    Arrive(usize),
    /// The process of an instance ends.
    Fail(usize),
    /// A failed instance starts again with a new boot id.
    Restart(usize),
    /// The process of an instance is suspended without ending.
    Pause(usize),
    /// A paused instance continues.
    Resume(usize),
    /// An instance computes slower by this factor; 1 restores its speed.
    Slow(usize, f64),
    /// The instance list marks an instance as leaving.
    Leave(usize),
    /// A leaving instance ends and is removed from the instance list.
    Remove(usize),
    /// A fabric domain, by its index in [`Deployment::domains`], becomes unreachable.
    DomainUnreachable(usize),
    /// An unreachable fabric domain becomes reachable again.
    DomainReachable(usize),
    /// The process of an entry, by its index, ends; a replacement starts 5 s later.
    ReplaceEntry(usize),
    /// The log service refuses requests (`true`) or answers again (`false`).
    LogDown(bool),
    /// Loads from the weight store take this many times their normal duration; 1 ends the slowdown.
    SlowWeightStore(u64),
    /// The instance list stops updating (`true`) or updates again (`false`).
    FreezeInstanceList(bool),
}

/// A fault and the time at which it occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Virtual time in microseconds since the start of the run.
    pub at: Micros,
    /// The fault to inject.
    pub fault: Fault,
}

/// The measured part of a run, in microseconds of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// End of the warm-up, in which nothing is measured and no fault occurs.
    pub start: Micros,
    /// End of the measurement and of the run.
    pub end: Micros,
}

/// State while a schedule is generated.
struct Generator {
    random: SmallRng,
    steps: Vec<Step>,
    window: Window,
    /// Instances that no fault is assigned to yet. Each instance gets at most one, apart from
    /// those that affect its whole fabric domain.
    unused: Vec<usize>,
}

impl Generator {
    /// A random duration between `from` and `to` seconds.
    fn random_duration(&mut self, from: u64, to: u64) -> Micros {
        self.random.random_range(from * SECOND..to * SECOND)
    }

    /// A random time in the first three quarters of the window, so that the effects of the fault
    /// are measured as well.
    fn random_time(&mut self) -> Micros {
        let length = (self.window.end - self.window.start) * 3 / 4;
        self.window.start + self.random.random_range(0..length.max(1))
    }

    /// Removes a random instance from the unused ones.
    fn take_instance(&mut self) -> Option<usize> {
        let count = self.unused.len();
        (count > 0).then(|| self.unused.swap_remove(self.random.random_range(0..count)))
    }

    fn push(&mut self, at: Micros, fault: Fault) {
        self.steps.push(Step { at, fault });
    }

    /// Calls `add` `count` times, each with a random unused instance and a random time; stops early
    /// when no unused instance is left.
    fn add_each(&mut self, count: u32, add: fn(&mut Generator, usize, Micros)) {
        for _ in 0..count {
            let Some(instance) = self.take_instance() else { return };
            let at = self.random_time();
            add(self, instance, at);
        }
    }
}

/// Generates the steps of a run from `seed`, ordered by time.
pub fn schedule(deployment: &Deployment, mix: Mix, window: Window, seed: u64) -> Vec<Step> {
    let names = deployment.instance_names();
    let (arriving, present): (Vec<usize>, Vec<usize>) =
        (0..names.len()).partition(|it| deployment.absent.contains(&names[*it]));
    let random = SmallRng::seed_from_u64(seed ^ 0x6d65_6173_7572_6500);
    let mut generator = Generator { random, steps: Vec::new(), window, unused: present };
    // Absent instances arrive in batches of one to three at the same time.
    let mut arriving = arriving;
    while !arriving.is_empty() {
        let at = generator.random_time();
        let batch = generator.random.random_range(1..=3usize.min(arriving.len()));
        for _ in 0..batch {
            let index = generator.random.random_range(0..arriving.len());
            let instance = arriving.swap_remove(index);
            generator.push(at, Fault::Arrive(instance));
        }
    }
    let (crashes, restarts, pauses, stragglers, leaving, entries) = match mix {
        Mix::None => (0, 0, 0, 0, 0, 0),
        Mix::Today => (2, 3, 2, 1, 1, 1),
        Mix::Heavy => (4, 4, 4, 2, 2, 2),
    };
    generator.add_each(crashes, |generator, instance, at| {
        let recovery = generator.random_duration(40, 120);
        generator.push(at, Fault::Fail(instance));
        generator.push(at + recovery, Fault::Restart(instance));
    });
    generator.add_each(restarts, |generator, instance, at| {
        let recovery = generator.random_duration(3, 12);
        generator.push(at, Fault::Fail(instance));
        generator.push(at + recovery, Fault::Restart(instance));
    });
    generator.add_each(pauses, |generator, instance, at| {
        let recovery = generator.random_duration(1, 15);
        generator.push(at, Fault::Pause(instance));
        generator.push(at + recovery, Fault::Resume(instance));
    });
    generator.add_each(stragglers, |generator, instance, at| {
        let recovery = generator.random_duration(60, 90);
        generator.push(at, Fault::Slow(instance, 5.0));
        generator.push(at + recovery, Fault::Slow(instance, 1.0));
    });
    generator.add_each(leaving, |generator, instance, at| {
        let (removal, recovery) =
            (generator.random_duration(20, 40), generator.random_duration(60, 120));
        generator.push(at, Fault::Leave(instance));
        generator.push(at + removal, Fault::Remove(instance));
        generator.push(at + recovery, Fault::Arrive(instance));
    });
    for _ in 0..entries {
        let (at, entry) =
            (generator.random_time(), generator.random.random_range(0..deployment.entries.len()));
        generator.push(at, Fault::ReplaceEntry(entry));
    }
    if mix == Mix::Heavy {
        let domain = generator.random.random_range(0..deployment.domains.len());
        let (at, recovery) = (generator.random_time(), generator.random_duration(30, 60));
        generator.push(at, Fault::DomainUnreachable(domain));
        generator.push(at + recovery, Fault::DomainReachable(domain));
        let (at, recovery) = (generator.random_time(), generator.random_duration(15, 30));
        generator.push(at, Fault::LogDown(true));
        generator.push(at + recovery, Fault::LogDown(false));
        let (at, recovery) = (generator.random_time(), generator.random_duration(30, 60));
        generator.push(at, Fault::SlowWeightStore(3));
        generator.push(at + recovery, Fault::SlowWeightStore(1));
        let (at, recovery) = (generator.random_time(), generator.random_duration(30, 60));
        generator.push(at, Fault::FreezeInstanceList(true));
        generator.push(at + recovery, Fault::FreezeInstanceList(false));
    }
    let mut steps = generator.steps;
    steps.retain(|it| it.at < window.end);
    steps.sort_by_key(|it| it.at);
    steps
}

/// Injects a fault into the world. `names` are the deployment's instance names, by which instances
/// are looked up, because the world orders its instances differently.
pub fn apply(world: &mut World, deployment: &Deployment, names: &[SmolStr], fault: Fault) {
    let party = |world: &World, index: usize| {
        // The world's sheet was generated from the deployment, so each name exists there.
        world.find_party(&names[index]).unwrap_or(Party::Engine(usize::MAX))
    };
    match fault {
        Fault::Arrive(it) => world.bring_up(party(world, it)),
        Fault::Fail(it) => world.stop(party(world, it)),
        Fault::Restart(it) => world.restart(party(world, it)),
        Fault::Pause(it) => world.pause(party(world, it)),
        Fault::Resume(it) => world.resume(party(world, it)),
        Fault::Slow(it, factor) => world.slow(party(world, it), factor),
        Fault::Leave(it) => world.set_listed(party(world, it), Listed::Leaving),
        Fault::Remove(it) => {
            world.stop(party(world, it));
            world.set_listed(party(world, it), Listed::Absent);
        }
        Fault::DomainUnreachable(it) => {
            if let Some(side) = world.find_domain(&deployment.domains[it].name) {
                world.isolate(side);
            }
        }
        Fault::DomainReachable(it) => {
            let side = world.find_domain(&deployment.domains[it].name);
            world.heal(side, None);
        }
        Fault::ReplaceEntry(it) => world.replace_entry(it, 5 * SECOND),
        Fault::LogDown(true) => world.set_log_mode(Mode::Down),
        Fault::LogDown(false) => world.set_log_mode(Mode::Up),
        Fault::SlowWeightStore(slow) => world.set_store(false, slow),
        Fault::FreezeInstanceList(stale) => world.set_list_frozen(stale),
    }
}
