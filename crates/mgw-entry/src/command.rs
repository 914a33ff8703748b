//! Commands of the node to the I/O layer of the process.

use mgw_booking::ledger::Waiter;
use mgw_booking::relay::Answer;
use mgw_report::report::Order;
use mgw_wire::frame::Frame;
use smol_str::SmolStr;

/// A command that the I/O layer carries out.
#[derive(Clone, Debug)]
pub enum Command {
    /// Append records to the log in one append. At most one append is outstanding.
    Append {
        /// Sequence number of the append, ascending. The result states it.
        sequence: u64,
        /// The encoded records.
        records: Vec<Vec<u8>>,
    },
    /// Read the log from an offset, and wait a short time for records if there are none. At most
    /// one read is outstanding.
    Read {
        /// First offset to read.
        from: u64,
    },
    /// Fetch the instance list.
    FetchInstanceList,
    /// Fetch the load of the weight store.
    FetchWeightLoad,
    /// Poll a model engine.
    PollEngine {
        /// Name of the instance.
        instance: SmolStr,
        /// Address of the engine, from the sheet.
        address: SmolStr,
    },
    /// Poll a plain service's server.
    PollServer {
        /// Name of the instance.
        instance: SmolStr,
        /// Address of the server, from the sheet.
        address: SmolStr,
    },
    /// Send an order to a model engine over a connection on which the engine's boot identifier was
    /// confirmed.
    SendOrder {
        /// Name of the instance.
        instance: SmolStr,
        /// Address of the engine, from the sheet.
        address: SmolStr,
        /// The order to send.
        order: Order,
    },
    /// Fetch the replicated state of another entry.
    FetchState {
        /// The peer's address on the peers port.
        peer: SmolStr,
    },
    /// Fetch everything another entry knows of entries, groups and instances.
    FetchView {
        /// The peer's address on the peers port.
        peer: SmolStr,
    },
    /// Run a booking: open a connection to a server, call [`crate::node::Node::dispatch`] and write
    /// the request only if that returns true.
    RunBooking {
        /// Hash of team, service and key.
        key: u128,
    },
    /// Relay a waiting booking to its executor.
    RelayBooking {
        /// Request that waits for the outcome.
        waiter: Waiter,
        /// Number of the exchange in [`mgw_booking::relay::Table`].
        exchange: u64,
        /// Incarnation of the executor.
        executor: u64,
        /// The executor's address on the peers port; `None` if it is not known.
        peer: Option<SmolStr>,
    },
    /// Answer a request that waits for a booking.
    AnswerBooking {
        /// Request that waits for the outcome.
        waiter: Waiter,
        /// Outcome of the booking, or a conflict.
        answer: Answer,
    },
    /// Send a frame to another entry.
    SendFrame {
        /// The peer's address on the peers port.
        peer: SmolStr,
        /// The frame to send.
        frame: Frame,
    },
}
