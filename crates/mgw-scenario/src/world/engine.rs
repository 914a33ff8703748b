//! Fake model engines: faults, reports, orders and weight loading.

use std::collections::VecDeque;

use mgw_entry::input::{Input, Reply};
use mgw_report::report::{self, Action, Order, Phase};
use mgw_sheet::sheet::Instance;
use smol_str::SmolStr;

use super::entry::{Breakpoint, ProcessId};
use super::link::Party;
use super::platform::Listed;
use super::{MILLISECOND, Micros, SECOND, World};

mod job;

/// Number of prompt prefixes in an engine's prefix cache.
const PREFIX_CACHE_CAPACITY: usize = 64;

/// Capacity and timing of the model engines.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Time per token with an empty batch. With a full batch, a token takes twice as long.
    pub token_time: Micros,
    /// Tokens per chunk of the answer.
    pub chunk_tokens: u64,
    /// Prefill time per prompt token.
    pub prompt_token_time: Micros,
    /// Share of the prefill time that remains when the prompt's prefix is cached.
    pub uncached_share: f64,
    /// Age of the state shown in a report.
    pub report_lag: Micros,
    /// Time from a crash to the restart of the engine.
    pub restart_delay: Micros,
    /// Time from the start of a poison request to the crash that it causes.
    pub crash_delay: Micros,
    /// Time to join a group when the model is already loaded.
    pub join_time: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            token_time: 15 * MILLISECOND,
            chunk_tokens: 8,
            prompt_token_time: 100,
            uncached_share: 0.2,
            report_lag: 100 * MILLISECOND,
            restart_delay: 8 * SECOND,
            crash_delay: 100 * MILLISECOND,
            join_time: 200 * MILLISECOND,
        }
    }
}

/// Fault that an engine injects into its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Answers are intact.
    #[default]
    None,
    /// From the middle of the answer on, chunks carry the id and text of another request.
    Crossed,
    /// Every chunk is sent twice.
    Duplicate,
    /// Every other chunk arrives after the one that follows it.
    Late,
    /// The second half of the answer is missing, but the end states the full length.
    Truncated,
    /// The connection closes in the middle of each answer.
    Broken,
}

/// Group membership and model from the last order that the engine accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assignment {
    pub(crate) fence: u64,
    pub(crate) group: u64,
    pub(crate) rank: u32,
    pub(crate) model: SmolStr,
    pub(crate) version: SmolStr,
    /// Engine indices of the group's members, in rank order.
    pub(crate) members: Vec<usize>,
    pub(crate) ready: bool,
}

/// A request that an engine runs or has queued.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: u64,
    pub(crate) process_id: ProcessId,
    pub(crate) proxied_call: u64,
    pub(crate) connection: u32,
    pub(crate) request: SmolStr,
    /// Index of the call that the text answers; lets the caller detect crossed answers.
    pub(crate) source_call: u64,
    pub(crate) next_token: u64,
    pub(crate) total_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix: u64,
    pub(crate) priority: u8,
    pub(crate) poison: bool,
    running: bool,
    /// Arrival time of the last byte sent, so that later bytes do not overtake it.
    last_arrival: Micros,
}

/// State of a fake model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) name: SmolStr,
    pub(crate) address: SmolStr,
    pub(crate) zone: usize,
    pub(crate) domain: usize,
    pub(crate) accelerator: SmolStr,
    pub(crate) accelerators: u32,
    pub(crate) fencing: bool,
    pub(crate) boot: SmolStr,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    pub(crate) slowdown: f64,
    pub(crate) flaw: Flaw,
    pub(crate) listed: Listed,
    pub(crate) leaving_since: Option<Micros>,
    /// Time since which the engine is dead, paused or isolated.
    pub(crate) absent_since: Option<Micros>,
    /// End of the last period in which the engine was dead, paused or isolated.
    pub(crate) absent_until: Micros,
    pub(crate) assignment: Assignment,
    /// Time at which the group in `assignment` last changed, or the engine last stopped or
    /// restarted.
    pub(crate) assigned_since: Micros,
    /// Id of the load in progress.
    pub(crate) current_load: Option<u64>,
    pub(crate) jobs: Vec<Job>,
    prefix_cache: VecDeque<u64>,
    /// States recorded at polls with their times, oldest first. Reports are taken from here.
    reports: VecDeque<(Micros, report::Engine)>,
    /// Number of crashes caused by poison requests.
    pub(crate) crashes: u32,
    /// Number of requests whose prefix was cached, and of those whose prefix was not.
    pub(crate) prefix_counts: (u64, u64),
}

