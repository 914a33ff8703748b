//! Selection of the model group, or of the server of a plain service, that a request is sent to.

use std::fmt;
use std::time::Duration;

use mgw_base::arena::{Arena, Key};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use rand::Rng;
use smol_str::SmolStr;

use crate::prefix;

/// How a target is chosen among the available ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Lowest estimated wait, reduced by the prefill time that cached prefix blocks save.
    #[default]
    EstimatedWait,
    /// Uniformly at random; a baseline for measurements.
    Random,
    /// Fewest requests of this entry in flight; a baseline for measurements.
    LeastConnections,
}

/// Parameters of target selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How a target is chosen.
    pub policy: Policy,
    /// Age over which the weight of a load report falls linearly from one to zero. The missing
    /// weight goes to the mean occupancy of the candidates.
    pub load_decay: Duration,
    /// Assumed duration of a request at a target for which no duration was measured yet.
    pub default_duration: Duration,
    /// Additional wait in a full batch compared to an empty one, as larger batches generate more
    /// slowly.
    pub full_batch_cost: Duration,
    /// Prefill time that each cached prefix block saves.
    pub prefill_per_block: Duration,
    /// Upper bound of the prefill time that a cached prefix is assumed to save.
    pub max_prefix_bonus: Duration,
    /// A more distant zone is used if its wait is shorter by more than this.
    pub spillover_margin: Duration,
    /// Size and entry lifetime of the prefix table.
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

/// Identifier of a target, the same in all processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Id {
    /// Id of a model group.
    Group(u64),
    /// Name of a server of a plain service.
    Server(SmolStr),
}

/// The model or plain service that a request addresses and a target serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// Name of a model.
    Model(SmolStr),
    /// Name of a plain service.
    Service(SmolStr),
}

/// A load report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests in the batch.
    pub running: u32,
    /// Maximum number of requests in the batch; 0 is treated as 1.
    pub slots: u32,
    /// Time of the measurement: the time of receipt minus the age that the report states.
    pub measured_at: Instant,
}

/// The properties of a target that routing depends on. The entry updates them on its tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attributes {
    /// Model or service that the target serves.
    pub destination: Destination,
    /// Names of the loaded adapters, sorted.
    pub adapters: Vec<SmolStr>,
    /// Availability zone of the target.
    pub zone: SmolStr,
    /// Region of the target.
    pub region: SmolStr,
    /// Whether the group is servable, or the server is up.
    pub available: bool,
    /// Whether the target is leaving. It then receives no new requests.
    pub leaving: bool,
}

/// Health of a target as decided by outlier ejection; see [`crate::eject`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The target takes part in the selection.
    #[default]
    Healthy,
    /// The target is only used if no healthy one is left.
    Ejected,
    /// The next request that can serve as a probe is sent to the target.
    Probe,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    sent_at: Instant,
    request: u64,
    suspect: bool,
}

/// A model group or a server of a plain service.
#[derive(Clone, Debug)]
pub struct Target {
    id: Id,
    attributes: Attributes,
    load: Option<Load>,
    health: Health,
    /// Requests of this entry in flight at the target, ascending by start.
    requests: Vec<InFlight>,
    /// Smoothed duration of this entry's requests in seconds.
    mean_duration: Option<f64>,
}

impl Target {
    /// Returns the identifier of the target.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Returns the properties that were last set with [`Table::upsert`].
    pub fn attributes(&self) -> &Attributes {
        &self.attributes
    }

    /// Returns the number of this entry's requests in flight at the target.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }
}

/// The properties of a request that the selection of its target depends on.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Model or service that the request addresses.
    pub destination: &'a Destination,
    /// Adapter that the target must have loaded, if any.
    pub adapter: Option<&'a str>,
    /// Hashes of the prompt's first block, first two blocks and so on.
    pub prefixes: &'a [u64],
    /// Targets to which this request was already sent.
    pub tried: &'a [Key<Target>],
    /// Whether the request is suspected of crashing servers.
    pub suspect: bool,
    /// Whether the request may be sent to an ejected target as a probe, as it can be repeated at
    /// another target.
    pub can_probe: bool,
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection {
    /// Key of the target.
    pub target: Key<Target>,
    /// Estimated wait at the target.
    pub wait: Duration,
    /// Number of prefix blocks that the target is believed to hold in its cache.
    pub cached_blocks: usize,
    /// Whether the request is a probe of an ejected target.
    pub is_probe: bool,
}

