//! Builds the planner's [`Layout`] from the replayed state and the observations.

use std::time::Duration;

use mgw_report::report::Phase;
use mgw_state::record::{Incarnation, Mark, Offset};
use mgw_state::state::Group;
use smol_str::SmolStr;

use crate::layout::{Layout, MemberState, Node, Replica, SparePolicy};
use crate::planner::observation::is_newer;
use crate::planner::{Pass, Presence, Tracker};

impl<'a> Pass<'a> {
    /// Builds the layout of all instances and groups, and updates in the tracker since when the
    /// conditions of instances and groups hold.
    pub(super) fn build_layout(&mut self, tracker: &mut Tracker) -> Layout<'a> {
        let sheet = self.sheet;
        let (mut zones, mut domains, mut kinds) = (Vec::new(), Vec::new(), Vec::new());
        for instance in &sheet.instances {
            zones.push(&instance.zone);
            domains.push(&instance.domain);
            kinds.push(&instance.accelerator);
        }
        for names in [&mut zones, &mut domains, &mut kinds] {
            names.sort_unstable();
            names.dedup();
        }
        let index_of = |names: &[&SmolStr], name| names.binary_search(&name).unwrap_or(usize::MAX);
        let mut nodes = Vec::with_capacity(sheet.instances.len());
        for declared in &sheet.instances {
            let mut node = self.build_node(&declared.name, tracker);
            node.zone = index_of(&zones, &declared.zone);
            node.domain = index_of(&domains, &declared.domain);
            node.accelerator = index_of(&kinds, &declared.accelerator);
            nodes.push(node);
        }
        let accelerators: Vec<usize> =
            sheet.models.iter().map(|model| index_of(&kinds, &model.accelerator)).collect();
        let mut layout = Layout {
            sheet,
            accelerators,
            domains: domains.len(),
            zones: zones.len(),
            nodes,
            replicas: Vec::new(),
            steps: Vec::new(),
            spare_policy: SparePolicy {
                downtime_weight: u64::from(sheet.setting.downtime_weight),
                failures_per_1000_days: self.options.failures_per_1000_days,
                repair_hours: self.options.repair_hours,
            },
        };
        for (id, group) in self.state.groups() {
            let replica = self.build_replica(id, group, &mut layout, tracker);
            layout.replicas.push(replica);
        }
        layout.mark_extra();
        let view = self.view;
        tracker.failing_since.retain(|name, _| view.observation(name).is_some());
        let exists = |id: &Offset| self.state.group(*id).is_some();
        tracker.stuck_since.retain(|id, _| exists(id));
        tracker.broken_since.retain(|id, _| exists(id));
        tracker.closing_since.retain(|id, _| exists(id));
        layout
    }

    /// Builds the node of an instance; the caller sets zone, domain and accelerator.
    pub(super) fn build_node(&mut self, name: &SmolStr, tracker: &mut Tracker) -> Node {
        let observation = self.view.observation(name);
        let presence =
            observation.map_or(Presence::Unknown, |observation| self.presence(observation));
        let report = self.report(name);
        let known = self.state.instance(name);
        let failing = report.is_some_and(|report| report.phase == Phase::Failed);
        let failed = match failing {
            true => {
                let since = *tracker.failing_since.entry(name.clone(), || self.now);
                !self.has_elapsed(since, self.options.failed_engine_backoff)
            }
            false => {
                tracker.failing_since.remove(name);
                false
            }
        };
        let slow = observation.is_some_and(|observation| observation.slow_since.is_some());
        let boot = report.map(|report| report.boot.clone()).unwrap_or_default();
        let restarted = known.is_some_and(|known| is_newer(known, &boot));
        let same = known.is_none_or(|known| known.boot.is_empty() || known.boot == boot);
        let clear = known.is_none_or(|known| known.mark == Mark::Clear);
        // The `Restarted` record comes before all others of the plan and ends the assignment and
        // the custody of the instance, so both are ignored for a restarted instance.
        let group = known.and_then(|known| known.assignment).map(|it| it.group);
        let blocked = !restarted && self.state.blocking_executor(name, self.own).is_some();
        let loaded_model = report
            .and_then(|report| report.model.as_ref())
            .and_then(|(model, version)| self.wanted_model(model, version));
        Node {
            name: name.clone(),
            presence,
            zone: usize::MAX,
            domain: usize::MAX,
            accelerator: usize::MAX,
            usable: presence == Presence::Present
                && !boot.is_empty()
                && (same || restarted)
                && clear
                && !failed
                && !slow
                && !blocked,
            group: group.filter(|_| !restarted),
            boot,
            blocked,
            loaded_model,
        }
    }

    /// Index of a model in the sheet if `version` is its wanted version.
    pub(super) fn wanted_model(&self, model: &SmolStr, version: &SmolStr) -> Option<usize> {
        let models = &self.sheet.models;
        let index = models.binary_search_by(|it| it.name.cmp(model)).ok()?;
        (models[index].version == *version).then_some(index)
    }

    /// Builds a group with the states of its members, and updates the group's times in the tracker.
    pub(super) fn build_replica(
        &mut self,
        id: Offset,
        group: &'a Group,
        layout: &mut Layout<'a>,
        tracker: &mut Tracker,
    ) -> Replica {
        let models = &self.sheet.models;
        let model = models.binary_search_by(|it| it.name.cmp(&group.model)).ok();
        let mut order_delay: Option<Duration> = None;
        let mut members = Vec::with_capacity(group.members.len());
        for (rank, seat) in group.members.iter().enumerate() {
            let node = match layout.nodes[..self.sheet.instances.len()]
                .binary_search_by(|node| node.name.cmp(&seat.instance))
            {
                Ok(node) => node,
                Err(_) => self.undeclared_node(&seat.instance, layout, tracker),
            };
            let (member, delay) =
                self.member_state(id, group, rank, (node, &layout.nodes[node]), tracker);
            order_delay = order_delay.into_iter().chain(delay).min();
            members.push(member);
        }
        let stuck = match order_delay {
            Some(delay) => {
                let since = *tracker.stuck_since.entry(id, || self.now);
                self.has_elapsed(since, delay)
            }
            None => {
                tracker.stuck_since.remove(&id);
                false
            }
        };
        let in_grace_period = match members.iter().any(|member| member.lost) {
            true => {
                let since = *tracker.broken_since.entry(id, || self.now);
                !self.has_elapsed(since, self.options.broken_group_grace)
            }
            false => {
                tracker.broken_since.remove(&id);
                false
            }
        };
        let drained = match members.iter().any(|member| member.leaving) {
            true => {
                let since = *tracker.closing_since.entry(id, || self.now);
                let settled = self.has_elapsed(since, self.options.settle_delay);
                let late = self.has_elapsed(since, self.options.drain_timeout);
                late || (settled
                    && self.holds_no_requests(id, group, since + self.options.settle_delay))
            }
            false => {
                tracker.closing_since.remove(&id);
                false
            }
        };
        let up_to_date = model.is_some_and(|index| {
            let kind = |member: &MemberState| layout.nodes[member.node].accelerator;
            let fits =
                |member: &MemberState| member.vacant || kind(member) == layout.accelerators[index];
            models[index].version == group.version
                && models[index].instances as usize == group.members.len()
                && members.iter().all(fits)
        });
        let ready = self.is_ready(id);
        Replica {
            id,
            model,
            up_to_date,
            members,
            ready,
            drained,
            stuck,
            in_grace_period,
            extra: false,
            modified: false,
        }
    }

    /// Index of the node of a member that the sheet does not declare. The node is added if it is
    /// not in the layout yet; it is never usable.
    pub(super) fn undeclared_node(
        &mut self,
        name: &SmolStr,
        layout: &mut Layout<'a>,
        tracker: &mut Tracker,
    ) -> usize {
        let declared = self.sheet.instances.len();
        let known = layout.nodes[declared..].iter().position(|node| node.name == *name);
        known.map(|index| declared + index).unwrap_or_else(|| {
            let node = Node { usable: false, ..self.build_node(name, tracker) };
            layout.nodes.push(node);
            layout.nodes.len() - 1
        })
    }

    /// The state of the member with a rank. If the member lacks the group's newest order and no
    /// live executor is about to send it, also the time after which the group counts as stuck.
    pub(super) fn member_state(
        &mut self,
        id: Offset,
        group: &Group,
        rank: usize,
        (index, node): (usize, &Node),
        tracker: &Tracker,
    ) -> (MemberState, Option<Duration>) {
        let seat = &group.members[rank];
        let name = &seat.instance;
        let observation = self.view.observation(name);
        let known = self.state.instance(name);
        let report = self.report(name).filter(|report| report.boot == seat.boot);
        let has_order =
            report.map(|report| report.matches_group(id, group, self.state.checks_fencing(name)));
        let failing = tracker.failing_since.get(name).copied().filter(|_| has_order == Some(true));
        let failed =
            failing.is_some_and(|since| self.has_elapsed(since, self.options.failed_order_timeout));
        let slow_since = observation.and_then(|observation| observation.slow_since);
        let straggler =
            slow_since.is_some_and(|since| self.has_elapsed(since, self.options.straggler_timeout));
        let vacant = seat.vacant || node.group != Some(id);
        let drain = known.is_some_and(|known| known.mark == Mark::Drain);
        let executor = known.and_then(|known| known.custody.as_ref()).map(|it| it.executor);
        let alive =
            |it: Incarnation| it == self.own || self.view.live_entries.binary_search(&it).is_ok();
        let delay = match executor {
            Some(executor) if alive(executor) => None,
            Some(_) => Some(self.options.orphaned_order_timeout),
            None => Some(self.options.stuck_order_timeout),
        };
        let member = MemberState {
            node: index,
            vacant,
            lost: vacant || node.presence == Presence::Lost || failed,
            leaving: node.presence == Presence::Leaving || drain || !self.state.is_in_sheet(name),
            straggler,
        };
        (member, delay.filter(|_| !vacant && has_order == Some(false)))
    }
}
