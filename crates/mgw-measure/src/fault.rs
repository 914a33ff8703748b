//! Seeded scripts of arrivals and faults.

use mgw_scenario::deployment::Deployment;
use mgw_scenario::world::link::Party;
use mgw_scenario::world::log::Mode;
use mgw_scenario::world::platform::Listed;
use mgw_scenario::world::{Micros, SECOND, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

/// Intensity of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Arrivals only.
    None,
    /// An ordinary day, compressed: deaths, restarts, pauses, a straggler, a leaving server and a
    /// replaced entry.
    Today,
    /// More of them, a dark fabric domain, a log outage, a slow weight store and a stale list.
    Heavy,
}

impl Mix {
    /// All mixes.
    pub const ALL: [Mix; 3] = [Mix::None, Mix::Today, Mix::Heavy];

    /// Its name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Mix::None => "none",
            Mix::Today => "today",
            Mix::Heavy => "heavy",
        }
    }
}

/// A change from outside. Instances are places in [`Deployment::instance_names`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An instance that was not there starts.
    Arrive(usize),
    /// An instance ends.
    Fail(usize),
    /// An ended instance starts with a new boot.
    Restart(usize),
    /// An instance stops without ending.
    Pause(usize),
    /// A paused instance goes on.
    Resume(usize),
    /// An instance computes slower by a factor.
    Slow(usize, f64),
    /// The list is to show an instance as leaving.
    Leave(usize),
    /// A leaving instance ends and is taken off the list.
    Gone(usize),
    /// A fabric domain, by its place in the deployment, cannot be reached.
    Dark(usize),
    /// A dark domain can be reached again.
    Light(usize),
    /// The process of an entry ends; another one starts some seconds later.
    Entry(usize),
    /// The log service refuses requests, or answers again.
    LogDown(bool),
    /// Loads take this many times as long.
    Store(u64),
    /// The instance list is frozen, or released.
    Stale(bool),
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Micros,
    /// What.
    pub fault: Fault,
}

/// The span of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// End of the start phase, in which nothing is counted and no fault happens.
    pub from: Micros,
    /// End of the run.
    pub to: Micros,
}

struct Draw {
    random: SmallRng,
    steps: Vec<Step>,
    span: Span,
    /// Instances that no fault was drawn for yet.
    left: Vec<usize>,
}

impl Draw {
    fn seconds(&mut self, from: u64, to: u64) -> Micros {
        self.random.random_range(from * SECOND..to * SECOND)
    }

    /// A time in the first part of the counted span, so that the effects are counted as well.
    fn time(&mut self) -> Micros {
        let length = (self.span.to - self.span.from) * 3 / 4;
        self.span.from + self.random.random_range(0..length.max(1))
    }

    fn instance(&mut self) -> Option<usize> {
        let count = self.left.len();
        (count > 0).then(|| self.left.swap_remove(self.random.random_range(0..count)))
    }

    fn put(&mut self, at: Micros, fault: Fault) {
        self.steps.push(Step { at, fault });
    }

    /// `count` faults of the kind that `draw` adds for an instance and a time.
    fn each(&mut self, count: u32, draw: fn(&mut Draw, usize, Micros)) {
        for _ in 0..count {
            let Some(instance) = self.instance() else { return };
            let at = self.time();
            draw(self, instance, at);
        }
    }
}