/// The reason for which no target was chosen. The variants ascend by the number of requirements
/// that the best target met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Error {
    /// No target serves the model or service with the requested adapter.
    NotServed,
    /// Targets serve it, but none of them is available.
    NoneAvailable,
    /// The request was already sent to all available targets.
    AllTried,
    /// Another suspect is in flight at each available target that was not tried.
    AllRunSuspects,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::NotServed => "no target serves this model or service",
            Error::NoneAvailable => "no target is available",
            Error::AllTried => "all available targets were already tried",
            Error::AllRunSuspects => {
                "another suspected request is in flight at each available target"
            }
        })
    }
}

impl std::error::Error for Error {}

/// The targets known to an entry.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    zone: SmolStr,
    region: SmolStr,
    targets: Arena<Target>,
    ids: Map<Id, Key<Target>>,
    /// Targets by the destination that they serve.
    by_destination: Map<Destination, Vec<Key<Target>>>,
    prefixes: prefix::Table,
}

impl Table {
    /// Creates an empty table for an entry in `zone` of `region`.
    pub fn new(options: Options, zone: SmolStr, region: SmolStr) -> Self {
        Self {
            options,
            zone,
            region,
            targets: Arena::default(),
            ids: Map::default(),
            by_destination: Map::default(),
            prefixes: prefix::Table::new(options.prefix),
        }
    }

    /// Adds a target or updates its properties. Its load and its requests in flight are kept.
    pub fn upsert(&mut self, id: Id, attributes: Attributes) -> Key<Target> {
        if let Some(key) = self.ids.get(&id).copied()
            && let Some(target) = self.targets.get_mut(key)
        {
            if target.attributes.destination != attributes.destination {
                let old = std::mem::replace(
                    &mut target.attributes.destination,
                    attributes.destination.clone(),
                );
                self.remove_from_destination(&old, key);
                self.by_destination
                    .get_or_insert_with(attributes.destination.clone(), Vec::new)
                    .push(key);
            }
            if let Some(target) = self.targets.get_mut(key) {
                target.attributes = attributes;
            }
            return key;
        }
        let destination = attributes.destination.clone();
        let key = self.targets.insert(Target {
            id: id.clone(),
            attributes,
            load: None,
            health: Health::Healthy,
            requests: Vec::new(),
            mean_duration: None,
        });
        self.ids.insert(id, key);
        self.by_destination.get_or_insert_with(destination, Vec::new).push(key);
        key
    }

    /// Removes a target.
    pub fn remove(&mut self, key: Key<Target>) {
        if let Some(target) = self.targets.remove(key) {
            self.ids.remove(&target.id);
            self.remove_from_destination(&target.attributes.destination, key);
        }
    }

    /// Returns the key of the target with this identifier.
    pub fn find(&self, id: &Id) -> Option<Key<Target>> {
        self.ids.get(id).copied()
    }

    /// Returns a target.
    pub fn get(&self, key: Key<Target>) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns all targets.
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

    /// Sets the health that outlier ejection decided.
    pub fn set_health(&mut self, key: Key<Target>, health: Health) {
        if let Some(target) = self.targets.get_mut(key) {
            target.health = health;
        }
    }

    /// Applies a cache event of the target; `at` is the time of the cache state that it describes.
    pub fn apply_cache_event(&mut self, key: Key<Target>, event: prefix::Event, at: Instant) {
        self.prefixes.apply(key, event, at);
    }

    /// Discards what is known of the target's cache up to `at`, as cache events are missing.
    pub fn forget_cache(&mut self, key: Key<Target>, at: Instant) {
        self.prefixes.forget(key, at);
    }

    /// Records that a request was sent to a target. `prefixes` are the hashes of the prompt
    /// prefixes that the target's cache holds from then on.
    pub fn start_request(
        &mut self,
        key: Key<Target>,
        request: u64,
        suspect: bool,
        prefixes: &[u64],
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let place = target.requests.partition_point(|in_flight| in_flight.sent_at <= now);
        target.requests.insert(place, InFlight { sent_at: now, request, suspect });
        if target.health == Health::Probe {
            // Only one probe is sent; its result decides the next health.
            target.health = Health::Ejected;
        }
        for hash in prefixes {
            self.prefixes.store(*hash, key, now);
        }
    }

