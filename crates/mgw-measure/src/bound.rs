//! Computes a lower bound of the combined cost from complete knowledge of the fault schedule.
//!
//! At each sample the bound is the cost of the best assignment of instances to groups, with free
//! regrouping. It applies only the constraints that every policy has to meet:
//!
//! - An instance serves only while its process runs, is not paused and its domain is reachable. A
//!   leaving instance may serve and is not counted as stranded.
//! - All members of a group are in one zone. Fabric domains and custody are ignored.
//! - After each start an instance has to load a model once. A load takes the weight store's normal
//!   time, even while the store is slow, and at most `weight_loads` loads run concurrently.
//!
//! Failures are detected without delay and known in advance, a change of model needs no further
//! load, and orders, log appends and failure detection take no time. No policy may be able to reach
//! the bound.

use mgw_scenario::deployment::Deployment;
use mgw_scenario::world::{Micros, SECOND};

use crate::fault::{Fault, Step};
use crate::setup::{ACCELERATORS_PER_INSTANCE, Setup};

/// State of an instance as determined by the fault schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Index of its zone in [`Deployment::zones`].
    pub zone: usize,
    /// Index of its fabric domain in [`Deployment::domains`].
    pub domain: usize,
    /// Whether its process runs, paused or not.
    pub running: bool,
    /// Whether its process is paused.
    pub paused: bool,
    /// Whether its fabric domain is unreachable.
    pub unreachable: bool,
    /// Whether it is part of the fleet: not absent, removed or leaving.
    pub in_service: bool,
    /// Time of its last start, in microseconds of virtual time.
    pub started_at: Micros,
}

impl Instance {
    /// Whether it can serve as a member of a group.
    pub fn is_up(&self) -> bool {
        self.running && !self.paused && !self.unreachable
    }

    /// Whether its accelerators count as available, and as stranded if no group uses them.
    pub fn is_available(&self) -> bool {
        self.is_up() && self.in_service
    }
}

/// State of all instances at one moment of a run.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The instances in the order of [`Deployment::instance_names`].
    pub instances: Vec<Instance>,
}

