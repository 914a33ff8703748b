//! A parsed script: the deployment, the time line and the expectations.

use std::fmt;

use smol_str::SmolStr;

use crate::deployment::{Deployment, Edit};
use crate::world::Micros;
use crate::world::call::Request;
use crate::world::engine::Flaw;
use crate::world::entry::Breakpoint;

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
    pub period: Micros,
    /// What is done.
    pub action: Action,
    /// Where it is in the file.
    pub line: usize,
    /// Its text.
    pub text: SmolStr,
}

/// A place, domain or zone in an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// An entry, instance, server, `log`, `list` or `weights`.
    Party(SmolStr),
    /// The entry that is the planner at that time.
    Planner,
    /// The entry that the last action on `planner` meant.
    Last,
    /// The entry that was stopped last by a trap.
    Trapped,
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
    Each,
    /// The key of the first call with this name.
    As(SmolStr),
}

/// The base of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Base {
    /// The version that is in force at the entry.
    Current,
    /// The version of this publication.
    Of(SmolStr),
}

/// How an instance is marked by an operator.
pub use mgw_state::record::Mark;

/// What is done at a step.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ends a server or entry process.
    Fail(Place),
    /// Starts it again.
    Restart(Place),
    /// Stops it without ending it.
    Pause(Place),
    /// Lets it go on.
    Resume(Place),
    /// Makes it slower.
    Slow(Place, f64),
    /// Marks it as leaving in the list.
    Leave(Place),
    /// Starts an instance that was absent, or shows a leaving one as live again.
    Arrive(Place),
    /// Ends an instance and takes it off the list.
    Vanish(Place),
    /// Cuts a domain or zone off.
    Dark(Place),
    /// Cuts two places off from each other.
    Cut(Place, Place),
    /// Ends cuts.
    Heal(Option<Place>, Option<Place>),
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
        slow: u64,
    },
    /// Publishes the declared sheet with changes.
    Publish {
        /// The publication.
        name: SmolStr,
        /// The entry.
        via: Place,
        /// The base.
        base: Base,
        /// The changes.
        edits: Vec<Edit>,
    },
    /// Makes open connections between an entry and an engine silent.
    Silent(Place, Place),
    /// Makes a server run bookings without answering.
    Mute(Place, bool),
    /// Makes a server refuse bookings as not run.
    Refuse(Place, bool),
    /// Replaces an entry's process.
    Replace(Place, Micros),
    /// Stops the next entry that comes to this moment; kills it if the second part says so.
    Trap(Breakpoint, bool),
    /// Drains an entry.
    Drain(Place),
    /// Sets an operator's mark.
    Mark(Place, Mark),
    /// An operator declares an entry gone.
    Gone(Place),
    /// Makes an engine mistreat answers.
    Flaw(Place, Flaw),
    /// Makes a model call.
    Call {
        /// What is asked for, apart from zone and entry.
        ask: Request,
        /// The caller's zone.
        zone: Option<SmolStr>,
        /// The entry.
        via: Option<Place>,
    },
    /// Makes a booking.
    Book {
        /// What is asked for, apart from key, zone and entry.
        ask: Request,
        /// The key.
        key: Key,
        /// The caller's zone.
        zone: Option<SmolStr>,
        /// The entry.
        via: Option<Place>,
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
    Other,
    /// `<`
    Less,
    /// `<=`
    Most,
    /// `>`
    More,
    /// `>=`
    Least,
}

impl Relation {
    /// Whether `left` has this relation to `right`.
    pub fn holds(self, left: f64, right: f64) -> bool {
        match self {
            Relation::Equal => left == right,
            Relation::Other => left != right,
            Relation::Less => left < right,
            Relation::Most => left <= right,
            Relation::More => left > right,
            Relation::Least => left >= right,
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
