//! Fake booking servers, and bookings as entries carry them.

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

use super::entry::{Breakpoint, Ref};
use super::link::Party;
use super::platform::Listed;
use super::{MILLISECOND, Micros, World};

/// Servers that are tried before a booking is given up as never written.
const TRIES: u32 = 3;

/// Parameters of the booking servers.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time from the arrival of a call to its effect.
    pub run_time: Micros,
    /// Time from the effect to the answer.
    pub answer_time: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self { run_time: 10 * MILLISECOND, answer_time: 20 * MILLISECOND }
    }
}

/// A booking server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: SmolStr,
    pub(crate) address: SmolStr,
    pub(crate) zone: usize,
    pub(crate) boot: SmolStr,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    /// Runs calls but does not answer.
    pub(crate) silent: bool,
    /// Answers that it does not run calls.
    pub(crate) refuses: bool,
    pub(crate) slow: f64,
    pub(crate) listed: Listed,
    pub(crate) leaving_since: Option<Micros>,
    running: u32,
    /// Number of runs, to name them in answers.
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
            slow: 1.0,
            listed: if present { Listed::Live } else { Listed::Absent },
            leaving_since: None,
            running: 0,
            runs: 0,
        }
    }
}

/// What a booking asks for.
#[derive(Clone, Debug)]
pub(crate) struct Content {
    pub(crate) service: SmolStr,
    pub(crate) team: SmolStr,
    /// The key as the caller sends it.
    pub(crate) key: SmolStr,
    pub(crate) deadline: Micros,
}

impl Content {
    pub(crate) fn hash(&self) -> u128 {
        key::hash(&self.team, &self.service, &self.key)
    }
}

/// Who waits for a booking at an entry.
#[derive(Debug)]
pub(crate) struct Waiting {
    hash: u128,
    whom: Whom,
    permit: Option<Permit>,
}

#[derive(Clone, Copy, Debug)]
enum Whom {
    Caller { call: usize, attempt: u32 },
    Peer { who: Ref, exchange: u64 },
}

/// A booking on its way to another entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relayed {
    from: Ref,
    exchange: u64,
    peer: Ref,
    executor: u64,
}

impl World {
    pub(crate) fn stop_server(&mut self, place: usize) {
        let name = self.servers[place].name.clone();
        self.note("world", format!("{name} fails"));
        let server = &mut self.servers[place];
        server.alive = false;
        server.paused = false;
        server.running = 0;
        // Tells the calls that run that their server is gone.
        server.boot = SmolStr::default();
    }

    pub(crate) fn start_server(&mut self, place: usize, boot: SmolStr) {
        let name = self.servers[place].name.clone();
        self.note("world", format!("{name} starts with boot {boot}"));
        let server = &mut self.servers[place];
        server.boot = boot;
        server.alive = true;
        server.paused = false;
        if server.listed == Listed::Absent {
            server.listed = Listed::Live;
        }
        self.relist();
    }

    pub(crate) fn resume_server(&mut self, place: usize) {
        self.servers[place].paused = false;
    }

    /// Makes a booking server run calls without answering.
    pub fn set_silent(&mut self, server: usize, silent: bool) {
        self.servers[server].silent = silent;
    }

    /// Makes a booking server refuse calls with the statement that they were not run.
    pub fn set_refusing(&mut self, server: usize, refuses: bool) {
        self.servers[server].refuses = refuses;
    }

    pub(crate) fn send_server_poll(&mut self, who: Ref, instance: SmolStr, address: &str) {
        let silence = Input::ServerReport { instance: instance.clone(), report: None };
        let exchange = self.exchange_input(who, self.options.entry.poll_timeout, silence);
        let Some(Party::Server(place)) = self.address(address) else { return };
        let (from, to) = (Party::Entry(who.entry), Party::Server(place));
        let Some(delay) = self.delay(from, to) else { return };
        self.schedule_after(delay, move |world| {
            let server = &world.servers[place];
            if server.paused {
                return;
            }
            let report = server.alive.then(|| report::Server {
                instance: server.name.clone(),
                boot: server.boot.clone(),
                running: server.running,
                as_of_ms: world.now / MILLISECOND,
            });
            world.reply(to, who, exchange, Input::ServerReport { instance, report });
        });
    }

    /// A caller's booking arrives at an entry.
    pub(crate) fn take_booking(&mut self, who: Ref, call: usize, attempt: u32) {
        let it = &self.calls[call];
        let content = Content {
            service: it.request.model.clone(),
            team: it.request.team.clone(),
            key: it.key.clone(),
            deadline: it.deadline,
        };
        let deadline = self.local(who, content.deadline);
        let team = content.team.clone();
        let admitted = self.drive(who, |node, now| node.admit_booking(now, &team, deadline));
        match admitted {
            None => {}
            Some(Err(_)) => self.answer_refused(who, call, attempt),
            Some(Ok(permit)) => {
                let whom = Whom::Caller { call, attempt };
                self.book(who, content, whom, Some(permit), Origin::Caller);
            }
        }
    }

