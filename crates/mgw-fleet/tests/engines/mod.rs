//! Simulation of model engines, of the server list and of several entries that may plan.
//!
//! [`Simulation`] injects faults and checks two invariants: an instance never joins a group while
//! the head of its former group still serves, and a head is ordered to open only after all members
//! were ready in the group.
#![allow(dead_code)]

mod instance;
mod planners;

use std::collections::BTreeMap;

use mgw_base::time::Instant;
use mgw_fleet::plan::{Command, Note, ProbeResult, Reply};
use mgw_fleet::roster::Record;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

pub use instance::Weights;

use instance::Instance;
use planners::Entry;

/// Number of entries that may plan.
const ENTRIES: usize = 3;

/// Size of the simulated system.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of fabric domains.
    pub domains: usize,
    /// Number of instances in each of them.
    pub instances: usize,
    /// Number of instances in the groups of the models `large` and `small`.
    pub groups: (usize, usize),
    /// The weights on the hosts.
    pub weights: Weights,
    /// Step of the virtual time in milliseconds.
    pub step_ms: u64,
}

impl Default for Size {
    fn default() -> Self {
        Self { domains: 2, instances: 8, groups: (4, 2), weights: Weights::All, step_ms: 10 }
    }
}

/// Probabilities of faults, per second unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// That an instance crashes and restarts.
    pub crash: f64,
    /// That an instance hangs forever; another one is added in its place.
    pub hang: f64,
    /// That an instance drains and terminates; another one is added in its place.
    pub drain: f64,
    /// That an instance is partitioned from the store for some seconds.
    pub partition: f64,
    /// That another entry becomes the planner.
    pub planner_change: f64,
    /// That the store answers reads with an older state for some seconds.
    pub stale_reads: f64,
    /// Per order: that it is carried out some seconds later and its reply is lost.
    pub late_order: f64,
    /// Per order: that it is carried out on time and its reply is lost.
    pub lost_reply: f64,
}

/// A message that arrives at a scheduled time.
#[derive(Clone, Debug)]
pub enum Event {
    /// An order reaches its instance.
    Order { entry: usize, term: u64, command: Command, has_reply: bool },
    /// The reply to an order reaches the entry.
    Reply { entry: usize, term: u64, command: Command, reply: Reply },
    /// The entry gives up waiting for the reply to an order.
    NoReply { entry: usize, term: u64, command: Command },
    /// A probe reaches its instance.
    Probe { entry: usize, id: SmolStr },
    /// The result of a probe reaches the entry, with a report if the instance replied.
    Report { entry: usize, id: SmolStr, probe: ProbeResult, record: Option<(Record, u64)> },
}

/// A change of the server list.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    at: u64,
    id: SmolStr,
    /// The new entry; `None` removes it.
    record: Option<Record>,
}

/// The simulated system.
pub struct Simulation {
    /// Descriptions of violated invariants. The simulation stops at the first one.
    pub violations: Vec<String>,
    size: Size,
    faults: Faults,
    random: SmallRng,
    now: u64,
    instances: BTreeMap<SmolStr, Instance>,
    /// All changes of the server list, the oldest first.
    list: Vec<ListUpdate>,
    entries: Vec<Entry>,
    /// Index of the entry that has the planner's role.
    planner_entry: usize,
    /// Term of the current planner.
    term: u64,
    /// Until when the store answers reads with an older state.
    stale_until: u64,
    /// Scheduled events by time and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    events_scheduled: u64,
    instances_added: u64,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

impl Simulation {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self::with_size(seed, faults, Size::default())
    }

    pub fn with_size(seed: u64, faults: Faults, size: Size) -> Self {
        let mut simulation = Self {
            violations: Vec::new(),
            size,
            faults,
            random: SmallRng::seed_from_u64(seed),
            now: 10_000,
            instances: BTreeMap::new(),
            list: Vec::new(),
            entries: (0..ENTRIES).map(|_| Entry::new(size.groups)).collect(),
            planner_entry: 0,
            term: 1,
            stale_until: 0,
            events: BTreeMap::new(),
            events_scheduled: 0,
            instances_added: 0,
        };
        for domain in 0..size.domains {
            for _ in 0..size.instances {
                simulation.add_instance(domain);
            }
        }
        simulation.entries[0].start_planning(1, at(simulation.now));
        simulation
    }

    /// Ends partitions and stale reads, and injects no more faults.
    pub fn stop_faults(&mut self) {
        self.faults = Faults::default();
        self.stale_until = 0;
        let now = self.now;
        self.instances
            .values_mut()
            .for_each(|it| it.partitioned_until = it.partitioned_until.min(now));
    }

    /// Puts the weights of the model `large` onto the first `large` hosts of each domain, and those of
    /// `small` onto the others.
    pub fn stage_weights(&mut self, large: usize) {
        let mut seen = vec![0; self.size.domains];
        for instance in self.instances.values_mut() {
            let model = if seen[instance.domain] < large { "large" } else { "small" };
            seen[instance.domain] += 1;
            instance.staged = vec![model.into()];
        }
    }

