//! Entry processes. Each runs a real node and executes the node's commands in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_entry::command::Command;
use mgw_entry::input::Input;
use mgw_entry::node::{self, Node};
use mgw_state::snapshot::{self, Snapshot};
use mgw_wire::codec;
use mgw_wire::frame::{Frame, Phase};
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};

use super::link::Party;
use super::platform::Listed;
use super::proxy::ProxiedCall;
use super::server::{BookingContent, Waiting};
use super::{Detail, EntrySpec, MILLISECOND, Micros, SECOND, World};

/// Timeouts and node options of the entries.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bound on connecting to a backend server.
    pub connect_timeout: Micros,
    /// Bound on a poll of a backend server, and on an order to one.
    pub poll_timeout: Micros,
    /// Bound on an append. A read may take this long in addition to the log's long-poll time.
    pub log_timeout: Micros,
    /// Bound on the wait for the first byte of a model engine's answer.
    pub first_byte_timeout: Micros,
    /// Bound on the wait for each further byte of a model engine's answer.
    pub idle_timeout: Micros,
    /// Bound on the wait for a booking server's answer.
    pub booking_timeout: Micros,
    /// Interval between two attempts to relay a booking to an unreachable peer.
    pub relay_retry_interval: Micros,
    /// Adjusts the options of each node before it starts.
    pub configure_node: fn(&mut node::Options),
    /// Clock that measures [`Cost`]; without one, nothing is measured.
    pub cpu_clock: Option<fn() -> Duration>,
    /// Interval of the nodes' control ticks. They take up nearly all processor time of a run.
    pub control_interval: Micros,
}

/// Processor time and traffic of the node in an entry's process since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Time spent in calls to the node. Excludes encoding and sending of frames, which the
    /// simulation does not do.
    pub cpu_time: Duration,
    /// Number of calls to the node.
    pub calls: u64,
    /// Total encoded size of the frames sent to peers, in bytes.
    pub bytes_sent: u64,
    /// Encoded size of the largest frame, in bytes.
    pub largest_frame: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: SECOND,
            poll_timeout: SECOND,
            log_timeout: 2 * SECOND,
            first_byte_timeout: 10 * SECOND,
            idle_timeout: 3 * SECOND,
            booking_timeout: 10 * SECOND,
            relay_retry_interval: 500 * MILLISECOND,
            configure_node: |_| {},
            cpu_clock: None,
            control_interval: 100 * MILLISECOND,
        }
    }
}

/// Identifies one process of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessId {
    pub(crate) entry: usize,
    /// Unique among all processes of the run.
    pub(crate) generation: u64,
}

type Deferred = Box<dyn FnOnce(&mut World)>;

/// A running entry process.
pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) generation: u64,
    pub(crate) paused: bool,
    /// Steps that arrived while the process was paused; they run when it resumes.
    deferred: VecDeque<Deferred>,
    /// Difference between the process's clock and virtual time.
    clock_offset: Micros,
    /// Time of the next scheduled tick.
    next_wake: Option<Micros>,
    /// Outstanding requests by exchange id.
    pending_exchanges: Map<u64, ()>,
    pub(crate) proxied_calls: Map<u64, ProxiedCall>,
    pub(crate) bookings: Map<u128, BookingContent>,
    pub(crate) waiters: Map<u64, Waiting>,
    /// Configuration version in force at the last check.
    pub(crate) config_version: u64,
    /// Time since which the process runs unpaused and reaches the log, as seen by the checker.
    pub(crate) log_reachable_since: Option<Micros>,
    pub(crate) draining: bool,
    pub(crate) cost: Cost,
}

/// An entry and its process, if one runs.
pub(crate) struct Entry {
    pub(crate) name: SmolStr,
    pub(crate) zone: usize,
    pub(crate) peer_address: SmolStr,
    pub(crate) caller_address: SmolStr,
    pub(crate) listed: Listed,
    pub(crate) process: Option<Process>,
}

