//! Quarantine of requests that crash servers.
//!
//! A server crash is blamed on the requests that were in flight there. A blamed request becomes a
//! suspect, and a suspect that crashes another server is quarantined. An answer that began after a
//! crash refutes its blame, and what is quarantined is tried again; see [`crate::trial`].

use std::time::Duration;

use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;

use crate::trial::{self, AtRisk, Certainty, Seat};

/// Parameters of suspicion and quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time for which a request stays a suspect after the last crash that is blamed on it.
    pub suspect_duration: Duration,
    /// Time for which a request stays quarantined.
    pub quarantine_duration: Duration,
    /// Time within which crashes that two entries blame on different suspects may be the same
    /// crash. Such crashes do not quarantine either suspect.
    pub coincidence_window: Duration,
    /// Number of crashes as a suspect after which a request is quarantined even if each of them
    /// coincided with the crash of another suspect.
    ///
    /// With 2, a request crashes at most 3 servers: one before it is a suspect, and two that
    /// coincide with crashes blamed on innocent suspects of other entries. With 3, one request
    /// crashed 4 servers in a scenario.
    pub conclusive_crashes: usize,
    /// Time for which an answer is remembered. Meanwhile the request is not quarantined, as others of
    /// the same fingerprint are sound, and it is beside crashes by coincidence.
    pub answer_memory: Duration,
    /// When what is quarantined is tried again.
    pub trial: trial::Options,
    /// Number of crashes from which on a request that was never answered is sent by few entries,
    /// one at a time. It has used up its retries at that point if the crashes were chance.
    pub repeated_crashes: usize,
    /// Maximum number of fingerprints in the table.
    pub max_fingerprints: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            suspect_duration: Duration::from_secs(600),
            quarantine_duration: Duration::from_secs(600),
            coincidence_window: Duration::from_secs(3),
            conclusive_crashes: 2,
            answer_memory: Duration::from_secs(60),
            trial: trial::Options::default(),
            repeated_crashes: 3,
            max_fingerprints: 4_096,
        }
    }
}

/// Maximum number of blames, and of groups from the log, that are stored per fingerprint.
const MAX_BLAMES: usize = 8;

/// Number of fingerprints of which the latest answer is remembered. A newer one takes the place of
/// another one with the same remainder.
const ANSWER_SLOTS: usize = 4_096;

/// Minimum time after which a caller is told to come back for a trial that is due.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a caller is told to come back if another request of the fingerprint is under
/// way, or another entry sends them.
const REPEATED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the hash of a request. It is the same for retries of the request through any entry.
pub fn fingerprint(team: &str, model: &str, body: &[u8]) -> u128 {
    hash::parts(&[team.as_bytes(), model.as_bytes(), body])
}

/// Bit of [`Blame::counter`] which states that the observer had answered requests of the fingerprint
/// lately, so that the crash is weak evidence.
pub const ANSWERED_BIT: u64 = 1 << 60;

/// A server crash blamed on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Blame {
    /// Fingerprint of the request; see [`fingerprint`].
    pub fingerprint: u128,
    /// Incarnation of the entry that observed the crash.
    pub observer: u64,
    /// Twice the observer's crash number, plus 1 if the request ran as the only suspect, plus
    /// [`ANSWERED_BIT`] if others of its fingerprint were answered. The number ascends and identifies
    /// the crash; the bits are sent to peers without fields of their own.
    pub counter: u64,
}

impl Blame {
    /// Returns whether the request was the observer's only suspect at the crashed server.
    pub fn ran_as_suspect(&self) -> bool {
        self.counter & 1 == 1
    }
}

/// A request that was in flight at a server when the server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Whether it was sent as a suspect. This entry then sent no other suspect to the server.
    pub suspect: bool,
}

/// How a request must be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It is routed normally.
    Clear,
    /// It may only be sent to a server where no other suspect is in flight.
    Suspect,
    /// It is refused.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
}

/// Whether and how a request is sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is routed normally.
    Clear,
    /// It may only be sent to a server where no other suspect is in flight.
    Suspect,
    /// As [`Verdict::Suspect`], and it must not be sent to a second server after it has lost the
    /// first one.
    AtRisk,
    /// It is refused.
    Refused {
        /// Time after which another try may be worth it.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Evidence {
    observer: u64,
    /// See [`Blame::counter`].
    counter: u64,
    at: Instant,
    /// Whether another entry blamed another suspect for a crash at about the same time, which may
    /// have been the same crash.
    coincident: bool,
    /// Whether an answer that began later refutes it. It is kept so that a late copy is recognized.
    is_refuted: bool,
}