    /// Partitions a share of the instances from the store for `ms` milliseconds.
    pub fn partition(&mut self, share: f64, ms: u64) {
        let until = self.now + ms;
        for instance in self.instances.values_mut() {
            if self.random.random_bool(share) {
                instance.partitioned_until = until;
            }
        }
    }

    /// Ends `count` members of groups for good, and adds empty instances in their places. Returns
    /// the number of groups that have lost a member.
    pub fn lose_members(&mut self, count: usize) -> usize {
        let is_member = |it: &&Instance| it.is_up() && it.membership.is_some();
        let members: Vec<SmolStr> = self
            .instances
            .iter()
            .filter(|(_, it)| is_member(it))
            .map(|(id, _)| id.clone())
            .collect();
        let mut epochs = Vec::new();
        for _ in 0..count.min(members.len()) {
            let id = &members[self.random.random_range(0..members.len())];
            let Some(instance) = self.instances.get_mut(id) else { continue };
            epochs.extend(instance.membership.as_ref().map(|it| it.epoch));
            instance.hang();
            let domain = instance.domain;
            self.add_instance(domain);
        }
        epochs.sort_unstable();
        epochs.dedup();
        epochs.len()
    }

    /// Number of open groups of a model, as the planner knows them.
    pub fn open_groups(&self, model: &str) -> usize {
        self.entries[self.planner_entry].open_groups(model)
    }

    /// Number of notes of the planners that contain `text`.
    pub fn notes(&self, text: &str) -> usize {
        let notes = self.entries.iter().flat_map(|entry| &entry.notes);
        notes
            .filter(|note| matches!(note, Note::Group { text: it, .. } if it.contains(text)))
            .count()
    }

    /// Number of instances in complete groups with a serving head, and number of instances that are
    /// up and not draining.
    pub fn serving(&self) -> (usize, usize) {
        let is_available = |it: &&Instance| it.is_up() && !it.is_draining();
        let live = self.instances.values().filter(is_available).count();
        let heads = self.instances.values().filter(|it| it.is_up() && it.serves());
        let groups = heads.filter_map(|head| {
            let members = &head.membership.as_ref()?.members;
            let is_present = |id: &SmolStr| self.is_member(id, head);
            members.iter().all(is_present).then_some(members.len())
        });
        (groups.sum(), live)
    }

    /// Whether the instance `id` is up and in the same group as `head`.
    fn is_member(&self, id: &SmolStr, head: &Instance) -> bool {
        let membership = head.membership.as_ref();
        self.instances.get(id).is_some_and(|it| {
            it.is_up() && it.membership.as_ref().map(|it| it.epoch) == membership.map(|it| it.epoch)
        })
    }

    /// Adds an instance with a new id to `domain`.
    fn add_instance(&mut self, domain: usize) {
        self.instances_added += 1;
        let id = format_smolstr!("i{}", self.instances_added);
        let instance = Instance::new(id.clone(), domain, self.size.weights, self.now);
        self.instances.insert(id, instance);
    }

