//! Instances that obey the rules of the engines, a list of them with faults, and several planners.
//!
//! The fleet checks what must always hold: an instance joins no group while the head of another
//! group that it has not left serves, and a group opens only when each member was ready in it.
#![allow(dead_code)]

mod instance;
mod planners;

use std::collections::BTreeMap;

use mgw_base::time::Instant;
use mgw_fleet::plan::{Command, ProbeResult, Reply};
use mgw_fleet::roster::Record;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

use instance::Instance;
use planners::Entry;

/// Step of the virtual time in ms.
const STEP: u64 = 10;

/// Entries that may plan.
const ENTRIES: usize = 3;

/// Instances in each of the two domains.
const EACH: usize = 8;

/// Chances of faults, per second unless it says otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Of each instance to crash and start again.
    pub crash: f64,
    /// Of each instance to fall silent for good.
    pub silent: f64,
    /// Of each instance to leave; another one comes in its place.
    pub leave: f64,
    /// Of each instance to be cut off from the store for some seconds.
    pub cut: f64,
    /// Of another entry to become the planner.
    pub replaced: f64,
    /// Of the store to answer with an older state for some seconds.
    pub stale_reads: f64,
    /// Of each order to be carried out some seconds later, without an answer.
    pub late: f64,
    /// Of each order to be carried out without an answer.
    pub unanswered: f64,
}

/// What happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// An order reaches its instance.
    Order { entry: usize, term: u64, command: Command, is_answered: bool },
    /// The answer reaches the entry.
    Answer { entry: usize, term: u64, command: Command, reply: Reply },
    /// An order has no answer in time.
    NoAnswer { entry: usize, term: u64, command: Command },
    /// A question reaches its instance.
    Probe { entry: usize, id: SmolStr },
    /// The report reaches the entry.
    Report { entry: usize, id: SmolStr, probe: ProbeResult, record: Option<(Record, u64)> },
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Written {
    at: u64,
    id: SmolStr,
    record: Option<Record>,
}

/// Instances, their list, and the entries.
pub struct Fleet {
    pub violations: Vec<String>,
    faults: Faults,
    random: SmallRng,
    now: u64,
    instances: BTreeMap<SmolStr, Instance>,
    list: Vec<Written>,
    entries: Vec<Entry>,
    leader: usize,
    term: u64,
    /// Until when reads show an older state.
    stale_until: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    names: u64,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

impl Fleet {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut fleet = Self {
            violations: Vec::new(),
            faults,
            random: SmallRng::seed_from_u64(seed),
            now: 10_000,
            instances: BTreeMap::new(),
            list: Vec::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            leader: 0,
            term: 1,
            stale_until: 0,
            events: BTreeMap::new(),
            sequence: 0,
            names: 0,
        };
        for domain in 0..2 {
            for _ in 0..EACH {
                fleet.add(domain);
            }
        }
        fleet.entries[0].lead(1, at(fleet.now));
        fleet
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.stale_until = 0;
        let now = self.now;
        self.instances.values_mut().for_each(|it| it.cut_until = it.cut_until.min(now));
    }

    /// Members of open groups whose members are all there, and instances that live and stay.
    pub fn serving(&self) -> (usize, usize) {
        let stays = |it: &&Instance| it.is_up() && !it.is_leaving();
        let live = self.instances.values().filter(stays).count();
        let heads = self.instances.values().filter(|it| it.is_up() && it.serves());
        let groups = heads.filter_map(|head| {
            let members = &head.membership.as_ref()?.members;
            let is_there = |id: &SmolStr| self.is_member(id, head);
            members.iter().all(is_there).then_some(members.len())
        });
        (groups.sum(), live)
    }

    fn is_member(&self, id: &SmolStr, head: &Instance) -> bool {
        let membership = head.membership.as_ref();
        self.instances.get(id).is_some_and(|it| {
            it.is_up() && it.membership.as_ref().map(|it| it.epoch) == membership.map(|it| it.epoch)
        })
    }

    fn add(&mut self, domain: usize) {
        self.names += 1;
        let id = format_smolstr!("i{}", self.names);
        self.instances.insert(id.clone(), Instance::new(id, domain, self.now));
    }

