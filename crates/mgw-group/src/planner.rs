//! The planner: decides which groups to form, repair and dissolve.
//!
//! Only the entry that holds the planner's term plans. Each pass builds a layout, places groups
//! on it and returns the changes as records for the log.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_sheet::sheet::Sheet;
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::State;
use smol_str::SmolStr;

use crate::view::View;

mod build;
mod observation;
mod step;

/// Timeouts, delays and limits of the planner.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Only instances with a report younger than this are usable. Reports reach the planner by
    /// gossip in turns, so this is longer than
    /// [`readiness::Options::max_age`](crate::readiness::Options::max_age).
    pub report_max_age: Duration,
    /// Time without an answer, as seen by [`Options::min_observers`], after which an instance is
    /// lost.
    pub silence_timeout: Duration,
    /// Number of observers that must agree that an instance is silent; at most the number of live
    /// entries is required.
    pub min_observers: usize,
    /// No instance or entry is declared lost by an instance list of this age or older.
    pub list_max_age: Duration,
    /// How long a member must report a failed order before it is replaced.
    pub failed_order_timeout: Duration,
    /// How long an engine is not assigned after it began to report a failed order.
    pub failed_engine_backoff: Duration,
    /// How long a straggler must slow its group down before it is replaced.
    pub straggler_timeout: Duration,
    /// How long a group with a lost member and no replacement is kept although its other members
    /// could be used elsewhere. If the lost member returns, only it has to load, so this is about
    /// the time that a load takes.
    pub broken_group_grace: Duration,
    /// How long a member may report that it lacks the group's newest order, although the order is
    /// done, before the group is formed again. Must exceed the delay of reports.
    pub stuck_order_timeout: Duration,
    /// How long a member may lack the group's newest order, while gossip does not show the order's
    /// executor as live, before the group is formed again.
    pub orphaned_order_timeout: Duration,
    /// How long a group must have been closed before it counts as drained.
    pub settle_delay: Duration,
    /// Longest time that requests in flight may delay a planned replacement.
    pub drain_timeout: Duration,
    /// Time without newly usable instances after which groups are formed. Instances whose reports
    /// arrive one by one are thus placed together, which gives a better placement.
    pub stabilization_window: Duration,
    /// Longest time that newly usable instances delay the forming of groups, for a fleet that
    /// starts slowly or in which an instance arrives or returns every few seconds.
    pub max_stabilization: Duration,
    /// How long an entry must be missing from both the instance list and gossip to be declared
    /// gone.
    pub entry_gone_timeout: Duration,
    /// Maximum number of records per append.
    pub max_records: usize,
    /// Expected failures of an instance per 1,000 days. The default corresponds to 17 failures a
    /// day among 600 instances.
    pub failures_per_1000_days: u64,
    /// Expected hours until a failed instance is back.
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

/// State that the planner keeps between passes: since when conditions hold, and the inputs of the
/// last pass. It starts empty when the planner changes.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Digest of the inputs of the last full pass, if it proposed nothing. While the digest is the
    /// same, passes are skipped.
    idle_digest: Option<u64>,
    /// When the next delay ends and a full pass is due even if the digest is the same.
    wake_at: Option<Instant>,
    /// When the set of usable instances last grew.
    grown_at: Option<Instant>,
    /// Since when newly usable instances have delayed the forming of groups.
    unstable_since: Option<Instant>,
    /// Names of the usable instances at the last pass, sorted.
    usable: Vec<SmolStr>,
    /// Since when an engine has reported a failed order, by instance.
    failing_since: Map<SmolStr, Instant>,
    /// Since when a member has lacked the newest order of its group, by group.
    stuck_since: Map<Offset, Instant>,
    /// Since when a group has had a lost member, by group.
    broken_since: Map<Offset, Instant>,
    /// Since when a group has been closed to be drained, by group.
    closing_since: Map<Offset, Instant>,
    /// Since when an entry has been missing from the instance list and gossip, by incarnation.
    missing_since: Map<Incarnation, Instant>,
}

/// Why no plan can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// This process does not hold the planner's term.
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

/// Why a group is not repaired or a model lacks replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// An order of another executor may still reach a member.
    ForeignCustody {
        /// Id of the group.
        group: Offset,
    },
    /// There is no replacement for a lost member, and dissolving the group would not help.
    NoSpare {
        /// Id of the group.
        group: Offset,
    },
    /// There is no room for all wanted replicas of a model.
    NoCapacity {
        /// Name of the model.
        model: SmolStr,
        /// Number of wanted replicas that are missing.
        missing: usize,
    },
}

/// The result of a pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Records for one append, in order. Each is valid once those before it are applied.
    pub records: Vec<Record>,
    /// What the plan leaves unresolved, and why. Empty if the pass was skipped because nothing
    /// changed.
    pub unresolved: Vec<Cause>,
}

