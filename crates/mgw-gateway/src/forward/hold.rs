//! Admission under overload of one request: whether it is sent, waits or is refused.

use std::cell::Cell;
use std::rc::Rc;

use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_fleet::admission::queue::{GroupPool, Ticket, TicketKey};
use mgw_fleet::admission::returns::{Schedule, Timeouts};
use mgw_fleet::admission::{self, Claim, Pace, Request, Room, Verdict};
use mgw_fleet::balance::Candidate;
use mgw_fleet::config::{Engine, Model};
use mgw_fleet::work::Timing;
use rand::Rng;
use tokio::sync::Notify;

use crate::admission::Table;
use crate::clock;
use crate::connection::Connection;
use crate::exchange::Failure;
use crate::forward::ActiveRequest;
use crate::forward::admit::Admitted;
use crate::forward::target::Target;
use crate::reply::Cause;

/// Why a request that waited is not sent.
pub(super) enum Stop {
    /// The caller closed its connection.
    CallerGone,
    /// It is refused.
    Refused(Cause),
}

/// A request that is subject to admission under overload.
pub(super) struct Contender {
    /// The groups that may run it.
    pool: GroupPool,
    request: Request,
    /// When the caller first sent it, as far as this entry knows.
    first_arrived: Instant,
    /// What was known at the newest check; `None` before the first one.
    outlook: Cell<Option<Outlook>>,
    /// Its place in the queue while it waits.
    ticket: Option<TicketKey<Rc<Notify>>>,
}

/// What is known of a request and its pool when it is checked whether the request is sent.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    claim: Claim,
    /// Requests per second that the pool can serve from this entry, as an equal part of all entries.
    own_capacity: f64,
    /// Requests per second that arrive at this entry for the pool.
    arrivals: f64,
}

impl Contender {
    /// The contender for an admitted request; `None` if it is not subject to admission under
    /// overload. A request of a service without engines, or for an unknown model, is not.
    pub(super) fn new(admitted: &Admitted<'_>) -> Option<Self> {
        if !admitted.gateway.settings().has_admission_control {
            return None;
        }
        let model = admitted.metadata.model.clone()?;
        let (prompt_tokens, _) = admitted.metadata.expected_tokens().unwrap_or_default();
        let contender = Self {
            pool: GroupPool { service: admitted.service.clone(), model },
            request: Request { prompt_tokens, latency_target: admitted.route().latency_target },
            first_arrived: admitted.arrived,
            outlook: Cell::default(),
            ticket: None,
        };
        contender.engine(admitted)?;
        let now = admitted.arrived;
        let first_arrived = admitted.gateway.with(|state| {
            let team = admitted.team.clone().unwrap_or_default();
            state.admission.statistics(&contender.pool).shares.record(&team, now);
            let route = admitted.route().name.clone();
            let timeouts = state.admission.timeouts.get_or_insert_with(route, Timeouts::default);
            let trying = admitted.metadata.timeout.map(|it| timeouts.record(it));
            let known = state.admission.refused.take(admitted.fingerprint, now);
            known.unwrap_or(now).min(now - trying.unwrap_or_default())
        });
        Some(Self { first_arrived, ..contender })
    }

    /// The engine and the model of the pool; `None` if the configuration has them no longer.
    fn engine<'a>(&self, admitted: &'a Admitted<'_>) -> Option<(&'a Engine, &'a Model)> {
        let engine = admitted.config.services.get(&self.pool.service)?.engine.as_ref()?;
        Some((engine, engine.model(&self.pool.model)?))
    }

    /// Checks whether the request is sent to one of the `candidates` now, which as many as `entries`
    /// entries send to. The cause is [`Cause::Full`] if the request may wait.
    pub(super) fn check<R>(
        &self,
        admitted: &Admitted<'_>,
        table: &mut Table,
        candidates: &[Candidate<'_>],
        entries: usize,
        random: &mut R,
    ) -> Result<(), Cause>
    where
        R: Rng,
    {
        let now = clock::now();
        let Some((engine, model)) = self.engine(admitted) else { return Ok(()) };
        let requests = candidates.iter().map(|it| it.requests).sum();
        let room = Room { groups: candidates.len(), requests };
        let statistics = table.statistics(&self.pool);
        let pace = Pace::new(engine, model, &statistics.curve, self.request, room.load(), now);
        let own_capacity = pace.requests_per_s(room.groups) / entries.max(1) as f64;
        let team = admitted.team.as_ref();
        let claim = Claim {
            priority: admitted.priority,
            is_over_share: team.is_some_and(|it| statistics.shares.is_over(it, own_capacity, now)),
            is_returning: self.first_arrived < admitted.arrived,
            is_waiting: self.ticket.is_some(),
            arrived: admitted.arrived,
            due: self.first_arrived + self.request.latency_target,
            deadline: admitted.deadline,
            pace,
        };
        let arrivals = statistics.shares.total(now);
        self.outlook.set(Some(Outlook { claim, own_capacity, arrivals }));
        let is_preceded = room.is_short(&pace) && table.queue.ahead(&self.pool, &claim, now) > 0;
        let drain = &mut table.statistics(&self.pool).drain;
        drain.refill(&room, &pace, entries, now);
        match admission::decide(&claim, &room, now, random) {
            Verdict::TooLate => Err(Cause::TooLate),
            Verdict::Send if !is_preceded && drain.take(&claim, now) => Ok(()),
            Verdict::Send | Verdict::Hold => Err(Cause::Full),
        }
    }
}

