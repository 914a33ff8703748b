//! Summary of the world in plain text, for the report of a failed run.

use crate::world::World;

impl World {
    /// Describes groups, engines and entries in plain text, for the report of a failed run.
    pub fn summary(&self) -> Vec<String> {
        let state = &self.checker.state;
        let mut lines = vec![format!(
            "term {} planner {:?} version {} log {}",
            state.term().number,
            self.planner().map(|it| self.entries[it].name.as_str()),
            state.config().version,
            self.log.next_offset
        )];
        for (id, group) in state.groups() {
            let members: Vec<&str> = group.members.iter().map(|it| it.instance.as_str()).collect();
            lines.push(format!(
                "group {id} fence {} {} {} on {} whole {} open at {}",
                group.fence,
                group.model,
                group.version,
                members.join(" "),
                self.is_group_complete(id),
                self.servable_entry_count(id)
            ));
        }
        for engine in &self.engines {
            let known = state.instance(&engine.name);
            let custody = known.and_then(|it| it.custody.as_ref());
            let custody = custody.map(|it| (self.entry_of(it.executor), it.fence, it.drain));
            lines.push(format!(
                "{} boot {} alive {} holds {} fence {} ready {} custody {custody:?}",
                engine.name,
                engine.boot,
                engine.absent_since.is_none(),
                engine.assignment.group,
                engine.assignment.fence,
                engine.assignment.ready
            ));
        }
        for (index, entry) in self.entries.iter().enumerate() {
            let status = self.entry_status(index);
            let applied = self.node(index).map_or(0, |node| node.state().applied());
            lines.push(format!("{} {status:?} applied {applied}", entry.name));
        }
        lines
    }
}
