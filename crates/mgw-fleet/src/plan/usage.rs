//! Usage statistics: serving groups, group downtime and instances that serve no group.

use std::time::Duration;

use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::plan::{Phase, Planner, View};

/// Interval at which the totals are updated and a summary is logged.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Totals since the planner took the role, summed over all services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Time for which managed groups were in a phase other than open, summed over the groups.
    pub group_downtime: Duration,
    /// Time for which available instances were in no open group, summed over the instances.
    pub stranded: Duration,
}

/// State of the usage statistics.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    totals: Totals,
    /// When the totals were last updated.
    last_update: Option<Instant>,
}

impl Planner {
    /// Totals since this planner took the role.
    pub fn totals(&self) -> Totals {
        self.usage.totals
    }

    /// Updates the totals once per [`UPDATE_INTERVAL`]. Returns a summary of the groups and
    /// instances for the log when it does.
    pub(super) fn update_usage(&mut self, view: &View<'_>) -> Option<SmolStr> {
        let elapsed = self.usage.last_update.map(|at| view.now.since(at));
        if elapsed.is_some_and(|elapsed| elapsed < UPDATE_INTERVAL) {
            return None;
        }
        self.usage.last_update = Some(view.now);
        let elapsed = elapsed.unwrap_or_default();
        let available = view.roster.instances().filter(|server| {
            server.record.engine.is_some()
                && server.may_join()
                && !self.liveness.is_lost(&server.id)
        });
        let available = available.count();
        let open = self.groups.iter().filter(|group| group.phase == Phase::Open);
        let serving: usize = open.clone().map(|group| group.members.len()).sum();
        let not_serving = self.groups.len() - open.clone().count();
        self.usage.totals.group_downtime += elapsed * not_serving as u32;
        self.usage.totals.stranded += elapsed * available.saturating_sub(serving) as u32;
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
            "{available} instances available, {serving} in open groups ({}), \
             {not_serving} groups not open, {} loads in progress",
            models.join(", "),
            self.staging.len()
        ))
    }
}
