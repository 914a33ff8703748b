//! The choice of a model group or of a server of a plain service.

use std::fmt;
use std::time::Duration;

use mgw_base::arena::{Arena, Key};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use rand::Rng;
use smol_str::SmolStr;

use crate::prefix;

/// How a target is chosen among the open ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By estimated wait and cached prefix.
    #[default]
    EstimatedWait,
    /// At random; a baseline for measurements.
    Random,
    /// By the fewest own requests in flight; a baseline for measurements.
    LeastConnections,
}

/// Parameters of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How a target is chosen.
    pub policy: Policy,
    /// A load report loses its weight linearly over this age, in favor of the candidates' mean.
    pub load_decay: Duration,
    /// Assumed duration of a request until requests of the target were measured.
    pub default_duration: Duration,
    /// Cost of a full batch over an empty one, as larger batches generate more slowly.
    pub full_batch_cost: Duration,
    /// Prefill time saved per cached prefix block.
    pub prefill_per_block: Duration,
    /// The largest bonus for a cached prefix.
    pub max_prefix_bonus: Duration,
    /// A farther zone is used when the nearer one's wait is longer by more than this.
    pub spillover_margin: Duration,
    /// Bounds of the prefix table.
    pub prefix: prefix::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::EstimatedWait,
            load_decay: Duration::from_secs(2),
            default_duration: Duration::from_secs(2),
            full_batch_cost: Duration::from_millis(40),
            prefill_per_block: Duration::from_millis(8),
            max_prefix_bonus: Duration::from_millis(250),
            spillover_margin: Duration::from_millis(60),
            prefix: prefix::Options::default(),
        }
    }
}

/// What identifies a target across processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Id {
    /// A model group.
    Group(u64),
    /// A server of a plain service.
    Server(SmolStr),
}

/// What a target serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// A model.
    Model(SmolStr),
    /// A plain service.
    Service(SmolStr),
}

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Size of the batch; at least 1 is assumed.
    pub slots: u32,
    /// When it was measured: the time of receipt less the stated age.
    pub measured_at: Instant,
}

/// What the tick knows of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attributes {
    /// What it serves.
    pub destination: Destination,
    /// The adapters it has loaded, sorted.
    pub adapters: Vec<SmolStr>,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Whether a group is servable, or a server is up.
    pub available: bool,
    /// Whether it is leaving. A leaving target gets no new work.
    pub leaving: bool,
}

/// Standing of a target with regard to the ejection of stragglers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Takes part in the choice.
    #[default]
    Healthy,
    /// Used only if nothing else is left.
    Ejected,
    /// The next suitable request is sent there as a probe.
    Probe,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    at: Instant,
    request: u64,
    suspect: bool,
}

/// A model group or a server of a plain service.
#[derive(Clone, Debug)]
pub struct Target {
    id: Id,
    facts: Attributes,
    load: Option<Load>,
    standing: Health,
    /// Own requests in flight, ascending by start.
    flights: Vec<Flight>,
    /// Smoothed duration of own requests in seconds.
    pace: Option<f64>,
}

impl Target {
    /// What identifies it across processes.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// What the tick knows of it.
    pub fn attributes(&self) -> &Attributes {
        &self.facts
    }

    /// The number of own requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }
}

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The model or service.
    pub destination: &'a Destination,
    /// The adapter, if any.
    pub adapter: Option<&'a str>,
    /// Prefix hashes of the prompt: first block, first two blocks and so on.
    pub prefixes: &'a [u64],
    /// Targets that this request was already sent to.
    pub tried: &'a [Key<Target>],
    /// Whether the request is suspected of crashing servers.
    pub suspect: bool,
    /// Whether the request may serve as a probe of an ejected target: it can be repeated
    /// elsewhere.
    pub can_probe: bool,
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection {
    /// The target.
    pub target: Key<Target>,
    /// The estimated wait there.
    pub wait: Duration,
    /// Prefix blocks that the target is believed to hold.
    pub cached_blocks: usize,
    /// Whether the request is a probe of an ejected target.
    pub is_probe: bool,
}

