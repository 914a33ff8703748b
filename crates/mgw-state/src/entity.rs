//! The entities that make up the replicated state.

use std::sync::Arc;

use mgw_sheet::sheet::Sheet;
use smol_str::SmolStr;

use crate::record::{Incarnation, Mark, Offset};

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Offset of the record that published it; 0 before the first publication.
    pub version: Offset,
    /// The sheet as CSV text; empty before the first publication.
    pub text: String,
    /// The parsed sheet; `None` before the first publication.
    pub sheet: Option<Arc<Sheet>>,
}

/// The current planner and its term. As in Raft, each term has at most one planner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Term {
    /// Increases by 1 with each planner; 0 before the first.
    pub number: u64,
    /// Incarnation of the planner; `None` before the first.
    pub planner: Option<Incarnation>,
}

/// One incarnation (process run) of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The entry's name; empty if the incarnation was declared gone before it joined.
    pub name: SmolStr,
    /// The address that the incarnation bound exclusively, so that an older incarnation with the
    /// same address must have ended.
    pub address: SmolStr,
    /// Name of the entry's availability zone.
    pub zone: SmolStr,
    /// Offset of the record that added the incarnation: its `Join`, or its `EntryGone` if it never
    /// joined.
    pub joined: Offset,
    /// Log time, in milliseconds, at which the incarnation was proven dead; `None` while it may
    /// live.
    pub dead_ms: Option<u64>,
    /// Highest sequence among the appends of this incarnation that were read from the log.
    pub sequence: u64,
}

/// An order that was decided and may still reach its instance, with the executor that sends it.
///
/// While an executor has custody of an instance, no other executor may send orders to the instance
/// unless its engine checks fencing tokens or the first executor is proven dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Custody {
    /// Incarnation of the entry that sends the order.
    pub executor: Incarnation,
    /// Fencing token of the order.
    pub fence: Offset,
    /// Boot identifier of the instance that the order is addressed to.
    pub boot: SmolStr,
    /// Whether the executor waits for the requests in flight to end before it sends the order.
    pub drain: bool,
}

/// The group and rank that an instance is assigned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Id of the group.
    pub group: Offset,
    /// Index of the instance in the group's members.
    pub rank: u32,
}

/// The state of a backend instance, as far as the log tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Newest boot identifier in the log; empty if none is known. `assignment` always refers to
    /// this boot.
    pub boot: SmolStr,
    /// Earlier boot identifiers, oldest first.
    pub past_boots: Vec<SmolStr>,
    /// The group that the instance belongs to, if any.
    pub assignment: Option<Assignment>,
    /// The order to the instance that is not known to be completed, if any.
    pub custody: Option<Custody>,
    /// Fencing token of the last order that the instance answered under this boot; 0 if none.
    pub settled_fence: Offset,
    /// The operator's mark on the instance.
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

/// One rank of a group and the instance assigned to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSlot {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Boot identifier of the instance at the time of the assignment.
    pub boot: SmolStr,
    /// Whether the assignment ended because the instance restarted. The instance of a vacant slot
    /// may have been assigned to another group since.
    pub vacant: bool,
}

/// A group of instances that serve one replica of a model together. Its id is the offset of the
/// `Form` record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Name of the model.
    pub model: SmolStr,
    /// Version of the model.
    pub version: SmolStr,
    /// The members in rank order. Each slot that is not vacant matches the assignment of its
    /// instance.
    pub members: Vec<MemberSlot>,
    /// Fencing token of the orders to the members: the offset of the last `Form` or `Replace`.
    pub fence: Offset,
    /// Incarnation of the entry that sends the orders to the members.
    pub executor: Incarnation,
}

/// Server crashes attributed to requests with the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Number of crashes, counted as long as each follows the previous one in less than the
    /// quarantine window.
    pub count: u32,
    /// Log time of the last crash, in milliseconds.
    pub last_ms: u64,
}
