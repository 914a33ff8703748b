//! What the edges of the process tell the node.

use mgw_report::report::{Engine, List, Server, Weight};
use mgw_state::snapshot::Snapshot;
use mgw_wire::frame::Item;
use smol_str::SmolStr;

/// A record as the log service returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its offset.
    pub offset: u64,
    /// When the log service appended it, on its clock, in ms; ascending.
    pub at_ms: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Result of a read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records from the offset that was asked for, perhaps none.
    Batch {
        /// The first offset that the log retains.
        first: u64,
        /// The offset that the next append gets.
        next: u64,
        /// The records in offset order.
        records: Vec<Record>,
    },
    /// The offset that was asked for is no longer retained.
    Trimmed {
        /// The first offset that the log retains.
        first: u64,
        /// The offset that the next append gets.
        next: u64,
    },
    /// No answer in time, or an error.
    Failed,
}

/// Result of an append to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The records are in the log.
    Accepted {
        /// Offset of the first of them.
        first: u64,
    },
    /// The log service said that it did not append them.
    Refused,
    /// It cannot be told; reading on settles it.
    Unknown,
}

/// Result of an order to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine knows a newer fencing token.
    Stale {
        /// That token.
        fence: u64,
    },
    /// The order was not sent: no connection, or another boot answered.
    Unsent,
    /// The order was sent, but its effect cannot be told.
    Unknown,
}

/// An input to the node.
#[derive(Clone, Debug)]
pub enum Input {
    /// The read that the last `Command::Read` asked for ended.
    Read(Read),
    /// An append ended.
    Append {
        /// The command's sequence.
        sequence: u64,
        /// Its result.
        result: Append,
    },
    /// The instance list; `None` if it could not be had.
    List(Option<List>),
    /// The weight store's load; `None` if it could not be had.
    Weight(Option<Weight>),
    /// Answer of a model engine to a poll; `None` if it did not answer in time.
    Engine {
        /// The instance that was polled.
        instance: SmolStr,
        /// Its report.
        report: Option<Engine>,
    },
    /// Answer of a plain service's server to a poll; `None` if it did not answer in time.
    Server {
        /// The instance that was polled.
        instance: SmolStr,
        /// Its report.
        report: Option<Server>,
    },
    /// An order ended.
    Order {
        /// The instance.
        instance: SmolStr,
        /// The order's fencing token.
        fence: u64,
        /// Its result.
        reply: Reply,
    },
    /// Gossip from another entry.
    Gossip {
        /// The items.
        items: Vec<Item>,
    },
    /// All that a peer knows, as an answer to `Command::FetchView`.
    View {
        /// The items.
        items: Vec<Item>,
    },
    /// The replicated state of a peer; `None` if it could not be had.
    State(Option<Snapshot>),
}
