//! Admission control: divides each team's capacity over the entries and sheds requests by
//! priority under overload.

use std::fmt;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Number of priorities, from 0 (interactive) to 3 (batch).
pub const PRIORITY_COUNT: usize = 4;

/// Limit in requests up to which a bucket is deepened by [`SMALL_SHARE_FACTOR`].
///
/// A small team's share at one entry is less than one request per second. With buckets that held
/// one request, a team that used a sixth of its capacity had a fifth of its requests refused.
const SMALL_SHARE_REQUESTS: f64 = 4.0;

/// Limit in tokens up to which a bucket is deepened by [`SMALL_SHARE_FACTOR`]; the tokens of a few
/// typical requests.
const SMALL_SHARE_TOKENS: f64 = 1_200.0;

/// Depth of a small share's bucket as a multiple of its burst.
const SMALL_SHARE_FACTOR: f64 = 4.0;

/// Parameters of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Fraction of a team's capacity that is divided equally over the entries when the demand
    /// exceeds the capacity; the rest is divided in proportion to the demand.
    pub equal_share: f64,
    /// Depth of a bucket, as the time in which its rate fills it.
    pub burst: Duration,
    /// Age up to which a peer's demand report has its full weight.
    pub full_weight_age: Duration,
    /// Time after `full_weight_age` over which the weight falls linearly to zero. The missing
    /// weight is filled with the mean demand of the entries whose demand is known.
    pub weight_decay: Duration,
    /// Maximum number of admitted requests in flight at this entry.
    pub max_in_flight: u32,
    /// Per priority, the fraction of `max_in_flight` at which its requests are shed.
    pub priority_fill: [f64; PRIORITY_COUNT],
    /// Fraction of `max_in_flight` that one team may use.
    pub team_fill: f64,
    /// Per priority, the longest estimated wait at which a request is admitted.
    pub max_wait: [Duration; PRIORITY_COUNT],
}

impl Default for Options {
    fn default() -> Self {
        Self {
            equal_share: 0.25,
            burst: Duration::from_secs(1),
            full_weight_age: Duration::from_secs(5),
            weight_decay: Duration::from_secs(10),
            max_in_flight: 4_096,
            priority_fill: [1.0, 0.9, 0.75, 0.6],
            team_fill: 0.5,
            max_wait: [
                Duration::from_millis(4_000),
                Duration::from_millis(2_000),
                Duration::from_millis(1_000),
                Duration::from_millis(500),
            ],
        }
    }
}

/// A team's configured capacity, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests per second.
    pub rate: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// Maximum number of requests in flight.
    pub concurrency: u32,
}

/// A team's smoothed demand at one entry, including refused requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second that arrived.
    pub requests: f64,
    /// Estimated tokens per second of the requests that arrived.
    pub tokens: f64,
    /// Mean number of requests in flight.
    pub in_flight: f64,
}

/// The properties of a request that admission depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Priority from 0 to 3; a larger value is treated as 3.
    pub priority: u8,
    /// Estimated tokens of prompt and answer together; 0 for a plain service.
    pub tokens: u32,
    /// Estimated wait at the target that would be chosen.
    pub wait: Duration,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// An admitted request. It must be passed to [`Limiter::finish`] when the request ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    team: SmolStr,
    tokens: u32,
}

/// The reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The team is not configured.
    UnknownTeam,
    /// The entry sheds requests of this priority.
    Overloaded {
        /// Time after which another attempt may succeed.
        retry_after: Duration,
    },
    /// The estimated wait exceeds the deadline.
    Deadline,
    /// The team is over its capacity at this entry.
    TeamCapacity {
        /// Time after which another attempt may succeed.
        retry_after: Duration,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::UnknownTeam => "the team is not configured",
            Error::Overloaded { .. } => "requests of this priority are refused under overload",
            Error::Deadline => "the estimated wait exceeds the deadline",
            Error::TeamCapacity { .. } => "the team is over its capacity",
        })
    }
}

impl std::error::Error for Error {}

/// A token bucket.
///
/// The level becomes negative when a request used more tokens than estimated. Nothing is admitted
/// until the refill has paid the debt back.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    depth: f64,
    /// Time up to which `level` includes the refill.
    refilled_at: Instant,
}

