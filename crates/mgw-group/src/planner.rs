//! The planner: decides which groups to form, repair and dissolve.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_sheet::sheet::Sheet;
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::State;
use smol_str::SmolStr;

use crate::view::View;

mod observation;
mod step;
mod table;

/// Bounds of planning.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A report older than this does not make an instance usable. Reports reach the planner by
    /// gossip in turns, so this is longer than the bound of the presence check.
    pub report_max_age: Duration,
    /// Silence, agreed by the observers, after which an instance is lost.
    pub silence_timeout: Duration,
    /// Observers that must agree, if there are as many live entries.
    pub min_observers: usize,
    /// An instance list older than this shows nothing as lost.
    pub list_max_age: Duration,
    /// How long an engine reports a failed order before it is replaced.
    pub failed_order_timeout: Duration,
    /// How long an engine that reports a failed order is not assigned.
    pub failed_engine_backoff: Duration,
    /// How long a straggler holds its group back before it is replaced.
    pub straggler_timeout: Duration,
    /// How long a group with a lost member and no replacement is kept while its other members could
    /// be used elsewhere. The lost member may return, and then only it has to load; so this is
    /// about the time that a load takes.
    pub broken_group_grace: Duration,
    /// How long the report of a member may contradict a settled order before the group is formed
    /// again; longer than reports lag.
    pub stuck_order_timeout: Duration,
    /// How long an order may be missing at a member while gossip does not show its executor.
    pub orphaned_order_timeout: Duration,
    /// How long a closed group must have been closed before it counts as drained.
    pub settle_delay: Duration,
    /// How long requests may delay a planned move at most.
    pub drain_timeout: Duration,
    /// How long newly usable instances are waited for before groups are formed, so that reports
    /// that arrive one by one do not lead to a poor placement.
    pub stabilization_window: Duration,
    /// How long newly usable instances delay groups at most, for a fleet that starts slowly or of
    /// which some instance arrives or returns every few seconds.
    pub max_stabilization: Duration,
    /// How long an entry must be missing from the instance list and in gossip to be gone.
    pub entry_gone_timeout: Duration,
    /// Records of one append at most.
    pub max_records: usize,
    /// Failures of an instance per 1,000 days (17 of 600 instances a day).
    pub failures_per_1000_days: u64,
    /// Hours until a failed instance is back.
    pub repair_hours: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            report_max_age: Duration::from_secs(15),
            silence_timeout: Duration::from_secs(3),
            min_observers: 2,
            list_max_age: Duration::from_secs(30),
            failed_order_timeout: Duration::from_secs(10),
            failed_engine_backoff: Duration::from_secs(60),
            straggler_timeout: Duration::from_secs(60),
            broken_group_grace: Duration::from_secs(10),
            stuck_order_timeout: Duration::from_secs(30),
            orphaned_order_timeout: Duration::from_secs(5),
            settle_delay: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(600),
            stabilization_window: Duration::from_secs(2),
            max_stabilization: Duration::from_secs(4),
            entry_gone_timeout: Duration::from_secs(60),
            max_records: 64,
            failures_per_1000_days: 28,
            repair_hours: 4,
        }
    }
}

/// What the planner remembers between passes; empty after a change of the planner.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Digest of what the last pass depended on, if it proposed nothing.
    idle: Option<u64>,
    /// When the digest no longer suffices because a delay ends.
    wake: Option<Instant>,
    /// When the set of usable instances last grew.
    grown: Option<Instant>,
    /// Since when new usable instances delay groups.
    unrest: Option<Instant>,
    /// Usable instances at the last pass, sorted.
    usable: Vec<SmolStr>,
    /// Since when an engine reports a failed order.
    failing: Map<SmolStr, Instant>,
    /// Since when a group's order is missing at a member, by group.
    stuck: Map<Offset, Instant>,
    /// Since when a group has a lost member, by group.
    broken: Map<Offset, Instant>,
    /// Since when a group is closed to be drained, by group.
    closing: Map<Offset, Instant>,
    /// Since when an entry is missing.
    missing: Map<Incarnation, Instant>,
}

/// Why the planner cannot plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The process does not hold the term.
    NotPlanner,
    /// No configuration is in force.
    NoConfig,
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotPlanner => write!(formatter, "this process does not hold the planner's term"),
            Self::NoConfig => write!(formatter, "no configuration is in force"),
        }
    }
}

impl std::error::Error for Error {}

/// Why a group is not repaired, or a model lacks replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Another executor's order may still reach a member.
    ForeignCustody {
        /// The group.
        group: Offset,
    },
    /// There is no replacement for a lost member, and dissolving the group would not help.
    NoSpare {
        /// The group.
        group: Offset,
    },
    /// Replicas of the model cannot be placed.
    NoCapacity {
        /// The model.
        model: SmolStr,
        /// The replicas that are missing.
        missing: usize,
    },
}