    /// Records that a request to a target ended. If it was answered in full (`served`), its
    /// duration is included in the target's mean.
    pub fn finish_request(&mut self, key: Key<Target>, request: u64, served: bool, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(place) = target.requests.iter().position(|in_flight| in_flight.request == request)
        else {
            return;
        };
        let in_flight = target.requests.remove(place);
        if served {
            let seconds = now.since(in_flight.sent_at).as_secs_f64();
            target.mean_duration =
                Some(target.mean_duration.map_or(seconds, |mean| mean * 0.9 + seconds * 0.1));
        }
    }

    /// Returns whether a suspect of this entry is in flight at the target.
    pub fn runs_suspect(&self, key: Key<Target>) -> bool {
        self.targets
            .get(key)
            .is_some_and(|target| target.requests.iter().any(|in_flight| in_flight.suspect))
    }

    /// Chooses a target.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub fn choose<R>(
        &self,
        criteria: &Criteria<'_>,
        now: Instant,
        random: &mut R,
    ) -> Result<Selection, Error>
    where
        R: Rng,
    {
        let candidates = self.candidates(criteria)?;
        if criteria.can_probe
            && !criteria.suspect
            && let Some(key) = candidates.iter().copied().find(|key| self.awaits_probe(*key))
        {
            return Ok(Selection {
                target: key,
                wait: Duration::ZERO,
                cached_blocks: 0,
                is_probe: true,
            });
        }
        let healthy: Vec<Key<Target>> = candidates
            .iter()
            .copied()
            .filter(|key| self.targets.get(*key).is_some_and(|t| t.health == Health::Healthy))
            .collect();
        // A slow target is better than none.
        let pool = if healthy.is_empty() { candidates } else { healthy };
        if let Some(target) = self.choose_baseline(&pool, random) {
            return Ok(Selection {
                target,
                wait: Duration::ZERO,
                cached_blocks: 0,
                is_probe: false,
            });
        }
        let mean_occupancy = self.mean_occupancy(&pool, now);
        let matches = self.prefixes.matching_blocks(criteria.prefixes, now);
        let mut chosen: Option<(f64, Selection)> = None;
        for zone_tier in 0..3 {
            let near: Vec<Key<Target>> =
                pool.iter().copied().filter(|key| self.zone_tier(*key) == zone_tier).collect();
            let Some((score, selection)) = self.best(&near, &matches, mean_occupancy, now, random)
            else {
                continue;
            };
            // A more distant tier must be better by the spillover margin.
            let better = match &chosen {
                None => true,
                Some((other, _)) => score + self.options.spillover_margin.as_secs_f64() < *other,
            };
            if better {
                chosen = Some((score, selection));
            }
        }
        chosen.map(|(_, selection)| selection).ok_or(Error::NoneAvailable)
    }

    /// Returns the estimated wait at a target, regardless of the load of other targets.
    pub fn estimated_wait(&self, key: Key<Target>, now: Instant) -> Option<Duration> {
        let target = self.targets.get(key)?;
        Some(Duration::from_secs_f64(self.estimate_wait(target, 0.0, now)))
    }

    fn candidates(&self, criteria: &Criteria<'_>) -> Result<Vec<Key<Target>>, Error> {
        let mut error = Error::NotServed;
        let mut found = Vec::new();
        for key in self.by_destination.get(criteria.destination).into_iter().flatten() {
            let Some(target) = self.targets.get(*key) else { continue };
            let has_adapter = criteria.adapter.is_none_or(|adapter| {
                target.attributes.adapters.iter().any(|known| known.as_str() == adapter)
            });
            // The error reported is that of the target that met the most requirements.
            let obstacle = match () {
                _ if !has_adapter => Error::NotServed,
                _ if !target.attributes.available || target.attributes.leaving => {
                    Error::NoneAvailable
                }
                _ if criteria.tried.contains(key) => Error::AllTried,
                _ if criteria.suspect
                    && target.requests.iter().any(|in_flight| in_flight.suspect) =>
                {
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

    fn awaits_probe(&self, key: Key<Target>) -> bool {
        self.targets.get(key).is_some_and(|target| target.health == Health::Probe)
    }

    fn zone_tier(&self, key: Key<Target>) -> u8 {
        match self.targets.get(key) {
            Some(target) if target.attributes.zone == self.zone => 0,
            Some(target) if target.attributes.region == self.region => 1,
            _ => 2,
        }
    }

    /// Chooses a target by one of the baseline policies, which ignore zones.
    fn choose_baseline<R>(&self, pool: &[Key<Target>], random: &mut R) -> Option<Key<Target>>
    where
        R: Rng,
    {
        match self.options.policy {
            Policy::EstimatedWait => None,
            _ if pool.is_empty() => None,
            Policy::Random => Some(pool[random.random_range(0..pool.len())]),
            Policy::LeastConnections => {
                // Starting at a random position breaks ties randomly.
                let first = random.random_range(0..pool.len());
                let order = pool[first..].iter().chain(&pool[..first]).copied();
                order.min_by_key(|key| self.targets.get(*key).map_or(0, Target::in_flight))
            }
        }
    }

    /// Returns the best of two random targets and the one with the longest cached prefix, with its
    /// score in seconds.
    fn best<R>(
        &self,
        pool: &[Key<Target>],
        matches: &[(Key<Target>, usize)],
        mean_occupancy: f64,
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
        let sampled = [Some(pool[first]), pool.get(second).copied(), cached];
        let mut best: Option<(f64, Selection)> = None;
        for key in sampled.into_iter().flatten() {
            let Some(target) = self.targets.get(key) else { continue };
            let cached_blocks =
                matches.iter().find(|(other, _)| *other == key).map_or(0, |(_, blocks)| *blocks);
            let wait = self.estimate_wait(target, mean_occupancy, now);
            // A cached prefix saves prefill time but no queueing time. It gets no bonus behind a
            // queue, where the request would wait longer than the prefill takes.
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

    /// Returns the mean occupancy, in requests per slot, of the candidates whose load report still
    /// has weight.
    fn mean_occupancy(&self, pool: &[Key<Target>], now: Instant) -> f64 {
        let (mut sum, mut count) = (0.0, 0u32);
        for target in pool.iter().filter_map(|key| self.targets.get(*key)) {
            if let Some(load) = target.load.filter(|load| self.load_weight(load, now) > 0.0) {
                sum += f64::from(load.queued + load.running) / f64::from(load.slots.max(1));
                count += 1;
            }
        }
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    fn load_weight(&self, load: &Load, now: Instant) -> f64 {
        let age = now.since(load.measured_at).as_secs_f64();
        (1.0 - age / self.options.load_decay.as_secs_f64().max(1e-6)).max(0.0)
    }

    /// Returns the estimated wait in seconds. `mean_occupancy` is assumed to the extent that the
    /// target's load report has lost its weight.
    fn estimate_wait(&self, target: &Target, mean_occupancy: f64, now: Instant) -> f64 {
        let slots = f64::from(target.load.map_or(1, |load| load.slots).max(1));
        let (reported, load_weight, sent_since) = match &target.load {
            Some(load) => {
                // Requests that this entry sent before the measurement are included in the report.
                let known = target
                    .requests
                    .partition_point(|in_flight| in_flight.sent_at <= load.measured_at);
                let reported = f64::from(load.queued) + f64::from(load.running);
                (reported, self.load_weight(load, now), target.requests.len() - known)
            }
            None => (0.0, 0.0, target.requests.len()),
        };
        let occupied = load_weight * reported
            + (1.0 - load_weight) * mean_occupancy * slots
            + sent_since as f64;
        let mean_duration =
            target.mean_duration.unwrap_or(self.options.default_duration.as_secs_f64());
        let waiting = (occupied - slots).max(0.0);
        let batch_cost = self.options.full_batch_cost.as_secs_f64() * (occupied / slots).min(1.0);
        mean_duration * waiting / slots + batch_cost
    }

    fn remove_from_destination(&mut self, destination: &Destination, key: Key<Target>) {
        let Some(keys) = self.by_destination.get_mut(destination) else { return };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.by_destination.remove(destination);
        }
    }
}
