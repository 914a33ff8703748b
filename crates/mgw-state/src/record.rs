//! The records of the `control` stream.

use bincode::{Decode, Encode};

/// A process incarnation of an entry: 64 random bits drawn at start.
pub type Incarnation = u64;

/// A position in the log.
pub type Offset = u64;

/// Identifies one append of one writer, so that a writer that lost the reply can settle it by
/// reading on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct UniqueId {
    /// The writer's incarnation.
    pub incarnation: Incarnation,
    /// Ascending per writer.
    pub sequence: u64,
}

/// A record with the append_id of the append that carried it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    /// The append that carried the record.
    pub append_id: UniqueId,
    /// The record.
    pub record: Record,
}

/// One member of a group at the time of an assignment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Member {
    /// The instance's name.
    pub instance: String,
    /// The instance's boot at the time of the assignment.
    pub boot: String,
}

/// What an operator's mark applies to.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Target {
    /// A backend server instance.
    Instance(String),
    /// An entry instance, by address.
    Entry(String),
}

/// An operator's mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Mark {
    /// No mark.
    Clear,
    /// Takes no new assignment; what it serves goes on.
    Cordon,
    /// Takes no new assignment and is moved out of its group.
    Drain,
}

/// Why a group is dissolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reason {
    /// A member was lost and no replacement exists.
    MemberLost,
    /// The sheet no longer wants the group.
    NotWanted,
    /// Another group is worth more.
    Preempted,
    /// The model's version changes.
    Version,
    /// An operator drained a member.
    Drained,
}

/// A claim of an opaque booking key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Claim {
    /// Hash of team, service and key.
    pub key: u128,
    /// The incarnation that asks to be the sole executor.
    pub executor: Incarnation,
}

/// A record of the `control` stream. It takes effect only if it is valid at its own offset.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// An operator's publication of a sheet.
    Publish {
        /// Identifies the publication, so that a lost reply can be settled.
        publication: String,
        /// The version (offset) that the sheet builds on; 0 for the first.
        base: Offset,
        /// The sheet as CSV text.
        sheet: String,
    },
    /// A new entry incarnation.
    Join {
        /// The entry's name.
        entry: String,
        /// The new incarnation.
        incarnation: Incarnation,
        /// The address that the incarnation bound exclusively (peers port).
        address: String,
        /// The entry's availability zone.
        zone: String,
    },
    /// Makes an incarnation planner for a term.
    Lead {
        /// Current term + 1.
        term: u64,
        /// The planner's incarnation.
        incarnation: Incarnation,
    },
    /// Forms a group; its id and its fencing token are the record's offset.
    Form {
        /// The planner's term.
        term: u64,
        /// The configuration version that the plan was made from.
        base: Offset,
        /// The model's name.
        model: String,
        /// The model's version.
        version: String,
        /// The members in rank order.
        members: Vec<Member>,
        /// The incarnation that sends the orders.
        executor: Incarnation,
    },
    /// Dissolves a group.
    Dissolve {
        /// The planner's term.
        term: u64,
        /// The group's id.
        group: Offset,
        /// Why.
        reason: Reason,
    },
    /// Replaces one member of a group; the group's fencing token becomes the record's offset.
    Replace {
        /// The planner's term.
        term: u64,
        /// The group's id.
        group: Offset,
        /// The instance that is lost.
        lost: String,
        /// The instance that takes its rank.
        spare: Member,
        /// The incarnation that sends the orders.
        executor: Incarnation,
    },
    /// Ends custody: the order with this fencing token was answered.
    OrderDone {
        /// The instance.
        instance: String,
        /// The order's fencing token.
        fence: Offset,
    },
    /// An instance was seen with another boot.
    Restarted {
        /// The planner's term.
        term: u64,
        /// The instance.
        instance: String,
        /// The boot now seen.
        boot: String,
    },
    /// Claims of opaque booking keys.
    Claim {
        /// The claims.
        claims: Vec<Claim>,
    },
    /// A request crashed a server.
    Crash {
        /// The request's fingerprint.
        fingerprint: u128,
        /// The group or server that crashed.
        group: Offset,
    },
    /// An operator's mark.
    Mark {
        /// What is marked.
        target: Target,
        /// The mark.
        mark: Mark,
    },
    /// An entry incarnation that is proven dead.
    EntryGone {
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// A part of a snapshot of the state up to an offset.
    SnapshotPart {
        /// Identifies the snapshot.
        id: UniqueId,
        /// The snapshot holds the effect of all records below this offset.
        upto: Offset,
        /// This part's place.
        index: u32,
        /// The number of parts.
        count: u32,
        /// This part's bytes.
        bytes: Vec<u8>,
    },
}