impl Engine {
    pub(crate) fn new(it: &Instance, zone: usize, domain: usize, present: bool) -> Self {
        Self {
            name: it.name.clone(),
            address: it.address.clone(),
            zone,
            domain,
            accelerator: it.accelerator.clone(),
            accelerators: it.accelerators,
            fencing: it.fencing,
            boot: "b0".into(),
            alive: present,
            paused: false,
            slowdown: 1.0,
            flaw: Flaw::None,
            listed: if present { Listed::Live } else { Listed::Absent },
            leaving_since: None,
            absent_since: (!present).then_some(0),
            absent_until: 0,
            assignment: Assignment::default(),
            assigned_since: 0,
            current_load: None,
            jobs: Vec::new(),
            prefix_cache: VecDeque::new(),
            reports: VecDeque::new(),
            crashes: 0,
            prefix_counts: (0, 0),
        }
    }

    fn reset(&mut self) {
        self.assignment = Assignment::default();
        self.current_load = None;
        self.jobs.clear();
        self.prefix_cache.clear();
        self.reports.clear();
    }

    fn phase(&self) -> Phase {
        match (self.assignment.group, self.assignment.ready) {
            (0, _) => Phase::Idle,
            (_, true) => Phase::Ready,
            (_, false) => Phase::Loading,
        }
    }
}

impl World {
    /// Stops an engine, a booking server or the process of an entry. It stays down until
    /// [`World::restart`].
    pub fn stop(&mut self, party: Party) {
        match party {
            Party::Engine(index) => {
                let name = self.engines[index].name.clone();
                self.trace_text("world", format!("{name} fails"));
                self.stop_engine(index);
            }
            Party::Server(index) => self.stop_server(index),
            Party::Entry(index) => self.kill_entry(index),
            _ => {}
        }
    }

    fn stop_engine(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        engine.alive = false;
        engine.paused = false;
        engine.absent_since = engine.absent_since.or(Some(now));
        engine.assignment.ready = false;
        engine.assigned_since = now;
        engine.current_load = None;
        let jobs = std::mem::take(&mut engine.jobs);
        for job in jobs {
            self.disconnect_job(index, &job);
        }
    }

    /// Restarts an engine or a booking server with a new boot id, or starts an entry's process.
    pub fn restart(&mut self, party: Party) {
        let boot = self.new_boot_id();
        match party {
            Party::Engine(index) => {
                let name = self.engines[index].name.clone();
                self.trace_text("world", format!("{name} starts with boot {boot}"));
                let jobs = std::mem::take(&mut self.engines[index].jobs);
                for job in jobs {
                    self.disconnect_job(index, &job);
                }
                let now = self.now;
                let engine = &mut self.engines[index];
                engine.reset();
                engine.boot = boot;
                engine.alive = true;
                engine.paused = false;
                engine.assigned_since = now;
                if engine.listed == Listed::Absent {
                    engine.listed = Listed::Live;
                }
                self.update_list();
                self.refresh_absence();
            }
            Party::Server(index) => self.start_server(index, boot),
            Party::Entry(index) => self.start_entry(index),
            _ => {}
        }
    }

    /// Pauses a party: it keeps its state, but does nothing until [`World::resume`].
    pub fn pause(&mut self, party: Party) {
        match party {
            Party::Engine(index) => {
                self.engines[index].paused = true;
                let name = self.engines[index].name.clone();
                self.trace_text("world", format!("{name} is paused"));
                self.refresh_absence();
            }
            Party::Server(index) => self.servers[index].paused = true,
            Party::Entry(index) => self.pause_entry(index),
            _ => {}
        }
    }

    /// Resumes a paused party.
    pub fn resume(&mut self, party: Party) {
        match party {
            Party::Engine(index) => {
                self.engines[index].paused = false;
                let name = self.engines[index].name.clone();
                self.trace_text("world", format!("{name} resumes"));
                self.refresh_absence();
            }
            Party::Server(index) => self.resume_server(index),
            Party::Entry(index) => self.resume_entry(index),
            _ => {}
        }
    }

    /// Slows an engine or a booking server down by a factor.
    pub fn slow(&mut self, party: Party, factor: f64) {
        self.trace_text("world", format!("{party:?} slow {factor}"));
        match party {
            Party::Engine(index) => self.engines[index].slowdown = factor,
            Party::Server(index) => self.servers[index].slowdown = factor,
            _ => {}
        }
    }

    /// Sets the fault that an engine injects into its answers.
    pub fn set_flaw(&mut self, engine: usize, flaw: Flaw) {
        self.engines[engine].flaw = flaw;
    }

    /// Sets the status of an instance in the instance list.
    pub fn set_listed(&mut self, party: Party, listed: Listed) {
        self.trace_text("world", format!("{party:?} is {listed:?}"));
        match party {
            Party::Engine(index) => self.engines[index].listed = listed,
            Party::Server(index) => self.servers[index].listed = listed,
            Party::Entry(index) => self.entries[index].listed = listed,
            _ => {}
        }
        self.update_list();
    }

