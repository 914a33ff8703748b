//! A parsed script: the deployment, the timeline of steps and the expectations.

use std::fmt;

use smol_str::SmolStr;

use crate::deployment::{Deployment, Edit};
use crate::world::Micros;
use crate::world::call::Request;
use crate::world::engine::Flaw;
use crate::world::entry::Breakpoint;

/// A parsed script.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Name in the runner's output: from the `name` statement, or the file's stem.
    pub name: SmolStr,
    /// The deployment that the script declares.
    pub deployment: Deployment,
    /// Steps of the timeline in the order of the file.
    pub steps: Vec<Step>,
    /// Expectations in the order of the file.
    pub expectations: Vec<Expectation>,
    /// Virtual time at which the run ends.
    pub end: Micros,
}

/// A step of the timeline: an action that is run once or at a fixed interval.
#[derive(Clone, Debug)]
pub struct Step {
    /// Virtual time of the first run of the action.
    pub from: Micros,
    /// Latest virtual time at which the action may be run; equal to `from` for a single run.
    pub to: Micros,
    /// Time between two runs of the action; 0 for a single run.
    pub interval: Micros,
    /// The action to run.
    pub action: Action,
    /// Line number in the file, from 1.
    pub line: usize,
    /// Statement without its comment, for failure reports.
    pub text: SmolStr,
}

/// The object of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A named entry, instance or backend server, or one of `log`, `list` and `weights`.
    Node(SmolStr),
    /// The entry that is the planner when the action runs.
    Planner,
    /// The entry that the most recent action on `planner` resolved to.
    LastPlanner,
    /// The entry that was stopped most recently by a trap.
    TrappedEntry,
    /// All members of a fabric domain.
    Domain(SmolStr),
    /// Everything in an availability zone.
    Zone(SmolStr),
}

/// How the idempotency key of a booking is chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// A key that starts with the key prefix of the entry that is called.
    Executor,
    /// This string as an opaque key.
    Opaque(SmolStr),
    /// A distinct opaque key for each booking, also when the step is repeated.
    Unique,
    /// The key of the first booking with this name, sent as an opaque key.
    SameAs(SmolStr),
}

/// The configuration version that a publication is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Base {
    /// The version that is in force at the entry that receives the publication.
    Current,
    /// The version that this earlier publication brought into force; 0 if it is not in force.
    Publication(SmolStr),
}

/// An operator's mark on an instance.
pub use mgw_state::record::Mark;

/// An action of a step. Except where stated, a variant is named after its verb in the language.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ends the process of a server or entry (`fail` or `kill`).
    Fail(Target),
    /// Starts an ended process again.
    Restart(Target),
    /// Suspends a process without ending it.
    Pause(Target),
    /// Continues a paused process.
    Resume(Target),
    /// Slows a model engine or backend server down by this factor.
    Slow(Target, f64),
    /// Shows an instance as leaving in the instance list.
    Leave(Target),
    /// Starts an absent instance, or shows a leaving one as live again.
    Arrive(Target),
    /// Ends the process of an instance and removes it from the instance list.
    Vanish(Target),
    /// Drops all messages from and to the target.
    Dark(Target),
    /// Drops all messages between two targets.
    Cut(Target, Target),
    /// Restores the network between two targets, of one target, or everywhere (`heal all`).
    Heal(Option<Target>, Option<Target>),
    /// Makes the log refuse every request (`log down`).
    LogDown,
    /// Makes the log answer normally (`log up`).
    LogUp,
    /// Makes the log leave requests unanswered (`log silent`).
    LogSilent,
    /// Adds this time to the log's responses (`log slow`).
    LogSlow(Micros),
    /// Drops the replies to this number of appends to come (`log lose`).
    LogLose(u32),
    /// Trims the log to this number of records (`log retain`).
    LogRetain(usize),
    /// Freezes the instance list or lets it follow the instances (`list stale`, `list fresh`).
    ListStale(bool),
    /// Makes the instance list refuse requests or answer them (`list down`, `list up`).
    ListDown(bool),
    /// Sets the state of the weight store.
    Weights {
        /// Whether the store starts no load.
        down: bool,
        /// Factor on the load time; 1 is the normal speed.
        slowdown: u64,
    },
    /// Publishes the declared sheet with `edits` applied.
    Publish {
        /// Name of the publication, for expectations and for [`Base::Publication`].
        name: SmolStr,
        /// The entry that receives the publication.
        via: Target,
        /// The version that the publication is based on.
        base: Base,
        /// Differences from the declared sheet.
        edits: Vec<Edit>,
    },
    /// Stops the traffic on open connections between an entry and an engine without closing them.
    Silent(Target, Target),
    /// Makes a backend server run bookings without answering, or ends that (`mute`, `unmute`).
    Mute(Target, bool),
    /// Makes a backend server refuse bookings as not run, or ends that (`refuse`, `accept`).
    Refuse(Target, bool),
    /// Replaces the process of an entry; the new one starts after this time.
    Replace(Target, Micros),
    /// Stops the next entry that reaches this point: kills it if the flag is set, or else pauses
    /// it.
    Trap(Breakpoint, bool),
    /// Starts the drain of an entry.
    Drain(Target),
    /// Sets an operator's mark on an instance through the first serving entry.
    Mark(Target, Mark),
    /// Declares an entry gone, as an operator, through the first serving entry.
    Gone(Target),
    /// Makes an engine corrupt its answers in this way.
    Flaw(Target, Flaw),
    /// Sends a model call.
    Call {
        /// The request; zone and entry are filled in when the step runs.
        ask: Request,
        /// The caller's zone; random if unset.
        zone: Option<SmolStr>,
        /// The entry that is called first; the directory's choice if unset.
        via: Option<Target>,
    },
    /// Sends a booking.
    Book {
        /// The request; key, zone and entry are filled in when the step runs.
        ask: Request,
        /// How the booking's key is chosen.
        key: Key,
        /// The caller's zone; random if unset.
        zone: Option<SmolStr>,
        /// The entry that is called first; the directory's choice if unset.
        via: Option<Target>,
    },
}

