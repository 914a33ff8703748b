//! The replicated state machine. Applying the same prefix of the log always gives the same state.

use mgw_base::sorted::Map;
use mgw_base::table::Table;
use mgw_sheet::sheet::Sheet;
use smol_str::SmolStr;

pub use crate::entity::{
    Assignment, Config, CrashCount, Custody, Entry, Group, Instance, MemberSlot, Term,
};
pub use crate::outcome::{Cause, Change, Outcome};

use crate::claim;
use crate::record::{Envelope, Incarnation, Mark, Offset};

/// Limits of the state. All processes of a deployment must use the same values, or their states
/// diverge.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Parses a sheet; returns `None` if the sheet is invalid.
    pub parse: fn(&str) -> Option<Sheet>,
    /// Time after which a claim expires, in milliseconds of log time.
    pub claim_window_ms: u64,
    /// Maximum number of active claims.
    pub claim_limit: usize,
    /// Time for which a crash counts and a quarantine lasts, in milliseconds of log time.
    pub quarantine_ms: u64,
    /// Number of crashes that puts a fingerprint into quarantine.
    pub quarantine_count: u32,
    /// Maximum number of fingerprints with crashes that are stored.
    pub crash_limit: usize,
    /// Time for which a dead incarnation is stored, in milliseconds of log time. It must exceed the
    /// delay of any append, so that a late `Join` cannot bring the incarnation back to life.
    pub entry_retention_ms: u64,
}

impl Options {
    /// Returns the default limits with the given parser.
    pub fn new(parse: fn(&str) -> Option<Sheet>) -> Self {
        const HOUR_MS: u64 = 3_600_000;
        Self {
            parse,
            claim_window_ms: 24 * HOUR_MS,
            claim_limit: 200_000,
            quarantine_ms: 600_000,
            quarantine_count: 2,
            crash_limit: 100_000,
            entry_retention_ms: 7 * 24 * HOUR_MS,
        }
    }
}

/// The replicated state after a prefix of the log.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) options: Options,
    /// Offset after the last applied record.
    pub(crate) applied: Offset,
    /// Highest log time of the applied records, in milliseconds.
    pub(crate) log_ms: u64,
    /// Offset after the last record that changed an input of the planner.
    pub(crate) planning_revision: Offset,
    pub(crate) config: Config,
    /// Identifiers and versions of the recent publications, oldest first.
    pub(crate) publications: Vec<(SmolStr, Offset)>,
    pub(crate) term: Term,
    pub(crate) entries: Map<Incarnation, Entry>,
    /// Operators' marks on entries by address. `Clear` is never stored.
    pub(crate) entry_marks: Map<SmolStr, Mark>,
    pub(crate) instances: Table<Instance>,
    pub(crate) groups: Map<Offset, Group>,
    pub(crate) claims: claim::Table,
    pub(crate) crashes: Map<u128, CrashCount>,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        crate::snapshot::dump(self) == crate::snapshot::dump(other)
    }
}

