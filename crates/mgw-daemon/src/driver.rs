//! Drives the node: calls its tick when due and executes the commands that it returns.

use std::rc::Rc;
use std::time::Duration;

use mgw_entry::command::Command;
use mgw_entry::input::{Append, Input, Read, Record, Reply};
use mgw_platform::engine::{self, Service as _};
use mgw_platform::list::Service as _;
use mgw_platform::log::{self, Service as _};
use mgw_platform::service::Service as _;
use mgw_platform::weights::Service as _;
use mgw_wire::frame::Frame;

use crate::booking;
use crate::shared::Shared;

/// Maximum size of one read of the log, in bytes.
const MAX_READ_BYTES: usize = 1 << 20;

/// How long a read of the log waits for new records.
const READ_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Calls the node's tick whenever it is due or a task wakes the driver, and at the latest after
/// `MAX_TICK_INTERVAL`. Never returns.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let next = shared.with_node_without_wake(|node, now| {
            node.tick(now);
            node.next_deadline()
        });
        let delay =
            next.map_or(MAX_TICK_INTERVAL, |at| shared.time_left(at)).min(MAX_TICK_INTERVAL);
        if delay > Duration::ZERO {
            let _ = actix_rt::time::timeout(delay, shared.wake.notified()).await;
        } else {
            // The next tick is already due; other tasks run in between.
            tokio::task::yield_now().await;
        }
    }
}

/// Executes a command of the node. A command that waits for I/O runs in its own task and returns its
/// result to the node as an input.
pub fn execute(shared: &Rc<Shared>, command: Command) {
    let shared = shared.clone();
    match command {
        Command::Append { sequence, records } => {
            actix_rt::spawn(async move {
                let result = append_records(&shared, &records).await;
                shared.with_node(|node, now| {
                    node.handle_input(now, Input::Append { sequence, result })
                });
            });
        }
        Command::Read { from } => {
            actix_rt::spawn(async move {
                let read = read_log(&shared, from).await;
                shared.with_node(|node, now| node.handle_input(now, Input::Read(read)));
            });
        }
        Command::FetchInstanceList => {
            actix_rt::spawn(async move {
                let list = shared.clients.list.instances().await.ok();
                shared.with_node(|node, now| node.handle_input(now, Input::InstanceList(list)));
            });
        }
        Command::FetchWeightLoad => {
            actix_rt::spawn(async move {
                let load = shared.clients.weights.status().await.ok();
                shared.with_node(|node, now| node.handle_input(now, Input::WeightLoad(load)));
            });
        }
        Command::PollEngine { instance, address } => {
            actix_rt::spawn(async move {
                let report = shared.clients.engine.status(&address).await.ok();
                shared.with_node(|node, now| {
                    node.handle_input(now, Input::EngineReport { instance, report })
                });
            });
        }
        Command::PollServer { instance, address } => {
            actix_rt::spawn(async move {
                let report = shared.clients.service.status(&address).await.ok();
                shared.with_node(|node, now| {
                    node.handle_input(now, Input::ServerReport { instance, report })
                });
            });
        }
        Command::SendOrder { instance, address, order } => {
            actix_rt::spawn(async move {
                let fence = order.fence;
                let reply = match shared.clients.engine.order(&address, &order).await {
                    engine::Reply::Accepted => Reply::Accepted,
                    engine::Reply::Stale { fence } => Reply::Stale { fence },
                    // A refused order has no effect, the same as one that was not sent.
                    engine::Reply::Refused(_) | engine::Reply::Unsent(_) => Reply::Unsent,
                    engine::Reply::Unknown(_) => Reply::Unknown,
                };
                shared.with_node(|node, now| {
                    node.handle_input(now, Input::OrderReply { instance, fence, reply })
                });
            });
        }
        Command::FetchState { peer } => {
            actix_rt::spawn(async move {
                let state = shared.links.fetch_state(&peer).await;
                shared.with_node(|node, now| node.handle_input(now, Input::State(state)));
            });
        }
        Command::FetchView { peer } => {
            actix_rt::spawn(async move {
                let items = shared.links.fetch_view(&peer).await;
                shared.with_node(|node, now| node.handle_input(now, Input::View { items }));
            });
        }
        Command::SendFrame { peer, frame } => {
            // The peer advances its hybrid logical clock to the stamp before it handles the frame.
            shared.links.send(&peer, &Frame::Stamp(shared.stamp()));
            shared.links.send(&peer, &frame);
        }
        Command::RunBooking { key } => {
            actix_rt::spawn(booking::execute(shared, key));
        }
        Command::RelayBooking { waiter, exchange, executor, peer } => {
            actix_rt::spawn(booking::relay(shared, waiter, exchange, executor, peer));
        }
        Command::AnswerBooking { waiter, answer } => {
            let pending = shared.pending_bookings.borrow_mut().remove(&waiter.0);
            if let Some(pending) = pending {
                // Fails if the request that waited has ended.
                let _ = pending.sender.send(answer);
            }
        }
    }
}

/// Appends encoded records to the control stream of the log.
async fn append_records(shared: &Shared, records: &[Vec<u8>]) -> Append {
    match shared.clients.log.append(&shared.config.log_stream, records).await {
        log::Append::Accepted { first } => Append::Accepted { first },
        log::Append::Refused(_) => Append::Refused,
        log::Append::Unknown(_) => Append::Unknown,
    }
}

/// Reads the control stream of the log from an offset.
async fn read_log(shared: &Shared, from: u64) -> Read {
    let read = shared
        .clients
        .log
        .read(&shared.config.log_stream, from, MAX_READ_BYTES, READ_WAIT_TIMEOUT)
        .await;
    match read {
        log::Read::Batch { first, next, records } => Read::Batch {
            first,
            next,
            records: records
                .into_iter()
                .map(|it| Record { offset: it.offset, at_ms: it.at_ms, bytes: it.bytes.to_vec() })
                .collect(),
        },
        log::Read::Trimmed { first, next } => Read::Trimmed { first, next },
        log::Read::Failed(_) => Read::Failed,
    }
}