/// Why no target was chosen, ascending by how close a target came to being chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Error {
    /// No target serves this model or service, with this adapter.
    NotServed,
    /// Targets exist, and none is open.
    NoneAvailable,
    /// All open targets were already tried.
    AllTried,
    /// All open targets run another suspect.
    AllRunSuspects,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::NotServed => "no target serves this model or service",
            Error::NoneAvailable => "no target is open",
            Error::AllTried => "all open targets were already tried",
            Error::AllRunSuspects => "all open targets run another suspected request",
        })
    }
}

impl std::error::Error for Error {}

/// The targets that an entry knows.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    zone: SmolStr,
    region: SmolStr,
    targets: Arena<Target>,
    ids: Map<Id, Key<Target>>,
    /// Every target is listed under its scope only.
    scopes: Map<Destination, Vec<Key<Target>>>,
    prefixes: prefix::Table,
}

impl Table {
    /// An empty table of an entry in `zone` of `region`.
    pub fn new(options: Options, zone: SmolStr, region: SmolStr) -> Self {
        Self {
            options,
            zone,
            region,
            targets: Arena::default(),
            ids: Map::default(),
            scopes: Map::default(),
            prefixes: prefix::Table::new(options.prefix),
        }
    }

    /// Adds a target or updates its facts; requests in flight and its load stay.
    pub fn upsert(&mut self, id: Id, facts: Attributes) -> Key<Target> {
        if let Some(key) = self.ids.get(&id).copied()
            && let Some(target) = self.targets.get_mut(key)
        {
            if target.facts.destination != facts.destination {
                let old =
                    std::mem::replace(&mut target.facts.destination, facts.destination.clone());
                self.unlist(&old, key);
                self.scopes.entry(facts.destination.clone(), Vec::new).push(key);
            }
            if let Some(target) = self.targets.get_mut(key) {
                target.facts = facts;
            }
            return key;
        }
        let scope = facts.destination.clone();
        let key = self.targets.insert(Target {
            id: id.clone(),
            facts,
            load: None,
            standing: Health::Healthy,
            flights: Vec::new(),
            pace: None,
        });
        self.ids.insert(id, key);
        self.scopes.entry(scope, Vec::new).push(key);
        key
    }

    /// Removes a target.
    pub fn remove(&mut self, key: Key<Target>) {
        if let Some(target) = self.targets.remove(key) {
            self.ids.remove(&target.id);
            self.unlist(&target.facts.destination, key);
        }
    }

    /// The key of a target.
    pub fn find(&self, id: &Id) -> Option<Key<Target>> {
        self.ids.get(id).copied()
    }

