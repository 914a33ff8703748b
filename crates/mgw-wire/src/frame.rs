//! The frames that entries exchange.

use bincode::{Decode, Encode};

/// Phase of an entry in its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Phase {
    /// Catching up with the log; not in the directory yet.
    Starting,
    /// Serving.
    Serving,
    /// Leaving: out of the directory, finishing what it holds.
    Draining,
}

/// An entry's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The entry's incarnation.
    pub incarnation: u64,
    /// Ascending per incarnation.
    pub counter: u64,
    /// The entry's name.
    pub entry: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// The entry's phase.
    pub phase: Phase,
    /// All records below this offset are applied.
    pub applied_offset: u64,
    /// Time since the incarnation started serving, in ms.
    pub uptime_ms: u64,
}

/// What an observer knows of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Group {
    /// The group's id.
    pub group: u64,
    /// The fencing token that the members were compared with.
    pub fence: u64,
    /// The observer's incarnation.
    pub observer: u64,
    /// Ascending per observer.
    pub counter: u64,
    /// Whether all members were present and ready.
    pub servable: bool,
    /// Requests that wait at rank 0.
    pub queued: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Size of the batch.
    pub slots: u32,
    /// Age when the frame was sent, in ms: of the oldest member report if servable, else of the
    /// observer's finding that the group isn't servable.
    pub age_ms: u32,
}

/// What an engine outside of a servable group, or a plain service's server, is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum State {
    /// No answer within the bound.
    Silent,
    /// Nothing is loaded.
    Idle,
    /// Weights are loading.
    Loading,
    /// Ready.
    Ready,
    /// The last order failed.
    Failed,
}

/// What an observer knows of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Instance {
    /// The instance's name.
    pub instance: String,
    /// Its boot.
    pub boot: String,
    /// The observer's incarnation.
    pub observer: u64,
    /// Ascending per observer.
    pub counter: u64,
    /// Fencing token of the last order that it accepted.
    pub fence: u64,
    /// Group id of the last order that it accepted.
    pub group: u64,
    /// What it is doing.
    pub state: State,
    /// Calls running and waiting.
    pub load: u32,
    /// Age of the newest report when the frame was sent, in ms; for `State::Silent`, the time since
    /// the last answer.
    pub age_ms: u32,
}

/// A team's use at one entry over the last second.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Usage {
    /// The entry's incarnation.
    pub incarnation: u64,
    /// Ascending per incarnation.
    pub counter: u64,
    /// The team's name.
    pub team: String,
    /// Requests that arrived.
    pub requests: u32,
    /// Tokens that were generated.
    pub tokens: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// A server crash blamed on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Blame {
    /// The request's fingerprint.
    pub fingerprint: u128,
    /// The entry incarnation that saw the crash.
    pub observer: u64,
    /// Ascending per observer: tells crashes apart.
    pub counter: u64,
}

/// One item of a gossip frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Item {
    /// An entry's heartbeat.
    Heartbeat(Heartbeat),
    /// A group summary.
    Group(Group),
    /// An instance's state.
    Instance(Instance),
    /// A team's use.
    Usage(Usage),
    /// A crash.
    Blame(Blame),
    /// Heartbeat counters of the entries on a list that both sides know from the log.
    ///
    /// At 420 entries, full heartbeats (about 75 bytes) of all entries don't fit into the byte
    /// budget within the suspicion time; one byte per entry does.
    HeartbeatCounters {
        /// Identifies the list of entries.
        digest: u64,
        /// Place on the list of the first counter.
        first_index: u16,
        /// Each counter modulo 255, in list order; 255 if the entry wasn't heard lately.
        counters: Vec<u8>,
    },
    /// Ages and loads of the newest summaries of the groups on a list that both sides know from the log.
    GroupAges {
        /// Identifies the list of groups.
        digest: u64,
        /// Place on the list of the first age.
        first_index: u16,
        /// Ages in units of 10 ms, rounded up; 255 if the group isn't known to be servable.
        ages: Vec<u8>,
        /// Requests running and waiting, in 64ths of the batch size, at most 255; one per age, or
        /// none at all if there are too many groups.
        loads: Vec<u8>,
    },
}

/// A stamp of the sender's event clock. What the receiver records later sorts behind what the
/// sender had recorded, although their wall clocks differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Stamp {
    /// Ms since 1970.
    pub wall_ms: u64,
    /// Orders stamps with the same `wall_ms`.
    pub logical: u32,
}

/// A booking relayed to its sole executor.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relay {
    /// Identifies the exchange; the answer carries it.
    pub exchange_id: u64,
    /// The incarnation that may run the booking.
    pub executor: u64,
    /// The caller's team.
    pub team: String,
    /// The plain service.
    pub service: String,
    /// The idempotency key.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// What is left of the deadline, in ms.
    pub deadline_ms: u64,
    /// When the booking was relayed.
    pub stamp: Stamp,
}

/// The outcome of a booking.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Outcome {
    /// Run, with the full answer.
    Done {
        /// HTTP status of the service.
        status: u16,
        /// Content type of the body.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// Not run and never will be under this key.
    NotRun {
        /// Why, for the caller.
        reason: String,
    },
    /// It is unknown whether it ran.
    Unknown {
        /// Why, for the caller.
        reason: String,
    },
    /// The key was used with other content; nothing was run for this request.
    Conflict,
}

/// A message between two entries.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Frame {
    /// Membership and load.
    Gossip {
        /// The sender's incarnation.
        sender: u64,
        /// The items.
        items: Vec<Item>,
    },
    /// A booking for its executor.
    Relay(Relay),
    /// The answer to a relayed booking.
    RelayAnswer {
        /// The exchange.
        exchange_id: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// Asks for the replicated state.
    StateRequest,
    /// A part of the replicated state.
    StateChunk {
        /// The state holds the effect of all records below this offset.
        end_offset: u64,
        /// This part's place.
        index: u32,
        /// The number of parts.
        count: u32,
        /// This part's bytes.
        bytes: Vec<u8>,
    },
    /// Precedes frames that were sent at this time.
    Stamp(Stamp),
    /// Asks for all that the peer knows of entries, groups and instances; the answer is a sequence
    /// of `Gossip` frames.
    ViewRequest,
}
