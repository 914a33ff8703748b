//! Sums up group downtime and stranded accelerators of a run by cause.

use mgw_scenario::world::{Micros, SECOND, World};
use serde::Serialize;
use smol_str::SmolStr;

use crate::bound::{CostRate, Fleet};
use crate::setup::{ACCELERATORS_PER_INSTANCE, Setup};

/// Why a wanted replica does not serve or an accelerator is stranded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The model has fewer groups than wanted replicas.
    NotFormed,
    /// A member has failed, is paused or is in an unreachable domain.
    MemberLost,
    /// All members are up, but they do not form a ready group yet.
    Loading,
    /// The group is ready, but no entry routes requests to it.
    Closed,
    /// The instance belongs to no group and is in custody, because an order of another executor may
    /// still reach it.
    Custody,
    /// The instance belongs to no group and is not in custody.
    Free,
}

impl Cause {
    /// All causes, in the order of the sums in [`Totals`].
    pub const ALL: [Cause; 6] = [
        Cause::NotFormed,
        Cause::MemberLost,
        Cause::Loading,
        Cause::Closed,
        Cause::Custody,
        Cause::Free,
    ];

    /// Name in the printed tables.
    pub fn name(self) -> &'static str {
        match self {
            Cause::NotFormed => "not formed",
            Cause::MemberLost => "member lost",
            Cause::Loading => "loading",
            Cause::Closed => "closed",
            Cause::Custody => "custody",
            Cause::Free => "free",
        }
    }
}

/// Cost of a run, summed over its samples. The field names are the keys in the JSON output.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Totals {
    /// Measured time in seconds.
    pub seconds: f64,
    /// Seconds in which wanted replicas did not serve, summed over the replicas, by cause in the
    /// order of [`Cause::ALL`].
    pub downtime: [f64; 6],
    /// Group downtime in accelerator-seconds: each replica weighted by its accelerators.
    pub down: f64,
    /// Stranded accelerator-seconds by cause in the order of [`Cause::ALL`].
    pub stranded: [f64; 6],
    /// Available accelerator-seconds.
    pub on_hand: f64,
    /// Available accelerator-seconds in serving groups.
    pub serving: f64,
    /// Group downtime of the lower bound in accelerator-seconds.
    pub least_down: f64,
    /// Stranded accelerator-seconds of the lower bound.
    pub least_stranded: f64,
    /// Samples whose combined cost was below the lower bound. Any other value than 0 means that the
    /// bound is wrong.
    pub below: u32,
}

impl Totals {
    /// Combined cost in accelerator-seconds, where `weight` (0 to 1) is the share of group
    /// downtime.
    pub fn combined_cost(&self, weight: f64) -> f64 {
        weight * self.down + (1.0 - weight) * self.total_stranded()
    }

    /// Lower bound of the combined cost in accelerator-seconds for the same `weight`.
    pub fn lower_bound(&self, weight: f64) -> f64 {
        weight * self.least_down + (1.0 - weight) * self.least_stranded
    }

    /// Stranded accelerator-seconds of all causes.
    pub fn total_stranded(&self) -> f64 {
        self.stranded.iter().sum()
    }

    /// Group downtime of all causes in seconds.
    pub fn total_downtime(&self) -> f64 {
        self.downtime.iter().sum()
    }

    /// Adds the current state of `world` for a duration of `span` microseconds. `names` are the
    /// instances in the order of `fleet`; `least` is the lower bound of this sample.
    pub fn add_sample(
        &mut self,
        world: &World,
        setup: &Setup,
        names: &[SmolStr],
        (fleet, least): (&Fleet, CostRate),
        span: Micros,
    ) {
        let seconds = span as f64 / SECOND as f64;
        let accelerators = f64::from(ACCELERATORS_PER_INSTANCE);
        let state = world.state();
        let find_instance = |name: &str| {
            let index = names.iter().position(|it| it == name)?;
            fleet.instances.get(index)
        };
        // Each group with its model and the cause for which it does not serve.
        let groups: Vec<(u64, &SmolStr, Option<Cause>)> = state
            .groups()
            .map(|(id, group)| {
                let cause = match (world.is_group_complete(id), world.servable_entry_count(id) > 0)
                {
                    (true, true) => None,
                    (true, false) => Some(Cause::Closed),
                    (false, _) => {
                        let is_up = |name: &str| find_instance(name).is_some_and(|it| it.is_up());
                        match group.members.iter().all(|it| is_up(&it.instance)) {
                            true => Some(Cause::Loading),
                            false => Some(Cause::MemberLost),
                        }
                    }
                };
                (id, &group.model, cause)
            })
            .collect();
        let mut rate = CostRate::default();
        for model in &setup.deployment.models {
            let of_model = || groups.iter().filter(|it| *it.1 == model.name);
            let serving = of_model().filter(|it| it.2.is_none()).count();
            let missing = (model.replicas as usize).saturating_sub(serving);
            let mut causes = of_model().filter_map(|it| it.2);
            for _ in 0..missing {
                let cause = causes.next().unwrap_or(Cause::NotFormed);
                self.downtime[cause as usize] += seconds;
                rate.down += f64::from(model.instances) * accelerators;
            }
        }
        for (name, instance) in names.iter().zip(&fleet.instances) {
            if !instance.is_available() {
                continue;
            }
            self.on_hand += accelerators * seconds;
            let recorded = state.instance(name);
            let group = recorded.and_then(|it| it.assignment).map(|it| it.group);
            let found = group.and_then(|id| groups.iter().find(|it| it.0 == id));
            let cause = match found {
                Some((.., cause)) => *cause,
                None if recorded.is_some_and(|it| it.custody.is_some()) => Some(Cause::Custody),
                None => Some(Cause::Free),
            };
            match cause {
                Some(cause) => {
                    self.stranded[cause as usize] += accelerators * seconds;
                    rate.stranded += accelerators;
                }
                None => self.serving += accelerators * seconds,
            }
        }
        self.seconds += seconds;
        self.down += rate.down * seconds;
        self.least_down += least.down * seconds;
        self.least_stranded += least.stranded * seconds;
        let (actual, bound) = (rate.combined_cost(setup.weight), least.combined_cost(setup.weight));
        self.below += u32::from(actual + 1e-6 < bound);
    }
}