    /// A target.
    pub fn get(&self, key: Key<Target>) -> Option<&Target> {
        self.targets.get(key)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (Key<Target>, &Target)> {
        self.targets.iter()
    }

    /// Stores a load report unless a newer one is known.
    pub fn report_load(&mut self, key: Key<Target>, load: Load) {
        if let Some(target) = self.targets.get_mut(key)
            && target.load.is_none_or(|known| known.measured_at <= load.measured_at)
        {
            target.load = Some(load);
        }
    }

    /// Sets the standing that the ejection of stragglers decided.
    pub fn set_health(&mut self, key: Key<Target>, standing: Health) {
        if let Some(target) = self.targets.get_mut(key) {
            target.standing = standing;
        }
    }

    /// Applies a cache event that describes the target's cache at `at`.
    pub fn apply_cache_event(&mut self, key: Key<Target>, event: prefix::Event, at: Instant) {
        self.prefixes.apply(key, event, at);
    }

    /// Notes that events of the target's cache up to `at` are missing.
    pub fn forget_cache(&mut self, key: Key<Target>, at: Instant) {
        self.prefixes.forget(key, at);
    }

    /// Notes that a request was sent to a target, with the prefixes its cache will hold.
    pub fn start_request(
        &mut self,
        key: Key<Target>,
        request: u64,
        suspect: bool,
        prefixes: &[u64],
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let place = target.flights.partition_point(|flight| flight.at <= now);
        target.flights.insert(place, Flight { at: now, request, suspect });
        if target.standing == Health::Probe {
            // One probe at a time; the result decides the next standing.
            target.standing = Health::Ejected;
        }
        for hash in prefixes {
            self.prefixes.store(*hash, key, now);
        }
    }

    /// Notes that a request to a target ended. `served` tells that it was answered in full, so
    /// that its duration says how fast the target is.
    pub fn finish_request(&mut self, key: Key<Target>, request: u64, served: bool, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(place) = target.flights.iter().position(|flight| flight.request == request) else {
            return;
        };
        let flight = target.flights.remove(place);
        if served {
            let seconds = now.since(flight.at).as_secs_f64();
            target.pace = Some(target.pace.map_or(seconds, |pace| pace * 0.9 + seconds * 0.1));
        }
    }

    /// Whether a suspect is in flight at the target.
    pub fn runs_suspect(&self, key: Key<Target>) -> bool {
        self.targets
            .get(key)
            .is_some_and(|target| target.flights.iter().any(|flight| flight.suspect))
    }

    /// Chooses a target.
    pub fn choose<R>(
        &self,
        ask: &Criteria<'_>,
        now: Instant,
        random: &mut R,
    ) -> Result<Selection, Error>
    where
        R: Rng,
    {
        let candidates = self.candidates(ask)?;
        if ask.can_probe
            && !ask.suspect
            && let Some(key) = candidates.iter().copied().find(|key| self.probes(*key))
        {
            return Ok(Selection {
                target: key,
                wait: Duration::ZERO,
                cached_blocks: 0,
                is_probe: true,
            });
        }
        let normal: Vec<Key<Target>> = candidates
            .iter()
            .copied()
            .filter(|key| self.targets.get(*key).is_some_and(|t| t.standing == Health::Healthy))
            .collect();
        // With nothing else left, a slow target is better than none.
        let pool = if normal.is_empty() { candidates } else { normal };
        if let Some(target) = self.baseline(&pool, random) {
            return Ok(Selection {
                target,
                wait: Duration::ZERO,
                cached_blocks: 0,
                is_probe: false,
            });
        }
        let mean = self.mean(&pool, now);
        let matches = self.prefixes.matching_blocks(ask.prefixes, now);
        let mut chosen: Option<(f64, Selection)> = None;
        for tier in 0..3 {
            let near: Vec<Key<Target>> =
                pool.iter().copied().filter(|key| self.tier(*key) == tier).collect();
            let Some((score, outcome)) = self.best(&near, &matches, mean, now, random) else {
                continue;
            };
            // Each farther tier has to be better by the spill bound.
            let better = match &chosen {
                None => true,
                Some((other, _)) => score + self.options.spillover_margin.as_secs_f64() < *other,
            };
            if better {
                chosen = Some((score, outcome));
            }
        }
        chosen.map(|(_, outcome)| outcome).ok_or(Error::NoneAvailable)
    }

    /// The estimated wait at a target, without knowledge of others.
    pub fn estimated_wait(&self, key: Key<Target>, now: Instant) -> Option<Duration> {
        let target = self.targets.get(key)?;
        Some(Duration::from_secs_f64(self.estimate(target, 0.0, now)))
    }

    fn candidates(&self, ask: &Criteria<'_>) -> Result<Vec<Key<Target>>, Error> {
        let mut error = Error::NotServed;
        let mut found = Vec::new();
        for key in self.scopes.get(ask.destination).into_iter().flatten() {
            let Some(target) = self.targets.get(*key) else { continue };
            let adapted = ask.adapter.is_none_or(|adapter| {
                target.facts.adapters.iter().any(|known| known.as_str() == adapter)
            });
            // The error names the last obstacle that any target met.
            let obstacle = match () {
                _ if !adapted => Error::NotServed,
                _ if !target.facts.available || target.facts.leaving => Error::NoneAvailable,
                _ if ask.tried.contains(key) => Error::AllTried,
                _ if ask.suspect && target.flights.iter().any(|flight| flight.suspect) => {
                    Error::AllRunSuspects
                }
                _ => {
                    found.push(*key);
                    continue;
                }
            };
            error = error.max(obstacle);
        }
        if found.is_empty() { Err(error) } else { Ok(found) }
    }

    fn probes(&self, key: Key<Target>) -> bool {
        self.targets.get(key).is_some_and(|target| target.standing == Health::Probe)
    }

    fn tier(&self, key: Key<Target>) -> u8 {
        match self.targets.get(key) {
            Some(target) if target.facts.zone == self.zone => 0,
            Some(target) if target.facts.region == self.region => 1,
            _ => 2,
        }
    }

    /// The choice of a baseline, which does not regard zones.
    fn baseline<R>(&self, pool: &[Key<Target>], random: &mut R) -> Option<Key<Target>>
    where
        R: Rng,
    {
        match self.options.policy {
            Policy::EstimatedWait => None,
            _ if pool.is_empty() => None,
            Policy::Random => Some(pool[random.random_range(0..pool.len())]),
            Policy::LeastConnections => {
                // The random start breaks ties.
                let first = random.random_range(0..pool.len());
                let order = pool[first..].iter().chain(&pool[..first]).copied();
                order.min_by_key(|key| self.targets.get(*key).map_or(0, Target::in_flight))
            }
        }
    }

    /// The better of two random targets and of the one with the longest cached prefix.
    fn best<R>(
        &self,
        pool: &[Key<Target>],
        matches: &[(Key<Target>, usize)],
        mean: f64,
        now: Instant,
        random: &mut R,
    ) -> Option<(f64, Selection)>
    where
        R: Rng,
    {
        if pool.is_empty() {
            return None;
        }
        let first = random.random_range(0..pool.len());
        let mut second = random.random_range(0..pool.len().max(2) - 1);
        if second >= first {
            second += 1;
        }
        let cached = matches.iter().filter(|(key, _)| pool.contains(key));
        let cached = cached.max_by_key(|(_, blocks)| *blocks).map(|(key, _)| *key);
        let picks = [Some(pool[first]), pool.get(second).copied(), cached];
        let mut best: Option<(f64, Selection)> = None;
        for key in picks.into_iter().flatten() {
            let Some(target) = self.targets.get(key) else { continue };
            let cached_blocks =
                matches.iter().find(|(other, _)| *other == key).map_or(0, |(_, blocks)| *blocks);
            let wait = self.estimate(target, mean, now);
            // A cached prefix saves prefill, not waiting: behind a queue it is worth nothing, as
            // the request would wait longer than the prefill takes.
            let queued = wait > self.options.full_batch_cost.as_secs_f64();
            let bonus = match queued {
                true => 0.0,
                false => (self.options.prefill_per_block.as_secs_f64() * cached_blocks as f64)
                    .min(self.options.max_prefix_bonus.as_secs_f64()),
            };
            let score = wait - bonus;
            if best.as_ref().is_none_or(|(other, _)| score < *other) {
                let wait = Duration::from_secs_f64(wait);
                best =
                    Some((score, Selection { target: key, wait, cached_blocks, is_probe: false }));
            }
        }
        best
    }

    /// Mean occupancy of the candidates that have a load report within the trusted age.
    fn mean(&self, pool: &[Key<Target>], now: Instant) -> f64 {
        let (mut sum, mut count) = (0.0, 0u32);
        for target in pool.iter().filter_map(|key| self.targets.get(*key)) {
            if let Some(load) = target.load.filter(|load| self.trust(load, now) > 0.0) {
                sum += f64::from(load.queued + load.running) / f64::from(load.slots.max(1));
                count += 1;
            }
        }
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    fn trust(&self, load: &Load, now: Instant) -> f64 {
        let age = now.since(load.measured_at).as_secs_f64();
        (1.0 - age / self.options.load_decay.as_secs_f64().max(1e-6)).max(0.0)
    }

    /// Estimated wait in seconds. `mean` is the occupancy assumed where the report is not trusted.
    fn estimate(&self, target: &Target, mean: f64, now: Instant) -> f64 {
        let slots = f64::from(target.load.map_or(1, |load| load.slots).max(1));
        let (reported, trust, since) = match &target.load {
            Some(load) => {
                // Own requests sent before the measurement are part of the report.
                let known = target.flights.partition_point(|flight| flight.at <= load.measured_at);
                let reported = f64::from(load.queued) + f64::from(load.running);
                (reported, self.trust(load, now), target.flights.len() - known)
            }
            None => (0.0, 0.0, target.flights.len()),
        };
        let busy = trust * reported + (1.0 - trust) * mean * slots + since as f64;
        let pace = target.pace.unwrap_or(self.options.default_duration.as_secs_f64());
        let waiting = (busy - slots).max(0.0);
        let crowding = self.options.full_batch_cost.as_secs_f64() * (busy / slots).min(1.0);
        pace * waiting / slots + crowding
    }

    fn unlist(&mut self, scope: &Destination, key: Key<Target>) {
        let Some(keys) = self.scopes.get_mut(scope) else { return };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.scopes.remove(scope);
        }
    }
}
