//! What a record led to at its offset.

use smol_str::SmolStr;

use crate::claim::Decision;
use crate::record::{Incarnation, Offset};

/// Whether a record took effect at its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record was valid.
    Applied(Change),
    /// The record was not valid and changed nothing.
    Ignored(Cause),
}

/// What a valid record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration is in force.
    ConfigPublished {
        /// Its version.
        version: Offset,
    },
    /// An incarnation joined.
    EntryJoined {
        /// The incarnation.
        incarnation: Incarnation,
        /// The incarnations that are thereby proven dead.
        dead: Vec<Incarnation>,
    },
    /// A planner holds the term.
    PlannerElected {
        /// The term.
        term: u64,
        /// The planner's incarnation.
        planner: Incarnation,
    },
    /// A group exists.
    GroupFormed {
        /// Its id.
        group: Offset,
    },
    /// A group no longer exists.
    GroupDissolved {
        /// Its id.
        group: Offset,
    },
    /// A member was replaced.
    MemberReplaced {
        /// The group's id.
        group: Offset,
        /// Its new fencing token.
        fence: Offset,
    },
    /// An order is settled.
    OrderSettled {
        /// The instance.
        instance: SmolStr,
    },
    /// An instance runs under a new boot.
    InstanceRestarted {
        /// The instance.
        instance: SmolStr,
        /// The group that lost it.
        group: Option<Offset>,
    },
    /// Claims were decided, in the order of the record.
    ClaimsDecided(Vec<Decision>),
    /// A crash was counted.
    CrashCounted {
        /// The request's fingerprint.
        fingerprint: u128,
        /// The group or server that crashed.
        group: Offset,
        /// Log time of the record.
        at_ms: u64,
        /// Crashes within the window.
        count: u32,
        /// Whether matching requests are refused.
        quarantined: bool,
    },
    /// A mark was set or cleared.
    MarkSet,
    /// An incarnation is proven dead.
    EntryGone {
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// A part of a snapshot passed by; the state is unchanged.
    SnapshotPart,
}

/// Why a record was ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The offset is already applied.
    AlreadyApplied,
    /// Version 0 and group 0 mean none, so no such record may take effect at offset 0.
    OffsetZero,
    /// A later append of the same writer is already in the log, so the writer may have taken this
    /// one for absent.
    StaleSequence,
    /// The incarnation is already known.
    DuplicateIncarnation,
    /// The publication builds on another version, or the plan was made from another one.
    BaseMismatch {
        /// The version in force.
        version: Offset,
    },
    /// The publication already took effect.
    AlreadyPublished {
        /// Its version.
        version: Offset,
    },
    /// The publication's identifier is too long.
    PublicationIdTooLong,
    /// The sheet has faults.
    InvalidSheet,
    /// The term is not current, or the writer does not hold it.
    TermMismatch {
        /// The current term.
        term: u64,
    },
    /// The group has no members.
    NoMembers,
    /// The group does not exist.
    UnknownGroup,
    /// The instance is not in the group.
    NotAMember,
    /// The instance belongs to a group.
    AlreadyAssigned {
        /// The instance.
        instance: SmolStr,
        /// Its group.
        group: Offset,
    },
    /// The instance runs under another boot.
    BootMismatch {
        /// The instance.
        instance: SmolStr,
    },
    /// Another executor's order may still reach the instance.
    CustodyHeld {
        /// The instance.
        instance: SmolStr,
        /// That executor.
        executor: Incarnation,
    },
    /// No order with this fencing token is unsettled.
    NoSuchOrder,
    /// The record changes nothing.
    Unchanged,
    /// A limit is reached.
    LimitReached,
}
