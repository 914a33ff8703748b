//! Bookings: calls that must not be run more than once.

use mgw_base::time::Instant;
use mgw_booking::claim::{Batch, Lookup};
use mgw_booking::coordinator::{Effect, Origin, Request, Step};
use mgw_booking::ledger::{Dispatch, End, Waiter};
use mgw_booking::relay::{self, Answer, Exchange};
use mgw_event::{Body, Kind};
use mgw_route::select::{Criteria, Destination, Id};
use mgw_state::record::{Claim, Record};
use smol_str::SmolStr;

use crate::call::{Error, refusal};
use crate::command::Command;
use crate::node::Node;
use crate::outbox::Purpose;

/// The server that a booking is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name of the server.
    pub name: SmolStr,
    /// Address of the server, from the sheet.
    pub address: SmolStr,
}

impl Node {
    /// Admits a caller's booking by its team's capacity. The permit must be returned by
    /// [`Node::finish_booking`] once the booking has its outcome.
    pub fn admit_booking(
        &mut self,
        now: Instant,
        team: &str,
        deadline: Instant,
    ) -> Result<mgw_route::limit::Permit, Error> {
        if self.refuses_requests(now) {
            return Err(Error::Phase);
        }
        let admission = mgw_route::limit::Request {
            priority: 0,
            tokens: 0,
            wait: std::time::Duration::ZERO,
            deadline,
        };
        self.limiter.admit(team, &admission, now).map_err(refusal)
    }

    /// Returns the permit of a booking that [`Node::admit_booking`] admitted.
    pub fn finish_booking(&mut self, now: Instant, permit: mgw_route::limit::Permit) {
        self.limiter.finish(permit, 0, now);
    }

    /// Accepts a booking from a caller or a peer. The node later emits a command that answers
    /// `waiter`, or that relays or runs the booking.
    pub fn book(&mut self, now: Instant, request: &Request, origin: Origin, waiter: Waiter) {
        let lookup = self.lookup(request.hash);
        match self.bookings.arrive(request, origin, lookup, waiter, now) {
            Step::Run => {
                let text = format_args!("{:032x}", request.hash);
                self.events.push(Body::new(Kind::BookingAccepted).text(text));
                self.commands.push(Command::RunBooking { key: request.hash });
            }
            Step::Wait => {}
            Step::Relay(executor) => self.relay(now, waiter, executor, request.deadline),
            Step::Answer(outcome) => self.answer(waiter, Answer::Outcome(outcome)),
            Step::Conflict => {
                self.events.push(Body::new(Kind::BookingConflict));
                self.answer(waiter, Answer::Conflict);
            }
        }
        self.tick_bookings(now);
    }

    /// Chooses a server of a plain service for a booking; `None` if none is available.
    pub fn booking_server(&mut self, now: Instant, service: &SmolStr) -> Option<Server> {
        let destination = Destination::Service(service.clone());
        let criteria = Criteria {
            destination: &destination,
            adapter: None,
            prefixes: &[],
            tried: &[],
            suspect: false,
            can_probe: false,
        };
        let selection = self.targets.choose(&criteria, now, &mut self.random).ok()?;
        let id = self.targets.get(selection.target)?.id().clone();
        let address = self.address(&id)?;
        match id {
            Id::Server(name) => Some(Server { name, address }),
            Id::Group(_) => None,
        }
    }

    /// Returns whether a booking may be written to `server`. The connection must be open before the
    /// call, and the first byte must be written immediately if the result is true.
    pub fn dispatch(&mut self, now: Instant, key: u128, server: &Server) -> bool {
        match self.bookings.dispatch(key, now) {
            Dispatch::Granted => {
                let text = format_args!("{key:032x}");
                let body = Body::new(Kind::BookingDispatched).instance(&server.name);
                self.events.push(body.text(text));
                true
            }
            Dispatch::Expired(answers) => {
                for (waiter, outcome) in answers {
                    self.answer(waiter, Answer::Outcome(outcome));
                }
                false
            }
            Dispatch::Refused => false,
        }
    }

    /// The prefix of the executor keys that this process issues now.
    pub fn key_prefix(&self, now: Instant) -> SmolStr {
        self.bookings.prefix(now)
    }

    /// Whether the booking with this key hash is waiting or running at this process.
    pub fn is_booking_open(&self, key: u128) -> bool {
        self.bookings.ledger().is_open(key)
    }

    /// Records that a server refused a connection.
    pub fn record_refusal(&mut self, now: Instant, server: &SmolStr) {
        self.refused_at.insert(Id::Server(server.clone()), now);
        self.sync_targets(now);
    }

    /// Ends a booking that was not dispatched, because no server can be reached. Its waiters are
    /// answered.
    pub fn abandon_booking(&mut self, now: Instant, key: u128) {
        let effects = self.bookings.abandon(key);
        self.handle_effects(now, effects);
    }

    /// Records how the call of a dispatched booking ended.
    pub fn settle_booking(&mut self, now: Instant, key: u128, end: End) {
        let effects = self.bookings.settle(key, end);
        self.handle_effects(now, effects);
    }