impl Bucket {
    fn new(now: Instant) -> Self {
        // A new bucket is full: the first call of `set_rate` limits the level to the depth.
        Self { level: f64::MAX, rate: 0.0, depth: f64::MAX, refilled_at: now }
    }

    fn refill(&mut self, now: Instant) {
        let gain = self.rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + gain).min(self.depth);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Changes the rate and depth. The time up to `now` is refilled at the old rate.
    fn set_rate(&mut self, rate: f64, depth: f64, now: Instant) {
        self.refill(now);
        (self.rate, self.depth) = (rate, depth);
        self.level = self.level.min(depth);
    }

    /// Returns the time until the level is at least `amount`, at most 60 s, or `None` if it is
    /// already. An amount above the depth requires a full bucket.
    fn time_until(&self, amount: f64) -> Option<Duration> {
        let deficit = amount.min(self.depth) - self.level;
        if deficit <= 1e-9 {
            return None;
        }
        Some(Duration::from_secs_f64((deficit / self.rate.max(1e-3)).min(60.0)))
    }
}

/// A peer's report of a team's demand.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Report counter of the peer, ascending; tells older reports from newer ones.
    counter: u64,
    demand: Demand,
    received: Instant,
}

#[derive(Clone, Debug)]
struct Team {
    capacity: Capacity,
    requests: Bucket,
    tokens: Bucket,
    concurrency: f64,
    in_flight: u32,
    /// Requests that arrived since the last tick, and their estimated tokens.
    arrivals: (f64, f64),
    demand: Demand,
    /// Latest demand report of each live peer, by incarnation.
    peers: Map<u64, Report>,
}

/// The admission control of one entry.
#[derive(Clone, Debug)]
pub struct Limiter {
    options: Options,
    teams: Map<SmolStr, Team>,
    /// Incarnations of the other live entries, with the time of their last heartbeat.
    peers: Map<u64, Instant>,
    in_flight: u32,
    last_tick: Instant,
}

impl Limiter {
    /// Creates a limiter without teams or peers.
    pub fn new(options: Options, now: Instant) -> Self {
        Self { options, teams: Map::default(), peers: Map::default(), in_flight: 0, last_tick: now }
    }

    /// Replaces the configured teams. Requests in flight of a removed team keep their permits.
    pub fn configure(&mut self, teams: &[(SmolStr, Capacity)], now: Instant) {
        self.teams.retain(|team, _| teams.iter().any(|(known, _)| known == team));
        for (name, capacity) in teams {
            let make = || Team {
                capacity: *capacity,
                requests: Bucket::new(now),
                tokens: Bucket::new(now),
                concurrency: 0.0,
                in_flight: 0,
                arrivals: (0.0, 0.0),
                demand: Demand::default(),
                peers: Map::default(),
            };
            self.teams.get_or_insert_with(name.clone(), make).capacity = *capacity;
        }
        self.update_shares(now);
    }

    /// Sets the incarnations of the other live entries. The last heartbeat of a new one is taken to
    /// be at `now`.
    pub fn set_peers(&mut self, live: &[u64], now: Instant) {
        self.peers.retain(|peer, _| live.contains(peer));
        for peer in live {
            self.peers.get_or_insert_with(*peer, || now);
        }
        for (_, team) in self.teams.iter_mut() {
            team.peers.retain(|peer, _| live.contains(peer));
        }
        self.update_shares(now);
    }

    /// Records a heartbeat of a peer. A peer that sends heartbeats but no demand report for a team
    /// has no demand for it.
    pub fn heartbeat(&mut self, peer: u64, now: Instant) {
        if let Some(at) = self.peers.get_mut(&peer) {
            *at = now.max(*at);
        }
    }

    /// Stores a peer's report of a team's demand unless a report with a higher counter is known. A
    /// peer whose demand has ended reports zero.
    pub fn report_demand(
        &mut self,
        peer: u64,
        counter: u64,
        team: &str,
        demand: Demand,
        now: Instant,
    ) {
        if self.peers.get(&peer).is_none() {
            return;
        }
        let Some(team) = self.teams.get_mut(&SmolStr::from(team)) else { return };
        let report = Report { counter, demand, received: now };
        let known = team.peers.get_or_insert_with(peer, || report);
        if known.counter <= counter {
            *known = report;
        }
    }

