//! The choice of a target for an attempt.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_fleet::balance::{self, Candidate, Load};
use mgw_fleet::config::Service;
use mgw_fleet::evacuation;
use mgw_fleet::group::Group;
use mgw_fleet::notice::Process;
use mgw_fleet::peer_load;
use mgw_fleet::roster::{Phase, Roster, Server, ServerKey};
use mgw_fleet::work::left;
use mgw_fleet::work::service_time::{Kind, Table};

use crate::clock;
use crate::forward::ActiveRequest;
use crate::gateway::State;
use crate::in_flight;
use crate::limit;
use crate::plain_work::Sent;
use crate::pool::Pool;
use crate::reply::Cause;
use crate::work::{self, Prediction};

/// Maximum requests waiting at a group, beyond those that run in its slots.
const GROUP_QUEUE_LIMIT: f64 = 3.0;

/// Maximum requests waiting at a plain server, as a multiple of the largest number of slots of any
/// server of its service.
const PLAIN_QUEUE_FACTOR: f64 = 2.0;

/// Time after which a caller may come back whose request was quarantined after its admission.
const QUARANTINE_DELAY: Duration = Duration::from_secs(20);

/// Part of a cold server's slots that the choice counts as taken.
const COLD_SLOT_FRACTION: f64 = 0.25;

/// Requests that are added to those of a server in the choice, because it is cold.
fn cold_cost(is_cold: bool, slots: u32) -> f64 {
    match is_cold {
        true => f64::from(slots) * COLD_SLOT_FRACTION,
        false => 0.0,
    }
}

/// The server chosen for an attempt: a plain server or the head of a group.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: ServerKey,
    pub(super) process: Process,
    pub(super) address: std::net::SocketAddr,
    /// Estimated requests of all entries at the server when it was chosen.
    pub(super) requests: f64,
    /// What was expected of it then; `None` if the request's work is not known.
    pub(super) prediction: Option<Prediction>,
    /// Set for a plain server, if its times are learned.
    pub(super) sent: Option<Sent>,
}

/// What the choice of a target looks at.
struct View<'a> {
    service: &'a Service,
    groups: &'a [Group],
    roster: &'a Roster,
    evacuations: &'a evacuation::Table,
    requests: &'a in_flight::Table,
    peer_loads: &'a peer_load::Table,
    /// Idle connections to servers.
    pool: &'a Pool,
    /// Part of each server's limit that this entry may use; see [`limit::share`].
    rate_share: f64,
    /// The work of the request; `None` if it is not known.
    demand: Option<work::Demand>,
    /// Learned times of a plain service whose requests take clearly different times.
    uneven_times: Option<&'a Table>,
    now: Instant,
}

impl View<'_> {
    /// Estimated requests of all entries at `server`.
    fn requests_at(&self, server: &Server) -> f64 {
        let peer_requests = (!self.peer_loads.is_empty())
            .then(|| self.peer_loads.requests(peer_load::target_hash(&server.id)));
        server.load.estimated_requests(peer_requests, self.now)
    }

    /// What is expected of a server with this load and number of requests.
    fn predict(&self, load: &Load, requests: f64) -> Option<Prediction> {
        self.demand.map(|demand| demand.predict(load, requests, self.now))
    }

    /// Whether a suspect of this entry is at the server `id`.
    fn has_suspect(&self, id: ServerKey) -> bool {
        self.requests
            .at_target(id)
            .any(|it| it.is_suspect && it.fingerprint != 0 && it.target == Some(id))
    }
}

/// The servers and groups that a request may be sent to, and why others may not get it.
#[derive(Default)]
struct Candidates<'a> {
    list: Vec<Candidate<'a>>,
    /// Maximum requests waiting at a candidate, beyond those that run in its slots.
    max_queued: f64,
    /// Whether the limits of a server keep it from the list.
    is_limited: bool,
    /// Whether the evacuation of its zone keeps a server from the list.
    is_evacuated: bool,
    /// Shortest time left of the pauses that keep servers from the list.
    shortest_pause: Option<Duration>,
}

impl Candidates<'_> {
    /// Why the request is not sent to any of them.
    fn cause(&self, error: balance::Error) -> Cause {
        match error {
            balance::Error::NoTarget if self.is_limited => Cause::Full,
            balance::Error::NoTarget if self.list.is_empty() => match self.shortest_pause {
                Some(left) => Cause::Paused { left },
                None if self.is_evacuated => Cause::Evacuated,
                None => Cause::NoTarget,
            },
            balance::Error::NoTarget => Cause::NoTarget,
            balance::Error::Full => Cause::Full,
        }
    }
}

