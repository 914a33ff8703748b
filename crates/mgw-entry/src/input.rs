//! Inputs that the I/O layer of the process passes to [`Node::handle_input`].
//!
//! [`Node::handle_input`]: crate::node::Node::handle_input

use mgw_report::report::{Engine, List, Server, WeightStore};
use mgw_state::snapshot::Snapshot;
use mgw_wire::frame::Item;
use smol_str::SmolStr;

/// A record as the log service returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset in the log.
    pub offset: u64,
    /// Time of the append in ms, by the clock of the log service. Does not decrease with the
    /// offset.
    pub at_ms: u64,
    /// The encoded record; see [`mgw_state::codec`].
    pub bytes: Vec<u8>,
}

/// Result of a read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records from the requested offset on. There may be none.
    Batch {
        /// First offset that the log retains.
        first: u64,
        /// Offset that the next appended record gets.
        next: u64,
        /// The records in the order of their offsets.
        records: Vec<Record>,
    },
    /// The requested offset is no longer retained.
    Trimmed {
        /// First offset that the log retains.
        first: u64,
        /// Offset that the next appended record gets.
        next: u64,
    },
    /// The log service returned an error or did not answer in time.
    Failed,
}

/// Result of an append to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The log service appended the records.
    Accepted {
        /// Offset of the first of them.
        first: u64,
    },
    /// The log service stated that it did not append the records.
    Refused,
    /// The reply was lost, so the records may or may not be in the log. Later reads show which.
    Unknown,
}

/// Result of an order that was sent to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because it has seen a higher fencing token.
    Stale {
        /// The highest fencing token that the engine has seen.
        fence: u64,
    },
    /// The order was not sent: there was no connection, or the engine at the address had another
    /// boot identifier than expected.
    Unsent,
    /// The order was sent and the reply was lost, so the engine may or may not have accepted it.
    Unknown,
}

/// An input to the node.
#[derive(Clone, Debug)]
pub enum Input {
    /// Result of the last [`Command::Read`].
    ///
    /// [`Command::Read`]: crate::command::Command::Read
    Read(Read),
    /// Result of an append.
    Append {
        /// Sequence number of the [`Command::Append`].
        ///
        /// [`Command::Append`]: crate::command::Command::Append
        sequence: u64,
        /// Result reported by the log service.
        result: Append,
    },
    /// The instance list; `None` if the request failed.
    InstanceList(Option<List>),
    /// The load of the weight store; `None` if the request failed.
    WeightLoad(Option<WeightStore>),
    /// Answer of a model engine to a poll.
    EngineReport {
        /// Name of the polled instance.
        instance: SmolStr,
        /// The engine's report; `None` if it did not answer in time.
        report: Option<Engine>,
    },
    /// Answer of a plain service's server to a poll.
    ServerReport {
        /// Name of the polled instance.
        instance: SmolStr,
        /// The server's report; `None` if it did not answer in time.
        report: Option<Server>,
    },
    /// Result of an order.
    OrderReply {
        /// Name of the instance that the order was for.
        instance: SmolStr,
        /// Fencing token of the order.
        fence: u64,
        /// Result of the order.
        reply: Reply,
    },
    /// A gossip frame from another entry.
    Gossip {
        /// Items of the frame.
        items: Vec<Item>,
    },
    /// Everything a peer knows of entries, groups and instances, as the answer to
    /// [`Command::FetchView`].
    ///
    /// [`Command::FetchView`]: crate::command::Command::FetchView
    View {
        /// Items of all frames of the answer.
        items: Vec<Item>,
    },
    /// The replicated state of a peer, as the answer to [`Command::FetchState`]; `None` if the
    /// request failed.
    ///
    /// [`Command::FetchState`]: crate::command::Command::FetchState
    State(Option<Snapshot>),
}