    /// Updates the measured demand and this entry's shares. Called about once per second.
    pub fn tick(&mut self, now: Instant) {
        let seconds = now.since(self.last_tick).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        // Exponential smoothing with a half-life of one second lets a share follow the demand
        // within a few seconds without oscillating.
        let weight = 1.0 - 0.5f64.powf(seconds);
        for (_, team) in self.teams.iter_mut() {
            let (requests, tokens) = std::mem::take(&mut team.arrivals);
            let demand = &mut team.demand;
            demand.requests += weight * (requests / seconds - demand.requests);
            demand.tokens += weight * (tokens / seconds - demand.tokens);
            demand.in_flight += weight * (f64::from(team.in_flight) - demand.in_flight);
            for value in [&mut demand.requests, &mut demand.tokens, &mut demand.in_flight] {
                if *value < 1e-3 {
                    *value = 0.0;
                }
            }
        }
        self.last_tick = now;
        self.update_shares(now);
    }

    /// Returns the demand of a team at this entry, to be reported to peers.
    pub fn demand(&self, team: &str) -> Option<Demand> {
        self.teams.get(&SmolStr::from(team)).map(|team| team.demand)
    }

    /// Returns this entry's share of a team's capacity: requests per second, tokens per second and
    /// requests in flight.
    pub fn own_share(&self, team: &str) -> Option<(f64, f64, f64)> {
        let team = self.teams.get(&SmolStr::from(team))?;
        Some((team.requests.rate, team.tokens.rate, team.concurrency))
    }

    /// Checks only the overload of this entry and the deadline. It is meant for an admitted request
    /// whose estimated wait was not known at admission.
    ///
    /// # Errors
    ///
    /// [`Error::Deadline`] or [`Error::Overloaded`].
    pub fn check_overload(&self, request: &Request, now: Instant) -> Result<(), Error> {
        check_shedding(&self.options, self.in_flight.saturating_sub(1), request, now)
    }

    /// Admits or refuses a request.
    ///
    /// To check a request before its target is chosen, pass a wait of zero here and call
    /// [`Limiter::check_overload`] once the wait at the target is known. The checks are made in
    /// order of cost, and a refusal takes nothing from any bucket.
    ///
    /// # Errors
    ///
    /// Any variant of [`Error`].
    pub fn admit(&mut self, team: &str, request: &Request, now: Instant) -> Result<Permit, Error> {
        let Some(state) = self.teams.get_mut(&SmolStr::from(team)) else {
            return Err(Error::UnknownTeam);
        };
        state.arrivals.0 += 1.0;
        state.arrivals.1 += f64::from(request.tokens);
        check_shedding(&self.options, self.in_flight, request, now)?;
        let limit = f64::from(self.options.max_in_flight);
        if f64::from(state.in_flight) >= state.concurrency.min(limit * self.options.team_fill) {
            return Err(Error::TeamCapacity { retry_after: Duration::from_millis(250) });
        }
        state.requests.refill(now);
        state.tokens.refill(now);
        let until_available =
            state.requests.time_until(1.0).max(state.tokens.time_until(f64::from(request.tokens)));
        if let Some(retry_after) = until_available {
            return Err(Error::TeamCapacity { retry_after });
        }
        state.requests.level -= 1.0;
        state.tokens.level -= f64::from(request.tokens);
        state.in_flight += 1;
        self.in_flight += 1;
        Ok(Permit { team: team.into(), tokens: request.tokens })
    }

    /// Ends an admitted request that used `tokens` tokens. The difference from the estimate is
    /// charged to the team's bucket or returned to it.
    pub fn finish(&mut self, permit: Permit, tokens: u32, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(&permit.team) {
            team.in_flight = team.in_flight.saturating_sub(1);
            team.tokens.refill(now);
            let returned = f64::from(permit.tokens) - f64::from(tokens);
            team.tokens.level = (team.tokens.level + returned).min(team.tokens.depth);
        }
    }

