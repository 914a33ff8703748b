//! The results of applying a record: the change that it made, or why it was ignored.

use smol_str::SmolStr;

use crate::claim::Decision;
use crate::record::{Incarnation, Offset};

/// Result of applying a record at its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record was valid and changed the state.
    Applied(Change),
    /// The record was not valid; apart from offset, time and sequence the state is unchanged.
    Ignored(Cause),
}

/// What a valid record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new configuration is in force.
    ConfigPublished {
        /// Version of the configuration, which is the record's offset.
        version: Offset,
    },
    /// An entry incarnation joined.
    EntryJoined {
        /// The incarnation that joined.
        incarnation: Incarnation,
        /// Earlier incarnations with the same address, which are thereby proven dead.
        dead: Vec<Incarnation>,
    },
    /// An incarnation became planner.
    PlannerElected {
        /// The term that it holds.
        term: u64,
        /// Incarnation of the planner.
        planner: Incarnation,
    },
    /// A group was formed.
    GroupFormed {
        /// Id of the group, which is the record's offset.
        group: Offset,
    },
    /// A group was dissolved.
    GroupDissolved {
        /// Id of the former group.
        group: Offset,
    },
    /// A member of a group was replaced.
    MemberReplaced {
        /// Id of the group.
        group: Offset,
        /// The group's new fencing token, which is the record's offset.
        fence: Offset,
    },
    /// The outstanding order to an instance was answered, so custody of the instance ended.
    OrderSettled {
        /// Name of the instance.
        instance: SmolStr,
    },
    /// An instance was seen with a new boot identifier.
    InstanceRestarted {
        /// Name of the instance.
        instance: SmolStr,
        /// Id of the group that the instance belonged to before the restart, if any.
        group: Option<Offset>,
    },
    /// Booking claims were decided; the decisions are in the order of the record's claims.
    ClaimsDecided(Vec<Decision>),
    /// A crash was counted against a request fingerprint.
    CrashCounted {
        /// Fingerprint of the request.
        fingerprint: u128,
        /// Id of the group or server that crashed.
        group: Offset,
        /// Highest log time so far, in milliseconds; the time of the crash.
        at_ms: u64,
        /// Crashes counted against the fingerprint, including this one.
        count: u32,
        /// Whether requests with the fingerprint are refused from now on.
        quarantined: bool,
    },
    /// An operator's mark was set or cleared.
    MarkSet,
    /// An entry incarnation is proven dead.
    EntryGone {
        /// The dead incarnation.
        incarnation: Incarnation,
    },
    /// The record is a part of a snapshot, which does not change the state.
    SnapshotPart,
}

/// Why a record had no effect.
///
/// The names of the variants appear in the text of the event `record_ignored` and are therefore
/// kept stable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The state already includes the record's offset.
    Applied,
    /// A record that creates a version or a fencing token is at offset 0, which stands for "none".
    Origin,
    /// A later append of the same writer precedes the record in the log, so the writer may already
    /// have concluded that this append is absent.
    Late,
    /// The incarnation joined before or was declared gone.
    Seen,
    /// The publication or the plan is based on a configuration version that is not in force.
    Base {
        /// The version that is in force.
        version: Offset,
    },
    /// A publication with the same identifier already took effect.
    Published {
        /// The version that it created.
        version: Offset,
    },
    /// The publication's identifier exceeds 256 bytes.
    Identifier,
    /// The published sheet is rejected by the parser.
    Sheet,
    /// The record's term is not the current one, or its writer is not the planner of that term; for
    /// a `Lead` record, the term is not the next one.
    Term {
        /// The current term.
        term: u64,
    },
    /// The group to be formed has no members.
    Empty,
    /// No group has the given id.
    Group,
    /// The instance to be replaced is not a member of the group.
    Member,
    /// The instance already belongs to a group, or is listed twice in the group to be formed.
    Busy {
        /// Name of the instance.
        instance: SmolStr,
        /// Id of the group that it belongs to.
        group: Offset,
    },
    /// The record's boot identifier is not the newest one of the instance; for a `Restarted`
    /// record, it is not a new one.
    Boot {
        /// Name of the instance.
        instance: SmolStr,
    },
    /// An order of another executor may still reach the instance.
    Custody {
        /// Name of the instance.
        instance: SmolStr,
        /// The executor that has custody of the instance.
        executor: Incarnation,
    },
    /// The instance has no outstanding order with the given fencing token.
    Settled,
    /// The mark or the death of the entry is already recorded.
    Unchanged,
    /// The maximum number of fingerprints with crashes is reached.
    Full,
}