    /// Lets `ms` pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end && self.violations.is_empty() {
            self.now += STEP;
            self.strike();
            self.write_list();
            self.instances.values_mut().for_each(|it| it.pass(self.now));
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.take(event);
            }
            for entry in 0..ENTRIES {
                self.step(entry);
            }
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn hits(&mut self, chance_per_s: f64) -> bool {
        self.random.random_bool((chance_per_s * STEP as f64 / 1_000.0).min(1.0))
    }

    fn strike(&mut self) {
        let faults = self.faults;
        let ids: Vec<SmolStr> = self.instances.keys().cloned().collect();
        for id in ids {
            let (crash, silent) = (self.hits(faults.crash), self.hits(faults.silent));
            let (leave, cut) = (self.hits(faults.leave), self.hits(faults.cut));
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
            if silent {
                instance.silence();
                self.add(domain);
            } else if leave && !instance.is_leaving() {
                instance.leave(now, 2_000 + span);
                self.add(domain);
            } else if cut {
                instance.cut_until = now + span;
            }
        }
        if self.hits(faults.stale_reads) {
            self.stale_until = self.now + self.random.random_range(1_000..4_000);
        }
        if self.hits(faults.replaced) {
            self.replace_planner();
        }
    }

    /// Another entry takes the role; the one before goes on until it hears of that.
    fn replace_planner(&mut self) {
        let until = self.now + self.random.random_range(0..1_900);
        self.entries[self.leader].lead_until = until;
        self.leader = (self.leader + self.random.random_range(1..ENTRIES)) % ENTRIES;
        self.term += 7;
        self.entries[self.leader].lead(self.term, at(self.now));
    }

    fn write_list(&mut self) {
        let (now, mut written) = (self.now, Vec::new());
        for (id, instance) in &mut self.instances {
            if let Some(record) = instance.write(now) {
                written.push(Written { at: now, id: id.clone(), record });
            }
        }
        self.instances.retain(|_, it| !it.is_forgotten(now));
        self.list.extend(written);
    }

    /// The part of the list that reads show now.
    fn shown(&self) -> usize {
        match self.now < self.stale_until {
            true => self.list.partition_point(|it| it.at + 3_000 <= self.now),
            false => self.list.len(),
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Order { entry, term, command, is_answered } => {
                let Some(instance) = self.instances.get(&command.instance) else { return };
                if !instance.listens() {
                    return;
                }
                let reply = self.order(term, &command);
                if is_answered {
                    let delay = self.random.random_range(3..15);
                    self.after(delay, Event::Answer { entry, term, command, reply });
                }
            }
            Event::Answer { entry, term, command, reply } => {
                self.entries[entry].answered(term, &command, Some(reply), at(self.now));
            }
            Event::NoAnswer { entry, term, command } => {
                self.entries[entry].answered(term, &command, None, at(self.now));
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
                self.after(delay, Event::Report { entry, id, probe, record });
            }
            Event::Report { entry, id, probe, record } => {
                self.entries[entry].probed(&id, probe, record, at(self.now));
            }
        }
    }

    /// Carries out an order, after checking that it breaks nothing.
    fn order(&mut self, term: u64, command: &Command) -> Reply {
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
            let holds =
                |it: &&Instance| it.membership.as_ref().is_some_and(|it| it.epoch == old.epoch);
            if head.filter(holds).is_some_and(|it| it.is_up() && it.serves()) {
                self.violations.push(format!(
                    "{now}: {} joined {} while {} of {} serves",
                    command.instance, new.group, old.group, old.members[0]
                ));
            }
        }
        if instance_opens(&old, &new) {
            self.check_open(&new);
        }
        reply
    }

    fn check_open(&mut self, membership: &instance::Membership) {
        for id in &membership.members {
            let was_ready = self.instances.get(id).is_none_or(|it| it.was_ready(membership));
            if !was_ready {
                self.violations.push(format!(
                    "{}: {} opens before {id} was ready",
                    self.now, membership.group
                ));
            }
        }
    }

    fn step(&mut self, entry: usize) {
        let (shown, now) = (self.shown(), self.now);
        let (orders, probes) = self.entries[entry].step(&self.list[..shown], now);
        let faults = self.faults;
        for (term, command) in orders {
            let is_late = self.random.random_bool(faults.late.min(1.0));
            let is_answered = !is_late && !self.random.random_bool(faults.unanswered.min(1.0));
            let delay = match is_late {
                true => self.random.random_range(2_000..12_000),
                false => self.random.random_range(3..15),
            };
            let (copy, instance) = (command.clone(), command.instance.clone());
            self.after(delay, Event::Order { entry, term, command, is_answered });
            let is_reached = self.instances.get(&instance).is_some_and(Instance::listens);
            if !is_answered || !is_reached {
                self.after(1_000, Event::NoAnswer { entry, term, command: copy });
            }
        }
        for id in probes {
            let delay = self.random.random_range(3..15);
            self.after(delay, Event::Probe { entry, id });
        }
    }
}

fn instance_opens(old: &instance::Membership, new: &instance::Membership) -> bool {
    old.epoch == new.epoch && old.opens_at.is_none() && new.opens_at.is_some()
}