/// The signature of [`plan`], so that another planner can be used in its place.
pub type Planner =
    fn(&State, &View, Instant, Incarnation, &mut Tracker, &Options) -> Result<Plan, Error>;

/// An instance of the sheet as [`classify`] finds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: SmolStr,
    /// Boot identifier to name in an assignment; empty if there is no recent report.
    pub boot: SmolStr,
    /// Whether the instance may be assigned to a group when it is free.
    pub usable: bool,
    /// Id of the group that the instance belongs to.
    pub group: Option<Offset>,
}

/// A group as [`classify`] finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// Id of the group.
    pub group: Offset,
    /// Whether a member is lost.
    pub broken: bool,
    /// Whether a member is to leave and the group holds no requests any more, or requests have
    /// delayed the replacement for [`Options::drain_timeout`].
    pub drained: bool,
    /// Whether a member has lacked the group's newest order for [`Options::stuck_order_timeout`] or
    /// [`Options::orphaned_order_timeout`].
    pub stuck: bool,
}

/// The instances and groups as [`plan`] classifies them before placement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Classification {
    /// Records of restarted instances and of entries that are gone. They must be appended before
    /// other records.
    pub records: Vec<Record>,
    /// The instances in the order of the sheet.
    pub instances: Vec<InstanceStatus>,
    /// The groups in the order of their ids.
    pub groups: Vec<GroupStatus>,
    /// Whether the set of usable instances has stopped growing, so that groups may be formed.
    pub stable: bool,
}

/// Whether an instance is present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// A recent report shows the instance.
    Present,
    /// The platform is about to remove the instance.
    Leaving,
    /// There is no recent report, but the instance is not proven lost.
    Unknown,
    /// The instance list does not contain the instance, or enough observers get no answer from it.
    Lost,
}

/// The inputs of one pass, and when the next delay ends.
struct Pass<'a> {
    state: &'a State,
    sheet: &'a Sheet,
    view: &'a View,
    now: Instant,
    own: Incarnation,
    options: &'a Options,
    wake_at: Option<Instant>,
}

impl<'a> Pass<'a> {
    /// Starts a pass of the process `own`. Resets the tracker if the process does not hold the
    /// term.
    fn new(
        state: &'a State,
        view: &'a View,
        now: Instant,
        own: Incarnation,
        tracker: &mut Tracker,
        options: &'a Options,
    ) -> Result<Self, Error> {
        if state.term().planner != Some(own) {
            *tracker = Tracker::default();
            return Err(Error::NotPlanner);
        }
        let sheet = state.sheet().ok_or(Error::NoConfig)?;
        Ok(Self { state, sheet, view, now, own, options, wake_at: None })
    }
}

/// Runs one planning pass in the process `own`.
///
/// The caller must append the records in one append, and must not plan again before the outcome of
/// the append is known and its records are applied.
pub fn plan(
    state: &State,
    view: &View,
    now: Instant,
    own: Incarnation,
    tracker: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let mut pass = Pass::new(state, view, now, own, tracker, options)?;
    let digest = pass.digest();
    if tracker.idle_digest == Some(digest) && tracker.wake_at.is_none_or(|wake| now < wake) {
        return Ok(Plan::default());
    }
    let mut layout = pass.build_layout(tracker);
    let restarts = pass.restart_records();
    let gone = pass.gone_entries(tracker);
    let stable = pass.is_stable(&layout, tracker);
    pass.repair_groups(&mut layout, stable);
    let mut unresolved = pass.unresolved_groups(&layout);
    if stable {
        layout.mark_extra();
        layout.place_wanted();
        pass.roll_out(&mut layout);
        layout.place_extra();
    }
    unresolved.extend(pass.missing_replicas(&layout));
    let mut records = restarts;
    records.extend(gone.into_iter().map(|incarnation| Record::EntryGone { incarnation }));
    let steps = std::mem::take(&mut layout.steps);
    records.extend(steps.into_iter().map(|step| pass.record(step)));
    records.truncate(options.max_records);
    // The digest does not cover the requests of groups, which matter while a group is drained.
    let idle = records.is_empty() && tracker.closing_since.is_empty();
    tracker.idle_digest = idle.then_some(digest);
    tracker.wake_at = pass.wake_at;
    Ok(Plan { records, unresolved })
}

/// Classifies instances and groups as [`plan`] does, without placement. Other planners use it, so
/// that they can be compared with [`plan`] on the same detection of failures.
pub fn classify(
    state: &State,
    view: &View,
    now: Instant,
    own: Incarnation,
    tracker: &mut Tracker,
    options: &Options,
) -> Result<Classification, Error> {
    let mut pass = Pass::new(state, view, now, own, tracker, options)?;
    let layout = pass.build_layout(tracker);
    let mut records = pass.restart_records();
    let gone = pass.gone_entries(tracker);
    records.extend(gone.into_iter().map(|incarnation| Record::EntryGone { incarnation }));
    let stable = pass.is_stable(&layout, tracker);
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