impl ActiveRequest<'_> {
    /// Chooses a target for the next attempt.
    pub(super) fn choose_target(&self) -> Result<Target, Cause> {
        let now = clock::now();
        let gateway = self.admitted.gateway;
        gateway.with(|state| {
            let is_at_risk = self.admitted.caution.is_at_risk;
            if !is_at_risk && state.poison.is_quarantined(&self.admitted.shared_parts) {
                return Err(Cause::Quarantined { left: QUARANTINE_DELAY });
            }
            let groups = state.groups();
            let Some(service) = self.admitted.config.services.get(&self.admitted.service) else {
                return Err(Cause::NoTarget);
            };
            let engine = service.engine.as_ref();
            let is_learning =
                engine.is_none() && self.admitted.gateway.settings().learns_service_times;
            let view = View {
                service,
                groups: &groups,
                rate_share: limit::share(state),
                roster: &state.roster,
                evacuations: &state.evacuations,
                requests: &state.requests,
                peer_loads: &state.peer_loads,
                pool: &state.pool,
                demand: engine.and_then(|it| work::Demand::new(it, &self.admitted.metadata)),
                uneven_times: state
                    .service_times
                    .get(&self.admitted.service)
                    .filter(|it| is_learning && it.is_uneven()),
                now,
            };
            let candidates = self.candidates(&view);
            // Without a candidate there is no load to judge by.
            let is_judged = self.attempts.sent == 0 && !candidates.list.is_empty();
            if let Some(contender) = self.contender.as_ref().filter(|_| is_judged) {
                let entries = state.peer_loads.len() + 1;
                let State { admission, rng, .. } = state;
                contender.check(&self.admitted, admission, &candidates.list, entries, rng)?;
            }
            let options = balance::Options {
                max_queued: candidates.max_queued,
                latency_target: self.admitted.route().latency_target,
                count_weight: balance::count_weight(state.peer_loads.cycle()),
                ..balance::Options::default()
            };
            let chosen = balance::choose(&candidates.list, &options, now, &mut state.rng);
            if candidates.is_limited && chosen.is_err() {
                state.metrics.count("attempts_withheld", "server_limit");
            }
            let id = chosen.map_err(|error| candidates.cause(error))?;
            let server = view.roster.get(id).ok_or(Cause::NoTarget)?;
            let requests = view.requests_at(server);
            Ok(Target {
                id,
                process: server.process(),
                address: server.record.address,
                requests,
                prediction: view.predict(&server.load, requests),
                sent: is_learning.then(|| Sent { kind: self.kind(), at: now }),
            })
        })
    }

    /// Collects the ready servers of a plain service, or the heads of the groups that run the model.
    fn candidates<'a>(&self, view: &View<'a>) -> Candidates<'a> {
        let mut candidates = Candidates::default();
        match &view.service.engine {
            Some(engine) => {
                let model = self.admitted.metadata.model.as_deref();
                let wanted = engine.models.iter().position(|it| Some(it.name.as_str()) == model);
                view.groups
                    .iter()
                    .filter(|it| it.is_servable && it.service == self.admitted.service)
                    .filter(|it| wanted.is_none_or(|wanted| wanted == it.model))
                    .for_each(|it| {
                        self.add_candidate(&mut candidates, view, it.head, engine.slots)
                    });
                candidates.max_queued = GROUP_QUEUE_LIMIT;
            }
            None => {
                let ready = view.roster.iter().filter(|(_, it)| {
                    it.record.service == self.admitted.service && it.phase() == Phase::Ready
                });
                let mut slots = 0;
                for (id, server) in ready {
                    slots = slots.max(server.record.slots);
                    self.add_candidate(&mut candidates, view, id, server.record.slots);
                }
                candidates.max_queued = f64::from(slots) * PLAIN_QUEUE_FACTOR;
                self.predict_answers(view, &mut candidates.list);
            }
        }
        candidates
    }

    /// Predicts the answer of each plain server, if requests of its service take clearly different times.
    fn predict_answers(&self, view: &View<'_>, candidates: &mut [Candidate<'_>]) {
        let Some(times) = view.uneven_times else { return };
        let reported_s = |it: &Candidate<'_>| match view.roster.get(it.id) {
            Some(server) if !view.peer_loads.is_empty() => {
                view.peer_loads.left_s(peer_load::target_hash(&server.id), times.mean_s())
            }
            _ => (it.requests - f64::from(it.load.in_flight)).max(0.0) * times.mean_s(),
        };
        let reported_s = candidates.iter().map(reported_s).collect();
        let demand = left::Demand { kind: self.kind(), times, cycle: view.peer_loads.cycle() };
        left::predict(candidates, reported_s, &demand, view.now);
    }

    /// Kind of the request in the learned times of its service.
    fn kind(&self) -> Kind {
        Kind::new(self.admitted.route(), self.admitted.body.len())
    }

    /// Adds the server `id` to the candidates, or records why it is none. A suspect is not sent to a
    /// target that already has a suspect of this entry, so that a crash can be blamed on one request.
    fn add_candidate<'a>(
        &self,
        candidates: &mut Candidates<'a>,
        view: &View<'a>,
        id: ServerKey,
        slots: u32,
    ) {
        let Some(server) = view.roster.get(id) else { return };
        let now = view.now;
        let pause = server.notice.pause_left(now);
        let requests = view.requests_at(server);
        if view.evacuations.contains(&server.record.zone) {
            candidates.is_evacuated = true;
        } else if !pause.is_zero() {
            let shortest = candidates.shortest_pause.map_or(pause, |it| it.min(pause));
            candidates.shortest_pause = Some(shortest);
        } else if !limit::admits(view.service, server, requests, view.rate_share, now) {
            candidates.is_limited = true;
        } else if !(self.admitted.caution.is_suspect && view.has_suspect(id)) {
            candidates.list.push(Candidate {
                id,
                load: &server.load,
                requests: requests + cold_cost(limit::is_cold(server, now), slots),
                slots,
                is_same_zone: server.record.zone == self.admitted.gateway.settings.zone,
                // The servers of a plain service are few, so each connection is used again.
                is_connected: view.service.engine.is_some() && view.pool.has_idle(id, now),
                is_tried: self.attempts.tried.contains(&id),
                first_event: view.predict(&server.load, requests).map(|it| it.first_event),
            });
        }
    }
}
