//! Requests that crash servers: blame, suspicion and quarantine.

use std::time::Duration;

use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;

/// Parameters of blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a request stays suspected.
    pub suspect_duration: Duration,
    /// How long a request stays quarantined.
    pub quarantine_duration: Duration,
    /// Crashes of two suspects within this time that may be the same crash, seen by two entries,
    /// quarantine neither.
    pub coincidence_window: Duration,
    /// Crashes as a suspect after which a request is quarantined even if each of them coincided
    /// with the crash of another suspect. With 2, a request crashes at most 3 servers: one
    /// unsuspected, and two together with innocent suspects of other entries. With 3, one request
    /// crashed 4 servers in a scenario.
    pub conclusive_crashes: usize,
    /// The largest number of fingerprints.
    pub max_fingerprints: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            suspect_duration: Duration::from_secs(600),
            quarantine_duration: Duration::from_secs(600),
            coincidence_window: Duration::from_secs(3),
            conclusive_crashes: 2,
            max_fingerprints: 4_096,
        }
    }
}

/// The largest number of blames that are stored of one fingerprint.
const BLAMES: usize = 8;

/// Hash of a request, equal for its retries through any entry.
pub fn fingerprint(team: &str, model: &str, body: &[u8]) -> u128 {
    hash::parts(&[team.as_bytes(), model.as_bytes(), body])
}

/// A server crash blamed on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Blame {
    /// The request's fingerprint.
    pub fingerprint: u128,
    /// The entry incarnation that saw the crash.
    pub observer: u64,
    /// Twice the observer's crash number, plus 1 if the request ran as the only suspect. It
    /// ascends and tells crashes apart, and the low bit reaches the peers without another field.
    pub counter: u64,
}

impl Blame {
    /// Whether the request ran as the only suspect of its observer.
    pub fn ran_as_suspect(&self) -> bool {
        self.counter & 1 == 1
    }
}

/// A request that was in flight at a server when the server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Its fingerprint.
    pub fingerprint: u128,
    /// Whether it was sent as a suspect, so that no other suspect was sent there by this entry.
    pub suspect: bool,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Like any other.
    Clear,
    /// Runs only where no other suspect runs.
    Suspect,
    /// Refused until this instant.
    Quarantined {
        /// The end of the quarantine.
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct Evidence {
    observer: u64,
    /// From [`Blame::counter`].
    counter: u64,
    at: Instant,
    /// The crash may be the one that another entry blames on another suspect.
    coincident: bool,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// At most [`BLAMES`]; each pair of observer and counter at most once.
    blames: Vec<Evidence>,
    /// Groups whose crash a log record blames on the request, with the time; at most [`BLAMES`].
    groups: Vec<(u64, Instant)>,
    last: Instant,
}

/// Blame known to one entry.
///
/// All requests in flight at a first crash become suspects, so most suspects are innocent. A
/// request is quarantined only after a crash in which it was sent as the only suspect.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    incarnation: u64,
    crashes: u64,
    records: Map<u128, Record>,
}

impl Table {
    /// An empty table of an entry with this incarnation.
    pub fn new(options: Options, incarnation: u64) -> Self {
        Self { options, incarnation, crashes: 0, records: Map::default() }
    }

    /// How a request is treated at `now`.
    pub fn check(&self, fingerprint: u128, now: Instant) -> Status {
        match self.records.get(&fingerprint) {
            Some(record) => self.judge(record, now),
            None => Status::Clear,
        }
    }

    /// Blames a crash on the requests that this entry had in flight there, and returns the blame
    /// to be propagated.
    ///
    /// With exactly one request that was sent as a suspect, that request is blamed. Otherwise all
    /// are, but no request a second time: two crashes among many others prove nothing.
    pub fn observe_crash(&mut self, flights: &[InFlight], now: Instant) -> Vec<Blame> {
        self.crashes += 1;
        let (observer, number) = (self.incarnation, self.crashes * 2);
        let mut suspects: Vec<u128> = flights
            .iter()
            .filter(|flight| flight.suspect)
            .map(|flight| flight.fingerprint)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        let blames: Vec<Blame> = match suspects.as_slice() {
            [fingerprint] => {
                vec![Blame { fingerprint: *fingerprint, observer, counter: number + 1 }]
            }
            _ => {
                let mut all: Vec<u128> = flights.iter().map(|flight| flight.fingerprint).collect();
                all.sort_unstable();
                all.dedup();
                all.retain(|fingerprint| self.check(*fingerprint, now) == Status::Clear);
                let blame = |fingerprint| Blame { fingerprint, observer, counter: number };
                all.into_iter().map(blame).collect()
            }
        };
        for blame in &blames {
            self.merge(*blame, now, now);
        }
        blames
    }

