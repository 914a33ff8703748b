//! Admission: team capacity shared over the entries, and shedding by priority under overload.

use std::fmt;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

/// The number of priorities, 0 (interactive) to 3 (batch).
pub const PRIORITY_COUNT: usize = 4;

/// Requests up to which a bucket holds several times its burst.
///
/// A small team's share at an entry is below one request a second. With a bucket for one request,
/// a team that used a sixth of its capacity had a fifth of its requests refused.
const FEW_REQUESTS: f64 = 4.0;

/// Tokens up to which a bucket holds several times its burst: those of a few usual requests.
const FEW_TOKENS: f64 = 1_200.0;

/// How many times its burst a small share's bucket holds.
const DEEP: f64 = 4.0;

/// Parameters of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Part of a team's capacity that is shared equally, whatever the demand.
    pub equal_share: f64,
    /// Time whose capacity a bucket holds.
    pub burst: Duration,
    /// A peer's report keeps its full weight for this long.
    pub full_weight_age: Duration,
    /// After that its weight fades to zero over this time, in favor of an equal share.
    pub weight_decay: Duration,
    /// The largest number of admitted requests in flight at this entry.
    pub max_in_flight: u32,
    /// Part of `in_flight` that each priority may fill.
    pub priority_fill: [f64; PRIORITY_COUNT],
    /// Part of `in_flight` that one team may fill.
    pub team_fill: f64,
    /// The longest estimated wait at which each priority is admitted.
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

/// A team's capacity over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests per second.
    pub rate: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// Requests in flight.
    pub concurrency: u32,
}

/// A team's demand at one entry, refused requests included.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second that arrived.
    pub requests: f64,
    /// Tokens per second that were asked for.
    pub tokens: f64,
    /// Requests in flight.
    pub in_flight: f64,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// 0 to 3; a larger value counts as 3.
    pub priority: u8,
    /// Estimated tokens, prompt and answer; 0 for a plain service.
    pub tokens: u32,
    /// The estimated wait at the target that would be chosen.
    pub wait: Duration,
    /// The request's deadline.
    pub deadline: Instant,
}

/// An admitted request; handed back with [`Limiter::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    team: SmolStr,
    tokens: u32,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The team is not configured.
    UnknownTeam,
    /// The entry sheds this priority.
    Overloaded {
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The estimated wait exceeds the deadline.
    Deadline,
    /// The team is over its capacity.
    TeamCapacity {
        /// When another attempt may succeed.
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

/// A token bucket. Its level can be negative after an underestimate, and is then paid back.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    depth: f64,
    at: Instant,
}

impl Bucket {
    fn new(now: Instant) -> Self {
        // The first rate that is set cuts the level down to a full bucket.
        Self { level: f64::MAX, rate: 0.0, depth: f64::MAX, at: now }
    }

    fn refill(&mut self, now: Instant) {
        let gain = self.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + gain).min(self.depth);
        self.at = self.at.max(now);
    }

    /// Changes the rate; what was gained so far was gained at the old one.
    fn set(&mut self, rate: f64, depth: f64, now: Instant) {
        self.refill(now);
        (self.rate, self.depth) = (rate, depth);
        self.level = self.level.min(depth);
    }

    /// How long until the level is at least `amount`; an amount above the depth needs a full
    /// bucket.
    fn missing(&self, amount: f64) -> Option<Duration> {
        let lack = amount.min(self.depth) - self.level;
        if lack <= 1e-9 {
            return None;
        }
        Some(Duration::from_secs_f64((lack / self.rate.max(1e-3)).min(60.0)))
    }
}

/// A peer's report of a team's demand.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Ascending per peer.
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
    /// Requests that arrived and tokens that they asked for since the last tick.
    arrived: (f64, f64),
    demand: Demand,
    /// The last report of each peer; only live peers.
    peers: Map<u64, Report>,
}

/// The admission of one entry.
#[derive(Clone, Debug)]
pub struct Limiter {
    options: Options,
    teams: Map<SmolStr, Team>,
    /// Live peers without this entry, with the time of their last heartbeat.
    peers: Map<u64, Instant>,
    in_flight: u32,
    ticked: Instant,
}