impl Entry {
    pub(crate) fn new(index: usize, spec: &EntrySpec, zone: usize) -> Self {
        Self {
            name: spec.name.clone(),
            zone,
            peer_address: format_smolstr!("10.9.{}.{}:7000", index / 250, index % 250 + 1),
            caller_address: format_smolstr!("10.9.{}.{}:8000", index / 250, index % 250 + 1),
            listed: Listed::Live,
            process: None,
        }
    }
}

/// A point in the execution of an entry at which a script can pause or kill it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breakpoint {
    /// The entry begins to send an order to a model engine.
    Order,
    /// The entry sends an append to the log.
    Append,
    /// The node has permitted the dispatch of a booking, and the entry writes it to the server.
    Dispatch,
}

/// Status of an entry and its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStatus {
    /// The entry has no process.
    Dead,
    /// The process is paused.
    Paused,
    /// The process is starting and does not serve yet.
    Starting,
    /// The process serves requests.
    Serving,
    /// The process is draining.
    Draining,
}

impl World {
    /// Starts a process of an entry, unless one is running.
    pub fn start_entry(&mut self, entry: usize) {
        if self.entries[entry].process.is_some() {
            return;
        }
        self.last_generation += 1;
        let generation = self.last_generation;
        let offset = self.random.random_range(0..1_000 * SECOND);
        let spec = &self.entries[entry];
        let zone = self.zones[spec.zone].clone();
        let incarnation = self.random.random::<u64>().max(1);
        let mut options = node::Options::new(spec.name.clone(), incarnation, zone);
        options.control_interval = Duration::from_micros(self.options.entry.control_interval);
        options.callers = spec.caller_address.clone();
        options.peers = spec.peer_address.clone();
        // A deployed process gets its gossip seeds from its settings; here they are all other
        // entries.
        options.gossip.seeds = self.entries.iter().map(|it| it.peer_address.clone()).collect();
        options.gossip.seeds.retain(|it| *it != options.peers);
        (self.options.entry.configure_node)(&mut options);
        let seed = self.random.random();
        let now = Instant::from_micros(self.now + offset);
        let process = Process {
            node: Node::new(options, seed, now),
            generation,
            paused: false,
            deferred: VecDeque::new(),
            clock_offset: offset,
            next_wake: None,
            pending_exchanges: Map::default(),
            proxied_calls: Map::default(),
            bookings: Map::default(),
            waiters: Map::default(),
            config_version: 0,
            log_reachable_since: None,
            draining: false,
            cost: Cost::default(),
        };
        self.entries[entry].process = Some(process);
        let previous = std::mem::replace(&mut self.entries[entry].listed, Listed::Live);
        if previous != Listed::Live {
            self.update_list();
        }
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, format!("process starts with incarnation {incarnation:016x}"));
        let process_id = ProcessId { entry, generation };
        self.with_node(process_id, |node, now| node.tick(now));
    }

    /// Kills the process of an entry.
    pub fn kill_entry(&mut self, entry: usize) {
        let Some(process) = self.entries[entry].process.take() else { return };
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, "process ends");
        let process_id = ProcessId { entry, generation: process.generation };
        for (_, proxied) in process.proxied_calls.iter() {
            self.cancel_orphaned_job(process_id, proxied);
        }
        self.entries[entry].listed = Listed::Absent;
        self.update_list();
        self.disconnect_callers(process_id);
        self.fail_relays(process_id);
    }

    /// Kills the process of an entry and starts a new one after `delay`.
    pub fn replace_entry(&mut self, entry: usize, delay: Micros) {
        self.kill_entry(entry);
        self.schedule_after(delay, move |world| world.start_entry(entry));
    }

    /// Drains an entry. Its process ends once the node is drained and no booking waits.
    pub fn drain_entry(&mut self, entry: usize) {
        let Some(process_id) = self.current_process(entry) else { return };
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, "starts to drain");
        if let Some(process) = &mut self.entries[entry].process {
            process.draining = true;
        }
        self.deliver_at(self.now, process_id, |world, process_id| {
            world.with_node(process_id, |node, now| node.drain(now));
        });
        self.schedule_after(SECOND, move |world| world.end_drained(process_id));
    }

    fn end_drained(&mut self, process_id: ProcessId) {
        let Some(process) = self.process(process_id) else { return };
        let now = Instant::from_micros(self.now + process.clock_offset);
        let process = self.process(process_id);
        let ended = process
            .is_some_and(|it| !it.paused && it.node.is_drained(now) && it.waiters.is_empty());
        match ended {
            true => {
                self.check_drained(process_id);
                self.kill_entry(process_id.entry);
            }
            false => self.schedule_after(SECOND, move |world| world.end_drained(process_id)),
        }
    }

    /// Pauses the process of an entry; messages to it are queued.
    pub fn pause_entry(&mut self, entry: usize) {
        if let Some(process) = &mut self.entries[entry].process {
            process.paused = true;
        }
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, "process is paused");
    }

    /// Resumes a paused process. Its clock jumps forward to the current time, and the queued
    /// messages are processed.
    pub fn resume_entry(&mut self, entry: usize) {
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, "process resumes");
        let Some(process) = &mut self.entries[entry].process else { return };
        process.paused = false;
        let deferred = std::mem::take(&mut process.deferred);
        for step in deferred {
            step(self);
        }
    }

    /// Stops the next entry that reaches this point: kills its process if `kill`, else pauses it.
    pub fn set_breakpoint(&mut self, breakpoint: Breakpoint, kill: bool) {
        self.trace_text("world", format!("breakpoint {breakpoint:?} kill {kill}"));
        self.breakpoints.push((breakpoint, kill));
    }

    /// Returns the entry that was last stopped by a breakpoint.
    pub fn last_stopped_entry(&self) -> Option<usize> {
        self.last_stopped_entry
    }

    pub(crate) fn trigger_breakpoint(&mut self, entry: usize, breakpoint: Breakpoint) {
        let Some(index) = self.breakpoints.iter().position(|(wanted, _)| *wanted == breakpoint)
        else {
            return;
        };
        let (_, kill) = self.breakpoints.remove(index);
        self.last_stopped_entry = Some(entry);
        // Runs one microsecond later, so that the action at the breakpoint still completes.
        self.schedule_after(1, move |world| match kill {
            true => world.kill_entry(entry),
            false => world.pause_entry(entry),
        });
    }

    /// Returns the status of an entry.
    pub fn entry_status(&self, entry: usize) -> EntryStatus {
        match &self.entries[entry].process {
            None => EntryStatus::Dead,
            Some(process) if process.paused => EntryStatus::Paused,
            Some(process) => match process.node.phase() {
                Phase::Starting => EntryStatus::Starting,
                Phase::Serving => EntryStatus::Serving,
                Phase::Draining => EntryStatus::Draining,
            },
        }
    }

    /// Returns the node of an entry's process.
    pub fn node(&self, entry: usize) -> Option<&Node> {
        self.entries[entry].process.as_ref().map(|process| &process.node)
    }

    /// Returns the processor time and traffic of the node in an entry's process.
    pub fn cost(&self, entry: usize) -> Option<Cost> {
        self.entries[entry].process.as_ref().map(|process| process.cost)
    }

    /// Returns the name of an entry.
    pub fn entry_name(&self, entry: usize) -> &SmolStr {
        &self.entries[entry].name
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entry that the replayed log names as the planner, if its process still runs.
    pub fn planner(&self) -> Option<usize> {
        let planner = self.checker.state.term().planner?;
        self.entry_of(planner)
    }

    pub(crate) fn entry_of(&self, incarnation: u64) -> Option<usize> {
        self.entries.iter().position(|entry| {
            entry.process.as_ref().is_some_and(|it| it.node.options().incarnation == incarnation)
        })
    }

    pub(crate) fn current_process(&self, entry: usize) -> Option<ProcessId> {
        let process = self.entries[entry].process.as_ref()?;
        Some(ProcessId { entry, generation: process.generation })
    }

    pub(crate) fn process(&self, process_id: ProcessId) -> Option<&Process> {
        self.entries[process_id.entry]
            .process
            .as_ref()
            .filter(|it| it.generation == process_id.generation)
    }

    pub(crate) fn process_mut(&mut self, process_id: ProcessId) -> Option<&mut Process> {
        self.entries[process_id.entry]
            .process
            .as_mut()
            .filter(|it| it.generation == process_id.generation)
    }

    /// Schedules `step` for a process at `at`. A paused process runs it when it resumes; a process
    /// that has ended never runs it.
    pub(crate) fn deliver_at<F>(&mut self, at: Micros, process_id: ProcessId, step: F)
    where
        F: FnOnce(&mut World, ProcessId) + 'static,
    {
        self.schedule_at(at, move |world| {
            let Some(process) = world.process_mut(process_id) else { return };
            match process.paused {
                true => process.deferred.push_back(Box::new(move |world| step(world, process_id))),
                false => step(world, process_id),
            }
        });
    }

    /// Calls the node of a process, records its events and executes its commands.
    pub(crate) fn with_node<F, R>(&mut self, process_id: ProcessId, call: F) -> Option<R>
    where
        F: FnOnce(&mut Node, Instant) -> R,
    {
        let world_now = self.now;
        let clock = self.options.entry.cpu_clock;
        let process = self.process_mut(process_id)?;
        let now = Instant::from_micros(world_now + process.clock_offset);
        let begin = clock.map(|clock| clock());
        let result = call(&mut process.node, now);
        let events = process.node.take_events();
        let commands = process.node.take_commands();
        if let (Some(begin), Some(clock)) = (begin, clock) {
            process.cost.cpu_time += clock().saturating_sub(begin);
            process.cost.calls += 1;
        }
        if !events.is_empty() {
            let name = self.entries[process_id.entry].name.clone();
            for event in events {
                self.push_trace(name.clone(), Detail::Event(event));
            }
        }
        for command in commands {
            self.execute(process_id, command);
        }
        self.set_wake(process_id);
        Some(result)
    }

    fn set_wake(&mut self, process_id: ProcessId) {
        let now = self.now;
        let Some(process) = self.process_mut(process_id) else { return };
        let Some(next) = process.node.next_deadline() else { return };
        let at = next.as_micros().saturating_sub(process.clock_offset).max(now + 1);
        if process.next_wake.is_some_and(|known| known > now && known <= at) {
            return;
        }
        process.next_wake = Some(at);
        self.deliver_at(at, process_id, move |world, process_id| {
            let Some(process) = world.process_mut(process_id) else { return };
            if process.next_wake == Some(at) {
                process.next_wake = None;
                world.with_node(process_id, |node, now| node.tick(now));
            }
        });
    }

    /// Converts a time of the run to the process's clock.
    pub(crate) fn local_time(&self, process_id: ProcessId, at: Micros) -> Instant {
        Instant::from_micros(at + self.process(process_id).map_or(0, |it| it.clock_offset))
    }

    /// Begins a request of a process and returns its exchange id. `failure` is delivered on timeout
    /// unless the answer comes first.
    pub(crate) fn begin_exchange(
        &mut self,
        process_id: ProcessId,
        timeout: Micros,
        failure: Input,
    ) -> u64 {
        let number = self.next_id();
        if let Some(process) = self.process_mut(process_id) {
            process.pending_exchanges.insert(number, ());
        }
        self.deliver_at(self.now + timeout, process_id, move |world, process_id| {
            world.finish_exchange(process_id, number, failure);
        });
        number
    }

    /// Sends the answer to a request of a process.
    pub(crate) fn reply(
        &mut self,
        from: Party,
        process_id: ProcessId,
        exchange: u64,
        input: Input,
    ) {
        let Some(delay) = self.message_delay(from, Party::Entry(process_id.entry)) else { return };
        self.deliver_at(self.now + delay, process_id, move |world, process_id| {
            world.finish_exchange(process_id, exchange, input);
        });
    }

    pub(crate) fn finish_exchange(&mut self, process_id: ProcessId, exchange: u64, input: Input) {
        let Some(process) = self.process_mut(process_id) else { return };
        if process.pending_exchanges.remove(&exchange).is_some() {
            self.with_node(process_id, |node, now| node.handle_input(now, input));
        }
    }

    fn execute(&mut self, process_id: ProcessId, command: Command) {
        match command {
            Command::Append { sequence, records } => {
                self.send_append(process_id, sequence, records)
            }
            Command::Read { from } => self.send_read(process_id, from),
            Command::FetchInstanceList => self.send_list(process_id),
            Command::FetchWeightLoad => self.send_weight(process_id),
            Command::PollEngine { instance, address } => {
                self.send_poll(process_id, instance, &address);
            }
            Command::PollServer { instance, address } => {
                self.send_server_poll(process_id, instance, &address);
            }
            Command::SendOrder { instance, address, order } => {
                self.send_order(process_id, instance, &address, order);
            }
            Command::FetchState { peer } => self.send_fetch(process_id, &peer),
            Command::FetchView { peer } => self.send_view_request(process_id, &peer),
            Command::RunBooking { key } => self.run_booking(process_id, key, 0),
            Command::RelayBooking { waiter, exchange, executor, peer } => {
                self.send_relay(process_id, waiter, exchange, executor, peer);
            }
            Command::AnswerBooking { waiter, answer } => {
                self.answer_booking(process_id, waiter, answer)
            }
            Command::SendFrame { peer, frame } => self.send_frame(process_id, &peer, frame),
        }
    }

    fn send_frame(&mut self, process_id: ProcessId, peer: &str, frame: Frame) {
        if self.options.entry.cpu_clock.is_some()
            && let Some(process) = self.process_mut(process_id)
        {
            let size = codec::encoded_size(&frame) as u64;
            process.cost.bytes_sent += size;
            process.cost.largest_frame = process.cost.largest_frame.max(size);
        }
        let Some(Party::Entry(to)) = self.resolve_address(peer) else { return };
        let Some(peer) = self.current_process(to) else { return };
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Entry(to))
        else {
            return;
        };
        let Some(items) = mgw_entry::observe::gossip_items(frame) else { return };
        self.deliver_at(self.now + delay, peer, move |world, peer| {
            world.with_node(peer, |node, now| node.handle_input(now, Input::Gossip { items }));
        });
    }

    fn send_view_request(&mut self, process_id: ProcessId, peer: &str) {
        let none = Input::View { items: Vec::new() };
        let exchange = self.begin_exchange(process_id, SECOND, none);
        let Some(Party::Entry(to)) = self.resolve_address(peer) else { return };
        let Some(peer) = self.current_process(to) else { return };
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Entry(to))
        else {
            return;
        };
        self.deliver_at(self.now + delay, peer, move |world, peer| {
            let now = world.local_time(peer, world.now);
            let Some(process) = world.process(peer) else { return };
            let frames = process.node.dump_view(now);
            let items =
                frames.into_iter().filter_map(mgw_entry::observe::gossip_items).flatten().collect();
            world.reply(Party::Entry(peer.entry), process_id, exchange, Input::View { items });
        });
    }

    fn send_fetch(&mut self, process_id: ProcessId, peer: &str) {
        let exchange = self.begin_exchange(process_id, SECOND, Input::State(None));
        let Some(Party::Entry(to)) = self.resolve_address(peer) else { return };
        let Some(peer) = self.current_process(to) else { return };
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Entry(to))
        else {
            return;
        };
        self.deliver_at(self.now + delay, peer, move |world, peer| {
            let Some(process) = world.process(peer) else { return };
            let state = process.node.state();
            let upto = state.applied();
            let whole = snapshot::split(state).ok().map(|parts| Snapshot {
                upto,
                bytes: parts.into_iter().flat_map(|part| part.bytes).collect(),
            });
            world.reply(Party::Entry(peer.entry), process_id, exchange, Input::State(whole));
        });
    }
}
