//! Admission under overload: which requests are sent to the groups of a model, which wait at this
//! entry, and which are refused.
//!
//! Under overload, more requests arrive for some seconds than the groups can begin within the
//! latency targets. The more requests run at a group, the later is the first event of each, so if as
//! many are sent as there are slots, all of them are late. Groups therefore get requests only up to
//! the load at which first events are in time. Late requests wait for the room that the others leave.
//!
//! The load is summed over all groups of a model. With many entries, the counts of single groups are
//! up to a second old, and their sum is much more precise. All entries see about the same sum, so
//! with a threshold they would stop and go on together. Instead, each holds back a random part of
//! its requests, which grows with the load.

pub mod curve;
pub mod drain;
pub mod meter;
pub mod queue;
pub mod returns;
pub mod share;

use std::cmp::Reverse;
use std::time::Duration;

use mgw_base::time::Instant;
use rand::Rng;

use crate::admission::curve::Curve;
use crate::config::{Engine, Model};
use crate::work::Timing;

/// Fill of the room from which on a part of the requests is held back, and from which on all are.
/// The range is wide enough for the requests that entries send before they learn of each other's.
const HOLD_RANGE: std::ops::Range<f64> = 1.0..1.4;

/// Fill that is added for late requests, so that they only get room that requests in time leave.
const LATE_RESERVE: f64 = 0.4;

/// Fill that is added for each priority below the highest.
const PRIORITY_RESERVE: f64 = 0.05;

/// Priority from which on [`PRIORITY_RESERVE`] grows no further.
const LAST_PRIORITY: u8 = 4;

/// Fill that is added for the requests of a team above its share.
const SHARE_RESERVE: f64 = 0.3;

/// Part of a group's slots up to which nothing is held back.
const FREE_SLOT_FRACTION: f64 = 0.5;

/// Lower bound of [`Pace::load_limit`], as a part of a group's slots. First events may be late for
/// reasons other than the load.
const MIN_SLOT_FRACTION: f64 = 0.5;

/// Part of the latency target that the first event may take on average. Some take longer, as groups
/// have more or less than the mean load.
const TARGET_FRACTION: f64 = 0.9;

/// Part of the time until its deadline for which a request may wait. The rest is for its run, or
/// for another try of the caller elsewhere.
const WAIT_FRACTION: u32 = 4;

/// Longest time for which a request may wait. Callers take an entry that is silent for longer for
/// one that has failed.
const MAX_WAIT: Duration = Duration::from_millis(800);

/// What the pace of the groups depends on for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Time within which its first event should arrive.
    pub latency_target: Duration,
}

/// What is known of the speed of the groups of a model, for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time from sending the request until its first event, at the present load.
    pub first_event: Duration,
    /// Number of requests at a group up to which nothing is held back.
    pub free_load: f64,
    /// Number of requests at a group up to which first events are in time.
    pub load_limit: f64,
    /// Time for which a request occupies a slot of a group with `load_limit` requests.
    pub occupancy: Duration,
}

impl Pace {
    /// The pace for a request while a group has `load` requests on average. `curve` leaves out the
    /// time that reading a prompt takes.
    pub fn new(
        engine: &Engine,
        model: &Model,
        curve: &Curve,
        request: Request,
        load: f64,
        now: Instant,
    ) -> Self {
        let timing = Timing::new(engine, model);
        let reading = timing.read(request.prompt_tokens);
        let slots = f64::from(engine.slots.max(1));
        let target = request.latency_target.mul_f64(TARGET_FRACTION);
        let known = curve.load_at(target.saturating_sub(reading), now);
        let load_limit = known.clamp(slots * MIN_SLOT_FRACTION, slots);
        let passes = engine.mean_output_tokens / f64::from(engine.steps_per_pass.max(1));
        Self {
            first_event: curve.time_at(load, now).unwrap_or(timing.pass(load)) + reading,
            free_load: slots * FREE_SLOT_FRACTION,
            load_limit,
            occupancy: timing.pass(load_limit).mul_f64(passes.max(0.0)),
        }
    }