    /// Returns the number of admitted requests in flight at this entry.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn update_shares(&mut self, now: Instant) {
        let options = &self.options;
        let entries = (self.peers.len() + 1) as f64;
        for (_, team) in self.teams.iter_mut() {
            let reports: Vec<(f64, Demand)> = self
                .peers
                .iter()
                .map(|(peer, last_heartbeat)| {
                    let (demand, at) = match team.peers.get(peer) {
                        Some(report) => (report.demand, report.received),
                        None => (Demand::default(), *last_heartbeat),
                    };
                    // A peer without demand sends no reports, so its heartbeats keep a reported
                    // zero fresh.
                    let at = if demand == Demand::default() { at.max(*last_heartbeat) } else { at };
                    (report_weight(options, now.since(at)), demand)
                })
                .collect();
            let share_of = |own: f64, capacity: f64, get: fn(&Demand) -> f64| {
                let known: f64 = reports.iter().map(|(weight, demand)| weight * get(demand)).sum();
                let weights: f64 = reports.iter().map(|(weight, _)| weight).sum();
                // The weight that a peer's report lacks is filled with the mean demand of the
                // known ones, including this entry. If all peers are unknown, the shares are
                // equal.
                let mean = (own + known) / (1.0 + weights);
                let total = own + known + (entries - 1.0 - weights) * mean;
                if total <= capacity {
                    own + (capacity - total) / entries
                } else {
                    let floor = options.equal_share * capacity / entries;
                    floor + (1.0 - options.equal_share) * capacity * own / total
                }
            };
            let (capacity, demand) = (team.capacity, team.demand);
            let rate = share_of(demand.requests, capacity.rate, |demand| demand.requests);
            let tokens = share_of(demand.tokens, capacity.tokens, |demand| demand.tokens);
            let concurrency = f64::from(capacity.concurrency);
            let burst = options.burst.as_secs_f64();
            // The bucket holds at least one request, and at least one may be in flight. Otherwise
            // a fleet of many entries could not serve a team with a small capacity at all.
            team.requests.set_rate(rate, bucket_depth(rate, burst, SMALL_SHARE_REQUESTS), now);
            team.tokens.set_rate(tokens, bucket_depth(tokens, burst, SMALL_SHARE_TOKENS), now);
            let share = share_of(demand.in_flight, concurrency, |demand| demand.in_flight);
            // The unused part of the share is granted twice, as the entries seldom use it at the
            // same time. When it was granted once, a small team was limited to one request in
            // flight per entry.
            let with_slack = (share - demand.in_flight).max(0.0) + share;
            team.concurrency = with_slack.max(1.0);
        }
    }
}

fn check_shedding(
    options: &Options,
    in_flight: u32,
    request: &Request,
    now: Instant,
) -> Result<(), Error> {
    let priority = usize::from(request.priority).min(PRIORITY_COUNT - 1);
    if now + request.wait >= request.deadline {
        return Err(Error::Deadline);
    }
    let at_limit =
        f64::from(in_flight) >= f64::from(options.max_in_flight) * options.priority_fill[priority];
    if at_limit || request.wait > options.max_wait[priority] {
        let retry_after = request.wait.max(Duration::from_millis(250)) * (priority as u32 + 1);
        return Err(Error::Overloaded { retry_after });
    }
    Ok(())
}

/// Returns the weight of a demand report of this age: 1 up to `full_weight_age`, then falling
/// linearly to 0 over `weight_decay`.
fn report_weight(options: &Options, age: Duration) -> f64 {
    let late = age.saturating_sub(options.full_weight_age).as_secs_f64();
    (1.0 - late / options.weight_decay.as_secs_f64().max(1e-6)).max(0.0)
}

/// Returns the depth of a bucket: `rate * burst`, deepened by [`SMALL_SHARE_FACTOR`] but not beyond
/// `small_amount` if that is less, and at least 1. `burst` is in seconds.
fn bucket_depth(rate: f64, burst: f64, small_amount: f64) -> f64 {
    let burst_amount = rate * burst;
    burst_amount.max((burst_amount * SMALL_SHARE_FACTOR).min(small_amount)).max(1.0)
}