    fn answer_refused(&mut self, who: Ref, call: usize, attempt: u32) {
        let zone = self.calls[call].zone;
        let Some(delay) = self.delay(Party::Entry(who.entry), Party::Caller(zone)) else { return };
        let entry = who.entry;
        self.schedule_after(delay, move |world| {
            world.take_error(call, attempt, entry, "team_over_capacity");
        });
    }

    fn book(
        &mut self,
        who: Ref,
        content: Content,
        whom: Whom,
        permit: Option<Permit>,
        origin: Origin,
    ) {
        let Ok(parsed) = key::parse(&content.key) else { return };
        let hash = content.hash();
        let request = Request {
            key: parsed,
            hash,
            content: key::content_hash(hash, &[content.key.as_bytes()]),
            deadline: self.local(who, content.deadline),
        };
        let waiter = self.number();
        let Some(process) = self.process_mut(who) else { return };
        process.contents.insert(hash, content);
        process.waiting.insert(waiter, Waiting { hash, whom, permit });
        self.drive(who, |node, now| node.book(now, &request, origin, Waiter(waiter)));
    }

    /// The caller closes the connection of a booking; one that was sent goes on.
    pub(crate) fn leave_booking(&mut self, who: Ref, call: usize, attempt: u32) {
        let Some(process) = self.process_mut(who) else { return };
        let found = process.waiting.iter().find(|(_, it)| {
            matches!(it.whom, Whom::Caller { call: one, attempt: other }
                if (one, other) == (call, attempt))
        });
        let Some((waiter, hash)) = found.map(|(waiter, it)| (*waiter, it.hash)) else { return };
        let Some(waiting) = process.waiting.remove(&waiter) else { return };
        self.drive(who, |node, now| {
            node.remove_waiter(hash, Waiter(waiter));
            if let Some(permit) = waiting.permit {
                node.finish_booking(now, permit);
            }
        });
    }

    pub(crate) fn answer_booking(&mut self, who: Ref, waiter: Waiter, verdict: Answer) {
        let Some(waiting) = self.process_mut(who).and_then(|it| it.waiting.remove(&waiter.0))
        else {
            return;
        };
        if let Some(permit) = waiting.permit {
            self.drive(who, |node, now| node.finish_booking(now, permit));
        }
        match waiting.whom {
            Whom::Caller { call, attempt } => {
                let zone = self.calls[call].zone;
                let delay = self.delay(Party::Entry(who.entry), Party::Caller(zone));
                let Some(delay) = delay else { return };
                self.schedule_after(delay, move |world| world.take_verdict(call, attempt, verdict));
            }
            Whom::Peer { who: from, exchange } => {
                let delay = self.delay(Party::Entry(who.entry), Party::Entry(from.entry));
                let Some(delay) = delay else { return };
                let executor = self.process(who).map(|it| it.node.options().incarnation);
                let Some(executor) = executor else { return };
                let at = self.now + delay;
                self.inbound(at, from, move |world, from| {
                    world.checker.relays.retain(|it| (it.from, it.exchange) != (from, exchange));
                    let end = relay::End::Answered(verdict);
                    world.drive(from, |node, now| node.finish_relay(now, exchange, executor, end));
                });
            }
        }
    }

    pub(crate) fn send_relay(
        &mut self,
        who: Ref,
        waiter: Waiter,
        exchange: u64,
        executor: u64,
        peer: Option<SmolStr>,
    ) {
        let Some(hash) =
            self.process(who).and_then(|it| it.waiting.get(&waiter.0)).map(|it| it.hash)
        else {
            return;
        };
        let Some(content) = self.process(who).and_then(|it| it.contents.get(&hash)).cloned() else {
            return;
        };
        if self.now >= content.deadline {
            let end = relay::End::Unsent;
            self.drive(who, |node, now| node.finish_relay(now, exchange, executor, end));
            return;
        }
        let to = match peer.as_deref().and_then(|address| self.address(address)) {
            Some(Party::Entry(place)) => self.running(place),
            _ => None,
        };
        let target = to.and_then(|to| {
            let delay = self.delay(Party::Entry(who.entry), Party::Entry(to.entry))?;
            Some((to, delay))
        });
        let Some((to, delay)) = target else {
            let at = self.now + self.options.entry.relay_retry_interval;
            self.inbound(at, who, move |world, who| {
                world.send_relay(who, waiter, exchange, executor, peer);
            });
            return;
        };
        self.checker.relays.push(Relayed { from: who, exchange, peer: to, executor });
        let at = self.now + delay;
        self.inbound(at, to, move |world, to| {
            let whom = Whom::Peer { who, exchange };
            world.book(to, content, whom, None, Origin::Peer { executor });
        });
    }