    /// Makes an instance available: starts it if it is down, and lists it as live, also if it was
    /// leaving.
    pub fn bring_up(&mut self, party: Party) {
        let alive = match party {
            Party::Engine(index) => self.engines[index].alive,
            Party::Server(index) => self.servers[index].alive,
            _ => true,
        };
        if !alive {
            self.restart(party);
        }
        self.set_listed(party, Listed::Live);
    }

    /// Returns the number of crashes caused by poison requests, summed over all engines.
    pub fn crash_count(&self) -> u32 {
        self.engines.iter().map(|it| it.crashes).sum()
    }

    /// Returns the number of requests whose prefix was cached at their engine, and the number of
    /// those whose prefix was not.
    pub fn prefix_hits(&self) -> (u64, u64) {
        let sum = |left: (u64, u64), it: &Engine| {
            (left.0 + it.prefix_counts.0, left.1 + it.prefix_counts.1)
        };
        self.engines.iter().fold((0, 0), sum)
    }

    pub(crate) fn refresh_absence(&mut self) {
        for index in 0..self.engines.len() {
            let isolated = self.is_isolated(Party::Engine(index));
            let now = self.now;
            let engine = &mut self.engines[index];
            engine.absent_since = match !engine.alive || engine.paused || isolated {
                true => engine.absent_since.or(Some(now)),
                false => {
                    if engine.absent_since.is_some() {
                        engine.absent_until = now;
                    }
                    None
                }
            };
        }
    }

    pub(crate) fn send_poll(&mut self, process_id: ProcessId, instance: SmolStr, address: &str) {
        let no_report = Input::EngineReport { instance: instance.clone(), report: None };
        let exchange = self.begin_exchange(process_id, self.options.entry.poll_timeout, no_report);
        let Some(Party::Engine(index)) = self.resolve_address(address) else { return };
        let (from, to) = (Party::Entry(process_id.entry), Party::Engine(index));
        let Some(delay) = self.message_delay(from, to) else { return };
        self.schedule_after(delay, move |world| {
            let engine = &world.engines[index];
            if engine.paused {
                return;
            }
            let report = engine.alive.then(|| world.lagging_report(index));
            let input = Input::EngineReport { instance, report };
            world.reply(to, process_id, exchange, input);
        });
    }

    /// Records the engine's current state and returns the newest recorded state that is at least
    /// `report_lag` old, or the oldest one if there is none.
    fn lagging_report(&mut self, index: usize) -> report::Engine {
        let options = self.options.engine;
        let now = self.now;
        let engine = &mut self.engines[index];
        let running = engine.jobs.iter().filter(|it| it.running).count();
        let report = report::Engine {
            instance: engine.name.clone(),
            boot: engine.boot.clone(),
            fence: engine.assignment.fence,
            group: engine.assignment.group,
            rank: engine.assignment.rank,
            model: engine.assignment.model.clone(),
            version: engine.assignment.version.clone(),
            adapters: Vec::new(),
            state: engine.phase(),
            running: running as u32,
            queued: (engine.jobs.len() - running) as u32,
            slots: options.slots as u32,
            as_of_ms: now / MILLISECOND,
        };
        engine.reports.push_back((now, report));
        while engine.reports.get(1).is_some_and(|(at, _)| at + options.report_lag <= now) {
            engine.reports.pop_front();
        }
        engine.reports[0].1.clone()
    }

    pub(crate) fn send_order(
        &mut self,
        process_id: ProcessId,
        instance: SmolStr,
        address: &str,
        order: Order,
    ) {
        let fence = order.fence;
        let answer = move |instance: SmolStr, reply| Input::OrderReply { instance, fence, reply };
        let unknown = answer(instance.clone(), Reply::Unknown);
        let exchange = self.begin_exchange(process_id, self.options.entry.poll_timeout, unknown);
        let Some(Party::Engine(index)) = self.resolve_address(address) else { return };
        let (from, to) = (Party::Entry(process_id.entry), Party::Engine(index));
        self.trigger_breakpoint(process_id.entry, Breakpoint::Order);
        let Some(delay) = self.message_delay(from, to) else { return };
        let Some(back) = self.message_delay(to, from) else { return };
        // The entry verifies the engine's boot id on the connection before it sends the order. An
        // entry that is paused in between sends the order when it resumes.
        self.schedule_after(delay * 2, move |world| {
            if world.engines[index].paused {
                return;
            }
            let boot_matches =
                world.engines[index].alive && world.engines[index].boot == order.boot;
            let at = world.now + back;
            world.deliver_at(at, process_id, move |world, process_id| match boot_matches {
                true => world.transmit_order(process_id, index, exchange, instance, order),
                false => {
                    let input = answer(instance, Reply::Unsent);
                    world.finish_exchange(process_id, exchange, input);
                }
            });
        });
    }

