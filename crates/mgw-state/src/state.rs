//! The replayed state: every reader of the same prefix of the log reaches the same state.

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

/// Bounds of the state; all processes of a deployment must use the same.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Parses a sheet; `None` if it has faults.
    pub parse: fn(&str) -> Option<Sheet>,
    /// How long a claim is remembered, in log time.
    pub claim_window_ms: u64,
    /// Claims that are in force at most.
    pub claim_limit: usize,
    /// How long a crash counts and a quarantine lasts, in log time.
    pub quarantine_ms: u64,
    /// Crashes that quarantine a fingerprint.
    pub quarantine_count: u32,
    /// Fingerprints with crashes that are remembered at most.
    pub crash_limit: usize,
    /// How long a dead incarnation is remembered, in log time; longer than any append is delayed.
    pub entry_retention_ms: u64,
}

impl Options {
    /// The bounds of the design with a parse function.
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

/// The replayed state.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) options: Options,
    /// All records below this offset are applied.
    pub(crate) applied: Offset,
    /// Highest log time of the applied records.
    pub(crate) log_ms: u64,
    /// Offset after the last record that changed what planning depends on.
    pub(crate) planning_revision: Offset,
    pub(crate) config: Config,
    /// Identifiers and versions of recent publications, oldest first.
    pub(crate) publications: Vec<(SmolStr, Offset)>,
    pub(crate) term: Term,
    pub(crate) entries: Map<Incarnation, Entry>,
    /// Entry marks by address; never `Clear`.
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
    /// The state before the first record.
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

    /// All records below this offset are applied.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Highest log time of the applied records, in ms.
    pub fn log_ms(&self) -> u64 {
        self.log_ms
    }

    /// Rises whenever configuration, term, entries, marks, groups, assignments or custody change.
    pub fn planning_revision(&self) -> Offset {
        self.planning_revision
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The sheet in force.
    pub fn sheet(&self) -> Option<&Sheet> {
        self.config.sheet.as_deref()
    }

    /// The planner's term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The version that a recent publication reached.
    pub fn published_version(&self, publication: &str) -> Option<Offset> {
        let known = self.publications.iter().find(|(known, _)| known == publication)?;
        Some(known.1)
    }

    /// The recent publication that made a version.
    pub fn publication_id(&self, version: Offset) -> Option<&SmolStr> {
        let known = self.publications.iter().find(|(_, made)| *made == version)?;
        Some(&known.0)
    }

    /// Entry incarnations by incarnation.
    pub fn entries(&self) -> impl Iterator<Item = (Incarnation, &Entry)> {
        self.entries.iter().map(|(incarnation, entry)| (*incarnation, entry))
    }

    /// An entry incarnation.
    pub fn entry(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.entries.get(&incarnation)
    }

    /// Whether an incarnation is proven dead.
    pub fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.entries.get(&incarnation).is_some_and(|entry| entry.dead_ms.is_some())
    }

    /// The operator's mark of an entry.
    pub fn entry_mark(&self, address: &str) -> Mark {
        self.entry_marks.get(&SmolStr::new(address)).copied().unwrap_or(Mark::Clear)
    }

    /// Instances that the log names, by name.
    pub fn instances(&self) -> impl Iterator<Item = (&SmolStr, &Instance)> {
        self.instances.iter()
    }

    /// An instance that the log names.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.by_name(name)
    }

    /// Groups by id.
    pub fn groups(&self) -> impl Iterator<Item = (Offset, &Group)> {
        self.groups.iter().map(|(id, group)| (*id, group))
    }

    /// A group.
    pub fn group(&self, id: Offset) -> Option<&Group> {
        self.groups.get(&id)
    }

    /// The claims in force.
    pub fn claims(&self) -> &claim::Table {
        &self.claims
    }

    /// Crashes that count against a fingerprint at log time `now_ms`.
    pub fn crashes(&self, fingerprint: u128, now_ms: u64) -> u32 {
        match self.crashes.get(&fingerprint) {
            Some(crash) if now_ms.saturating_sub(crash.last_ms) < self.options.quarantine_ms => {
                crash.count
            }
            _ => 0,
        }
    }

    /// Whether requests with the fingerprint are refused at log time `now_ms`.
    pub fn is_quarantined(&self, fingerprint: u128, now_ms: u64) -> bool {
        self.crashes(fingerprint, now_ms) >= self.options.quarantine_count
    }

    /// The executor, other than `executor`, whose order may still reach an instance that does not
    /// check fencing tokens.
    pub fn blocking_executor(&self, instance: &str, executor: Incarnation) -> Option<Incarnation> {
        let custody = self.instance(instance)?.custody.as_ref()?;
        let blocks = custody.executor != executor
            && !self.is_dead(custody.executor)
            && !self.checks_fencing(instance);
        blocks.then_some(custody.executor)
    }

    /// Whether the sheet says that the instance's engine checks fencing tokens.
    pub fn checks_fencing(&self, instance: &str) -> bool {
        self.sheet_instance(instance).is_some_and(|declared| declared.fencing)
    }

    /// Whether the sheet in force names the instance.
    pub fn is_in_sheet(&self, instance: &str) -> bool {
        self.sheet_instance(instance).is_some()
    }

    /// What the sheet in force says of an instance.
    pub fn sheet_instance(&self, instance: &str) -> Option<&mgw_sheet::sheet::Instance> {
        let instances = &self.sheet()?.instances;
        let place = instances.binary_search_by(|known| known.name.as_str().cmp(instance)).ok()?;
        instances.get(place)
    }

    /// Passes over a record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.applied = self.applied.max(offset.saturating_add(1));
    }

    /// Applies the record at `offset`, appended at log time `at_ms`, if it is valid there.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, envelope: &Envelope) -> Outcome {
        if offset < self.applied {
            return Outcome::Ignored(Cause::AlreadyApplied);
        }
        self.applied = offset.saturating_add(1);
        self.log_ms = self.log_ms.max(at_ms);
        self.expire();
        match self
            .check_sequence(envelope.append_id)
            .and_then(|()| self.apply_record(offset, envelope))
        {
            Ok(change) => {
                if crate::rule::is_planning(&change) {
                    self.planning_revision = self.applied;
                }
                Outcome::Applied(change)
            }
            Err(cause) => Outcome::Ignored(cause),
        }
    }
}
