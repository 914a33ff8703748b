//! The lower bound of the combined cost, from full knowledge of the script.
//!
//! At each moment the bound takes the best assignment of instances to groups, as if groups could
//! be moved at no cost. It assumes only what no policy can avoid:
//!
//! - An instance serves only while it runs, is not paused and is not in a dark domain. A leaving
//!   instance may serve, and is not counted as stranded.
//! - A group lies in one zone. Fabric domains and custody do not matter.
//! - After each start an instance has to load a model once. A load takes the weight store's usual
//!   time, also while the store is slow, and at most `weight_loads` run at once.
//!
//! Failures are known at once and in advance, a model change needs no further load, and nothing
//! waits for orders, the log or observers. The bound may therefore be out of reach.

use mgw_scenario::deployment::Deployment;
use mgw_scenario::world::{Micros, SECOND};

use crate::fault::{Fault, Step};
use crate::setup::{ACCELERATORS_PER_INSTANCE, Setup};

/// An instance as the script determines it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Place of its zone in [`Deployment::zones`].
    pub zone: usize,
    /// Place of its domain in the deployment.
    pub domain: usize,
    /// Whether its process runs.
    pub running: bool,
    /// Whether it is paused.
    pub paused: bool,
    /// Whether its domain is dark.
    pub unreachable: bool,
    /// Whether it is to stay.
    pub in_service: bool,
    /// When it last started.
    pub started_at: Micros,
}

impl Instance {
    /// Whether it can take part in a group.
    pub fn is_up(&self) -> bool {
        self.running && !self.paused && !self.unreachable
    }

    /// Whether its accelerators count as available.
    pub fn is_available(&self) -> bool {
        self.is_up() && self.in_service
    }
}

/// All instances in the order of [`Deployment::instance_names`].
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The instances.
    pub instances: Vec<Instance>,
}

impl Fleet {
    /// The fleet at the start.
    pub fn new(deployment: &Deployment) -> Self {
        let (names, zones) = (deployment.instance_names(), deployment.zones());
        let mut instances = Vec::with_capacity(names.len());
        for (place, domain) in deployment.domains.iter().enumerate() {
            for _ in 0..domain.size {
                let present = !deployment.absent.contains(&names[instances.len()]);
                instances.push(Instance {
                    zone: zones.binary_search(&domain.zone).unwrap_or_default(),
                    domain: place,
                    running: present,
                    paused: false,
                    unreachable: false,
                    in_service: present,
                    started_at: 0,
                });
            }
        }
        Self { instances }
    }

    /// Applies a step of the script.
    pub fn apply(&mut self, step: &Step) {
        let unreachable = |fleet: &mut Self, domain: usize, unreachable: bool| {
            let here = fleet.instances.iter_mut().filter(|it| it.domain == domain);
            here.for_each(|it| it.unreachable = unreachable);
        };
        match step.fault {
            Fault::Arrive(it) => {
                let it = &mut self.instances[it];
                it.in_service = true;
                if !it.running {
                    (it.running, it.paused, it.started_at) = (true, false, step.at);
                }
            }
            Fault::Restart(it) => {
                let it = &mut self.instances[it];
                (it.running, it.paused, it.started_at) = (true, false, step.at);
            }
            Fault::Fail(it) => self.instances[it].running = false,
            Fault::Pause(it) => self.instances[it].paused = true,
            Fault::Resume(it) => self.instances[it].paused = false,
            Fault::Leave(it) => self.instances[it].in_service = false,
            Fault::Remove(it) => {
                (self.instances[it].running, self.instances[it].in_service) = (false, false)
            }
            Fault::DomainUnreachable(it) => unreachable(self, it, true),
            Fault::DomainReachable(it) => unreachable(self, it, false),
            Fault::Slow(..)
            | Fault::ReplaceEntry(_)
            | Fault::LogDown(_)
            | Fault::SlowWeightStore(_)
            | Fault::FreezeInstanceList(_) => {}
        }
    }
}

/// Rate of the combined cost in accelerators, split into its parts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostRate {
    /// Accelerators of wanted groups that do not serve.
    pub down: f64,
    /// Available accelerators in no serving group.
    pub stranded: f64,
}

impl CostRate {
    /// The combined cost for a weight of group downtime.
    pub fn combined_cost(&self, weight: f64) -> f64 {
        weight * self.down + (1.0 - weight) * self.stranded
    }
}

/// Computes the bound at moments of a run.
#[derive(Debug)]
pub struct Solver {
    weight: f64,
    /// Instances and wanted replicas of each model.
    models: Vec<(usize, usize)>,
    zones: usize,
    load: Micros,
    loads: usize,
    known: Vec<(Key, CostRate)>,
}

/// Usable instances per zone, loaded instances, instances on hand.
type Key = (Vec<usize>, usize, usize);