    fn transmit_order(
        &mut self,
        process_id: ProcessId,
        index: usize,
        exchange: u64,
        instance: SmolStr,
        order: Order,
    ) {
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Engine(index))
        else {
            return;
        };
        self.schedule_after(delay, move |world| {
            world.deliver_order(index, process_id, exchange, instance, order)
        });
    }

    /// Delivers an order. A paused engine accepts it after it resumes.
    fn deliver_order(
        &mut self,
        index: usize,
        process_id: ProcessId,
        exchange: u64,
        instance: SmolStr,
        order: Order,
    ) {
        if self.engines[index].paused {
            self.schedule_after(100 * MILLISECOND, move |world| {
                world.deliver_order(index, process_id, exchange, instance, order);
            });
            return;
        }
        let fence = order.fence;
        let reply = self.accept_order(index, &order);
        let input = Input::OrderReply { instance, fence, reply };
        self.reply(Party::Engine(index), process_id, exchange, input);
    }

    fn accept_order(&mut self, index: usize, order: &Order) -> Reply {
        let engine = &self.engines[index];
        if !engine.alive || engine.boot != order.boot {
            return Reply::Unsent;
        }
        if engine.fencing && order.fence < engine.assignment.fence {
            return Reply::Stale { fence: engine.assignment.fence };
        }
        let same = engine.assignment.fence == order.fence
            && engine.assignment.group == order.group
            && engine.assignment.model == order.model;
        if same && (order.order == Action::Load) == (engine.assignment.group != 0) {
            return Reply::Accepted;
        }
        self.check_order(index, order);
        let members: Vec<usize> = order
            .members
            .iter()
            .filter_map(|address| match self.resolve_address(address) {
                Some(Party::Engine(member)) => Some(member),
                _ => None,
            })
            .collect();
        let now = self.now;
        let id = self.next_id();
        let engine = &mut self.engines[index];
        let keeps_group = engine.assignment.group == order.group && order.order == Action::Load;
        let loaded = engine.assignment.ready
            && engine.assignment.model == order.model
            && engine.assignment.version == order.version;
        let jobs = if keeps_group { Vec::new() } else { std::mem::take(&mut engine.jobs) };
        if !keeps_group {
            engine.assigned_since = now;
        }
        match order.order {
            Action::Unload => {
                engine.assignment = Assignment { fence: order.fence, ..Assignment::default() };
                engine.current_load = None;
            }
            Action::Load => {
                engine.assignment = Assignment {
                    fence: order.fence,
                    group: order.group,
                    rank: order.rank,
                    model: order.model.clone(),
                    version: order.version.clone(),
                    members,
                    // A member that stays in its group with the same weights keeps serving under
                    // the new fencing token.
                    ready: loaded && keeps_group,
                };
                engine.current_load = Some(id);
                if loaded && !keeps_group {
                    let join = self.options.engine.join_time;
                    self.schedule_after(join, move |world| world.finish_load(index, id));
                } else if !loaded {
                    self.store.queue.push_back((index, id));
                    self.load_next();
                }
            }
        }
        for job in jobs {
            self.disconnect_job(index, &job);
        }
        Reply::Accepted
    }

    pub(crate) fn finish_load(&mut self, index: usize, load: u64) {
        let engine = &mut self.engines[index];
        if engine.alive && engine.current_load == Some(load) {
            engine.current_load = None;
            engine.assignment.ready = true;
        }
    }

    /// Returns whether the engine's group can compute: all members run, are ready in this group
    /// and reach the engine.
    pub(crate) fn is_group_operational(&self, index: usize) -> bool {
        let assignment = &self.engines[index].assignment;
        let isolated = self.is_isolated(Party::Engine(index));
        assignment.members.iter().all(|member| {
            let other = &self.engines[*member];
            other.alive
                && !other.paused
                && other.assignment.group == assignment.group
                && other.assignment.ready
                && (isolated || !self.is_isolated(Party::Engine(*member)))
        })
    }
}

impl Job {
    pub(crate) fn new(id: u64, process_id: ProcessId, proxied_call: u64, connection: u32) -> Self {
        Self {
            id,
            process_id,
            proxied_call,
            connection,
            request: SmolStr::default(),
            source_call: 0,
            next_token: 0,
            total_tokens: 0,
            prompt_tokens: 0,
            prefix: 0,
            priority: 0,
            poison: false,
            running: false,
            last_arrival: 0,
        }
    }
}