impl ActiveRequest<'_> {
    /// Whether the request waits for room: it has reached no server.
    pub(super) fn may_wait(&self) -> bool {
        let may_wait = self.contender.as_ref().is_some_and(|it| it.outlook.get().is_some());
        may_wait && self.attempts.sent == 0 && self.attempts.suspended.is_empty()
    }

    /// Waits for room at the groups, and chooses one.
    pub(super) async fn wait_for_room(&mut self, caller: &mut Connection) -> Result<Target, Stop> {
        let began = clock::now();
        let wake = Rc::new(Notify::new());
        let until = self.join_queue(&wake, began).map_err(Stop::Refused)?;
        let result = self.wait_in_queue(caller, &wake, until).await;
        self.leave_queue();
        let waited = clock::now().since(began);
        self.admitted.gateway.with(|state| state.metrics.latency("admission_wait", waited));
        if result.is_ok() {
            let text = format!("waited {} ms for room", waited.as_millis());
            self.record_event(EventKind::RequestWaited, &text);
        }
        result
    }

    /// Tries to choose a group whenever the request is woken, at most until `until`.
    async fn wait_in_queue(
        &mut self,
        caller: &mut Connection,
        wake: &Notify,
        until: Instant,
    ) -> Result<Target, Stop> {
        loop {
            let left = until.since(clock::now());
            if left.is_zero() {
                return Err(Stop::Refused(self.refuse()));
            }
            match self.wait(caller, tokio::time::timeout(left, wake.notified())).await {
                Ok(Err(_)) => {}
                Ok(Ok(())) => match self.choose_target() {
                    Ok(target) => return Ok(target),
                    Err(Cause::Full) => {}
                    Err(cause) => return Err(Stop::Refused(cause)),
                },
                Err(Failure::CallerGone) => return Err(Stop::CallerGone),
                Err(_) => return Err(Stop::Refused(Cause::TooLate)),
            }
        }
    }

    /// Adds the request to the queue, and returns until when it waits. It is refused at once if its
    /// turn is not expected by then.
    fn join_queue(&mut self, wake: &Rc<Notify>, now: Instant) -> Result<Instant, Cause> {
        let bytes = self.admitted.body.len();
        let gateway = self.admitted.gateway;
        let Some(contender) = self.contender.as_mut() else { return Err(Cause::Full) };
        let Some(outlook) = contender.outlook.get() else { return Err(Cause::Full) };
        let until = outlook.claim.waits_until();
        let ticket = Ticket {
            pool: contender.pool.clone(),
            claim: outlook.claim,
            bytes,
            wake: Rc::clone(wake),
        };
        contender.ticket = gateway.with(|state| {
            let ahead = state.admission.queue.ahead(&contender.pool, &outlook.claim, now) as f64;
            let is_reached = ahead < outlook.own_capacity * until.since(now).as_secs_f64();
            is_reached.then(|| state.admission.queue.join(ticket)).flatten()
        });
        match contender.ticket {
            Some(_) => Ok(until),
            None => Err(self.refuse()),
        }
    }

    /// Removes the request from the queue, if it is there.
    fn leave_queue(&mut self) {
        let Some(ticket) = self.contender.as_mut().and_then(|it| it.ticket.take()) else { return };
        self.admitted.gateway.with(|state| state.admission.queue.leave(ticket));
    }

    /// Reserves a time at which the caller may come back, and returns the cause of the refusal.
    fn refuse(&self) -> Cause {
        let Some(contender) = &self.contender else { return Cause::Full };
        let Some(outlook) = contender.outlook.get() else { return Cause::Full };
        let now = clock::now();
        let rate = Schedule::rate(outlook.own_capacity, outlook.arrivals);
        let left = self.admitted.gateway.with(|state| {
            let table = &mut state.admission;
            table.refused.record(self.admitted.fingerprint, contender.first_arrived, now);
            let time_left = self.admitted.deadline.since(now);
            table.returns.reserve(self.admitted.priority, rate, time_left, now)
        });
        match outlook.claim.is_over_share {
            true => Cause::OverShare { left },
            false => Cause::OverCapacity { left },
        }
    }

    /// Records the time from sending the request until its first event, once that has arrived.
    pub(super) fn record_first_event(&self, now: Instant) {
        let (Some(contender), Some(sent)) = (&self.contender, self.current.sent_at) else { return };
        let Some(target) = &self.current.target else { return };
        let Some((engine, model)) = contender.engine(&self.admitted) else { return };
        // The time that a request waited in the queue of its group does not show the group's speed.
        if target.requests >= f64::from(engine.slots) {
            return;
        }
        let reading = Timing::new(engine, model).read(contender.request.prompt_tokens);
        let time = now.since(sent).saturating_sub(reading);
        self.admitted.gateway.with(|state| {
            let statistics = state.admission.statistics(&contender.pool);
            statistics.curve.record(target.requests, time, now);
        });
    }
}
