//! The frames that entries exchange.
//!
//! All types are encoded by position: the order, number and types of fields and variants must not
//! change without a new [`crate::codec::VERSION`].

use bincode::{Decode, Encode};

/// The phase of an entry as its heartbeat states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Phase {
    /// Catching up with the log; not listed in the directory yet.
    Starting,
    /// Listed in the directory and accepting requests.
    Serving,
    /// Shutting down: removed from the directory, finishing its requests in flight.
    Draining,
}

/// An entry's heartbeat, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The entry's incarnation: identifies one run of its process.
    pub incarnation: u64,
    /// Increases with every heartbeat of the incarnation.
    pub counter: u64,
    /// Name of the entry.
    pub entry: String,
    /// Address and port on which the entry accepts requests of callers.
    pub caller_address: String,
    /// Address and port on which the entry accepts connections of other entries.
    pub peer_address: String,
    /// Availability zone of the entry.
    pub zone: String,
    /// Phase of the entry when it sent the heartbeat.
    pub phase: Phase,
    /// The entry has applied all log records below this offset.
    pub applied_offset: u64,
    /// Time since the incarnation started serving, in ms.
    pub uptime_ms: u64,
}

/// The state of a group of engines as one entry, the observer, sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Group {
    /// Id of the group.
    pub group: u64,
    /// Fencing token that the reports of the members were compared with.
    pub fence: u64,
    /// Incarnation of the entry that observed it.
    pub observer: u64,
    /// Increases with every observation of this observer.
    pub counter: u64,
    /// True if all members were present and ready.
    pub servable: bool,
    /// Number of requests waiting at the engine of rank 0.
    pub queued: u32,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Largest number of requests in a batch.
    pub slots: u32,
    /// Age in ms when the frame was sent: of the oldest member report if the group is servable,
    /// else of the observation that it isn't.
    pub age_ms: u32,
}

/// The state of an engine outside of a servable group, or of a plain service's server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum State {
    /// It did not answer a status request in time.
    Silent,
    /// No model is loaded.
    Idle,
    /// It is loading model weights.
    Loading,
    /// It is ready to serve.
    Ready,
    /// Its last order failed.
    Failed,
}

/// The state of an instance as one entry, the observer, sees it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Instance {
    /// Name of the instance.
    pub instance: String,
    /// Boot id of the instance, which changes with each restart.
    pub boot: String,
    /// Incarnation of the entry that observed it.
    pub observer: u64,
    /// Increases with every observation of this observer.
    pub counter: u64,
    /// Fencing token of the last order that the instance accepted.
    pub fence: u64,
    /// Group id of the last order that the instance accepted.
    pub group: u64,
    /// State of the instance.
    pub state: State,
    /// Number of calls running and waiting.
    pub load: u32,
    /// Age of the newest report when the frame was sent, in ms; for `State::Silent`, the time since
    /// the last answer.
    pub age_ms: u32,
}

/// A team's resource usage at one entry over the last second.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Usage {
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Increases with every usage report of the incarnation.
    pub counter: u64,
    /// Name of the team.
    pub team: String,
    /// Number of requests that arrived.
    pub requests: u32,
    /// Number of tokens that were generated.
    pub tokens: u32,
    /// Number of requests in flight.
    pub in_flight: u32,
}

/// A server crash attributed to the request that was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Blame {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Incarnation of the entry that observed the crash.
    pub observer: u64,
    /// Increases with every crash of this observer, so that each crash is counted once.
    pub counter: u64,
}

