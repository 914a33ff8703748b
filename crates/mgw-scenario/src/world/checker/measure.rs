//! Measurement of group downtime and stranded accelerators.

use mgw_state::record::Mark;
use smol_str::SmolStr;

use crate::world::World;
use crate::world::platform::Listed;

/// Group downtime and stranded accelerators over a part of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measure {
    /// Measured time in seconds.
    pub duration: f64,
    /// Group-seconds of the wanted replicas that fit on the available instances.
    pub wanted: f64,
    /// Group-seconds of those replicas that did not serve, by cause.
    pub downtime: Vec<(&'static str, f64)>,
    /// Accelerator-seconds of the available instances.
    pub on_hand: f64,
    /// Accelerator-seconds of available instances that are in no serving group, by cause.
    pub stranded: Vec<(&'static str, f64)>,
}

impl Measure {
    fn add(list: &mut Vec<(&'static str, f64)>, cause: &'static str, amount: f64) {
        match list.iter_mut().find(|(known, _)| *known == cause) {
            Some((_, sum)) => *sum += amount,
            None => list.push((cause, amount)),
        }
    }

    /// Returns the group downtime over all causes, in group-seconds.
    pub fn total_downtime(&self) -> f64 {
        self.downtime.iter().map(|it| it.1).sum()
    }

    /// Returns the stranded accelerator-seconds over all causes.
    pub fn total_stranded(&self) -> f64 {
        self.stranded.iter().map(|it| it.1).sum()
    }
}

impl World {
    /// Returns the measurements since the start or the last [`World::reset_measure`].
    pub fn measure(&self) -> &Measure {
        &self.checker.measure
    }

    /// Resets the measurements.
    pub fn reset_measure(&mut self) {
        self.checker.measure = Measure::default();
    }

    pub(super) fn update_measure(&mut self, duration: f64) {
        let state = &self.checker.state;
        let Some(sheet) = state.config().sheet.clone() else { return };
        let mut serving: Vec<u64> = Vec::new();
        let mut causes: Vec<(u64, &'static str)> = Vec::new();
        for (id, group) in state.groups() {
            let cause = match (self.is_group_complete(id), self.servable_entry_count(id) > 0) {
                (true, true) => {
                    serving.push(id);
                    continue;
                }
                (true, false) => "closed",
                (false, _) => {
                    let lost = group.members.iter().any(|member| {
                        let engine = self.engines.iter().find(|it| it.name == member.instance);
                        engine.is_none_or(|it| it.absent_since.is_some())
                    });
                    if lost { "member lost" } else { "loading" }
                }
            };
            causes.push((id, cause));
        }
        let mut measure = std::mem::take(&mut self.checker.measure);
        measure.duration += duration;
        let state = &self.checker.state;
        let mut pools: Vec<(usize, usize, SmolStr, u32)> = Vec::new();
        for engine in &self.engines {
            let declared = sheet.instances.binary_search_by(|it| it.name.cmp(&engine.name)).is_ok();
            let on_hand =
                declared && engine.absent_since.is_none() && engine.listed == Listed::Live;
            if !on_hand {
                continue;
            }
            let known = state.instance(&engine.name);
            let amount = f64::from(engine.accelerators) * duration;
            measure.on_hand += amount;
            let group = known.and_then(|it| it.assignment).map(|it| it.group);
            let marked = known.is_some_and(|it| it.mark != Mark::Clear);
            let cause = match group {
                Some(id) if serving.contains(&id) => None,
                Some(id) => causes.iter().find(|it| it.0 == id).map(|it| it.1),
                None if known.is_some_and(|it| it.custody.is_some()) => Some("custody"),
                None if marked => Some("marked"),
                None => Some("free"),
            };
            if let Some(cause) = cause {
                Measure::add(&mut measure.stranded, cause, amount);
            }
            if marked {
                continue;
            }
            let same = |it: &&mut (usize, usize, SmolStr, u32)| {
                it.1 == engine.domain && it.2 == engine.accelerator
            };
            match pools.iter_mut().find(same) {
                Some(pool) => pool.3 += 1,
                None => pools.push((engine.zone, engine.domain, engine.accelerator.clone(), 1)),
            }
        }
        let mut models: Vec<_> = sheet.models.iter().collect();
        models.sort_by_key(|it| it.priority);
        for model in models {
            let mut feasible = 0;
            for _ in 0..model.replicas {
                if !reserve_instances(&mut pools, &model.accelerator, model.instances) {
                    break;
                }
                feasible += 1;
            }
            let of_model = |id: &u64| state.group(*id).is_some_and(|it| it.model == model.name);
            let served = serving.iter().filter(|id| of_model(id)).count();
            let missing = (feasible as usize).saturating_sub(served);
            measure.wanted += f64::from(feasible) * duration;
            let mut open = causes.iter().filter(|it| of_model(&it.0));
            for _ in 0..missing {
                let cause = open.next().map_or("not formed", |it| it.1);
                Measure::add(&mut measure.downtime, cause, duration);
            }
        }
        self.checker.measure = measure;
    }
}

/// Takes the instances of one replica out of the pools: from one fabric domain if one has enough,
/// else from one zone. Returns false if neither has enough.
fn reserve_instances(
    pools: &mut [(usize, usize, SmolStr, u32)],
    accelerator: &SmolStr,
    instances: u32,
) -> bool {
    let fits = pools.iter_mut().filter(|it| it.2 == *accelerator && it.3 >= instances);
    if let Some(pool) = fits.min_by_key(|it| it.3) {
        pool.3 -= instances;
        return true;
    }
    let mut zones: Vec<usize> = pools.iter().map(|it| it.0).collect();
    zones.sort_unstable();
    zones.dedup();
    let in_zone =
        |pool: &(usize, usize, SmolStr, u32), zone: usize| pool.0 == zone && pool.2 == *accelerator;
    let found = zones.into_iter().find(|zone| {
        let sum: u32 = pools.iter().filter(|it| in_zone(it, *zone)).map(|it| it.3).sum();
        sum >= instances
    });
    let Some(zone) = found else { return false };
    let mut rest = instances;
    for pool in pools.iter_mut().filter(|it| in_zone(it, zone)) {
        let taken = pool.3.min(rest);
        pool.3 -= taken;
        rest -= taken;
    }
    true
}
