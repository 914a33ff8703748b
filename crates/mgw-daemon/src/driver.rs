//! Drives the node: its tick, and the commands that it returns.

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

/// Bytes of one read of the log.
const READ_BYTES: usize = 1 << 20;

/// How long a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);

/// The longest time between two ticks.
const IDLE: Duration = Duration::from_millis(100);

/// Runs the node's tick whenever it is due.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let next = shared.with_node_without_wake(|node, now| {
            node.tick(now);
            node.next_deadline()
        });
        let pause = next.map_or(IDLE, |at| shared.time_left(at)).min(IDLE);
        if pause > Duration::ZERO {
            let _ = actix_rt::time::timeout(pause, shared.wake.notified()).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

/// Carries out a command in a task of its own.
pub fn execute(shared: &Rc<Shared>, command: Command) {
    let shared = shared.clone();
    match command {
        Command::Append { sequence, records } => {
            actix_rt::spawn(async move {
                let result = append(&shared, &records).await;
                shared.with_node(|node, now| {
                    node.handle_input(now, Input::Append { sequence, result })
                });
            });
        }
        Command::Read { from } => {
            actix_rt::spawn(async move {
                let read = read(&shared, from).await;
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
                let weight = shared.clients.weights.load().await.ok();
                shared.with_node(|node, now| node.handle_input(now, Input::WeightLoad(weight)));
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
                    // A refused order has no effect, like one that was not sent.
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
                let whole = shared.links.fetch_state(&peer).await;
                shared.with_node(|node, now| node.handle_input(now, Input::State(whole)));
            });
        }
        Command::FetchView { peer } => {
            actix_rt::spawn(async move {
                let items = shared.links.fetch_view(&peer).await;
                shared.with_node(|node, now| node.handle_input(now, Input::View { items }));
            });
        }
        Command::SendFrame { peer, frame } => {
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
            let waiting = shared.pending_bookings.borrow_mut().remove(&waiter.0);
            if let Some(waiting) = waiting {
                // The caller may have gone away.
                let _ = waiting.sender.send(answer);
            }
        }
    }
}

async fn append(shared: &Shared, records: &[Vec<u8>]) -> Append {
    match shared.clients.log.append(&shared.config.log_stream, records).await {
        log::Append::Accepted { first } => Append::Accepted { first },
        log::Append::Refused(_) => Append::Refused,
        log::Append::Unknown(_) => Append::Unknown,
    }
}

async fn read(shared: &Shared, from: u64) -> Read {
    let read =
        shared.clients.log.read(&shared.config.log_stream, from, READ_BYTES, READ_WAIT).await;
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