impl Evidence {
    /// Whether the request ran as the only suspect of the observer at the crashed server.
    fn ran_as_suspect(&self) -> bool {
        self.counter & 1 == 1
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// At most [`MAX_BLAMES`], each with a different pair of observer and counter.
    blames: Vec<Evidence>,
    /// Groups whose crash a log record blames on the request, with the time of the latest one. At
    /// most [`MAX_BLAMES`].
    groups: Vec<(u64, Instant)>,
    /// Time of the latest crash that is blamed on the request.
    last_crash: Instant,
}

impl Record {
    /// The number of blames that no answer refutes and that are more than chance.
    fn standing_blames(&self) -> usize {
        self.blames.iter().filter(|it| !it.is_refuted && it.counter & ANSWERED_BIT == 0).count()
    }
}

/// The crashes known to one entry, by the fingerprint of the blamed request.
///
/// All requests that are in flight at a server when it first crashes become suspects, so most
/// suspects are innocent. A request is quarantined after a crash at which it was the only suspect,
/// or after the log has blamed it for crashes of several groups.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    incarnation: u64,
    crashes: u64,
    records: Map<u128, Record>,
    /// Fingerprint and time of the latest answers, by the remainder of the fingerprint.
    answers: Vec<(u128, Instant)>,
    at_risk: AtRisk,
}

impl Table {
    /// Creates an empty table for the entry with this incarnation.
    pub fn new(options: Options, incarnation: u64) -> Self {
        Self {
            options,
            incarnation,
            crashes: 0,
            records: Map::default(),
            answers: Vec::new(),
            at_risk: AtRisk::default(),
        }
    }

    /// Returns how a request must be treated at `now`.
    pub fn check(&self, fingerprint: u128, now: Instant) -> Status {
        match self.records.get(&fingerprint) {
            Some(record) => self.status_of(fingerprint, record, now),
            None => Status::Clear,
        }
    }

    /// Decides whether a request is sent to a server at `now`. `seat` gives the place of this entry
    /// for a matter.
    pub fn admit<F>(&mut self, fingerprint: u128, now: Instant, seat: F) -> Verdict
    where
        F: Fn(u64) -> Seat,
    {
        let (options, matter) = (self.options.trial, fingerprint as u64);
        let (is_allowed, retry_after) = match self.check(fingerprint, now) {
            Status::Clear => return Verdict::Clear,
            Status::Suspect if !self.is_repeated(fingerprint, now) => return Verdict::Suspect,
            Status::Suspect => (options.allows_experiment(seat(matter)), REPEATED_RETRY_AFTER),
            Status::Quarantined { .. } => {
                let due = self.trial_due(fingerprint);
                let left = due.since(now).max(TRIAL_RETRY_AFTER);
                (options.allows_trial(seat(matter), due, now), left)
            }
        };
        if !is_allowed || self.at_risk.is_busy(matter, &options, now) {
            return Verdict::Refused { retry_after };
        }
        self.at_risk.begin(matter, &options, now);
        Verdict::AtRisk
    }