impl Limiter {
    /// An entry without teams or peers.
    pub fn new(options: Options, now: Instant) -> Self {
        Self { options, teams: Map::default(), peers: Map::default(), in_flight: 0, ticked: now }
    }

    /// Sets the teams of the configuration. Requests in flight of a removed team keep their
    /// permits.
    pub fn configure(&mut self, teams: &[(SmolStr, Capacity)], now: Instant) {
        self.teams.retain(|team, _| teams.iter().any(|(known, _)| known == team));
        for (name, capacity) in teams {
            let make = || Team {
                capacity: *capacity,
                requests: Bucket::new(now),
                tokens: Bucket::new(now),
                concurrency: 0.0,
                in_flight: 0,
                arrived: (0.0, 0.0),
                demand: Demand::default(),
                peers: Map::default(),
            };
            self.teams.entry(name.clone(), make).capacity = *capacity;
        }
        self.share(now);
    }

    /// Sets the incarnations of the other live entries. New ones count as heard from now.
    pub fn set_peers(&mut self, live: &[u64], now: Instant) {
        self.peers.retain(|peer, _| live.contains(peer));
        for peer in live {
            self.peers.entry(*peer, || now);
        }
        for (_, team) in self.teams.iter_mut() {
            team.peers.retain(|peer, _| live.contains(peer));
        }
        self.share(now);
    }

    /// Notes a heartbeat of a peer. A peer that is heard from and reports no demand of a team has
    /// none.
    pub fn heartbeat(&mut self, peer: u64, now: Instant) {
        if let Some(at) = self.peers.get_mut(&peer) {
            *at = now.max(*at);
        }
    }

