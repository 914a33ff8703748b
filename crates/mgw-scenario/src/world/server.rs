//! Fake booking servers, and the handling of bookings in entry processes.

use bytes::Bytes;
use mgw_booking::coordinator::{Origin, Request};
use mgw_booking::key;
use mgw_booking::ledger::{End, Waiter};
use mgw_booking::outcome::Reply;
use mgw_booking::relay::{self, Answer};
use mgw_entry::booking;
use mgw_entry::input::Input;
use mgw_report::report;
use mgw_route::limit::Permit;
use mgw_sheet::sheet;
use smol_str::SmolStr;

use super::entry::{Breakpoint, ProcessId};
use super::link::Party;
use super::platform::Listed;
use super::{MILLISECOND, Micros, World};

/// Number of connection attempts after which an entry abandons a booking that was never written.
const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// Timing of the booking servers.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time from the arrival of a booking to its effect.
    pub run_time: Micros,
    /// Time from the effect of a booking to the answer.
    pub answer_time: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self { run_time: 10 * MILLISECOND, answer_time: 20 * MILLISECOND }
    }
}

/// State of a fake booking server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: SmolStr,
    pub(crate) address: SmolStr,
    pub(crate) zone: usize,
    pub(crate) boot: SmolStr,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    /// Runs bookings but does not answer.
    pub(crate) silent: bool,
    /// Answers every booking with the statement that it was not run.
    pub(crate) refuses: bool,
    pub(crate) slowdown: f64,
    pub(crate) listed: Listed,
    pub(crate) leaving_since: Option<Micros>,
    running: u32,
    /// Number of bookings run so far.
    runs: u64,
}

impl Server {
    pub(crate) fn new(it: &sheet::Server, zone: usize, present: bool) -> Self {
        Self {
            name: it.name.clone(),
            address: it.address.clone(),
            zone,
            boot: "b0".into(),
            alive: present,
            paused: false,
            silent: false,
            refuses: false,
            slowdown: 1.0,
            listed: if present { Listed::Live } else { Listed::Absent },
            leaving_since: None,
            running: 0,
            runs: 0,
        }
    }
}

/// Content of a booking request.
#[derive(Clone, Debug)]
pub(crate) struct BookingContent {
    pub(crate) service: SmolStr,
    pub(crate) team: SmolStr,
    /// Key as sent by the caller.
    pub(crate) key: SmolStr,
    pub(crate) deadline: Micros,
}

impl BookingContent {
    pub(crate) fn hash(&self) -> u128 {
        key::hash(&self.team, &self.service, &self.key)
    }
}

/// A request at an entry that waits for the outcome of a booking.
#[derive(Debug)]
pub(crate) struct Waiting {
    hash: u128,
    requester: Requester,
    permit: Option<Permit>,
}

#[derive(Clone, Copy, Debug)]
enum Requester {
    Caller { call: usize, attempt: u32 },
    Peer { process_id: ProcessId, exchange: u64 },
}

/// A booking relayed to another entry that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relayed {
    from: ProcessId,
    exchange: u64,
    peer: ProcessId,
    executor: u64,
}

impl World {
    pub(crate) fn stop_server(&mut self, index: usize) {
        let name = self.servers[index].name.clone();
        self.trace_text("world", format!("{name} fails"));
        let server = &mut self.servers[index];
        server.alive = false;
        server.paused = false;
        server.running = 0;
        // Running bookings compare this boot id with their own and detect that the server stopped.
        server.boot = SmolStr::default();
    }

    pub(crate) fn start_server(&mut self, index: usize, boot: SmolStr) {
        let name = self.servers[index].name.clone();
        self.trace_text("world", format!("{name} starts with boot {boot}"));
        let server = &mut self.servers[index];
        server.boot = boot;
        server.alive = true;
        server.paused = false;
        if server.listed == Listed::Absent {
            server.listed = Listed::Live;
        }
        self.update_list();
    }

    pub(crate) fn resume_server(&mut self, index: usize) {
        self.servers[index].paused = false;
    }