    /// Adds a blame of a peer or of this entry. A blame that is known changes nothing.
    ///
    /// `at` is when the crash was learned of; a blame that is too old to matter is ignored.
    pub fn merge(&mut self, blame: Blame, at: Instant, now: Instant) {
        if now.since(at) >= self.options.suspect_duration.max(self.options.quarantine_duration) {
            return;
        }
        let known = self.records.get(&blame.fingerprint).is_some_and(|record| {
            let same = |evidence: &Evidence| {
                (evidence.observer, evidence.counter) == (blame.observer, blame.counter)
            };
            record.blames.iter().any(same)
        });
        if known {
            return;
        }
        let coincident = blame.ran_as_suspect() && self.coincide(&blame, at);
        let Some(record) = self.record(blame.fingerprint, at, now) else { return };
        if record.blames.len() >= BLAMES {
            // Blames as a suspect weigh more and are kept.
            let Some(place) = record.blames.iter().position(|known| known.counter & 1 == 0) else {
                return;
            };
            record.blames.remove(place);
        }
        let Blame { observer, counter, .. } = blame;
        record.blames.push(Evidence { observer, counter, at, coincident });
    }

    /// Adds a `Crash` record of the log. Records that name the same group count once, as several
    /// entries may have seen the same crash.
    pub fn merge_log_record(&mut self, fingerprint: u128, group: u64, at: Instant, now: Instant) {
        if now.since(at) >= self.options.suspect_duration.max(self.options.quarantine_duration) {
            return;
        }
        let Some(record) = self.record(fingerprint, at, now) else { return };
        match record.groups.iter().position(|(known, _)| *known == group) {
            Some(place) => record.groups[place].1 = at.max(record.groups[place].1),
            None if record.groups.len() < BLAMES => record.groups.push((group, at)),
            None => {}
        }
    }

    /// Forgets fingerprints that are clear again.
    pub fn tick(&mut self, now: Instant) {
        let span = self.options.suspect_duration.max(self.options.quarantine_duration);
        // Kept for twice the span, so that a late copy of a known blame is still recognized.
        self.records.retain(|_, record| now.since(record.last) < span * 2);
    }

    /// The number of fingerprints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn judge(&self, record: &Record, now: Instant) -> Status {
        let (suspect, quarantine) =
            (self.options.suspect_duration, self.options.quarantine_duration);
        let recent = |span: Duration| move |evidence: &&Evidence| now.since(evidence.at) < span;
        let proofs: Vec<&Evidence> = record
            .blames
            .iter()
            .filter(recent(quarantine))
            .filter(|evidence| evidence.counter & 1 == 1)
            .collect();
        let alone = proofs.iter().filter(|proof| !proof.coincident).map(|proof| proof.at).max();
        let often = if proofs.len() >= self.options.conclusive_crashes {
            proofs.iter().map(|proof| proof.at).max()
        } else {
            None
        };
        let groups: Vec<Instant> = record
            .groups
            .iter()
            .map(|(_, at)| *at)
            .filter(|at| now.since(*at) < quarantine)
            .collect();
        // A log record does not tell whether the request ran as a suspect. Crashes of two groups
        // in quick succession may both have happened before anyone suspected it.
        let first = groups.iter().min().copied();
        let logged = groups.iter().max().copied().filter(|last| {
            first.is_some_and(|first| last.since(first) > self.options.coincidence_window)
        });
        match alone.max(often).max(logged) {
            Some(at) => Status::Quarantined { until: at + quarantine },
            None if now.since(record.last) < suspect => Status::Suspect,
            None => Status::Clear,
        }
    }

    /// Finds blames of other suspects by other entries at about the same time, marks them as
    /// coincident and returns whether there are any. Each entry keeps suspects apart at a group,
    /// but two entries may send different suspects to the same group.
    fn coincide(&mut self, blame: &Blame, at: Instant) -> bool {
        let window = self.options.coincidence_window;
        let mut found = false;
        for (fingerprint, record) in self.records.iter_mut() {
            if *fingerprint == blame.fingerprint {
                continue;
            }
            for evidence in &mut record.blames {
                let near = at.since(evidence.at).max(evidence.at.since(at)) <= window;
                if near && evidence.counter & 1 == 1 && evidence.observer != blame.observer {
                    evidence.coincident = true;
                    found = true;
                }
            }
        }
        found
    }

    fn record(&mut self, fingerprint: u128, at: Instant, now: Instant) -> Option<&mut Record> {
        if self.records.get(&fingerprint).is_none()
            && self.records.len() >= self.options.max_fingerprints
        {
            // The oldest suspect makes room; a quarantined request stays.
            let victim = self
                .records
                .iter()
                .filter(|(_, record)| {
                    !matches!(self.judge(record, now), Status::Quarantined { .. })
                })
                .min_by_key(|(_, record)| record.last)
                .map(|(fingerprint, _)| *fingerprint)?;
            self.records.remove(&victim);
        }
        let record = self.records.entry(fingerprint, Record::default);
        record.last = record.last.max(at);
        Some(record)
    }
}
