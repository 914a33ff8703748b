//! What the planner makes of observations: which instances, entries and groups are there.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::{Group, Instance};
use smol_str::SmolStr;

use crate::form::{Class, Memory, Pass};
use crate::layout::Layout;
use crate::presence;
use crate::view::{Listed, Observation, Report, Silence};

impl<'a> Pass<'a> {
    /// Whether `span` has passed since `since`; if not, the planner wakes up when it has.
    pub(super) fn is_over(&mut self, since: Instant, span: Duration) -> bool {
        let due = since + span;
        if due > self.now {
            self.wake = Some(self.wake.map_or(due, |wake| wake.min(due)));
        }
        due <= self.now
    }

    /// Whether enough observers agree that the instance has been silent for long enough.
    pub(super) fn is_silent(&self, observation: &Observation) -> bool {
        let needed = self.options.observers.min(self.view.alive.len()).max(1);
        let long = |silence: &&Silence| self.now.since(silence.since) >= self.options.silent;
        observation.silences.iter().filter(long).count() >= needed
    }

    pub(super) fn class(&self, observation: &Observation) -> Class {
        let list = self.view.is_list_fresh(self.now, self.options.list);
        let agreed = self.is_silent(observation);
        let heard = observation.fresh(self.now, self.options.silent).is_some();
        let fresh = observation.fresh(self.now, self.options.fresh).is_some();
        match observation.listed {
            Listed::Absent if list => Class::Lost,
            _ if agreed && !heard => Class::Lost,
            Listed::Leaving => Class::Leaving,
            Listed::Absent => Class::Unknown,
            _ if heard || (fresh && !agreed) => Class::Present,
            _ => Class::Unknown,
        }
    }

    pub(super) fn report(&self, name: &SmolStr) -> Option<&'a Report> {
        self.view.observation(name)?.fresh(self.now, self.options.fresh)
    }

    /// Restarted instances that the log knows under an older boot.
    pub(super) fn restarts(&self) -> Vec<Record> {
        let restarted = |(name, instance): (&SmolStr, &Instance)| {
            let boot = &self.report(name)?.boot;
            let newer = is_newer(instance, boot);
            newer.then(|| Record::Restarted {
                term: self.state.term().number,
                instance: name.to_string(),
                boot: boot.to_string(),
            })
        };
        self.state.instances().filter_map(restarted).collect()
    }

    /// Entries that the instance list no longer contains and that gossip does not show.
    pub(super) fn gone(&mut self, memory: &mut Memory) -> Vec<Incarnation> {
        let fresh = self.view.is_list_fresh(self.now, self.options.list);
        let view = self.view;
        let is_missing = |incarnation: &Incarnation| {
            let entry = self.state.entry(*incarnation);
            let entry = entry.filter(|entry| entry.dead_ms.is_none() && !entry.name.is_empty());
            let listed = |name| view.listed_entries.binary_search(name).is_ok();
            fresh
                && entry.is_some_and(|entry| !listed(&entry.name))
                && view.alive.binary_search(incarnation).is_err()
        };
        let missing: Vec<Incarnation> =
            self.state.entries().map(|(it, _)| it).filter(is_missing).collect();
        memory.missing.retain(|incarnation, _| missing.binary_search(incarnation).is_ok());
        let now = self.now;
        let span = self.options.gone;
        let over = |incarnation: &Incarnation| {
            let since = *memory.missing.entry(*incarnation, || now);
            self.is_over(since, span)
        };
        missing.into_iter().filter(over).collect()
    }

    /// Whether a closed group was seen without requests after `after`.
    pub(super) fn is_empty(&self, id: Offset, group: &Group, after: Instant) -> bool {
        let summaries = self.view.groups.get(&id).map_or(&[][..], Vec::as_slice);
        let newest = summaries.iter().max_by_key(|summary| summary.at);
        let told = newest.filter(|it| it.at >= after).map(|it| it.running + it.queued == 0);
        let first = group.members.first().and_then(|seat| self.report(&seat.instance));
        let seen = first.filter(|it| it.at >= after).map(|report| report.load() == 0);
        told.or(seen).unwrap_or(false)
    }

    pub(super) fn is_ready(&self, id: Offset) -> bool {
        let options = presence::Options { bound: self.options.fresh };
        presence::judge(self.state, self.view, id, self.now, &options).is_ok()
            || presence::observe(self.state, self.view, id, self.now, &options).is_servable()
    }

    /// Whether the set of usable instances has stopped growing, or can grow no further.
    pub(super) fn is_calm(&mut self, layout: &Layout<'_>, memory: &mut Memory) -> bool {
        let declared = &layout.nodes[..self.sheet.instances.len()];
        let usable: Vec<SmolStr> =
            declared.iter().filter(|node| node.usable).map(|node| node.name.clone()).collect();
        let grown = usable.iter().any(|name| memory.usable.binary_search(name).is_err());
        memory.usable = usable;
        if grown {
            memory.grown = Some(self.now);
        }
        let settled = memory.grown.is_none_or(|grown| self.is_over(grown, self.options.calm));
        let complete = declared.iter().all(|node| node.class != Class::Unknown);
        let since = *memory.unrest.get_or_insert(self.now);
        let calm = settled || complete || self.is_over(since, self.options.unrest);
        if calm {
            memory.unrest = None;
        }
        calm
    }

    /// Digest of all that a pass depends on, apart from the delays that [`Memory::wake`] covers. It
    /// walks the tables without looking anything up, so that a pass without changes costs little.
    pub(super) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let list = self.view.is_list_fresh(self.now, self.options.list);
        (self.state.planning_revision(), list, &self.view.alive).hash(&mut hasher);
        self.view.listed_entries.hash(&mut hasher);
        for (name, observation) in self.view.instances.iter() {
            (name, observation.listed, self.is_silent(observation), observation.slow_since)
                .hash(&mut hasher);
            let fresh = observation.fresh(self.now, self.options.fresh);
            let heard = observation.fresh(self.now, self.options.silent).is_some();
            let known = fresh.map(|it| (&it.boot, it.fence, it.group, &it.model, it.phase as u8));
            (known, heard).hash(&mut hasher);
        }
        for (id, summaries) in self.view.groups.iter() {
            id.hash(&mut hasher);
            for it in summaries {
                let fresh = self.now.since(it.at) < self.options.fresh;
                (it.observer, it.fence, it.servable, fresh).hash(&mut hasher);
            }
        }
        hasher.finish()
    }
}

/// Whether a reported boot is one that the log does not know yet.
pub(super) fn is_newer(known: &Instance, boot: &SmolStr) -> bool {
    !boot.is_empty()
        && !known.boot.is_empty()
        && known.boot != *boot
        && !known.past_boots.contains(boot)
}
