//! How many groups serve, and what the other instances do.

use std::time::Duration;

use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::plan::{Phase, Planner, View};
use crate::roster;

/// Time between two counts.
const PERIOD: Duration = Duration::from_secs(1);

/// The two measures of how well the instances are used, since the planner took the role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Time for which groups that are planned did not serve, summed over them.
    pub group_downtime: Duration,
    /// Time for which instances that are there belonged to no group that serves, summed over them.
    pub stranded: Duration,
}

/// What the counts go on from.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    totals: Totals,
    counted: Option<Instant>,
}

impl Planner {
    /// The measures since this planner took the role.
    pub fn totals(&self) -> Totals {
        self.usage.totals
    }

    /// Counts once a second. Returns the state of the groups and instances as text.
    pub(super) fn count(&mut self, view: &View<'_>) -> Option<SmolStr> {
        let span = self.usage.counted.map(|at| view.now.since(at));
        if span.is_some_and(|span| span < PERIOD) {
            return None;
        }
        self.usage.counted = Some(view.now);
        let span = span.unwrap_or_default();
        let here = view.roster.iter().map(|(_, server)| server).filter(|server| {
            server.record.engine.is_some()
                && server.record.phase == roster::Phase::Ready
                && !self.liveness.is_lost(&server.id)
        });
        let here = here.count();
        let open = self.groups.iter().filter(|group| group.phase == Phase::Open);
        let serving: usize = open.clone().map(|group| group.members.len()).sum();
        let down = self.groups.len() - open.clone().count();
        self.usage.totals.group_downtime += span * down as u32;
        self.usage.totals.stranded += span * here.saturating_sub(serving) as u32;
        let mut models: Vec<(&SmolStr, usize)> = Vec::new();
        for group in open {
            match models.binary_search_by_key(&&group.model, |(model, _)| *model) {
                Ok(place) => models[place].1 += 1,
                Err(place) => models.insert(place, (&group.model, 1)),
            }
        }
        let models: Vec<String> =
            models.iter().map(|(model, count)| format!("{count} of {model}")).collect();
        Some(format_smolstr!(
            "{here} instances, {serving} in groups that serve ({}), {down} groups change, {} loads",
            models.join(", "),
            self.staging.len()
        ))
    }
}
