//! Load of targets, and the choice of one.
//!
//! A target is a plain server or the head of a group. Other entries send to the same targets, so an
//! entry knows its own requests exactly and those of the others as of the last answer.

use std::time::Duration;

use mgw_base::time::Instant;
use rand::Rng;

use crate::roster::ServerKey;

/// After this time without an answer, what a target said of its load is halved.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight of the newest result in the share of failed requests.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time in which the share of failed requests halves without a new result, so that a target that
/// has recovered is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Share of failed requests that is usual for a sound server whose requests themselves are wrong.
const USUAL_FAILURES: f64 = 0.25;

/// What a target said of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    /// Requests of other entries, running and waiting.
    others: f64,
    at: Instant,
}

/// What this process knows of a target's load.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests of this process that are at the target.
    pub in_flight: u32,
    report: Option<Report>,
    failures: f64,
    failed_at: Instant,
    /// New requests avoid the target until then, as it stands still or refused a connection.
    avoided: Option<Instant>,
}

impl Load {
    /// Takes the load that an answer states: requests at the target, running and waiting.
    pub fn report(&mut self, requests: u32, now: Instant) {
        let others = f64::from(requests.saturating_sub(self.in_flight));
        self.report = Some(Report { others, at: now });
    }

    /// Takes the result of a request.
    pub fn result(&mut self, is_failure: bool, now: Instant) {
        let value = if is_failure { 1.0 } else { 0.0 };
        self.failures = self.failures(now) * (1.0 - FAILURE_WEIGHT) + value * FAILURE_WEIGHT;
        self.failed_at = now;
    }

    /// Keeps new requests away from the target until `until`.
    pub fn avoid(&mut self, until: Instant) {
        self.avoided = self.avoided.max(Some(until));
    }

    /// Ends the avoidance, as the target answers.
    pub fn trust(&mut self) {
        self.avoided = None;
    }

    /// Whether new requests avoid the target.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided.is_some_and(|until| now < until)
    }

    /// Requests that are probably at the target, of all entries. `peer_requests` is what the other entries
    /// tell of theirs; without it the target's last report is used.
    pub fn requests(&self, peer_requests: Option<u32>, now: Instant) -> f64 {
        let reported =
            |report: Report| report.others * decay(now.since(report.at), REPORT_HALF_LIFE);
        let others = match peer_requests {
            Some(peer_requests) => f64::from(peer_requests),
            None => self.report.map_or(0.0, reported),
        };
        f64::from(self.in_flight) + others
    }

    /// Share of recent requests that failed, 0 to 1.
    pub fn failures(&self, now: Instant) -> f64 {
        self.failures * decay(now.since(self.failed_at), FAILURE_HALF_LIFE)
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// A target that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub id: ServerKey,
    /// Its load.
    pub load: &'a Load,
    /// Requests that are probably there, of all entries.
    pub requests: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the entry's own zone.
    pub is_near: bool,
    /// Whether this request was already sent there.
    pub is_tried: bool,
}

/// How targets are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Requests that may wait at a target beyond its slots.
    pub waiting: f64,
    /// How much of a target's slots may be used more for a target in the own zone.
    pub near_bonus: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { waiting: 4.0, near_bonus: 0.08 }
    }
}

/// Why no target takes the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// There is no target.
    Absent,
    /// All targets are full.
    Full,
}

/// The target with the least use of its slots among two that are drawn at random, by free slots.
///
/// # Errors
///
/// No target exists, or none has room.
pub fn choose<R>(
    candidates: &[Candidate<'_>],
    options: &Options,
    now: Instant,
    random: &mut R,
) -> Result<ServerKey, Error>
where
    R: Rng,
{
    let usable = |avoided: bool| {
        candidates.iter().filter(move |it| !it.is_tried && (avoided || !it.load.is_avoided(now)))
    };
    let sound: Vec<&Candidate<'_>> = usable(false).collect();
    let pool: Vec<&Candidate<'_>> = match sound.is_empty() {
        true => usable(true).collect(),
        false => sound,
    };
    if pool.is_empty() {
        return Err(Error::Absent);
    }
    let free: Vec<(f64, &Candidate<'_>)> = pool
        .into_iter()
        .map(|it| (f64::from(it.slots) + options.waiting - it.requests, it))
        .filter(|(room, _)| *room >= 1.0)
        .collect();
    let total: f64 = free.iter().map(|(room, _)| room).sum();
    let mut draw = || {
        let mut point = random.random::<f64>() * total;
        free.iter()
            .find(|(room, _)| {
                point -= room;
                point <= 0.0
            })
            .or(free.last())
            .map(|(_, it)| *it)
    };
    let (Some(one), Some(other)) = (draw(), draw()) else { return Err(Error::Full) };
    let cost = |it: &Candidate<'_>| cost(it, options, now);
    Ok(if cost(one) <= cost(other) { one.id } else { other.id })
}

fn cost(candidate: &Candidate<'_>, options: &Options, now: Instant) -> f64 {
    let load = candidate.load;
    let near = if candidate.is_near { options.near_bonus } else { 0.0 };
    let failures = (load.failures(now) - USUAL_FAILURES).max(0.0);
    candidate.requests / f64::from(candidate.slots.max(1)) - near + failures * 4.0
}
