//! The planner's working tables of instances and groups.

use std::time::Duration;

use mgw_report::report::Phase;
use mgw_state::record::{Incarnation, Mark, Offset};
use mgw_state::state::Group;
use smol_str::SmolStr;

use crate::form::observation::is_newer;
use crate::form::{Class, Memory, Pass};
use crate::layout::{Layout, Node, Place, Replica, Weighing};

impl<'a> Pass<'a> {
    pub(super) fn layout(&mut self, memory: &mut Memory) -> Layout<'a> {
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
        let place = |names: &[&SmolStr], name| names.binary_search(&name).unwrap_or(usize::MAX);
        let mut nodes = Vec::with_capacity(sheet.instances.len());
        for declared in &sheet.instances {
            let mut node = self.node(&declared.name, memory);
            node.zone = place(&zones, &declared.zone);
            node.domain = place(&domains, &declared.domain);
            node.accelerator = place(&kinds, &declared.accelerator);
            nodes.push(node);
        }
        let accelerators: Vec<usize> =
            sheet.models.iter().map(|model| place(&kinds, &model.accelerator)).collect();
        let mut layout = Layout {
            sheet,
            accelerators,
            domains: domains.len(),
            zones: zones.len(),
            nodes,
            replicas: Vec::new(),
            moves: Vec::new(),
            weighing: Weighing {
                downtime: u64::from(sheet.setting.downtime_weight),
                failures: self.options.failures,
                repair_hours: self.options.repair_hours,
            },
        };
        for (id, group) in self.state.groups() {
            let replica = self.replica(id, group, &mut layout, memory);
            layout.replicas.push(replica);
        }
        layout.mark_extra();
        let view = self.view;
        memory.failing.retain(|name, _| view.observation(name).is_some());
        let exists = |id: &Offset| self.state.group(*id).is_some();
        memory.stuck.retain(|id, _| exists(id));
        memory.broken.retain(|id, _| exists(id));
        memory.closing.retain(|id, _| exists(id));
        layout
    }

    pub(super) fn node(&mut self, name: &SmolStr, memory: &mut Memory) -> Node {
        let observation = self.view.observation(name);
        let class = observation.map_or(Class::Unknown, |observation| self.class(observation));
        let report = self.report(name);
        let known = self.state.instance(name);
        let failing = report.is_some_and(|report| report.phase == Phase::Failed);
        let failed = match failing {
            true => {
                let since = *memory.failing.entry(name.clone(), || self.now);
                !self.is_over(since, self.options.retry)
            }
            false => {
                memory.failing.remove(name);
                false
            }
        };
        let slow = observation.is_some_and(|observation| observation.slow_since.is_some());
        let boot = report.map(|report| report.boot.clone()).unwrap_or_default();
        let restarted = known.is_some_and(|known| is_newer(known, &boot));
        let same = known.is_none_or(|known| known.boot.is_empty() || known.boot == boot);
        let clear = known.is_none_or(|known| known.mark == Mark::Clear);
        // The record of the restart precedes all others, so it is taken into account here.
        let group = known.and_then(|known| known.assignment).map(|it| it.group);
        let blocked = !restarted && self.state.blocking_executor(name, self.me).is_some();
        let warm = report
            .and_then(|report| report.model.as_ref())
            .and_then(|(model, version)| self.wanted(model, version));
        Node {
            name: name.clone(),
            class,
            zone: usize::MAX,
            domain: usize::MAX,
            accelerator: usize::MAX,
            usable: class == Class::Present
                && !boot.is_empty()
                && (same || restarted)
                && clear
                && !failed
                && !slow
                && !blocked,
            group: group.filter(|_| !restarted),
            boot,
            blocked,
            warm,
        }
    }

    pub(super) fn wanted(&self, model: &SmolStr, version: &SmolStr) -> Option<usize> {
        let models = &self.sheet.models;
        let place = models.binary_search_by(|it| it.name.cmp(model)).ok()?;
        (models[place].version == *version).then_some(place)
    }

    pub(super) fn replica(
        &mut self,
        id: Offset,
        group: &'a Group,
        layout: &mut Layout<'a>,
        memory: &mut Memory,
    ) -> Replica {
        let models = &self.sheet.models;
        let model = models.binary_search_by(|it| it.name.cmp(&group.model)).ok();
        let mut missing: Option<Duration> = None;
        let mut places = Vec::with_capacity(group.members.len());
        for (rank, seat) in group.members.iter().enumerate() {
            let node = match layout.nodes[..self.sheet.instances.len()]
                .binary_search_by(|node| node.name.cmp(&seat.instance))
            {
                Ok(node) => node,
                Err(_) => self.foreign(&seat.instance, layout, memory),
            };
            let (place, unordered) =
                self.place(id, group, rank, (node, &layout.nodes[node]), memory);
            missing = missing.into_iter().chain(unordered).min();
            places.push(place);
        }
        let stuck = match missing {
            Some(delay) => {
                let since = *memory.stuck.entry(id, || self.now);
                self.is_over(since, delay)
            }
            None => {
                memory.stuck.remove(&id);
                false
            }
        };
        let held = match places.iter().any(|place| place.lost) {
            true => {
                let since = *memory.broken.entry(id, || self.now);
                !self.is_over(since, self.options.hold)
            }
            false => {
                memory.broken.remove(&id);
                false
            }
        };
        let drained = match places.iter().any(|place| place.going) {
            true => {
                let since = *memory.closing.entry(id, || self.now);
                let settled = self.is_over(since, self.options.settle);
                let late = self.is_over(since, self.options.drain);
                late || (settled && self.is_empty(id, group, since + self.options.settle))
            }
            false => {
                memory.closing.remove(&id);
                false
            }
        };
        let current = model.is_some_and(|index| {
            let kind = |place: &Place| layout.nodes[place.node].accelerator;
            let fits = |place: &Place| place.vacant || kind(place) == layout.accelerators[index];
            models[index].version == group.version
                && models[index].instances as usize == group.members.len()
                && places.iter().all(fits)
        });
        let ready = self.is_ready(id);
        Replica {
            id,
            model,
            current,
            places,
            ready,
            drained,
            stuck,
            held,
            extra: false,
            touched: false,
        }
    }

    /// The node of a member that the sheet does not declare; it is never assigned.
    pub(super) fn foreign(
        &mut self,
        name: &SmolStr,
        layout: &mut Layout<'a>,
        memory: &mut Memory,
    ) -> usize {
        let declared = self.sheet.instances.len();
        let known = layout.nodes[declared..].iter().position(|node| node.name == *name);
        known.map(|place| declared + place).unwrap_or_else(|| {
            let node = Node { usable: false, ..self.node(name, memory) };
            layout.nodes.push(node);
            layout.nodes.len() - 1
        })
    }

    /// A seat's condition. If the order is missing there while nobody is about to send it, also the
    /// time after which the group is formed again.
    pub(super) fn place(
        &mut self,
        id: Offset,
        group: &Group,
        rank: usize,
        (index, node): (usize, &Node),
        memory: &Memory,
    ) -> (Place, Option<Duration>) {
        let seat = &group.members[rank];
        let name = &seat.instance;
        let observation = self.view.observation(name);
        let known = self.state.instance(name);
        let report = self.report(name).filter(|report| report.boot == seat.boot);
        let holds = report.map(|report| report.holds(id, group, self.state.checks_fencing(name)));
        let failing = memory.failing.get(name).copied().filter(|_| holds == Some(true));
        let failed = failing.is_some_and(|since| self.is_over(since, self.options.failed));
        let slow = observation.and_then(|observation| observation.slow_since);
        let slow = slow.is_some_and(|since| self.is_over(since, self.options.slow));
        let vacant = seat.vacant || node.group != Some(id);
        let drain = known.is_some_and(|known| known.mark == Mark::Drain);
        let executor = known.and_then(|known| known.custody.as_ref()).map(|it| it.executor);
        let alive = |it: Incarnation| it == self.me || self.view.alive.binary_search(&it).is_ok();
        let delay = match executor {
            Some(executor) if alive(executor) => None,
            Some(_) => Some(self.options.orphan),
            None => Some(self.options.stuck),
        };
        let place = Place {
            node: index,
            vacant,
            lost: vacant || node.class == Class::Lost || failed,
            going: node.class == Class::Leaving || drain || !self.state.is_in_sheet(name),
            slow,
        };
        (place, delay.filter(|_| !vacant && holds == Some(false)))
    }
}
