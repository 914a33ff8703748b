//! A parsed script: the deployment, the time line and the expectations.

use std::fmt;

use smol_str::SmolStr;

use crate::deployment::{Deployment, Edit};
use crate::world::Micros;
use crate::world::call::Ask;
use crate::world::engine::Flaw;
use crate::world::entry::Trap;

/// A script.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Its name.
    pub name: SmolStr,
    /// The deployment.
    pub deployment: Deployment,
    /// The time line in the order of the file.
    pub steps: Vec<Step>,
    /// The expectations.
    pub expectations: Vec<Expectation>,
    /// When the run ends.
    pub end: Micros,
}

/// A step of the time line.
#[derive(Clone, Debug)]
pub struct Step {
    /// When it is taken first.
    pub from: Micros,
    /// When it is taken last.
    pub to: Micros,
    /// The time between two repetitions; 0 for none.
    pub interval: Micros,
    /// What is done.
    pub action: Action,
    /// Where it is in the file.
    pub line: usize,
    /// Its text.
    pub text: SmolStr,
}

/// A place, domain or zone in an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An entry, instance, server, `log`, `list` or `weights`.
    Node(SmolStr),
    /// The entry that is the planner at that time.
    Planner,
    /// The entry that the last action on `planner` meant.
    LastPlanner,
    /// The entry that was stopped last by a trap.
    TrappedEntry,
    /// A fabric domain.
    Domain(SmolStr),
    /// A zone.
    Zone(SmolStr),
}

/// The key of a booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// From the key prefix of the entry that is called.
    Executor,
    /// This string.
    Opaque(SmolStr),
    /// An opaque key of its own for each booking.
    Unique,
    /// The key of the first call with this name.
    SameAs(SmolStr),
}

/// The base of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Base {
    /// The version that is in force at the entry.
    Current,
    /// The version of this publication.
    Publication(SmolStr),
}

/// How an instance is marked by an operator.
pub use mgw_state::record::Mark;

/// What is done at a step.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ends a server or entry process.
    Fail(Target),
    /// Starts it again.
    Restart(Target),
    /// Stops it without ending it.
    Pause(Target),
    /// Lets it go on.
    Resume(Target),
    /// Makes it slower.
    Slow(Target, f64),
    /// Marks it as leaving in the list.
    Leave(Target),
    /// Starts an instance that was absent, or shows a leaving one as live again.
    Arrive(Target),
    /// Ends an instance and takes it off the list.
    Vanish(Target),
    /// Cuts a domain or zone off.
    Dark(Target),
    /// Cuts two places off from each other.
    Cut(Target, Target),
    /// Ends cuts.
    Heal(Option<Target>, Option<Target>),
    /// The log refuses requests.
    LogDown,
    /// The log answers.
    LogUp,
    /// The log does not answer.
    LogSilent,
    /// The log takes longer.
    LogSlow(Micros),
    /// The replies to the next appends are lost.
    LogLose(u32),
    /// The log retains fewer records.
    LogRetain(usize),
    /// The list is frozen or not.
    ListStale(bool),
    /// The list refuses requests or not.
    ListDown(bool),
    /// The weight store is down, or slower by a factor.
    Weights {
        /// Whether it starts no load.
        down: bool,
        /// Factor on the load time.
        slowdown: u64,
    },
    /// Publishes the declared sheet with changes.
    Publish {
        /// The publication.
        name: SmolStr,
        /// The entry.
        via: Target,
        /// The base.
        base: Base,
        /// The changes.
        edits: Vec<Edit>,
    },
    /// Makes open connections between an entry and an engine silent.
    Silent(Target, Target),
    /// Makes a server run bookings without answering.
    Mute(Target, bool),
    /// Makes a server refuse bookings as not run.
    Refuse(Target, bool),
    /// Replaces an entry's process.
    Replace(Target, Micros),
    /// Stops the next entry that comes to this moment; kills it if the second part says so.
    Trap(Trap, bool),
    /// Drains an entry.
    Drain(Target),
    /// Sets an operator's mark.
    Mark(Target, Mark),
    /// An operator declares an entry gone.
    Gone(Target),
    /// Makes an engine mistreat answers.
    Flaw(Target, Flaw),
    /// Makes a model call.
    Call {
        /// What is asked for, apart from zone and entry.
        ask: Ask,
        /// The caller's zone.
        zone: Option<SmolStr>,
        /// The entry.
        via: Option<Target>,
    },
    /// Makes a booking.
    Book {
        /// What is asked for, apart from key, zone and entry.
        ask: Ask,
        /// The key.
        key: Key,
        /// The caller's zone.
        zone: Option<SmolStr>,
        /// The entry.
        via: Option<Target>,
    },
}

