//! Group downtime and stranded accelerators of a run, by cause.

use mgw_scenario::world::{Micros, SECOND, World};
use serde::Serialize;
use smol_str::SmolStr;

use crate::bound::{Fleet, Rate};
use crate::shape::{ACCELERATORS, Shape};

/// Why a wanted group does not serve or an accelerator is stranded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// No group of the wanted kind exists.
    NotFormed,
    /// A member is down, paused or dark.
    MemberLost,
    /// Members are not ready.
    Loading,
    /// All members are ready, but no entry sends requests to the group.
    Closed,
    /// An order of another executor may still reach the instance.
    Custody,
    /// The instance belongs to no group.
    Free,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 6] = [
        Cause::NotFormed,
        Cause::MemberLost,
        Cause::Loading,
        Cause::Closed,
        Cause::Custody,
        Cause::Free,
    ];

    /// Its name in the output.
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

/// The sums of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Account {
    /// Time counted, in seconds.
    pub seconds: f64,
    /// Seconds during which wanted groups did not serve, by cause in the order of [`Cause::ALL`].
    pub downtime: [f64; 6],
    /// The same times the accelerators of the groups.
    pub down: f64,
    /// Stranded accelerator-seconds by cause in the order of [`Cause::ALL`].
    pub stranded: [f64; 6],
    /// Accelerator-seconds on hand.
    pub on_hand: f64,
    /// Accelerator-seconds on hand in serving groups.
    pub serving: f64,
    /// Accelerator-seconds of downtime of the lower bound.
    pub least_down: f64,
    /// Stranded accelerator-seconds of the lower bound.
    pub least_stranded: f64,
    /// Samples whose combined cost was below the lower bound; always 0.
    pub below: u32,
}

impl Account {
    /// Combined cost in accelerator-seconds for a weight of group downtime.
    pub fn combined(&self, weight: f64) -> f64 {
        weight * self.down + (1.0 - weight) * self.idle()
    }

    /// Lower bound of the combined cost in accelerator-seconds.
    pub fn least(&self, weight: f64) -> f64 {
        weight * self.least_down + (1.0 - weight) * self.least_stranded
    }

    /// All stranded accelerator-seconds.
    pub fn idle(&self) -> f64 {
        self.stranded.iter().sum()
    }

    /// All group downtime in seconds.
    pub fn downtime(&self) -> f64 {
        self.downtime.iter().sum()
    }

    /// Counts the state of `world` for a time of `span`. `least` is the lower bound of that time.
    pub fn add(
        &mut self,
        world: &World,
        shape: &Shape,
        names: &[SmolStr],
        (fleet, least): (&Fleet, Rate),
        span: Micros,
    ) {
        let seconds = span as f64 / SECOND as f64;
        let accelerators = f64::from(ACCELERATORS);
        let state = world.state();
        let truth = |name: &str| {
            let place = names.iter().position(|it| it == name)?;
            fleet.instances.get(place)
        };
        // Each group with the cause for which it does not serve.
        let groups: Vec<(u64, &SmolStr, Option<Cause>)> = state
            .groups()
            .map(|(id, group)| {
                let cause = match (world.is_group_complete(id), world.servable_entry_count(id) > 0)
                {
                    (true, true) => None,
                    (true, false) => Some(Cause::Closed),
                    (false, _) => {
                        let up = |name: &str| truth(name).is_some_and(|it| it.is_up());
                        match group.members.iter().all(|it| up(&it.instance)) {
                            true => Some(Cause::Loading),
                            false => Some(Cause::MemberLost),
                        }
                    }
                };
                (id, &group.model, cause)
            })
            .collect();
        let mut rate = Rate::default();
        for model in &shape.deployment.models {
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
            if !instance.is_on_hand() {
                continue;
            }
            self.on_hand += accelerators * seconds;
            let known = state.instance(name);
            let group = known.and_then(|it| it.assignment).map(|it| it.group);
            let found = group.and_then(|id| groups.iter().find(|it| it.0 == id));
            let cause = match found {
                Some((.., cause)) => *cause,
                None if known.is_some_and(|it| it.custody.is_some()) => Some(Cause::Custody),
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
        let (got, bound) = (rate.combined(shape.weight), least.combined(shape.weight));
        self.below += u32::from(got + 1e-6 < bound);
    }
}
