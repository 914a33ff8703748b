//! True state of the groups: whether they are complete, open at an entry and serving.

use crate::world::World;
use crate::world::entry::Entry;

impl World {
    /// Returns whether no member of a group is dead, paused or isolated, and all are ready in it.
    pub fn is_group_complete(&self, group: u64) -> bool {
        let Some(group_state) = self.checker.state.group(group) else { return false };
        group_state.members.iter().all(|member| {
            let engine = self.engines.iter().find(|it| it.name == member.instance);
            engine.is_some_and(|it| {
                it.absent_since.is_none() && it.assignment.group == group && it.assignment.ready
            })
        })
    }

    /// Returns the number of unpaused entries that consider a group servable.
    pub fn servable_entry_count(&self, group: u64) -> usize {
        let open = |entry: &&Entry| {
            entry.process.as_ref().is_some_and(|it| !it.paused && it.node.is_servable(group))
        };
        self.entries.iter().filter(open).count()
    }

    /// Returns the number of serving groups of a model.
    pub fn serving_group_count(&self, model: &str) -> usize {
        let groups = self.checker.state.groups().filter(|(_, group)| group.model == model);
        groups
            .filter(|(id, _)| self.is_group_complete(*id) && self.servable_entry_count(*id) > 0)
            .count()
    }

    /// Returns the group that an instance belongs to, and whether that group serves.
    pub fn group_of(&self, instance: &str) -> Option<(u64, bool)> {
        let assignment = self.checker.state.instance(instance)?.assignment?;
        let id = assignment.group;
        Some((id, self.is_group_complete(id) && self.servable_entry_count(id) > 0))
    }
}