impl Solver {
    /// The bound for a deployment.
    pub fn new(setup: &Setup) -> Self {
        let models = &setup.deployment.models;
        let setting = |name: &str| {
            let found = setup.deployment.settings.iter().rev().find(|it| it.0 == name);
            found.map(|it| it.1)
        };
        Self {
            weight: setup.weight,
            models: models.iter().map(|it| (it.instances as usize, it.replicas as usize)).collect(),
            zones: setup.deployment.zones().len(),
            load: (setting("load").unwrap_or(0.0) * SECOND as f64) as Micros,
            loads: setting("weight_loads").map_or(usize::MAX, |it| it as usize),
            known: Vec::new(),
        }
    }

    /// The least combined cost at `now`, as a rate.
    pub fn min_rate(&mut self, fleet: &Fleet, now: Micros) -> CostRate {
        let mut zones = vec![0; self.zones];
        for it in fleet.instances.iter().filter(|it| it.is_up()) {
            zones[it.zone] += usize::from(it.started_at + self.load <= now);
        }
        let on_hand = fleet.instances.iter().filter(|it| it.is_available()).count();
        let key = (zones, self.loaded(fleet, now), on_hand);
        match self.known.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(place) => self.known[place].1,
            Err(place) => {
                let rate = self.solve(&key);
                self.known.insert(place, (key, rate));
                rate
            }
        }
    }

    /// How many of the running instances can have loaded a model since their last start. All loads
    /// take equally long, so serving the earliest start first completes the most by any time.
    fn loaded(&self, fleet: &Fleet, now: Micros) -> usize {
        let mut starts: Vec<Micros> =
            fleet.instances.iter().filter(|it| it.running).map(|it| it.started_at).collect();
        starts.sort_unstable();
        let mut ends: Vec<Micros> = Vec::with_capacity(starts.len());
        for (place, start) in starts.iter().enumerate() {
            let slot = place.checked_sub(self.loads).map_or(0, |place| ends[place]);
            ends.push(slot.max(*start) + self.load);
        }
        ends.iter().filter(|end| **end <= now).count()
    }

    fn solve(&self, (zones, loaded, on_hand): &Key) -> CostRate {
        // For each vector of wanted groups placed so far, the most instances placed.
        let mut best: Vec<(Vec<usize>, usize)> = vec![(vec![0; self.models.len()], 0)];
        for zone in zones {
            let packing = self.packing(*zone);
            let choices = self.choices(*zone);
            let mut next: Vec<(Vec<usize>, usize)> = Vec::new();
            for (placed, instances) in &best {
                for (more, used) in &choices {
                    let sum: Vec<usize> =
                        placed.iter().zip(more).map(|(left, right)| left + right).collect();
                    let fits = sum.iter().zip(&self.models).all(|(count, it)| *count <= it.1);
                    if !fits {
                        continue;
                    }
                    next.push((sum, instances + used + packing[zone - used]));
                }
            }
            next.sort_unstable_by(|left, right| left.0.cmp(&right.0).then(right.1.cmp(&left.1)));
            next.dedup_by(|later, earlier| later.0 == earlier.0);
            best = next;
        }
        let accelerators = f64::from(ACCELERATORS_PER_INSTANCE);
        let wanted: usize = self.models.iter().map(|(size, replicas)| size * replicas).sum();
        let rates = best.iter().filter_map(|(placed, instances)| {
            let serving: usize =
                placed.iter().zip(&self.models).map(|(count, it)| count * it.0).sum();
            let all = (*instances).min(*loaded);
            (serving <= *loaded).then(|| CostRate {
                down: (wanted - serving) as f64 * accelerators,
                stranded: on_hand.saturating_sub(all) as f64 * accelerators,
            })
        });
        let least = rates.min_by(|left, right| {
            left.combined_cost(self.weight).total_cmp(&right.combined_cost(self.weight))
        });
        least.unwrap_or_default()
    }

    /// For each number of instances of a zone, how many of them whole groups can take.
    fn packing(&self, most: usize) -> Vec<usize> {
        let mut packing = vec![0; most + 1];
        for total in 1..=most {
            let fits = self.models.iter().filter(|(size, _)| (1..=total).contains(size));
            packing[total] = fits.map(|(size, _)| size + packing[total - size]).max().unwrap_or(0);
        }
        packing
    }

    /// The vectors of wanted groups that fit into a zone, with the instances that they take.
    fn choices(&self, zone: usize) -> Vec<(Vec<usize>, usize)> {
        let mut choices = vec![(Vec::new(), 0)];
        for (size, replicas) in &self.models {
            let mut next = Vec::new();
            for (counts, used) in &choices {
                for count in 0..=*replicas {
                    let total = used + count * size;
                    if total <= zone {
                        let mut counts: Vec<usize> = counts.clone();
                        counts.push(count);
                        next.push((counts, total));
                    }
                }
            }
            choices = next;
        }
        choices
    }
}
