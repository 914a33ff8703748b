//! Choice of the target of a request among the candidates.

use std::fmt;
use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use rand::Rng;

use super::{Destination, Health, Policy, Table, Target};

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

impl Table {
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
}