    /// Whether a request was at several crashes and never answered.
    fn is_repeated(&self, fingerprint: u128, now: Instant) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|it| {
            it.standing_blames() >= self.options.repeated_crashes
                && !self.is_known_sound(fingerprint, it, now)
        })
    }

    /// When a quarantined request is tried next.
    pub fn trial_due(&self, fingerprint: u128) -> Instant {
        let blames = self.records.get(&fingerprint).map_or(&[][..], |record| &record.blames);
        let standing = || blames.iter().filter(|it| !it.is_refuted && it.ran_as_suspect());
        let last = standing().map(|it| it.at).max().unwrap_or_default();
        // The first of them led to the quarantine.
        let failed = standing().count().saturating_sub(1);
        self.options.trial.due(Certainty::Open, last, failed)
    }

    /// Records that a server began to answer a request at `began`, here and by `now`. Returns the
    /// blames that this refutes and that limit the request at the peers, to be sent to these.
    pub fn record_answer(&mut self, fingerprint: u128, began: Instant, now: Instant) -> Vec<Blame> {
        self.remember_answer(fingerprint, now);
        let Some(record) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        record.groups.retain(|(_, at)| *at >= began);
        let is_repeated = record.standing_blames() >= self.options.repeated_crashes;
        let earlier = record.blames.iter_mut().filter(|it| !it.is_refuted && it.at < began);
        let refuted = earlier.map(|it| {
            it.is_refuted = true;
            Blame { fingerprint, observer: it.observer, counter: it.counter }
        });
        refuted.filter(|it| is_repeated || it.ran_as_suspect()).collect()
    }

    /// Applies the refutation of a blame by a peer, which may come before the blame itself.
    pub fn refute(&mut self, blame: Blame, now: Instant) {
        self.remember_answer(blame.fingerprint, now);
        self.merge(blame, now, now);
        let Some(record) = self.records.get_mut(&blame.fingerprint) else { return };
        let same =
            |it: &&mut Evidence| (it.observer, it.counter) == (blame.observer, blame.counter);
        record.blames.iter_mut().filter(same).for_each(|it| it.is_refuted = true);
    }

    fn remember_answer(&mut self, fingerprint: u128, now: Instant) {
        if self.answers.is_empty() {
            self.answers.resize(ANSWER_SLOTS, (0, Instant::default()));
        }
        self.answers[answer_slot(fingerprint)] = (fingerprint, now);
    }

    /// Whether a request with this fingerprint was answered lately.
    fn was_answered(&self, fingerprint: u128, now: Instant) -> bool {
        self.answers.get(answer_slot(fingerprint)).is_some_and(|(known, at)| {
            *known == fingerprint && now.since(*at) < self.options.answer_memory
        })
    }

    /// Whether a request with this fingerprint was answered lately, here or by an entry that blames a
    /// crash on it all the same.
    fn is_known_sound(&self, fingerprint: u128, record: &Record, now: Instant) -> bool {
        let states_answer = |it: &Evidence| {
            it.counter & ANSWERED_BIT != 0 && now.since(it.at) < self.options.answer_memory
        };
        self.was_answered(fingerprint, now) || record.blames.iter().any(states_answer)
    }

    /// Blames a server crash on the requests that this entry had in flight there. Returns the
    /// blames to be sent to the peers.
    ///
    /// If exactly one of the requests was sent as a suspect, only it is blamed. Otherwise those are
    /// blamed that were not sent as suspects, but not one that was answered lately and is suspected
    /// already. Being in flight at two crashes among other requests does not show which request
    /// caused them, so such blames quarantine none.
    pub fn observe_crash(&mut self, requests: &[InFlight], now: Instant) -> Vec<Blame> {
        self.crashes += 1;
        let (observer, base_counter) = (self.incarnation, self.crashes * 2);
        let mut suspects: Vec<u128> = requests
            .iter()
            .filter(|request| request.suspect)
            .map(|request| request.fingerprint)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        let blames: Vec<Blame> = match suspects.as_slice() {
            [fingerprint] => {
                // If others of this fingerprint were answered, it does not count as a suspect.
                let record = self.records.get(fingerprint);
                let is_sound = record.is_some_and(|it| self.is_known_sound(*fingerprint, it, now));
                // Only what this entry has answered itself is told, or entries would go on telling
                // each other what nobody has answered any more.
                let kind_bit = match self.was_answered(*fingerprint, now) {
                    true => ANSWERED_BIT,
                    false => u64::from(!is_sound),
                };
                vec![Blame {
                    fingerprint: *fingerprint,
                    observer,
                    counter: base_counter | kind_bit,
                }]
            }
            _ => {
                let mut unsuspected: Vec<u128> = requests
                    .iter()
                    .map(|request| request.fingerprint)
                    .filter(|it| suspects.binary_search(it).is_err())
                    .collect();
                unsuspected.sort_unstable();
                unsuspected.dedup();
                let blame = |fingerprint| {
                    let is_clear = self.check(fingerprint, now) == Status::Clear;
                    let answered_bit = match self.was_answered(fingerprint, now) {
                        true if !is_clear => return None,
                        true => ANSWERED_BIT,
                        false => 0,
                    };
                    Some(Blame { fingerprint, observer, counter: base_counter | answered_bit })
                };
                unsuspected.into_iter().filter_map(blame).collect()
            }
        };
        for blame in &blames {
            self.merge(*blame, now, now);
        }
        blames
    }

    /// Adds a blame by a peer or by this entry. A blame that is already known is ignored.
    ///
    /// `at` is the time at which the crash became known. A blame older than
    /// both [`Options::suspect_duration`] and [`Options::quarantine_duration`] is ignored.
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
        let coincident = blame.ran_as_suspect() && self.mark_coincident(&blame, at);
        let Some(record) = self.record_mut(blame.fingerprint, at, now) else { return };
        if record.blames.len() >= MAX_BLAMES {
            // Only blames of a request that was not a suspect are replaced, as those of a suspect
            // are stronger evidence.
            let Some(position) = record.blames.iter().position(|known| known.counter & 1 == 0)
            else {
                return;
            };
            record.blames.remove(position);
        }
        let Blame { observer, counter, .. } = blame;
        record.blames.push(Evidence { observer, counter, at, coincident, is_refuted: false });
    }

    /// Adds a `Crash` record of the log. Records that name the same group count as one crash, as
    /// several entries may have observed it.
    pub fn merge_log_record(&mut self, fingerprint: u128, group: u64, at: Instant, now: Instant) {
        if now.since(at) >= self.options.suspect_duration.max(self.options.quarantine_duration) {
            return;
        }
        let Some(record) = self.record_mut(fingerprint, at, now) else { return };
        match record.groups.iter().position(|(known, _)| *known == group) {
            Some(position) => record.groups[position].1 = at.max(record.groups[position].1),
            None if record.groups.len() < MAX_BLAMES => record.groups.push((group, at)),
            None => {}
        }
    }

    /// Removes fingerprints whose request has been clear again for some time.
    pub fn tick(&mut self, now: Instant) {
        let span = self.options.suspect_duration.max(self.options.quarantine_duration);
        // Fingerprints are kept for twice the span so that a late copy of a known blame is still
        // recognized.
        self.records.retain(|_, record| now.since(record.last_crash) < span * 2);
    }

    /// Returns the number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn status_of(&self, fingerprint: u128, record: &Record, now: Instant) -> Status {
        let (suspect, quarantine) =
            (self.options.suspect_duration, self.options.quarantine_duration);
        let standing: Vec<&Evidence> = record.blames.iter().filter(|it| !it.is_refuted).collect();
        let is_recent = |at: Instant| now.since(at) < quarantine;
        let as_suspect: Vec<&Evidence> = standing
            .iter()
            .copied()
            .filter(|evidence| is_recent(evidence.at) && evidence.ran_as_suspect())
            .collect();
        let not_coincident = as_suspect
            .iter()
            .filter(|evidence| !evidence.coincident)
            .map(|evidence| evidence.at)
            .max();
        let repeated = if as_suspect.len() >= self.options.conclusive_crashes {
            as_suspect.iter().map(|evidence| evidence.at).max()
        } else {
            None
        };
        let groups: Vec<Instant> =
            record.groups.iter().map(|(_, at)| *at).filter(|at| is_recent(*at)).collect();
        // A log record does not say whether the request ran as a suspect. Crashes of two groups
        // within the coincidence window may both have happened before any entry suspected it.
        let first = groups.iter().min().copied();
        let from_log = groups.iter().max().copied().filter(|last| {
            first.is_some_and(|first| last.since(first) > self.options.coincidence_window)
        });
        let blamed = standing.iter().map(|evidence| evidence.at);
        let last_crash = blamed.chain(record.groups.iter().map(|(_, at)| *at)).max();
        let conclusive = not_coincident.max(repeated).max(from_log);
        match conclusive.filter(|_| !self.is_known_sound(fingerprint, record, now)) {
            Some(at) => Status::Quarantined { until: at + quarantine },
            None if last_crash.is_some_and(|at| now.since(at) < suspect) => Status::Suspect,
            None => Status::Clear,
        }
    }

    /// Finds blames of other suspects by other entries within the coincidence window, marks them as
    /// coincident and returns whether there are any.
    ///
    /// An entry sends at most one suspect at a time to a group, but two entries may send different
    /// suspects to the same group.
    fn mark_coincident(&mut self, blame: &Blame, at: Instant) -> bool {
        let window = self.options.coincidence_window;
        let mut found = false;
        for (fingerprint, record) in self.records.iter_mut() {
            if *fingerprint == blame.fingerprint {
                continue;
            }
            for evidence in &mut record.blames {
                let is_close = at.since(evidence.at).max(evidence.at.since(at)) <= window;
                if is_close && evidence.counter & 1 == 1 && evidence.observer != blame.observer {
                    evidence.coincident = true;
                    found = true;
                }
            }
        }
        found
    }

    fn record_mut(&mut self, fingerprint: u128, at: Instant, now: Instant) -> Option<&mut Record> {
        if self.records.get(&fingerprint).is_none()
            && self.records.len() >= self.options.max_fingerprints
        {
            // The request whose last crash is the oldest is removed, but never a quarantined one.
            let oldest = self
                .records
                .iter()
                .filter(|(fingerprint, record)| {
                    !matches!(
                        self.status_of(**fingerprint, record, now),
                        Status::Quarantined { .. }
                    )
                })
                .min_by_key(|(_, record)| record.last_crash)
                .map(|(fingerprint, _)| *fingerprint)?;
            self.records.remove(&oldest);
        }
        let record = self.records.get_or_insert_with(fingerprint, Record::default);
        record.last_crash = record.last_crash.max(at);
        Some(record)
    }
}

/// Where the answer to a request with this fingerprint is remembered.
fn answer_slot(fingerprint: u128) -> usize {
    (fingerprint % ANSWER_SLOTS as u128) as usize
}