    /// Stores a peer's report of a team's demand unless a newer one is known. A peer whose demand
    /// ends reports zero.
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
        let known = team.peers.entry(peer, || report);
        if known.counter <= counter {
            *known = report;
        }
    }

    /// Updates the measured demand and the shares; called about once a second.
    pub fn tick(&mut self, now: Instant) {
        let seconds = now.since(self.ticked).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        // Half of the difference is taken over per second, so that a share follows within a few
        // seconds without oscillating.
        let weight = 1.0 - 0.5f64.powf(seconds);
        for (_, team) in self.teams.iter_mut() {
            let (requests, tokens) = std::mem::take(&mut team.arrived);
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
        self.ticked = now;
        self.share(now);
    }

    /// The own demand of a team, to be reported to peers.
    pub fn demand(&self, team: &str) -> Option<Demand> {
        self.teams.get(&SmolStr::from(team)).map(|team| team.demand)
    }

    /// The own share of a team's capacity: requests/s, tokens/s and concurrency.
    pub fn own_share(&self, team: &str) -> Option<(f64, f64, f64)> {
        let team = self.teams.get(&SmolStr::from(team))?;
        Some((team.requests.rate, team.tokens.rate, team.concurrency))
    }

    /// Checks only the overload of this entry and the deadline, for an admitted request whose
    /// estimated wait was not known at admission.
    pub fn check_overload(&self, ask: &Request, now: Instant) -> Result<(), Error> {
        shed(&self.options, self.in_flight.saturating_sub(1), ask, now)
    }

    /// Admits or refuses a request. To refuse before a target is looked for, pass a wait of zero
    /// and call [`Limiter::shed`] with the wait at the target.
    ///
    /// The checks run from the cheapest, and a refusal draws nothing from any bucket.
    pub fn admit(&mut self, team: &str, ask: &Request, now: Instant) -> Result<Permit, Error> {
        let Some(own) = self.teams.get_mut(&SmolStr::from(team)) else {
            return Err(Error::UnknownTeam);
        };
        own.arrived.0 += 1.0;
        own.arrived.1 += f64::from(ask.tokens);
        shed(&self.options, self.in_flight, ask, now)?;
        let limit = f64::from(self.options.max_in_flight);
        if f64::from(own.in_flight) >= own.concurrency.min(limit * self.options.team_fill) {
            return Err(Error::TeamCapacity { retry_after: Duration::from_millis(250) });
        }
        own.requests.refill(now);
        own.tokens.refill(now);
        let missing = own.requests.missing(1.0).max(own.tokens.missing(f64::from(ask.tokens)));
        if let Some(retry_after) = missing {
            return Err(Error::TeamCapacity { retry_after });
        }
        own.requests.level -= 1.0;
        own.tokens.level -= f64::from(ask.tokens);
        own.in_flight += 1;
        self.in_flight += 1;
        Ok(Permit { team: team.into(), tokens: ask.tokens })
    }

    /// Ends an admitted request that used `tokens` tokens; the difference to the estimate is
    /// charged or returned.
    pub fn finish(&mut self, permit: Permit, tokens: u32, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(&permit.team) {
            team.in_flight = team.in_flight.saturating_sub(1);
            team.tokens.refill(now);
            let returned = f64::from(permit.tokens) - f64::from(tokens);
            team.tokens.level = (team.tokens.level + returned).min(team.tokens.depth);
        }
    }

    /// The number of admitted requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn share(&mut self, now: Instant) {
        let options = &self.options;
        let entries = (self.peers.len() + 1) as f64;
        for (_, team) in self.teams.iter_mut() {
            let reports: Vec<(f64, Demand)> = self
                .peers
                .iter()
                .map(|(peer, heard)| {
                    let (demand, at) = match team.peers.get(peer) {
                        Some(report) => (report.demand, report.received),
                        None => (Demand::default(), *heard),
                    };
                    // A peer that is heard from and last reported zero still has no demand.
                    let at = if demand == Demand::default() { at.max(*heard) } else { at };
                    (weight(options, now.since(at)), demand)
                })
                .collect();
            let part = |own: f64, capacity: f64, get: fn(&Demand) -> f64| {
                let known: f64 = reports.iter().map(|(weight, demand)| weight * get(demand)).sum();
                let weights: f64 = reports.iter().map(|(weight, _)| weight).sum();
                // Unknown peers count with the mean demand of the known ones, this entry
                // included; if all are unknown, each has an equal share.
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
            let rate = part(demand.requests, capacity.rate, |demand| demand.requests);
            let tokens = part(demand.tokens, capacity.tokens, |demand| demand.tokens);
            let concurrency = f64::from(capacity.concurrency);
            let burst = options.burst.as_secs_f64();
            // At least one request fits into the bucket and in flight, otherwise a team with a
            // small capacity could never be served by a fleet of many entries.
            team.requests.set(rate, depth(rate, burst, FEW_REQUESTS), now);
            team.tokens.set(tokens, depth(tokens, burst, FEW_TOKENS), now);
            let share = part(demand.in_flight, concurrency, |demand| demand.in_flight);
            // The slack is granted twice over: the entries seldom use it at the same time, and with
            // single grants a small team had one request in flight per entry.
            let twice = (share - demand.in_flight).max(0.0) + share;
            team.concurrency = twice.max(1.0);
        }
    }
}

fn shed(options: &Options, in_flight: u32, ask: &Request, now: Instant) -> Result<(), Error> {
    let priority = usize::from(ask.priority).min(PRIORITY_COUNT - 1);
    if now + ask.wait >= ask.deadline {
        return Err(Error::Deadline);
    }
    let full =
        f64::from(in_flight) >= f64::from(options.max_in_flight) * options.priority_fill[priority];
    if full || ask.wait > options.max_wait[priority] {
        let retry_after = ask.wait.max(Duration::from_millis(250)) * (priority as u32 + 1);
        return Err(Error::Overloaded { retry_after });
    }
    Ok(())
}

/// Weight of a report of this age: 1 up to `stale`, then falling to 0 over `decay`.
fn weight(options: &Options, age: Duration) -> f64 {
    let late = age.saturating_sub(options.full_weight_age).as_secs_f64();
    (1.0 - late / options.weight_decay.as_secs_f64().max(1e-6)).max(0.0)
}

/// The depth of a bucket with this rate: its burst, more if that is only a few units, and at least
/// one unit.
fn depth(rate: f64, burst: f64, few: f64) -> f64 {
    let usual = rate * burst;
    usual.max((usual * DEEP).min(few)).max(1.0)
}