/// One item of a gossip frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Item {
    /// An entry's heartbeat.
    Heartbeat(Heartbeat),
    /// The state of a group.
    Group(Group),
    /// The state of an instance.
    Instance(Instance),
    /// The resource usage of a team.
    Usage(Usage),
    /// A server crash attributed to a request.
    Blame(Blame),
    /// Heartbeat counters of the entries on a list that both sides derive from the log.
    ///
    /// With 420 entries, the full heartbeats of all entries, about 75 bytes each, don't fit into
    /// the byte budget of the suspicion timeout; one byte per entry does.
    HeartbeatCounters {
        /// Digest of the list of entries, to detect that the lists of both sides differ.
        digest: u64,
        /// Index in the list of the entry that the first counter belongs to.
        first_index: u16,
        /// Counters modulo 255 in list order; 255 if the sender received no recent heartbeat of the
        /// entry.
        counters: Vec<u8>,
    },
    /// Ages and loads of the newest observations of the groups on a list that both sides derive
    /// from the log.
    GroupAges {
        /// Digest of the list of groups, to detect that the lists of both sides differ.
        digest: u64,
        /// Index in the list of the group that the first age belongs to.
        first_index: u16,
        /// Ages in units of 10 ms, rounded up; 255 if the group isn't known to be servable.
        ages: Vec<u8>,
        /// Requests running and waiting, in 64ths of the batch size, at most 255; one per age, or
        /// empty if there are too many groups.
        loads: Vec<u8>,
    },
}

/// A stamp of the sender's hybrid logical clock. After adopting it, the receiver stamps its events
/// later than those that the sender recorded before, even if the wall clocks differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Stamp {
    /// Milliseconds since 1970-01-01 UTC.
    pub wall_ms: u64,
    /// Orders stamps with the same `wall_ms`.
    pub logical: u32,
}

/// A booking relayed to the only entry that may run it, its executor.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relay {
    /// Identifies this relay; the answer repeats it.
    pub exchange_id: u64,
    /// Incarnation of the executor; no other incarnation may run the booking.
    pub executor: u64,
    /// Team of the caller.
    pub team: String,
    /// Name of the plain service.
    pub service: String,
    /// Idempotency key of the caller's request.
    pub key: String,
    /// HTTP method of the call.
    pub method: String,
    /// Path of the call, relative to the service.
    pub path: String,
    /// Content type of the request body.
    pub content_type: String,
    /// The request body.
    pub body: Vec<u8>,
    /// Time left until the deadline, in ms.
    pub deadline_ms: u64,
    /// Stamp of the sender's clock when it relayed the booking.
    pub stamp: Stamp,
}

/// The outcome of a booking.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Outcome {
    /// The booking was run; this is the complete response of the service.
    Done {
        /// HTTP status code of the service's response.
        status: u16,
        /// Content type of the response body.
        content_type: String,
        /// The response body.
        body: Vec<u8>,
    },
    /// The booking was not run and will never be run under this key.
    NotRun {
        /// The reason that is sent to the caller.
        reason: String,
    },
    /// It is unknown whether the booking was run.
    Unknown {
        /// The reason that is sent to the caller.
        reason: String,
    },
    /// The key was used before with another request; nothing was run for this one.
    Conflict,
}

/// A message between two entries.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Frame {
    /// Gossip about membership, load and crashes.
    Gossip {
        /// Incarnation of the sender.
        sender: u64,
        /// The items, which may originate from other entries than the sender.
        items: Vec<Item>,
    },
    /// Relays a booking to its executor.
    Relay(Relay),
    /// The answer to a relayed booking.
    RelayAnswer {
        /// The `exchange_id` of the relay.
        exchange_id: u64,
        /// The outcome of the booking.
        outcome: Outcome,
    },
    /// Requests a copy of the replicated state; the answer is a sequence of `StateChunk` frames.
    StateRequest,
    /// A part of the encoded replicated state.
    StateChunk {
        /// The state includes all log records below this offset.
        end_offset: u64,
        /// Index of this part, from 0.
        index: u32,
        /// Number of parts.
        count: u32,
        /// Bytes of this part.
        bytes: Vec<u8>,
    },
    /// Stamp of the sender's clock for the frames that follow.
    Stamp(Stamp),
    /// Requests the peer's whole view of entries, groups and instances; the answer is a sequence of
    /// `Gossip` frames.
    ViewRequest,
}
