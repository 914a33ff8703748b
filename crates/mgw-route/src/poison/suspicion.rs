//! What follows from the evidence: which parts are quarantined, and which are only limited.

use std::time::Duration;

use mgw_base::hash;
use mgw_base::time::Instant;

use super::record::{Crash, Record};
use super::{Evidence, Options, Part, Table};
use crate::trial::Certainty;

/// Parts that were at the same crashes. One of them, or all of them together, cause these.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// Sorted; never empty.
    pub(super) parts: Vec<Part>,
    pub(super) since: Instant,
}

impl Suspicion {
    /// Hash by which entries rank themselves for trials.
    pub(super) fn matter(&self) -> u64 {
        let ids: Vec<u8> = self.parts.iter().flat_map(|part| part.0.to_le_bytes()).collect();
        hash::parts(&[&ids]) as u64
    }

    pub(super) fn certainty(&self) -> Certainty {
        match self.parts.len() {
            1 => Certainty::Settled,
            _ => Certainty::Open,
        }
    }

    /// Whether a request with `parts` has all of these.
    pub(super) fn covers(&self, parts: &[Part]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    /// Whether a request with `parts` has any of these.
    pub(super) fn touches(&self, parts: &[Part]) -> bool {
        self.parts.iter().any(|part| parts.contains(part))
    }
}

/// A part with the servers whose crashes nothing else explains.
struct Candidate {
    part: Part,
    /// The crashes with the request, the server and the time.
    crashes: Vec<Crash>,
    was_served: bool,
    is_told: bool,
    /// Whether some of its crashes are explained by another part, and all together would be
    /// conclusive.
    is_suspected: bool,
}

impl Candidate {
    /// The crashed servers, sorted.
    fn servers(&self) -> Vec<u64> {
        sorted_distinct(self.crashes.iter().map(|crash| crash.evidence.server))
    }

    fn is_conclusive(&self, options: &Options) -> bool {
        let servers = self.servers().len();
        if self.is_told && servers > 0 {
            return true;
        }
        if self.is_suspected && !self.was_served && servers >= options.min_servers_if_suspected {
            return true;
        }
        let requests = sorted_distinct(self.crashes.iter().map(|it| it.evidence.request)).len();
        let min_requests =
            if self.was_served { options.min_requests_if_served } else { options.min_requests };
        let first = self.crashes.iter().map(|it| it.at).min();
        let last = self.crashes.iter().map(|it| it.at).max();
        let span = first.zip(last).map_or(Duration::ZERO, |(first, last)| last.since(first));
        servers >= options.min_servers && requests >= min_requests && span >= options.min_span
    }
}

impl Table {
    /// The parts with conclusive evidence. The crashes that one explains are no evidence against
    /// others; the first one is that which was never answered lately and was at most servers. Parts
    /// at the same servers cannot be told apart.
    pub(super) fn find_suspicions(&self, now: Instant) -> Vec<Suspicion> {
        let mut candidates: Vec<Candidate> = self
            .records
            .iter()
            .map(|(part, record)| Candidate {
                part: *part,
                crashes: self.counted(record, now),
                was_served: self.served.get(part).is_some(),
                is_told: record.is_told,
                is_suspected: false,
            })
            .filter(|it| it.is_conclusive(&self.options))
            .collect();
        let mut found = Vec::new();
        loop {
            let conclusive = candidates.iter().filter(|it| it.is_conclusive(&self.options));
            let rank = |it: &&Candidate| (!it.was_served, it.servers().len());
            let Some(first) = conclusive.clone().max_by_key(rank) else { return found };
            let servers = first.servers();
            let tied = conclusive
                .filter(|it| it.was_served == first.was_served && it.servers() == servers)
                .map(|it| it.part)
                .collect();
            found.push(Suspicion { parts: tied, since: now });
            for candidate in &mut candidates {
                let is_left = |it: &Crash| servers.binary_search(&it.evidence.server).is_err();
                candidate.crashes.retain(is_left);
                candidate.is_suspected = true;
            }
        }
    }

    /// The parts that were at as many crashes as convict one and were not answered lately, but whose
    /// crashes another part explains, or came together.
    pub(super) fn find_unproven(&self, now: Instant) -> Vec<Part> {
        let is_unproven = |part: &Part, record: &Record| {
            let crashes = self.counted(record, now);
            let distinct = |key: fn(&Evidence) -> u64| {
                sorted_distinct(crashes.iter().map(|crash| key(&crash.evidence))).len()
            };
            distinct(|it| it.server) >= self.options.min_servers
                && distinct(|it| it.request) >= self.options.min_requests
                && self.served.get(part).is_none()
                && !self.is_suspected(part)
        };
        let unproven = self.records.iter().filter(|(part, record)| is_unproven(part, record));
        unproven.map(|(part, _)| *part).collect()
    }

    /// The crashes of a part that count at `now`.
    fn counted(&self, record: &Record, now: Instant) -> Vec<Crash> {
        let is_recent = |it: &&Crash| now.since(it.at) < self.options.quarantine_duration;
        record.uncleared().filter(is_recent).copied().collect()
    }
}

/// The values without duplicates, sorted.
pub(super) fn sorted_distinct<I>(values: I) -> Vec<u64>
where
    I: Iterator<Item = u64>,
{
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values.dedup();
    values
}
