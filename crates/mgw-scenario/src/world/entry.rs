//! Entry processes: each holds a real node and carries out its commands.

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

/// Timeouts of an entry's connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Connecting to a backend server or a peer.
    pub connect_timeout: Micros,
    /// A poll of a backend server.
    pub poll_timeout: Micros,
    /// An append or the answer to a read.
    pub log_timeout: Micros,
    /// The first byte of a model engine's answer.
    pub first_byte_timeout: Micros,
    /// The next byte of a model engine's answer.
    pub idle_timeout: Micros,
    /// The answer of a booking server.
    pub booking_timeout: Micros,
    /// Pause between two attempts to relay a booking.
    pub relay_retry_interval: Micros,
    /// Changes the options of each node before it starts.
    pub configure_node: fn(&mut node::Options),
    /// A clock for [`Cost`]; without one, nothing is metered.
    pub cpu_clock: Option<fn() -> Duration>,
    /// Period of the nodes' control ticks. Nearly all time of a run goes into them.
    pub control_interval: Micros,
}

/// What the node of an entry's process has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time in calls of the node; frames are neither encoded nor sent here.
    pub cpu_time: Duration,
    /// Calls of the node.
    pub calls: u64,
    /// Byte forms of the frames that it sent to peers.
    pub bytes_sent: u64,
    /// The largest of them.
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

/// One process of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessId {
    pub(crate) entry: usize,
    /// Tells the entry's processes apart.
    pub(crate) generation: u64,
}

type Deferred = Box<dyn FnOnce(&mut World)>;

/// A running process.
pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) generation: u64,
    pub(crate) paused: bool,
    /// What the paused process has to do on resuming.
    deferred: VecDeque<Deferred>,
    /// Origin of its clock.
    clock_offset: Micros,
    /// When it wakes next.
    next_wake: Option<Micros>,
    /// Requests that it waits for.
    pending_exchanges: Map<u64, ()>,
    pub(crate) proxied_calls: Map<u64, ProxiedCall>,
    pub(crate) bookings: Map<u128, BookingContent>,
    pub(crate) waiters: Map<u64, Waiting>,
    /// Highest configuration version that it had in force.
    pub(crate) config_version: u64,
    /// Since when it is alive, unpaused and reaches the log.
    pub(crate) log_reachable_since: Option<Micros>,
    pub(crate) draining: bool,
    pub(crate) cost: Cost,
}

/// An entry.
pub(crate) struct Entry {
    pub(crate) name: SmolStr,
    pub(crate) zone: usize,
    pub(crate) peer_address: SmolStr,
    pub(crate) caller_address: SmolStr,
    pub(crate) listed: Listed,
    pub(crate) process: Option<Process>,
}

impl Entry {
    pub(crate) fn new(index: usize, seat: &EntrySpec, zone: usize) -> Self {
        Self {
            name: seat.name.clone(),
            zone,
            peer_address: format_smolstr!("10.9.{}.{}:7000", index / 250, index % 250 + 1),
            caller_address: format_smolstr!("10.9.{}.{}:8000", index / 250, index % 250 + 1),
            listed: Listed::Live,
            process: None,
        }
    }
}

/// A moment at which an entry is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breakpoint {
    /// It begins to send an order to a model engine.
    Order,
    /// It sends an append to the log.
    Append,
    /// It is allowed to write a booking, and writes it.
    Dispatch,
}

/// How an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStatus {
    /// No process runs.
    Dead,
    /// The process is paused.
    Paused,
    /// The process starts.
    Starting,
    /// The process serves.
    Serving,
    /// The process drains.
    Draining,
}

impl World {
    /// Starts a process of an entry, unless one runs.
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
        // As from the settings of a process.
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

    /// Ends the process of an entry at once.
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

    /// Ends the process of an entry and starts another one after `delay`.
    pub fn replace_entry(&mut self, entry: usize, delay: Micros) {
        self.kill_entry(entry);
        self.schedule_after(delay, move |world| world.start_entry(entry));
    }

    /// Lets an entry leave gracefully; its process ends once it may.
    pub fn drain_entry(&mut self, entry: usize) {
        let Some(process_id) = self.current_process(entry) else { return };
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, "drains");
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

    /// Stops the process of an entry without ending it.
    pub fn pause_entry(&mut self, entry: usize) {
        if let Some(process) = &mut self.entries[entry].process {
            process.paused = true;
        }
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, "process is paused");
    }

    /// Lets a paused process go on; its clock jumps to the present.
    pub fn resume_entry(&mut self, entry: usize) {
        let name = self.entries[entry].name.clone();
        self.trace_text(&name, "process resumes");
        let Some(process) = &mut self.entries[entry].process else { return };
        process.paused = false;
        let held = std::mem::take(&mut process.deferred);
        for step in held {
            step(self);
        }
    }

    /// Stops the next entry that comes to this moment: pauses it, or ends its process.
    pub fn set_breakpoint(&mut self, trap: Breakpoint, kill: bool) {
        self.trace_text("world", format!("trap {trap:?} kill {kill}"));
        self.breakpoints.push((trap, kill));
    }

    /// The entry that was stopped last by a trap.
    pub fn last_stopped_entry(&self) -> Option<usize> {
        self.last_stopped_entry
    }

    pub(crate) fn trigger_breakpoint(&mut self, entry: usize, trap: Breakpoint) {
        let Some(index) = self.breakpoints.iter().position(|(wanted, _)| *wanted == trap) else {
            return;
        };
        let (_, kill) = self.breakpoints.remove(index);
        self.last_stopped_entry = Some(entry);
        // What the entry does at this moment is still done.
        self.schedule_after(1, move |world| match kill {
            true => world.kill_entry(entry),
            false => world.pause_entry(entry),
        });
    }

    /// How an entry is.
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

    /// The node of an entry's process.
    pub fn node(&self, entry: usize) -> Option<&Node> {
        self.entries[entry].process.as_ref().map(|process| &process.node)
    }

    /// What the node of an entry's process has cost so far.
    pub fn cost(&self, entry: usize) -> Option<Cost> {
        self.entries[entry].process.as_ref().map(|process| process.cost)
    }

    /// The name of an entry.
    pub fn entry_name(&self, entry: usize) -> &SmolStr {
        &self.entries[entry].name
    }

    /// The number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The entry that the log names as the planner.
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

    /// Runs `step` in a process at `at`; a paused process does it on resuming, an ended one never.
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

    /// Calls the node of a process and carries out its commands.
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

    /// The process's clock for a time of the run.
    pub(crate) fn local_time(&self, process_id: ProcessId, at: Micros) -> Instant {
        Instant::from_micros(at + self.process(process_id).map_or(0, |it| it.clock_offset))
    }

    /// Begins a request of a process; whichever of the answer and the timeout comes first counts.
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

    /// Answers a request of a process.
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