    /// Requests per second that this number of groups serves at [`Pace::load_limit`].
    pub fn requests_per_s(&self, groups: usize) -> f64 {
        groups as f64 * self.load_limit / self.occupancy.as_secs_f64().max(1e-3)
    }
}

/// The groups that may run a request, and what runs there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Number of groups.
    pub groups: usize,
    /// Requests of all entries at them, running or queued.
    pub requests: f64,
}

impl Room {
    /// Requests at a group on average.
    pub fn load(&self) -> f64 {
        self.requests / self.groups.max(1) as f64
    }

    /// Requests as a share of those that the groups may have for their first events to be in time.
    pub fn fill(&self, pace: &Pace) -> f64 {
        self.load() / pace.load_limit.max(1.0)
    }

    /// Number of requests that the groups may have in addition for their first events to be in time.
    pub fn free_places(&self, pace: &Pace) -> f64 {
        (self.groups as f64 * pace.load_limit - self.requests).max(0.0)
    }

    /// Whether so many requests run that some may be held back.
    pub fn is_short(&self, pace: &Pace) -> bool {
        self.load() >= pace.free_load
    }
}

/// Whether the first event of a request can arrive within its latency target. Ordered by precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It can if the request is sent now.
    InTime,
    /// It cannot.
    Late,
}

/// What a request needs, and how it ranks among those that wait for the same groups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether its team has sent more than its share; see [`share`].
    pub is_over_share: bool,
    /// Whether the caller comes back after a refusal.
    pub is_returning: bool,
    /// Whether it already waits at this entry.
    pub is_waiting: bool,
    /// When it arrived at this entry.
    pub arrived: Instant,
    /// End of its latency target.
    pub due: Instant,
    /// Deadline of the caller.
    pub deadline: Instant,
    /// Speed of the groups that can run it.
    pub pace: Pace,
}

/// Place in the order of requests that wait for the same groups; the lowest comes first. Compared
/// field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_over_share: bool,
    priority: u8,
    timeliness: Timeliness,
    is_returning: Reverse<bool>,
    due: Instant,
}

impl Claim {
    /// Until when it may wait at an entry.
    pub fn waits_until(&self) -> Instant {
        self.arrived + (self.deadline.since(self.arrived) / WAIT_FRACTION).min(MAX_WAIT)
    }

    /// Its timeliness if it is sent at `now`.
    pub fn timeliness(&self, now: Instant) -> Timeliness {
        match now + self.pace.first_event <= self.due {
            true => Timeliness::InTime,
            false => Timeliness::Late,
        }
    }

    /// Its place in the order, the lowest first: teams within their shares, then by priority, then
    /// those that can be in time, then those that come back, then by the end of the latency target.
    pub fn rank(&self, now: Instant) -> Rank {
        Rank {
            is_over_share: self.is_over_share,
            priority: self.priority,
            timeliness: self.timeliness(now),
            is_returning: Reverse(self.is_returning),
            due: self.due,
        }
    }

    /// Fill of the room that is kept for requests of higher rank.
    fn reserve(&self, now: Instant) -> f64 {
        let late = match self.timeliness(now) {
            Timeliness::InTime => 0.0,
            Timeliness::Late => LATE_RESERVE,
        };
        let share = if self.is_over_share { SHARE_RESERVE } else { 0.0 };
        late + share + PRIORITY_RESERVE * f64::from(self.priority.min(LAST_PRIORITY))
    }
}

/// Whether a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Send,
    /// It is held back: the room that is left is for others.
    Hold,
    /// No group can begin it before its deadline.
    TooLate,
}

/// Decides on a request at `now`.
pub fn decide<R>(claim: &Claim, room: &Room, now: Instant, random: &mut R) -> Verdict
where
    R: Rng,
{
    let fill = room.fill(&claim.pace) + claim.reserve(now);
    let width = HOLD_RANGE.end - HOLD_RANGE.start;
    match (fill - HOLD_RANGE.start) / width {
        _ if now + claim.pace.first_event > claim.deadline => Verdict::TooLate,
        held if held <= 0.0 || !room.is_short(&claim.pace) => Verdict::Send,
        held if random.random::<f64>() < held => Verdict::Hold,
        _ => Verdict::Send,
    }
}