    /// Tells the entries that relayed to a process that it has ended.
    pub(crate) fn cut_relays(&mut self, gone: Ref) {
        let relays = std::mem::take(&mut self.checker.relays);
        let (lost, kept): (Vec<Relayed>, _) = relays.into_iter().partition(|it| it.peer == gone);
        self.checker.relays = kept;
        for it in lost {
            let delay = self.delay(Party::Entry(gone.entry), Party::Entry(it.from.entry));
            let Some(delay) = delay else { continue };
            let at = self.now + delay;
            self.inbound(at, it.from, move |world, who| {
                let end = relay::End::Lost;
                world.drive(who, |node, now| node.finish_relay(now, it.exchange, it.executor, end));
            });
        }
    }

    /// Opens a connection to a booking server and writes the booking if the node allows that.
    pub(crate) fn run_booking(&mut self, who: Ref, hash: u128, tries: u32) {
        let Some(content) = self.process(who).and_then(|it| it.contents.get(&hash)).cloned() else {
            return;
        };
        let service = content.service.clone();
        let chosen = self.drive(who, |node, now| node.booking_server(now, &service)).flatten();
        let Some(server) = chosen else {
            self.drive(who, |node, now| node.abandon_booking(now, hash));
            return;
        };
        let Some(Party::Server(place)) = self.address(&server.address) else { return };
        let (from, to) = (Party::Entry(who.entry), Party::Server(place));
        let alive = self.servers[place].alive;
        let there = self.delay(from, to);
        let back = self.delay(to, from);
        let (wait, open) = match (there, back) {
            (Some(there), Some(back)) => (there + back, alive),
            _ => (self.options.entry.connect_timeout, false),
        };
        let boot = self.servers[place].boot.clone();
        let at = self.now + wait;
        self.inbound(at, who, move |world, who| match open {
            true => world.write_booking(who, hash, place, boot, &server),
            false if tries + 1 < TRIES => world.run_booking(who, hash, tries + 1),
            false => {
                world.drive(who, |node, now| {
                    node.record_refusal(now, &server.name);
                    node.abandon_booking(now, hash);
                });
            }
        });
    }

    fn write_booking(
        &mut self,
        who: Ref,
        hash: u128,
        place: usize,
        boot: SmolStr,
        server: &booking::Server,
    ) {
        self.check_server(place);
        let go = self.drive(who, |node, now| node.dispatch(now, hash, server));
        if go != Some(true) {
            return;
        }
        self.spring(who.entry, Breakpoint::Dispatch);
        let (from, to) = (Party::Entry(who.entry), Party::Server(place));
        let bound = self.now + self.options.entry.booking_timeout;
        self.inbound(bound, who, move |world, who| {
            world.drive(who, |node, now| node.settle_booking(now, hash, End::Lost));
        });
        let Some(delay) = self.delay(from, to) else { return };
        self.schedule_after(delay, move |world| world.arrive_booking(who, hash, place, boot));
    }

    fn arrive_booking(&mut self, who: Ref, hash: u128, place: usize, boot: SmolStr) {
        let server = &self.servers[place];
        if server.boot != boot {
            self.end_booking(who, hash, place, End::Lost);
            return;
        }
        if server.paused {
            self.schedule_after(100 * MILLISECOND, move |world| {
                world.arrive_booking(who, hash, place, boot)
            });
            return;
        }
        if server.refuses {
            self.end_booking(who, hash, place, End::ReportedNotRun);
            return;
        }
        self.servers[place].running += 1;
        let slow = self.servers[place].slow;
        let run = (self.options.server.run_time as f64 * slow) as Micros;
        let answer = (self.options.server.answer_time as f64 * slow) as Micros;
        self.schedule_after(run, move |world| {
            if world.servers[place].boot != boot {
                world.end_booking(who, hash, place, End::Lost);
                return;
            }
            world.servers[place].runs += 1;
            world.check_run(hash);
            world.schedule_after(answer, move |world| {
                let server = &mut world.servers[place];
                if server.boot != boot {
                    world.end_booking(who, hash, place, End::Lost);
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
                world.end_booking(who, hash, place, End::Answered(reply));
            });
        });
    }

    fn end_booking(&mut self, who: Ref, hash: u128, place: usize, end: End) {
        let delay = self.delay(Party::Server(place), Party::Entry(who.entry));
        let Some(delay) = delay else { return };
        let at = self.now + delay;
        self.inbound(at, who, move |world, who| {
            world.drive(who, |node, now| node.settle_booking(now, hash, end));
        });
    }
}