impl Fleet {
    /// The fleet at the start of a run, without the instances that arrive later.
    pub fn new(deployment: &Deployment) -> Self {
        let (names, zones) = (deployment.instance_names(), deployment.zones());
        let mut instances = Vec::with_capacity(names.len());
        for (index, domain) in deployment.domains.iter().enumerate() {
            for _ in 0..domain.size {
                let present = !deployment.absent.contains(&names[instances.len()]);
                instances.push(Instance {
                    zone: zones.binary_search(&domain.zone).unwrap_or_default(),
                    domain: index,
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

    /// Applies a step of the fault schedule. Faults that do not change an instance's state have no
    /// effect on the bound.
    pub fn apply(&mut self, step: &Step) {
        let set_unreachable = |fleet: &mut Self, domain: usize, unreachable: bool| {
            let in_domain = fleet.instances.iter_mut().filter(|it| it.domain == domain);
            in_domain.for_each(|it| it.unreachable = unreachable);
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
            Fault::DomainUnreachable(it) => set_unreachable(self, it, true),
            Fault::DomainReachable(it) => set_unreachable(self, it, false),
            Fault::Slow(..)
            | Fault::ReplaceEntry(_)
            | Fault::LogDown(_)
            | Fault::SlowWeightStore(_)
            | Fault::FreezeInstanceList(_) => {}
        }
    }
}

/// Cost at one moment, in accelerators: the cost in accelerator-seconds per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostRate {
    /// Accelerators that the missing replicas would use.
    pub down: f64,
    /// Available accelerators that belong to no serving group.
    pub stranded: f64,
}

impl CostRate {
    /// The combined cost, where `weight` (0 to 1) is the share of group downtime.
    pub fn combined_cost(&self, weight: f64) -> f64 {
        weight * self.down + (1.0 - weight) * self.stranded
    }
}

/// Computes the lower bound for the samples of a run and caches the solutions.
#[derive(Debug)]
pub struct Solver {
    weight: f64,
    /// Instances per replica and wanted replicas of each model.
    models: Vec<(usize, usize)>,
    zones: usize,
    load_duration: Micros,
    max_concurrent_loads: usize,
    cache: Vec<(CacheKey, CostRate)>,
}

/// Inputs of [`Solver::solve`]: per zone, the instances that are up and whose first load can have
/// ended; the most instances that can have loaded a model; the available instances.
type CacheKey = (Vec<usize>, usize, usize);

impl Solver {
    /// Creates a solver for the models, zones and weight store limits of a setup.
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
            load_duration: (setting("load").unwrap_or(0.0) * SECOND as f64) as Micros,
            max_concurrent_loads: setting("weight_loads").map_or(usize::MAX, |it| it as usize),
            cache: Vec::new(),
        }
    }

    /// The cost at `now` whose combination is the least that any assignment allows.
    pub fn min_rate(&mut self, fleet: &Fleet, now: Micros) -> CostRate {
        let mut zones = vec![0; self.zones];
        for it in fleet.instances.iter().filter(|it| it.is_up()) {
            zones[it.zone] += usize::from(it.started_at + self.load_duration <= now);
        }
        let on_hand = fleet.instances.iter().filter(|it| it.is_available()).count();
        let key = (zones, self.max_loaded(fleet, now), on_hand);
        match self.cache.binary_search_by(|(cached, _)| cached.cmp(&key)) {
            Ok(index) => self.cache[index].1,
            Err(index) => {
                let rate = self.solve(&key);
                self.cache.insert(index, (key, rate));
                rate
            }
        }
    }

    /// The most running instances that can have loaded a model since their last start. All loads
    /// take equally long, so loading in the order of the starts completes the most loads by any
    /// time.
    fn max_loaded(&self, fleet: &Fleet, now: Micros) -> usize {
        let mut starts: Vec<Micros> =
            fleet.instances.iter().filter(|it| it.running).map(|it| it.started_at).collect();
        starts.sort_unstable();
        let mut ends: Vec<Micros> = Vec::with_capacity(starts.len());
        for (index, start) in starts.iter().enumerate() {
            let slot_free_at =
                index.checked_sub(self.max_concurrent_loads).map_or(0, |index| ends[index]);
            ends.push(slot_free_at.max(*start) + self.load_duration);
        }
        ends.iter().filter(|end| **end <= now).count()
    }

    /// Finds the assignment with the least combined cost. Zone by zone, it extends each vector of
    /// wanted groups per model and keeps the largest number of grouped instances for each vector.
    fn solve(&self, (zones, loaded, on_hand): &CacheKey) -> CostRate {
        // Wanted groups per model in the zones so far, and the most instances that are in groups.
        // The latter include groups beyond the wanted ones.
        let mut best: Vec<(Vec<usize>, usize)> = vec![(vec![0; self.models.len()], 0)];
        for zone in zones {
            let packed = self.max_packed(*zone);
            let placements = self.placements(*zone);
            let mut next: Vec<(Vec<usize>, usize)> = Vec::new();
            for (placed, instances) in &best {
                for (more, used) in &placements {
                    let sum: Vec<usize> =
                        placed.iter().zip(more).map(|(left, right)| left + right).collect();
                    let fits = sum.iter().zip(&self.models).all(|(count, it)| *count <= it.1);
                    if !fits {
                        continue;
                    }
                    next.push((sum, instances + used + packed[zone - used]));
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
            let grouped = (*instances).min(*loaded);
            (serving <= *loaded).then(|| CostRate {
                down: (wanted - serving) as f64 * accelerators,
                stranded: on_hand.saturating_sub(grouped) as f64 * accelerators,
            })
        });
        let least = rates.min_by(|left, right| {
            left.combined_cost(self.weight).total_cmp(&right.combined_cost(self.weight))
        });
        least.unwrap_or_default()
    }

    /// For each number of instances up to `instances`, the most that complete groups can use.
    fn max_packed(&self, instances: usize) -> Vec<usize> {
        let mut packed = vec![0; instances + 1];
        for total in 1..=instances {
            let fits = self.models.iter().filter(|(size, _)| (1..=total).contains(size));
            packed[total] = fits.map(|(size, _)| size + packed[total - size]).max().unwrap_or(0);
        }
        packed
    }

    /// All counts of wanted groups per model that fit into `zone` instances, with the number of
    /// instances that they use.
    fn placements(&self, zone: usize) -> Vec<(Vec<usize>, usize)> {
        let mut placements = vec![(Vec::new(), 0)];
        for (size, replicas) in &self.models {
            let mut next = Vec::new();
            for (counts, used) in &placements {
                for count in 0..=*replicas {
                    let total = used + count * size;
                    if total <= zone {
                        let mut counts: Vec<usize> = counts.clone();
                        counts.push(count);
                        next.push((counts, total));
                    }
                }
            }
            placements = next;
        }
        placements
    }
}
