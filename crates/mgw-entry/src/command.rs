//! What the node asks the edges of the process to do.

use mgw_booking::ledger::Waiter;
use mgw_booking::relay::Answer;
use mgw_report::report::Order;
use mgw_wire::frame::Frame;
use smol_str::SmolStr;

/// A command of the node to the edges.
#[derive(Clone, Debug)]
pub enum Command {
    /// Append records to the log in one append; at most one append is outstanding.
    Append {
        /// Ascending; the result names it.
        sequence: u64,
        /// The encoded records.
        records: Vec<Vec<u8>>,
    },
    /// Read the log from an offset, waiting for records for a short time; at most one read is
    /// outstanding.
    Read {
        /// The first offset wanted.
        from: u64,
    },
    /// Fetch the instance list.
    FetchInstanceList,
    /// Fetch the weight store's load.
    FetchWeightLoad,
    /// Poll a model engine.
    PollEngine {
        /// The instance.
        instance: SmolStr,
        /// Its address.
        address: SmolStr,
    },
    /// Poll a plain service's server.
    PollServer {
        /// The instance.
        instance: SmolStr,
        /// Its address.
        address: SmolStr,
    },
    /// Send an order to a model engine over a connection on which the engine's boot was confirmed.
    SendOrder {
        /// The instance.
        instance: SmolStr,
        /// Its address.
        address: SmolStr,
        /// The order.
        order: Order,
    },
    /// Fetch the replicated state of another entry.
    FetchState {
        /// The peer's address on the peers port.
        peer: SmolStr,
    },
    /// Fetch all that another entry knows of entries, groups and instances.
    FetchView {
        /// The peer's address on the peers port.
        peer: SmolStr,
    },
    /// Open a connection to a server for a booking, ask [`crate::node::Node::dispatch`] and write
    /// the call only if it allows that.
    RunBooking {
        /// Hash of team, service and key.
        key: u128,
    },
    /// Relay a waiting booking to its executor.
    RelayBooking {
        /// The booking that waits.
        waiter: Waiter,
        /// The exchange, as in `mgw_booking::relay`.
        exchange: u64,
        /// The executor's incarnation.
        executor: u64,
        /// The executor's address on the peers port; `None` if it is not known.
        peer: Option<SmolStr>,
    },
    /// Answer a waiting booking.
    AnswerBooking {
        /// The booking that waits.
        waiter: Waiter,
        /// Its outcome.
        answer: Answer,
    },
    /// Send a frame to another entry.
    SendFrame {
        /// The peer's address on the peers port.
        peer: SmolStr,
        /// The frame.
        frame: Frame,
    },
}