/// A quantity that an expectation compares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Number of groups of a model that serve.
    Serving(SmolStr),
    /// Number of groups of a model in the replicated state, only those of the version if one is
    /// named.
    Groups(SmolStr, Option<SmolStr>),
    /// Number of entries that serve.
    Entries,
    /// Number of live entries whose configuration version differs from the log's.
    Behind,
    /// Current term of the planner.
    Term,
    /// 1 if an instance belongs to a serving group, or else 0.
    Serves(SmolStr),
    /// 1 if an instance belongs to a group, or else 0.
    Grouped(SmolStr),
    /// Number of these publications that were reported to their operators as in force.
    Published(Vec<SmolStr>),
    /// Number of these publications that were reported to their operators as superseded.
    Superseded(Vec<SmolStr>),
    /// Number of these publications that were refused.
    Refused(Vec<SmolStr>),
    /// Number of server crashes caused by a request.
    Crashes,
    /// Number of calls with this name.
    Calls(SmolStr),
    /// Number of calls with this name that ended with this outcome.
    Count(SmolStr, SmolStr),
    /// Number of calls with this name that have not ended.
    Open(SmolStr),
    /// Fraction (0 to 1) of the ended calls with this name that have this outcome; 0 if none has
    /// ended.
    Share(SmolStr, SmolStr),
    /// Highest number of runs of a single booking key among the bookings with this name.
    Runs(SmolStr),
    /// Number of distinct keys of bookings with this name that ran at least once.
    Ran(SmolStr),
    /// 95th percentile of the time to the first token of the calls with this name, in
    /// milliseconds.
    First(SmolStr),
    /// Longest duration of the successful calls with this name, in milliseconds.
    Slowest(SmolStr),
    /// Fraction (0 to 1) of the calls with this name that succeed within this time.
    Within(SmolStr, Micros),
    /// Longest time between two pieces of an answer to a call with this name, in milliseconds.
    Gap(SmolStr),
    /// Mean number of attempts of the calls with this name; a script may write it in percent.
    Attempts(SmolStr),
    /// Downtime of groups, in group-seconds.
    Downtime,
    /// Time for which accelerators were stranded, in accelerator-seconds.
    Stranded,
    /// Number of records in the log.
    Records,
    /// Number of events with this name at all entries.
    Events(SmolStr),
}

/// A comparison operator.
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
    /// Reports whether the comparison of `left` with `right` is true.
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

/// A comparison of a metric with a fixed value.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The metric on the left side.
    pub metric: Metric,
    /// The comparison operator.
    pub relation: Relation,
    /// The value on the right side.
    pub value: f64,
}

/// The virtual time or period in which a condition must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// At this time, checked at the first check from then on.
    At(Micros),
    /// At one check or more from the first time to the second.
    By(Micros, Micros),
    /// At each check from the first time to the second.
    Always(Micros, Micros),
    /// At no check from the first time to the second.
    Never(Micros, Micros),
    /// At the end of the run.
    End,
}

/// A condition with the time at which it must hold.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// When the condition must hold.
    pub when: When,
    /// The condition.
    pub condition: Condition,
    /// Line number in the file, from 1.
    pub line: usize,
    /// Statement without its comment, for failure reports.
    pub text: SmolStr,
}

/// An error in a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Path of the script as given to the parser.
    pub file: String,
    /// Line number, from 1; the number of lines if the script as a whole is at fault.
    pub line: usize,
    /// What is wrong with the line.
    pub cause: String,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.cause)
    }
}

impl std::error::Error for Error {}
