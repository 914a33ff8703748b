//! Load balancing: the load of targets, and the choice of a target for a request.
//!
//! A target is a plain server or the head of a group. All entries send to the same targets. An
//! entry counts its own requests at a target and learns of the others' from their load reports
//! (see [`crate::peer_load`]) or from the load that the target states in its responses.

use std::time::Duration;

use mgw_base::time::Instant;
use rand::Rng;

use crate::rate;
use crate::roster::ServerKey;
use crate::work;

/// Half-life of the load that a target stated in its last response, as it becomes outdated.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight of the newest result in a target's failure rate, an exponential moving average.
const NEW_RESULT_WEIGHT: f64 = 0.15;

/// Half-life of a target's failure rate while there are no new results, so that a target that has
/// recovered is tried again.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Failure rate up to which a target is not penalised. A healthy server also reports failures when
/// the requests themselves are faulty.
const TOLERATED_FAILURE_RATE: f64 = 0.25;

/// Failure rate above which an idle connection to a target does not count. Otherwise a server that
/// fails at once, and keeps its connections, would get more requests than others.
const MAX_CONNECTED_FAILURE_RATE: f64 = 0.1;

/// Idle connections count only if at most one of this many targets has one. An entry with many requests
/// uses its connections again in any case.
const MIN_TARGETS_PER_CONNECTED: usize = 4;

/// Share of the choices that are made without regard to idle connections, so that targets without one
/// are tried as well.
const EXPLORED_SHARE: f64 = 0.125;

/// Cost per unit of failure rate above the tolerated rate. A target whose slots are all in use has
/// a cost of 1.
const FAILURE_COST: f64 = 4.0;

/// The weight of counts of requests halves with each such time between two reports of an entry, as
/// some of a target's streams end and others begin in it.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(400);

/// The load that a target stated in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    /// Requests of other entries at the target, running and queued.
    peer_requests: f64,
    received_at: Instant,
}

/// This process's view of a target's load and health.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Number of this process's requests at the target.
    pub in_flight: u32,
    /// The target's limit on the rate of requests.
    pub rate: rate::Bucket,
    /// The prompts that the target has not read, as far as this process knows of them.
    pub reading: work::UnreadPrompts,
    /// How much longer the target's passes take than its configuration says.
    pub slowdown: work::Slowdown,
    /// This process's requests at a plain server.
    pub running: work::left::Running,
    /// How much longer the answers of a plain server take than those of others.
    pub speed: work::Speed,
    report: Option<Report>,
    /// Failure rate as of `last_result`, 0 to 1.
    failure_rate: f64,
    last_result: Instant,
    /// Until when new requests avoid the target, because it stalled or refused a connection.
    avoided_until: Option<Instant>,
}

impl Load {
    /// The load of a target of which only the limit on its rate is known.
    pub fn with_rate(rate: rate::Bucket) -> Self {
        Self { rate, ..Self::default() }
    }

    /// Records the load that a response states: all requests at the target, running and queued.
    pub fn record_report(&mut self, requests: u32, now: Instant) {
        let peer_requests = f64::from(requests.saturating_sub(self.in_flight));
        self.report = Some(Report { peer_requests, received_at: now });
    }

    /// Records whether a request failed at the target.
    pub fn record_result(&mut self, is_failure: bool, now: Instant) {
        let value = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate =
            self.failure_rate(now) * (1.0 - NEW_RESULT_WEIGHT) + value * NEW_RESULT_WEIGHT;
        self.last_result = now;
    }

    /// Makes new requests avoid the target until `until`, or longer if that was already requested.
    pub fn avoid_until(&mut self, until: Instant) {
        self.avoided_until = self.avoided_until.max(Some(until));
    }

    /// Makes new requests use the target again, because it has responded.
    pub fn clear_avoidance(&mut self) {
        self.avoided_until = None;
    }

    /// Whether new requests should avoid the target.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Estimates the number of requests of all entries at the target.
    ///
    /// `peer_requests` is the count from the other entries' load reports. Without it, the load that
    /// the target last stated is used.
    pub fn estimated_requests(&self, peer_requests: Option<u32>, now: Instant) -> f64 {
        let reported = |report: Report| {
            report.peer_requests * decay(now.since(report.received_at), REPORT_HALF_LIFE)
        };
        let peer_requests = match peer_requests {
            Some(peer_requests) => f64::from(peer_requests),
            None => self.report.map_or(0.0, reported),
        };
        f64::from(self.in_flight) + peer_requests
    }

    /// Returns the failure rate at `now`, 0 to 1: a moving average that decays while there are no
    /// new results.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate * decay(now.since(self.last_result), FAILURE_RATE_HALF_LIFE)
    }
}

/// Returns the factor of an exponential decay after `age`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// A target that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Key of the server in the roster.
    pub id: ServerKey,
    /// The target's load and health.
    pub load: &'a Load,
    /// Estimated number of requests of all entries at the target; see [`Load::estimated_requests`].
    pub requests: f64,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is in this entry's availability zone.
    pub is_same_zone: bool,
    /// Whether this entry has an idle connection to the target.
    pub is_connected: bool,
    /// Whether this request was already sent to the target; it is not sent there again.
    pub is_tried: bool,
    /// Predicted time until the first event of the request, or until the answer of a plain server;
    /// `None` if the request's work or the target's speed is not known. Either all candidates have one,
    /// or none.
    pub first_event: Option<Duration>,
}