    /// Makes a booking server run bookings without answering.
    pub fn set_silent(&mut self, server: usize, silent: bool) {
        self.servers[server].silent = silent;
    }

    /// Makes a booking server refuse bookings with the statement that they were not run.
    pub fn set_refusing(&mut self, server: usize, refuses: bool) {
        self.servers[server].refuses = refuses;
    }

    pub(crate) fn send_server_poll(
        &mut self,
        process_id: ProcessId,
        instance: SmolStr,
        address: &str,
    ) {
        let no_report = Input::ServerReport { instance: instance.clone(), report: None };
        let exchange = self.begin_exchange(process_id, self.options.entry.poll_timeout, no_report);
        let Some(Party::Server(index)) = self.resolve_address(address) else { return };
        let (from, to) = (Party::Entry(process_id.entry), Party::Server(index));
        let Some(delay) = self.message_delay(from, to) else { return };
        self.schedule_after(delay, move |world| {
            let server = &world.servers[index];
            if server.paused {
                return;
            }
            let report = server.alive.then(|| report::Server {
                instance: server.name.clone(),
                boot: server.boot.clone(),
                running: server.running,
                as_of_ms: world.now / MILLISECOND,
            });
            world.reply(to, process_id, exchange, Input::ServerReport { instance, report });
        });
    }

    /// Handles a booking that arrives at an entry from a caller.
    pub(crate) fn accept_booking(&mut self, process_id: ProcessId, call: usize, attempt: u32) {
        let it = &self.calls[call];
        let content = BookingContent {
            service: it.request.model.clone(),
            team: it.request.team.clone(),
            key: it.key.clone(),
            deadline: it.deadline,
        };
        let deadline = self.local_time(process_id, content.deadline);
        let team = content.team.clone();
        let admitted =
            self.with_node(process_id, |node, now| node.admit_booking(now, &team, deadline));
        match admitted {
            None => {}
            Some(Err(_)) => self.refuse_booking(process_id, call, attempt),
            Some(Ok(permit)) => {
                let requester = Requester::Caller { call, attempt };
                self.book(process_id, content, requester, Some(permit), Origin::Caller);
            }
        }
    }