impl State {
    /// Creates the state before the first record.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            applied: 0,
            log_ms: 0,
            planning_revision: 0,
            config: Config::default(),
            publications: Vec::new(),
            term: Term::default(),
            entries: Map::default(),
            entry_marks: Map::default(),
            instances: Table::default(),
            groups: Map::default(),
            claims: claim::Table::default(),
            crashes: Map::default(),
        }
    }

    /// Returns the offset after the last applied record: all records below it are applied.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Returns the highest log time of the applied records, in milliseconds.
    pub fn log_ms(&self) -> u64 {
        self.log_ms
    }

    /// Returns a revision that increases whenever configuration, term, entries, marks, groups,
    /// assignments or custody change.
    pub fn planning_revision(&self) -> Offset {
        self.planning_revision
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the sheet in force, or `None` before the first publication.
    pub fn sheet(&self) -> Option<&Sheet> {
        self.config.sheet.as_deref()
    }

    /// Returns the current term and its planner.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the configuration version that a publication created, if it is among the recent
    /// ones.
    pub fn published_version(&self, publication: &str) -> Option<Offset> {
        let found = self.publications.iter().find(|(id, _)| id == publication)?;
        Some(found.1)
    }

    /// Returns the identifier of the publication that created a version, if it is among the recent
    /// ones.
    pub fn publication_id(&self, version: Offset) -> Option<&SmolStr> {
        let found = self.publications.iter().find(|(_, created)| *created == version)?;
        Some(&found.0)
    }

    /// Iterates over the entry incarnations, living and dead, in order of incarnation.
    pub fn entries(&self) -> impl Iterator<Item = (Incarnation, &Entry)> {
        self.entries.iter().map(|(incarnation, entry)| (*incarnation, entry))
    }

    /// Returns an entry incarnation.
    pub fn entry(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.entries.get(&incarnation)
    }

    /// Whether an incarnation is known and proven dead.
    pub fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.entries.get(&incarnation).is_some_and(|entry| entry.dead_ms.is_some())
    }

    /// Returns the operator's mark on the entry with an address.
    pub fn entry_mark(&self, address: &str) -> Mark {
        self.entry_marks.get(&SmolStr::new(address)).copied().unwrap_or(Mark::Clear)
    }

    /// Iterates over the instances that the log names, in order of name.
    pub fn instances(&self) -> impl Iterator<Item = (&SmolStr, &Instance)> {
        self.instances.iter()
    }

    /// Returns an instance that the log names.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.by_name(name)
    }

    /// Iterates over the groups in order of id.
    pub fn groups(&self) -> impl Iterator<Item = (Offset, &Group)> {
        self.groups.iter().map(|(id, group)| (*id, group))
    }

    /// Returns a group by id.
    pub fn group(&self, id: Offset) -> Option<&Group> {
        self.groups.get(&id)
    }

    /// Returns the booking claims.
    pub fn claims(&self) -> &claim::Table {
        &self.claims
    }

    /// Returns the number of crashes that count against a fingerprint at log time `now_ms`.
    pub fn crashes(&self, fingerprint: u128, now_ms: u64) -> u32 {
        match self.crashes.get(&fingerprint) {
            Some(crash) if now_ms.saturating_sub(crash.last_ms) < self.options.quarantine_ms => {
                crash.count
            }
            _ => 0,
        }
    }

    /// Whether requests with the fingerprint are in quarantine, and so refused, at log time
    /// `now_ms`.
    pub fn is_quarantined(&self, fingerprint: u128, now_ms: u64) -> bool {
        self.crashes(fingerprint, now_ms) >= self.options.quarantine_count
    }

    /// Returns the executor whose custody of the instance prevents orders from `executor`.
    ///
    /// That is another executor, not proven dead, whose order may still reach the instance.
    /// Instances whose engine checks fencing tokens are never blocked, because they reject stale
    /// orders.
    pub fn blocking_executor(&self, instance: &str, executor: Incarnation) -> Option<Incarnation> {
        let custody = self.instance(instance)?.custody.as_ref()?;
        let blocks = custody.executor != executor
            && !self.is_dead(custody.executor)
            && !self.checks_fencing(instance);
        blocks.then_some(custody.executor)
    }

    /// Whether the instance's engine checks fencing tokens, according to the sheet in force.
    pub fn checks_fencing(&self, instance: &str) -> bool {
        self.sheet_instance(instance).is_some_and(|declared| declared.fencing)
    }

    /// Whether the sheet in force contains the instance.
    pub fn is_in_sheet(&self, instance: &str) -> bool {
        self.sheet_instance(instance).is_some()
    }

    /// Returns the row of an instance in the sheet in force.
    pub fn sheet_instance(&self, instance: &str) -> Option<&mgw_sheet::sheet::Instance> {
        let instances = &self.sheet()?.instances;
        let index = instances.binary_search_by(|known| known.name.as_str().cmp(instance)).ok()?;
        instances.get(index)
    }

    /// Skips the record at `offset`, which cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.applied = self.applied.max(offset.saturating_add(1));
    }

    /// Applies the record at `offset`, which was appended at log time `at_ms`, if it is valid
    /// there.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, envelope: &Envelope) -> Outcome {
        if offset < self.applied {
            return Outcome::Ignored(Cause::Applied);
        }
        self.applied = offset.saturating_add(1);
        self.log_ms = self.log_ms.max(at_ms);
        self.expire();
        match self
            .check_sequence(envelope.append_id)
            .and_then(|()| self.apply_record(offset, envelope))
        {
            Ok(change) => {
                if crate::rule::affects_planning(&change) {
                    self.planning_revision = self.applied;
                }
                Outcome::Applied(change)
            }
            Err(cause) => Outcome::Ignored(cause),
        }
    }
}
