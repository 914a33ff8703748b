//! The entities of the replayed state.

use std::sync::Arc;

use mgw_sheet::sheet::Sheet;
use smol_str::SmolStr;

use crate::record::{Incarnation, Mark, Offset};

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Offset of the publication; 0 before the first.
    pub version: Offset,
    /// The sheet as text; empty before the first publication.
    pub text: String,
    /// The parsed sheet; `None` before the first publication.
    pub sheet: Option<Arc<Sheet>>,
}

/// The planner's term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Term {
    /// Ascending; 0 before the first planner.
    pub number: u64,
    /// The planner's incarnation; `None` before the first planner.
    pub planner: Option<Incarnation>,
}

/// An entry incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The entry's name; empty if the incarnation was declared gone without having joined.
    pub name: SmolStr,
    /// The address that the incarnation bound exclusively.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Offset of its `Join`.
    pub joined: Offset,
    /// Log time at which the incarnation was proven dead.
    pub dead_ms: Option<u64>,
    /// Highest append sequence of this writer in the log.
    pub sequence: u64,
}

/// An order that may still reach an instance, and who sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Custody {
    /// The incarnation that sends the order.
    pub executor: Incarnation,
    /// The order's fencing token.
    pub fence: Offset,
    /// The boot that the order is meant for.
    pub boot: SmolStr,
    /// Whether requests in flight must end before the order is sent.
    pub drain: bool,
}

/// An instance's place in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The group's id.
    pub group: Offset,
    /// Place in the group.
    pub rank: u32,
}

/// What the log says of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The newest boot named in the log; empty if none. An assignment is always of this boot.
    pub boot: SmolStr,
    /// Earlier boots, oldest first.
    pub past_boots: Vec<SmolStr>,
    /// The group that the instance belongs to.
    pub assignment: Option<Assignment>,
    /// The order that is not settled.
    pub custody: Option<Custody>,
    /// Fencing token of the last order that was answered; 0 if none.
    pub settled_fence: Offset,
    /// The operator's mark.
    pub mark: Mark,
}

impl Default for Instance {
    fn default() -> Self {
        Self {
            boot: SmolStr::default(),
            past_boots: Vec::new(),
            assignment: None,
            custody: None,
            settled_fence: 0,
            mark: Mark::Clear,
        }
    }
}

impl Instance {
    /// Whether a group, an order or an operator's mark refers to the instance.
    pub(crate) fn is_referenced(&self) -> bool {
        self.assignment.is_some() || self.custody.is_some() || self.mark != Mark::Clear
    }
}

/// A member's place in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSlot {
    /// The instance.
    pub instance: SmolStr,
    /// Its boot at the time of the assignment.
    pub boot: SmolStr,
    /// Whether the assignment ended because the instance restarted. The instance of a vacant seat
    /// may belong to another group.
    pub vacant: bool,
}

/// A model group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The model's name.
    pub model: SmolStr,
    /// The model's version.
    pub version: SmolStr,
    /// Members in rank order; every seat that is not vacant is the assignment of its instance.
    pub members: Vec<MemberSlot>,
    /// Fencing token of the orders to the members.
    pub fence: Offset,
    /// The incarnation that sends the orders.
    pub executor: Incarnation,
}

/// Crashes blamed on a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Number of crashes; each is at most the quarantine window after the one before.
    pub count: u32,
    /// Log time of the last crash.
    pub last_ms: u64,
}