    fn refuse_booking(&mut self, process_id: ProcessId, call: usize, attempt: u32) {
        let zone = self.calls[call].zone;
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Caller(zone))
        else {
            return;
        };
        let entry = process_id.entry;
        self.schedule_after(delay, move |world| {
            world.receive_error(call, attempt, entry, "team_over_capacity");
        });
    }

    fn book(
        &mut self,
        process_id: ProcessId,
        content: BookingContent,
        requester: Requester,
        permit: Option<Permit>,
        origin: Origin,
    ) {
        let Ok(parsed) = key::parse(&content.key) else { return };
        let hash = content.hash();
        let request = Request {
            key: parsed,
            hash,
            content: key::content_hash(hash, &[content.key.as_bytes()]),
            deadline: self.local_time(process_id, content.deadline),
        };
        let waiter = self.next_id();
        let Some(process) = self.process_mut(process_id) else { return };
        process.bookings.insert(hash, content);
        process.waiters.insert(waiter, Waiting { hash, requester, permit });
        self.with_node(process_id, |node, now| node.book(now, &request, origin, Waiter(waiter)));
    }

    /// Handles a caller that closed its connection. A booking already dispatched still runs.
    pub(crate) fn cancel_booking_wait(&mut self, process_id: ProcessId, call: usize, attempt: u32) {
        let Some(process) = self.process_mut(process_id) else { return };
        let found = process.waiters.iter().find(|(_, it)| {
            matches!(it.requester, Requester::Caller { call: one, attempt: other }
                if (one, other) == (call, attempt))
        });
        let Some((waiter, hash)) = found.map(|(waiter, it)| (*waiter, it.hash)) else { return };
        let Some(waiting) = process.waiters.remove(&waiter) else { return };
        self.with_node(process_id, |node, now| {
            node.remove_waiter(hash, Waiter(waiter));
            if let Some(permit) = waiting.permit {
                node.finish_booking(now, permit);
            }
        });
    }

    pub(crate) fn answer_booking(&mut self, process_id: ProcessId, waiter: Waiter, answer: Answer) {
        let Some(waiting) =
            self.process_mut(process_id).and_then(|it| it.waiters.remove(&waiter.0))
        else {
            return;
        };
        if let Some(permit) = waiting.permit {
            self.with_node(process_id, |node, now| node.finish_booking(now, permit));
        }
        match waiting.requester {
            Requester::Caller { call, attempt } => {
                let zone = self.calls[call].zone;
                let delay = self.message_delay(Party::Entry(process_id.entry), Party::Caller(zone));
                let Some(delay) = delay else { return };
                self.schedule_after(delay, move |world| {
                    world.receive_booking_answer(call, attempt, answer)
                });
            }
            Requester::Peer { process_id: from, exchange } => {
                let delay =
                    self.message_delay(Party::Entry(process_id.entry), Party::Entry(from.entry));
                let Some(delay) = delay else { return };
                let executor = self.process(process_id).map(|it| it.node.options().incarnation);
                let Some(executor) = executor else { return };
                let at = self.now + delay;
                self.deliver_at(at, from, move |world, from| {
                    world.checker.relays.retain(|it| (it.from, it.exchange) != (from, exchange));
                    let end = relay::End::Answered(answer);
                    world.with_node(from, |node, now| {
                        node.finish_relay(now, exchange, executor, end)
                    });
                });
            }
        }
    }

    pub(crate) fn send_relay(
        &mut self,
        process_id: ProcessId,
        waiter: Waiter,
        exchange: u64,
        executor: u64,
        peer: Option<SmolStr>,
    ) {
        let Some(hash) =
            self.process(process_id).and_then(|it| it.waiters.get(&waiter.0)).map(|it| it.hash)
        else {
            return;
        };
        let Some(content) = self.process(process_id).and_then(|it| it.bookings.get(&hash)).cloned()
        else {
            return;
        };
        if self.now >= content.deadline {
            let end = relay::End::Unsent;
            self.with_node(process_id, |node, now| node.finish_relay(now, exchange, executor, end));
            return;
        }
        let to = match peer.as_deref().and_then(|address| self.resolve_address(address)) {
            Some(Party::Entry(index)) => self.current_process(index),
            _ => None,
        };
        let target = to.and_then(|to| {
            let delay =
                self.message_delay(Party::Entry(process_id.entry), Party::Entry(to.entry))?;
            Some((to, delay))
        });
        let Some((to, delay)) = target else {
            let at = self.now + self.options.entry.relay_retry_interval;
            self.deliver_at(at, process_id, move |world, process_id| {
                world.send_relay(process_id, waiter, exchange, executor, peer);
            });
            return;
        };
        self.checker.relays.push(Relayed { from: process_id, exchange, peer: to, executor });
        let at = self.now + delay;
        self.deliver_at(at, to, move |world, to| {
            let requester = Requester::Peer { process_id, exchange };
            world.book(to, content, requester, None, Origin::Peer { executor });
        });
    }

    /// Reports relayed bookings as lost to the entries that relayed them to an ended process.
    pub(crate) fn fail_relays(&mut self, gone: ProcessId) {
        let relays = std::mem::take(&mut self.checker.relays);
        let (lost, kept): (Vec<Relayed>, _) = relays.into_iter().partition(|it| it.peer == gone);
        self.checker.relays = kept;
        for it in lost {
            let delay = self.message_delay(Party::Entry(gone.entry), Party::Entry(it.from.entry));
            let Some(delay) = delay else { continue };
            let at = self.now + delay;
            self.deliver_at(at, it.from, move |world, process_id| {
                let end = relay::End::Lost;
                world.with_node(process_id, |node, now| {
                    node.finish_relay(now, it.exchange, it.executor, end)
                });
            });
        }
    }

    /// Connects to a booking server and writes the booking if the node permits the dispatch.
    pub(crate) fn run_booking(&mut self, process_id: ProcessId, hash: u128, tries: u32) {
        let Some(content) = self.process(process_id).and_then(|it| it.bookings.get(&hash)).cloned()
        else {
            return;
        };
        let service = content.service.clone();
        let chosen =
            self.with_node(process_id, |node, now| node.booking_server(now, &service)).flatten();
        let Some(server) = chosen else {
            self.with_node(process_id, |node, now| node.abandon_booking(now, hash));
            return;
        };
        let Some(Party::Server(index)) = self.resolve_address(&server.address) else { return };
        let (from, to) = (Party::Entry(process_id.entry), Party::Server(index));
        let alive = self.servers[index].alive;
        let there = self.message_delay(from, to);
        let back = self.message_delay(to, from);
        let (wait, open) = match (there, back) {
            (Some(there), Some(back)) => (there + back, alive),
            _ => (self.options.entry.connect_timeout, false),
        };
        let boot = self.servers[index].boot.clone();
        let at = self.now + wait;
        self.deliver_at(at, process_id, move |world, process_id| match open {
            true => world.write_booking(process_id, hash, index, boot, &server),
            false if tries + 1 < MAX_CONNECT_ATTEMPTS => {
                world.run_booking(process_id, hash, tries + 1)
            }
            false => {
                world.with_node(process_id, |node, now| {
                    node.record_refusal(now, &server.name);
                    node.abandon_booking(now, hash);
                });
            }
        });
    }

    fn write_booking(
        &mut self,
        process_id: ProcessId,
        hash: u128,
        index: usize,
        boot: SmolStr,
        server: &booking::Server,
    ) {
        self.check_server(index);
        let allowed = self.with_node(process_id, |node, now| node.dispatch(now, hash, server));
        if allowed != Some(true) {
            return;
        }
        self.trigger_breakpoint(process_id.entry, Breakpoint::Dispatch);
        let (from, to) = (Party::Entry(process_id.entry), Party::Server(index));
        let timeout_at = self.now + self.options.entry.booking_timeout;
        self.deliver_at(timeout_at, process_id, move |world, process_id| {
            world.with_node(process_id, |node, now| node.settle_booking(now, hash, End::Lost));
        });
        let Some(delay) = self.message_delay(from, to) else { return };
        self.schedule_after(delay, move |world| {
            world.arrive_booking(process_id, hash, index, boot)
        });
    }

    fn arrive_booking(&mut self, process_id: ProcessId, hash: u128, index: usize, boot: SmolStr) {
        let server = &self.servers[index];
        if server.boot != boot {
            self.end_booking(process_id, hash, index, End::Lost);
            return;
        }
        if server.paused {
            self.schedule_after(100 * MILLISECOND, move |world| {
                world.arrive_booking(process_id, hash, index, boot)
            });
            return;
        }
        if server.refuses {
            self.end_booking(process_id, hash, index, End::ReportedNotRun);
            return;
        }
        self.servers[index].running += 1;
        let slow = self.servers[index].slowdown;
        let run = (self.options.server.run_time as f64 * slow) as Micros;
        let answer = (self.options.server.answer_time as f64 * slow) as Micros;
        self.schedule_after(run, move |world| {
            if world.servers[index].boot != boot {
                world.end_booking(process_id, hash, index, End::Lost);
                return;
            }
            world.servers[index].runs += 1;
            world.check_run(hash);
            world.schedule_after(answer, move |world| {
                let server = &mut world.servers[index];
                if server.boot != boot {
                    world.end_booking(process_id, hash, index, End::Lost);
                    return;
                }
                server.running = server.running.saturating_sub(1);
                if server.silent {
                    return;
                }
                let reply = Reply {
                    status: 200,
                    content_type: "application/json".into(),
                    body: Bytes::from(format!("{hash:032x}")),
                };
                world.end_booking(process_id, hash, index, End::Answered(reply));
            });
        });
    }

    fn end_booking(&mut self, process_id: ProcessId, hash: u128, index: usize, end: End) {
        let delay = self.message_delay(Party::Server(index), Party::Entry(process_id.entry));
        let Some(delay) = delay else { return };
        let at = self.now + delay;
        self.deliver_at(at, process_id, move |world, process_id| {
            world.with_node(process_id, |node, now| node.settle_booking(now, hash, end));
        });
    }
}