/// Parameters of the choice of a target.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of requests that may queue at a target beyond its slots.
    pub max_queued: f64,
    /// How much more of its slots a target in this entry's zone may have in use than a target in
    /// another zone and still be preferred, as a fraction of a target's slots.
    pub same_zone_bonus: f64,
    /// The same for a target that this entry has an idle connection to.
    pub connected_bonus: f64,
    /// Time within which the first event should arrive. A target whose predicted first event takes
    /// this long has the same cost as one without prediction whose slots are all in use.
    pub latency_target: Duration,
    /// Weight of the counts of requests beside predicted first events, 0 to 1; see [`count_weight`].
    pub count_weight: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_queued: 4.0,
            same_zone_bonus: 0.08,
            connected_bonus: 0.06,
            latency_target: Duration::from_secs(1),
            count_weight: 1.0,
        }
    }
}

/// Weight of the counts of requests if each entry reports its own every `cycle`. Old counts would make
/// all entries choose the target that had few requests a while ago.
pub fn count_weight(cycle: Duration) -> f64 {
    decay(cycle, COUNT_HALF_LIFE)
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// There are no targets, or the request was already sent to each of them.
    NoTarget,
    /// The slots and queues of all targets are full.
    Full,
}

/// Chooses a target by the power of two random choices: draws two targets, weighted by their free
/// capacity, and returns the one with the lower cost. The first one is drawn from the targets that
/// this entry has an idle connection to, if there are any, so that an entry with few requests keeps to
/// few targets as long as others have no less load.
///
/// Targets that new requests should avoid are considered only if there is no other.
///
/// # Errors
///
/// There is no untried target, or none has free capacity.
pub fn choose<R>(
    candidates: &[Candidate<'_>],
    options: &Options,
    now: Instant,
    random: &mut R,
) -> Result<ServerKey, Error>
where
    R: Rng,
{
    let untried = |include_avoided: bool| {
        candidates
            .iter()
            .filter(move |it| !it.is_tried && (include_avoided || !it.load.is_avoided(now)))
    };
    let preferred: Vec<&Candidate<'_>> = untried(false).collect();
    let pool: Vec<&Candidate<'_>> = match preferred.is_empty() {
        true => untried(true).collect(),
        false => preferred,
    };
    if pool.is_empty() {
        return Err(Error::NoTarget);
    }
    let free: Vec<(f64, &Candidate<'_>)> = pool
        .into_iter()
        .map(|it| (f64::from(it.slots) + options.max_queued - it.requests, it))
        .filter(|(capacity, _)| *capacity >= 1.0)
        .collect();
    let connected_count = free.iter().filter(|(_, it)| is_connected(it, now)).count();
    let has_few = connected_count * MIN_TARGETS_PER_CONNECTED <= free.len();
    let prefers_connected = has_few && !random.random_bool(EXPLORED_SHARE);
    let is_preferred = |it: &Candidate<'_>| prefers_connected && is_connected(it, now);
    let connected: Vec<(f64, &Candidate<'_>)> =
        free.iter().filter(|(_, it)| is_preferred(it)).copied().collect();
    let first = draw(if connected.is_empty() { &free } else { &connected }, random);
    let (Some(one), Some(other)) = (first, draw(&free, random)) else { return Err(Error::Full) };
    let connected_bonus =
        |it: &Candidate<'_>| if is_preferred(it) { options.connected_bonus } else { 0.0 };
    let cost = |it: &Candidate<'_>| cost(it, options, now) - connected_bonus(it);
    let chosen = if cost(one) <= cost(other) { one } else { other };
    Ok(chosen.id)
}

/// Whether an idle connection to `candidate` counts.
fn is_connected(candidate: &Candidate<'_>, now: Instant) -> bool {
    candidate.is_connected && candidate.load.failure_rate(now) <= MAX_CONNECTED_FAILURE_RATE
}

/// Draws one of the targets at random, weighted by their free capacity; `None` if there are none.
fn draw<'a, R>(free: &[(f64, &'a Candidate<'a>)], random: &mut R) -> Option<&'a Candidate<'a>>
where
    R: Rng,
{
    let total: f64 = free.iter().map(|(capacity, _)| capacity).sum();
    let mut point = random.random::<f64>() * total;
    let drawn = free.iter().find(|(capacity, _)| {
        point -= capacity;
        point <= 0.0
    });
    drawn.or(free.last()).map(|(_, it)| *it)
}

/// Cost of sending a request to `candidate`: how busy it is, less the bonus for the same zone, plus a
/// penalty for failures.
fn cost(candidate: &Candidate<'_>, options: &Options, now: Instant) -> f64 {
    let load = candidate.load;
    let zone_bonus = if candidate.is_same_zone { options.same_zone_bonus } else { 0.0 };
    let excess_failures = (load.failure_rate(now) - TOLERATED_FAILURE_RATE).max(0.0);
    let used_slots = candidate.requests / f64::from(candidate.slots.max(1));
    let busyness = match candidate.first_event {
        Some(first_event) => {
            let target = options.latency_target.as_secs_f64().max(f64::EPSILON);
            first_event.as_secs_f64() / target + used_slots * options.count_weight
        }
        None => used_slots,
    };
    busyness - zone_bonus + excess_failures * FAILURE_COST
}