    /// Runs the simulation for `ms` milliseconds of virtual time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end && self.violations.is_empty() {
            self.now += self.size.step_ms;
            self.inject_faults();
            self.write_list();
            self.instances.values_mut().for_each(|it| it.advance(self.now));
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle_event(event);
            }
            for entry in 0..ENTRIES {
                self.step_entry(entry);
            }
        }
    }

    /// Schedules `event` after `delay` milliseconds. Events of the same time keep their order.
    fn schedule(&mut self, delay: u64, event: Event) {
        self.events_scheduled += 1;
        self.events.insert((self.now + delay, self.events_scheduled), event);
    }

    /// Draws whether an event with the given probability per second occurs in this step.
    fn occurs(&mut self, chance_per_s: f64) -> bool {
        self.random.random_bool((chance_per_s * self.size.step_ms as f64 / 1_000.0).min(1.0))
    }

    /// Draws the faults of this step and applies them.
    fn inject_faults(&mut self) {
        let faults = self.faults;
        let ids: Vec<SmolStr> = self.instances.keys().cloned().collect();
        for id in ids {
            let (crash, hang) = (self.occurs(faults.crash), self.occurs(faults.hang));
            let (drain, partition) = (self.occurs(faults.drain), self.occurs(faults.partition));
            let span = self.random.random_range(2_000..10_000);
            let now = self.now;
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            if !instance.is_up() {
                continue;
            }
            let domain = instance.domain;
            if crash {
                instance.crash(now, span / 2);
            }
            if hang {
                instance.hang();
                self.add_instance(domain);
            } else if drain && !instance.is_draining() {
                instance.drain(now, 2_000 + span);
                self.add_instance(domain);
            } else if partition {
                instance.partitioned_until = now + span;
            }
        }
        if self.occurs(faults.stale_reads) {
            self.stale_until = self.now + self.random.random_range(1_000..4_000);
        }
        if self.occurs(faults.planner_change) {
            self.replace_planner();
        }
    }

    /// Lets another entry take the planner's role. The previous planner continues until it learns
    /// of the change, up to 1.9 s later.
    fn replace_planner(&mut self) {
        let until = self.now + self.random.random_range(0..1_900);
        self.entries[self.planner_entry].plans_until = until;
        self.planner_entry = (self.planner_entry + self.random.random_range(1..ENTRIES)) % ENTRIES;
        self.term += 7;
        self.entries[self.planner_entry].start_planning(self.term, at(self.now));
    }

    /// Appends the changes of the server list that are due.
    fn write_list(&mut self) {
        let (now, mut updates) = (self.now, Vec::new());
        for (id, instance) in &mut self.instances {
            if let Some(record) = instance.write(now) {
                updates.push(ListUpdate { at: now, id: id.clone(), record });
            }
        }
        self.instances.retain(|_, it| !it.is_removable(now));
        self.list.extend(updates);
    }

    /// Number of list changes that a read returns now.
    fn visible_updates(&self) -> usize {
        match self.now < self.stale_until {
            true => self.list.partition_point(|it| it.at + 3_000 <= self.now),
            false => self.list.len(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Order { entry, term, command, has_reply } => {
                let Some(instance) = self.instances.get(&command.instance) else { return };
                if !instance.listens() {
                    return;
                }
                let reply = self.deliver_order(term, &command);
                if has_reply {
                    let delay = self.random.random_range(3..15);
                    self.schedule(delay, Event::Reply { entry, term, command, reply });
                }
            }
            Event::Reply { entry, term, command, reply } => {
                self.entries[entry].apply_reply(term, &command, Some(reply), at(self.now));
            }
            Event::NoReply { entry, term, command } => {
                self.entries[entry].apply_reply(term, &command, None, at(self.now));
            }
            Event::Probe { entry, id } => {
                let known = self.instances.get(&id);
                let probe = match known {
                    Some(it) if it.listens() => ProbeResult::Alive,
                    Some(it) if it.refuses() => ProbeResult::Refused,
                    Some(_) | None => ProbeResult::Silent,
                };
                let delay = if probe == ProbeResult::Silent { 300 } else { 5 };
                let record = known.filter(|it| it.listens()).map(Instance::report);
                self.schedule(delay, Event::Report { entry, id, probe, record });
            }
            Event::Report { entry, id, probe, record } => {
                self.entries[entry].apply_probe(&id, probe, record, at(self.now));
            }
        }
    }

    /// Lets an instance carry out an order, and checks the invariants.
    fn deliver_order(&mut self, term: u64, command: &Command) -> Reply {
        let now = self.now;
        let before = self.instances[&command.instance].membership.clone();
        let Some(instance) = self.instances.get_mut(&command.instance) else {
            return Reply::Rejected;
        };
        let reply = instance.order(term, command, now);
        let after = self.instances[&command.instance].membership.clone();
        let (Some(old), Some(new)) = (before, after) else { return reply };
        if old.epoch != new.epoch {
            let head = self.instances.get(&old.members[0]);
            let is_member =
                |it: &&Instance| it.membership.as_ref().is_some_and(|it| it.epoch == old.epoch);
            if head.filter(is_member).is_some_and(|it| it.is_up() && it.serves()) {
                self.violations.push(format!(
                    "{now} ms: {} joined group {} while its former group {} is served by {}",
                    command.instance, new.group, old.group, old.members[0]
                ));
            }
        }
        if starts_to_open(&old, &new) {
            self.check_open(&new);
        }
        reply
    }

    /// Checks that all members were ready in the group of `membership` when its head starts to
    /// open.
    fn check_open(&mut self, membership: &instance::Membership) {
        for id in &membership.members {
            let was_ready = self.instances.get(id).is_none_or(|it| it.was_ready(membership));
            if !was_ready {
                self.violations.push(format!(
                    "{} ms: group {} opens before {id} was ready",
                    self.now, membership.group
                ));
            }
        }
    }

    fn step_entry(&mut self, entry: usize) {
        let (visible, now) = (self.visible_updates(), self.now);
        let (orders, probes) = self.entries[entry].step(&self.list[..visible], now);
        let faults = self.faults;
        for (term, command) in orders {
            let is_late = self.random.random_bool(faults.late_order.min(1.0));
            let has_reply = !is_late && !self.random.random_bool(faults.lost_reply.min(1.0));
            let delay = match is_late {
                true => self.random.random_range(2_000..12_000),
                false => self.random.random_range(3..15),
            };
            let (copy, instance) = (command.clone(), command.instance.clone());
            self.schedule(delay, Event::Order { entry, term, command, has_reply });
            let is_reached = self.instances.get(&instance).is_some_and(Instance::listens);
            if !has_reply || !is_reached {
                self.schedule(1_000, Event::NoReply { entry, term, command: copy });
            }
        }
        for id in probes {
            let delay = self.random.random_range(3..15);
            self.schedule(delay, Event::Probe { entry, id });
        }
    }
}

/// Whether a head was ordered to open between two states of its membership.
fn starts_to_open(old: &instance::Membership, new: &instance::Membership) -> bool {
    old.epoch == new.epoch && old.opens_at.is_none() && new.opens_at.is_some()
}