    /// Records how an attempt to relay a booking ended. `from` is the incarnation that answered.
    pub fn finish_relay(&mut self, now: Instant, exchange: u64, from: u64, end: relay::End) {
        match self.relays.finish_attempt(exchange, from, end, now) {
            None => {}
            Some(relay::Step::Answer(waiter, answer)) => self.answer(waiter, answer),
            // The I/O layer repeats the frame itself until the deadline, so there is no time for
            // another attempt.
            Some(relay::Step::Retry(_)) => {
                if let Some(relay::Step::Answer(waiter, answer)) = self.relays.give_up(exchange) {
                    self.answer(waiter, answer);
                }
            }
        }
    }

    /// Removes a waiting request whose caller has disconnected. The booking itself continues.
    pub fn remove_waiter(&mut self, key: u128, waiter: Waiter) {
        self.bookings.remove_waiter(key, waiter);
    }

    /// Expires bookings and relays whose deadline has passed and queues due claims.
    pub(crate) fn tick_bookings(&mut self, now: Instant) {
        let effects = self.bookings.tick(now);
        self.handle_effects(now, effects);
        for step in self.relays.expire(now) {
            if let relay::Step::Answer(waiter, answer) = step {
                self.answer(waiter, answer);
            }
        }
        if let Some(batch) = self.bookings.next_batch(now) {
            self.queue_claims(now, batch);
        }
    }

    /// Queues a batch of claims for the log, or refuses it.
    pub(crate) fn queue_claims(&mut self, now: Instant, batch: Batch) {
        let executor = self.options.incarnation;
        let claims = batch.keys.iter().map(|key| Claim { key: *key, executor }).collect();
        // While the log is known to be unreachable, the claims are refused without an append.
        let queued = !self.read_state.is_failing()
            && self.outbox.push(Purpose::Claims(batch.sequence), Record::Claim { claims });
        if !queued {
            self.bookings.finish_append(batch.sequence, mgw_booking::claim::Append::Refused, now);
        }
    }

    /// Looks up the claims of all waiting bookings after a snapshot replaced the state.
    pub(crate) fn resync_claims(&mut self, now: Instant) {
        let claims = self.reader.state().claims();
        let effects = self.bookings.resync(|key| match claims.get(key) {
            Some(claim) => Lookup::Claimed(claim.executor),
            None => Lookup::Unclaimed,
        });
        self.handle_effects(now, effects);
    }

    /// Ends all relays to an executor whose incarnation has ended.
    pub(crate) fn end_relays(&mut self, executor: u64) {
        for step in self.relays.end_all(executor, mgw_booking::outcome::Cause::ExecutorGone) {
            if let relay::Step::Answer(waiter, answer) = step {
                self.answer(waiter, answer);
            }
        }
    }

    /// Turns the effects of the booking coordinator into commands.
    pub(crate) fn handle_effects(&mut self, now: Instant, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Run(key) => self.commands.push(Command::RunBooking { key }),
                Effect::Relay { waiter, executor, deadline } => {
                    self.relay(now, waiter, executor, deadline);
                }
                Effect::Answer(waiter, outcome) => {
                    self.answer(waiter, Answer::Outcome(outcome));
                }
            }
        }
    }

    /// Relays a booking to its executor, or answers it if the executor's incarnation has ended.
    fn relay(&mut self, now: Instant, waiter: Waiter, executor: u64, deadline: Instant) {
        let exchange = self.relays.begin(Exchange { waiter, executor, deadline });
        if self.reader.state().is_dead(executor) {
            self.finish_relay(now, exchange, executor, relay::End::Gone);
            return;
        }
        let gossip_address =
            self.peers.get(executor).map(|it| SmolStr::new(&it.heartbeat.peer_address));
        let join_address = || self.reader.state().entry(executor).map(|it| it.address.clone());
        let peer = gossip_address.or_else(join_address);
        let name = self.entry_name(executor);
        self.events.push(Body::new(Kind::BookingRelayed).entry(name));
        self.commands.push(Command::RelayBooking { waiter, exchange, executor, peer });
    }

    /// Emits the event and the command for the outcome of a booking.
    fn answer(&mut self, waiter: Waiter, answer: Answer) {
        use mgw_booking::outcome::Outcome;
        let body = match &answer {
            Answer::Outcome(Outcome::Done(_)) => Body::new(Kind::BookingDone),
            Answer::Outcome(Outcome::NotRun(cause)) => {
                Body::new(Kind::BookingNotRun).text(format_args!("{cause:?}"))
            }
            Answer::Outcome(Outcome::Unknown(cause)) => {
                Body::new(Kind::BookingUnknown).text(format_args!("{cause:?}"))
            }
            Answer::Conflict => Body::new(Kind::BookingConflict),
        };
        self.events.push(body);
        self.commands.push(Command::AnswerBooking { waiter, answer });
    }

    /// The claim of a key in the replicated state.
    fn lookup(&self, key: u128) -> Lookup {
        let claims = self.reader.state().claims();
        match claims.get(key) {
            Some(claim) => Lookup::Claimed(claim.executor),
            None if claims.len() >= self.options.state.claim_limit => Lookup::Full,
            None => Lookup::Unclaimed,
        }
    }
}
