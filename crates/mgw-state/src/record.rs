//! The records of the `control` stream.
//!
//! Records are encoded by position: fields and variants must keep their order, number and types.

use bincode::{Decode, Encode};

/// Identifies one run of an entry process: 64 random bits drawn at start.
pub type Incarnation = u64;

/// Position of a record in the log; the first record has offset 0.
pub type Offset = u64;

/// An identifier that is unique among all processes. It names an append, so that a writer that lost
/// the reply can learn the result by reading the log, or a snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct UniqueId {
    /// Incarnation of the writer.
    pub incarnation: Incarnation,
    /// Number that increases with each append, or with each snapshot, of the writer.
    pub sequence: u64,
}

/// A record with the identifier of the append that carries it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    /// The append that carries the record. The records of one append share the identifier.
    pub append_id: UniqueId,
    /// The record itself.
    pub record: Record,
}

/// An instance to be assigned to a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Member {
    /// Name of the instance.
    pub instance: String,
    /// Boot identifier of the instance when the assignment was planned.
    pub boot: String,
}

/// What an operator's mark applies to.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Target {
    /// A backend server instance, by name.
    Instance(String),
    /// An entry instance, by address.
    Entry(String),
}

/// An operator's mark on an instance or an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Mark {
    /// Not marked; a record with this value removes the mark.
    Clear,
    /// Receives no new assignment, but keeps the current one.
    Cordon,
    /// Receives no new assignment and is moved out of its group.
    Drain,
}

/// Why a group is dissolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reason {
    /// A member was lost and cannot be replaced.
    MemberLost,
    /// The sheet in force does not require the group.
    NotWanted,
    /// Its instances are needed for a more valuable group.
    Preempted,
    /// The sheet in force has another version of the model.
    Version,
    /// An operator drained a member.
    Drained,
}

/// A claim of an opaque booking key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Claim {
    /// Hash of the team, the service and the booking key.
    pub key: u128,
    /// The incarnation that asks to become the only executor of the booking.
    pub executor: Incarnation,
}

/// A record of the `control` stream. It takes effect only if it is valid in the state at its own
/// offset, so of several competing records the first one in the log wins.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// Publishes a sheet; the configuration's version becomes the record's offset.
    Publish {
        /// Identifier chosen by the publisher, so that a repeated publication is recognized after a
        /// lost reply.
        publication: String,
        /// Configuration version that the sheet is based on; 0 for the first sheet.
        base: Offset,
        /// The sheet as CSV text.
        sheet: String,
    },
    /// Adds an entry incarnation and declares earlier ones with the same address dead.
    Join {
        /// Name of the entry.
        entry: String,
        /// The new incarnation.
        incarnation: Incarnation,
        /// Address of the peer port, which the incarnation bound exclusively.
        address: String,
        /// Name of the entry's availability zone.
        zone: String,
    },
    /// Makes an incarnation the planner of a new term.
    Lead {
        /// The new term: the current one plus 1.
        term: u64,
        /// Incarnation of the new planner.
        incarnation: Incarnation,
    },
    /// Forms a group; the group's id and its fencing token are the record's offset.
    Form {
        /// Term of the planner that writes the record.
        term: u64,
        /// Configuration version that the plan is based on.
        base: Offset,
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
        /// The members in rank order.
        members: Vec<Member>,
        /// Incarnation of the entry that sends the orders to the members.
        executor: Incarnation,
    },
    /// Dissolves a group.
    Dissolve {
        /// Term of the planner that writes the record.
        term: u64,
        /// Id of the group.
        group: Offset,
        /// Why the group is dissolved.
        reason: Reason,
    },
    /// Replaces one member of a group; the group's fencing token becomes the record's offset.
    Replace {
        /// Term of the planner that writes the record.
        term: u64,
        /// Id of the group.
        group: Offset,
        /// Name of the member that is replaced.
        lost: String,
        /// The instance that takes over its rank.
        spare: Member,
        /// Incarnation of the entry that sends the orders to the members.
        executor: Incarnation,
    },
    /// The instance answered the order with this fencing token, which ends custody of the instance.
    OrderDone {
        /// Name of the instance.
        instance: String,
        /// Fencing token of the order.
        fence: Offset,
    },
    /// An instance was seen with a new boot identifier.
    Restarted {
        /// Term of the planner that writes the record.
        term: u64,
        /// Name of the instance.
        instance: String,
        /// The new boot identifier.
        boot: String,
    },
    /// Claims of opaque booking keys.
    Claim {
        /// The claims, which are decided one by one in this order.
        claims: Vec<Claim>,
    },
    /// A request is blamed for the crash of a server.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u128,
        /// Id of the group or server that crashed.
        group: Offset,
    },
    /// Sets or clears an operator's mark.
    Mark {
        /// The marked instance or entry.
        target: Target,
        /// The new mark.
        mark: Mark,
    },
    /// Declares an entry incarnation dead.
    EntryGone {
        /// The dead incarnation.
        incarnation: Incarnation,
    },
    /// One part of a snapshot of the state.
    SnapshotPart {
        /// Identifier of the snapshot, the same in all its parts.
        id: UniqueId,
        /// The snapshot includes all records below this offset.
        upto: Offset,
        /// Index of this part, from 0.
        index: u32,
        /// Number of parts of the snapshot.
        count: u32,
        /// Content of this part.
        bytes: Vec<u8>,
    },
}