/// What an expectation measures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Groups of a model that serve.
    Serving(SmolStr),
    /// Groups of a model in the log, of this version if one is named.
    Groups(SmolStr, Option<SmolStr>),
    /// Entries that serve.
    Entries,
    /// Live entries that do not have the configuration of the log in force.
    Behind,
    /// The planner's term.
    Term,
    /// 1 if an instance belongs to a serving group.
    Serves(SmolStr),
    /// 1 if an instance belongs to a group.
    Grouped(SmolStr),
    /// Publications out of these that their operators saw in force.
    Published(Vec<SmolStr>),
    /// Publications out of these that their operators saw superseded.
    Superseded(Vec<SmolStr>),
    /// Publications out of these that were refused.
    Refused(Vec<SmolStr>),
    /// Servers that crashed because of a request.
    Crashes,
    /// Calls of a name.
    Calls(SmolStr),
    /// Calls of a name with an outcome.
    Count(SmolStr, SmolStr),
    /// Calls of a name without an outcome.
    Open(SmolStr),
    /// Percent of the ended calls of a name with an outcome.
    Share(SmolStr, SmolStr),
    /// The most runs of a booking of this name.
    Runs(SmolStr),
    /// Bookings of a name that ran.
    Ran(SmolStr),
    /// Time in ms to the first token that 95% of the calls of a name keep.
    First(SmolStr),
    /// Longest time in ms from start to end of the done calls of a name.
    Slowest(SmolStr),
    /// Share of the calls of a name that are done within this time.
    Within(SmolStr, Micros),
    /// Longest time in ms between two pieces of an answer of a name.
    Gap(SmolStr),
    /// Attempts of the calls of a name on average, in percent.
    Attempts(SmolStr),
    /// Group downtime in group-seconds.
    Downtime,
    /// Stranded accelerator-seconds.
    Stranded,
    /// Records in the log.
    Records,
    /// Events of this name at all entries.
    Events(SmolStr),
}

/// A comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
}

impl Relation {
    /// Whether `left` has this relation to `right`.
    pub fn holds(self, left: f64, right: f64) -> bool {
        match self {
            Relation::Equal => left == right,
            Relation::NotEqual => left != right,
            Relation::Less => left < right,
            Relation::AtMost => left <= right,
            Relation::Greater => left > right,
            Relation::AtLeast => left >= right,
        }
    }
}

/// A condition.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// What is measured.
    pub metric: Metric,
    /// How it is compared.
    pub relation: Relation,
    /// With what.
    pub value: f64,
}

/// When a condition is to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// At this time.
    At(Micros),
    /// At some time from the first to the second.
    By(Micros, Micros),
    /// At all times from the first to the second.
    Always(Micros, Micros),
    /// At no time from the first to the second.
    Never(Micros, Micros),
    /// At the end.
    End,
}

/// An expectation.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// When.
    pub when: When,
    /// What.
    pub condition: Condition,
    /// Where it is in the file.
    pub line: usize,
    /// Its text.
    pub text: SmolStr,
}

/// Why a script is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The file.
    pub file: String,
    /// The line.
    pub line: usize,
    /// The cause.
    pub cause: String,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.cause)
    }
}

impl std::error::Error for Error {}