/// The script of a run, by time.
pub fn script(deployment: &Deployment, mix: Mix, span: Span, seed: u64) -> Vec<Step> {
    let names = deployment.instance_names();
    let (late, present): (Vec<usize>, Vec<usize>) =
        (0..names.len()).partition(|it| deployment.absent.contains(&names[*it]));
    let random = SmallRng::seed_from_u64(seed ^ 0x6d65_6173_7572_6500);
    let mut draw = Draw { random, steps: Vec::new(), span, left: present };
    // Late instances come in pieces of up to three that arrive at the same time.
    let mut late = late;
    while !late.is_empty() {
        let at = draw.time();
        let piece = draw.random.random_range(1..=3usize.min(late.len()));
        for _ in 0..piece {
            let place = draw.random.random_range(0..late.len());
            let instance = late.swap_remove(place);
            draw.put(at, Fault::Arrive(instance));
        }
    }
    let (deaths, restarts, pauses, stragglers, leaving, entries) = match mix {
        Mix::None => (0, 0, 0, 0, 0, 0),
        Mix::Today => (2, 3, 2, 1, 1, 1),
        Mix::Heavy => (4, 4, 4, 2, 2, 2),
    };
    draw.each(deaths, |draw, instance, at| {
        let back = draw.seconds(40, 120);
        draw.put(at, Fault::Fail(instance));
        draw.put(at + back, Fault::Restart(instance));
    });
    draw.each(restarts, |draw, instance, at| {
        let back = draw.seconds(3, 12);
        draw.put(at, Fault::Fail(instance));
        draw.put(at + back, Fault::Restart(instance));
    });
    draw.each(pauses, |draw, instance, at| {
        let back = draw.seconds(1, 15);
        draw.put(at, Fault::Pause(instance));
        draw.put(at + back, Fault::Resume(instance));
    });
    draw.each(stragglers, |draw, instance, at| {
        let back = draw.seconds(60, 90);
        draw.put(at, Fault::Slow(instance, 5.0));
        draw.put(at + back, Fault::Slow(instance, 1.0));
    });
    draw.each(leaving, |draw, instance, at| {
        let (gone, back) = (draw.seconds(20, 40), draw.seconds(60, 120));
        draw.put(at, Fault::Leave(instance));
        draw.put(at + gone, Fault::Gone(instance));
        draw.put(at + back, Fault::Arrive(instance));
    });
    for _ in 0..entries {
        let (at, entry) = (draw.time(), draw.random.random_range(0..deployment.entries.len()));
        draw.put(at, Fault::Entry(entry));
    }
    if mix == Mix::Heavy {
        let domain = draw.random.random_range(0..deployment.domains.len());
        let (at, back) = (draw.time(), draw.seconds(30, 60));
        draw.put(at, Fault::Dark(domain));
        draw.put(at + back, Fault::Light(domain));
        let (at, back) = (draw.time(), draw.seconds(15, 30));
        draw.put(at, Fault::LogDown(true));
        draw.put(at + back, Fault::LogDown(false));
        let (at, back) = (draw.time(), draw.seconds(30, 60));
        draw.put(at, Fault::Store(3));
        draw.put(at + back, Fault::Store(1));
        let (at, back) = (draw.time(), draw.seconds(30, 60));
        draw.put(at, Fault::Stale(true));
        draw.put(at + back, Fault::Stale(false));
    }
    let mut steps = draw.steps;
    steps.retain(|it| it.at < span.to);
    steps.sort_by_key(|it| it.at);
    steps
}

/// Lets a fault happen. `names` are the deployment's instance names; the world has its instances
/// in another order.
pub fn apply(world: &mut World, deployment: &Deployment, names: &[SmolStr], fault: Fault) {
    let party = |world: &World, place: usize| {
        // The sheet of the world was written from the deployment, so each name is known there.
        world.find_party(&names[place]).unwrap_or(Party::Engine(usize::MAX))
    };
    match fault {
        Fault::Arrive(it) => world.bring_up(party(world, it)),
        Fault::Fail(it) => world.stop(party(world, it)),
        Fault::Restart(it) => world.restart(party(world, it)),
        Fault::Pause(it) => world.pause(party(world, it)),
        Fault::Resume(it) => world.resume(party(world, it)),
        Fault::Slow(it, factor) => world.slow(party(world, it), factor),
        Fault::Leave(it) => world.set_listed(party(world, it), Listed::Leaving),
        Fault::Gone(it) => {
            world.stop(party(world, it));
            world.set_listed(party(world, it), Listed::Absent);
        }
        Fault::Dark(it) => {
            if let Some(side) = world.find_domain(&deployment.domains[it].name) {
                world.isolate(side);
            }
        }
        Fault::Light(it) => {
            let side = world.find_domain(&deployment.domains[it].name);
            world.heal(side, None);
        }
        Fault::Entry(it) => world.replace_entry(it, 5 * SECOND),
        Fault::LogDown(true) => world.set_log_mode(Mode::Down),
        Fault::LogDown(false) => world.set_log_mode(Mode::Up),
        Fault::Store(slow) => world.set_store(false, slow),
        Fault::Stale(stale) => world.set_list_frozen(stale),
    }
}