/// What the planner proposes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Records for one append, in order; each is valid after those before it.
    pub records: Vec<Record>,
    /// What stays undone and why; empty when the pass was skipped because nothing changed.
    pub unresolved: Vec<Cause>,
}

/// A function with the duty of [`plan`].
pub type Planner =
    fn(&State, &View, Instant, Incarnation, &mut Tracker, &Options) -> Result<Plan, Error>;

/// An instance of the sheet as [`plan`] sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Its name.
    pub name: SmolStr,
    /// The boot to name in an assignment.
    pub boot: SmolStr,
    /// Whether it may be assigned when it is free.
    pub usable: bool,
    /// The group that it belongs to.
    pub group: Option<Offset>,
}

/// A group as [`plan`] sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// Its id.
    pub group: Offset,
    /// Whether a member is lost.
    pub broken: bool,
    /// Whether a member is to leave and the group holds no requests any more.
    pub drained: bool,
    /// Whether its orders will not be sent or have no lasting effect.
    pub stuck: bool,
}

/// What [`plan`] bases its placement on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Classification {
    /// Records of restarted instances and of entries that are gone; they precede others.
    pub records: Vec<Record>,
    /// The instances in the order of the sheet's table.
    pub instances: Vec<InstanceStatus>,
    /// The groups by id.
    pub groups: Vec<GroupStatus>,
    /// Whether the set of usable instances has stopped growing.
    pub stable: bool,
}

/// Whether an instance is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    Present,
    Leaving,
    /// No report is young enough, but the instance is not proven lost.
    Unknown,
    Lost,
}

struct Pass<'a> {
    state: &'a State,
    sheet: &'a Sheet,
    view: &'a View,
    now: Instant,
    me: Incarnation,
    options: &'a Options,
    wake: Option<Instant>,
}

impl<'a> Pass<'a> {
    /// A pass of the process `me`; forgets what it remembers if it does not hold the term.
    fn new(
        state: &'a State,
        view: &'a View,
        now: Instant,
        me: Incarnation,
        memory: &mut Tracker,
        options: &'a Options,
    ) -> Result<Self, Error> {
        if state.term().planner != Some(me) {
            *memory = Tracker::default();
            return Err(Error::NotPlanner);
        }
        let sheet = state.sheet().ok_or(Error::NoConfig)?;
        Ok(Self { state, sheet, view, now, me, options, wake: None })
    }
}

/// Plans once.
///
/// The caller appends the records in one append and does not plan again before it is settled and
/// applied.
pub fn plan(
    state: &State,
    view: &View,
    now: Instant,
    me: Incarnation,
    memory: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let mut pass = Pass::new(state, view, now, me, memory, options)?;
    let digest = pass.digest();
    if memory.idle == Some(digest) && memory.wake.is_none_or(|wake| now < wake) {
        return Ok(Plan::default());
    }
    let mut layout = pass.layout(memory);
    let restarts = pass.restarts();
    let gone = pass.gone(memory);
    let stable = pass.is_calm(&layout, memory);
    pass.repair(&mut layout, stable);
    let mut unresolved = pass.undone(&layout);
    if stable {
        layout.mark_extra();
        layout.fill_wanted();
        pass.roll(&mut layout);
        layout.fill_extra();
    }
    unresolved.extend(pass.missing(&layout));
    let mut records = restarts;
    records.extend(gone.into_iter().map(|incarnation| Record::EntryGone { incarnation }));
    let moves = std::mem::take(&mut layout.moves);
    records.extend(moves.into_iter().map(|step| pass.record(step)));
    records.truncate(options.max_records);
    // While a group is drained, its load matters, which the digest leaves out.
    let idle = records.is_empty() && memory.closing.is_empty();
    memory.idle = idle.then_some(digest);
    memory.wake = pass.wake;
    Ok(Plan { records, unresolved })
}

/// Classifies instances and groups as [`plan`] does, without placement, so that other planners
/// can be measured against it with the same detection of failures.
pub fn classify(
    state: &State,
    view: &View,
    now: Instant,
    me: Incarnation,
    memory: &mut Tracker,
    options: &Options,
) -> Result<Classification, Error> {
    let mut pass = Pass::new(state, view, now, me, memory, options)?;
    let layout = pass.layout(memory);
    let mut records = pass.restarts();
    let gone = pass.gone(memory);
    records.extend(gone.into_iter().map(|incarnation| Record::EntryGone { incarnation }));
    let stable = pass.is_calm(&layout, memory);
    let instances = layout.nodes[..pass.sheet.instances.len()].iter().map(|node| InstanceStatus {
        name: node.name.clone(),
        boot: node.boot.clone(),
        usable: node.usable,
        group: node.group,
    });
    let groups = layout.replicas.iter().map(|replica| GroupStatus {
        group: replica.id,
        broken: replica.is_broken(),
        drained: replica.drained,
        stuck: replica.stuck,
    });
    Ok(Classification { records, instances: instances.collect(), groups: groups.collect(), stable })
}
