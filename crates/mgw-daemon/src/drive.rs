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
        let next = shared.act(|node, now| {
            node.tick(now);
            node.next()
        });
        let pause = next.map_or(IDLE, |at| shared.left(at)).min(IDLE);
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
                shared.with(|node, now| node.input(now, Input::Append { sequence, result }));
            });
        }
        Command::Read { from } => {
            actix_rt::spawn(async move {
                let read = read(&shared, from).await;
                shared.with(|node, now| node.input(now, Input::Read(read)));
            });
        }
        Command::List => {
            actix_rt::spawn(async move {
                let list = shared.clients.list.instances().await.ok();
                shared.with(|node, now| node.input(now, Input::List(list)));
            });
        }
        Command::Weight => {
            actix_rt::spawn(async move {
                let weight = shared.clients.weights.status().await.ok();
                shared.with(|node, now| node.input(now, Input::Weight(weight)));
            });
        }
        Command::PollEngine { instance, address } => {
            actix_rt::spawn(async move {
                let report = shared.clients.engine.status(&address).await.ok();
                shared.with(|node, now| node.input(now, Input::Engine { instance, report }));
            });
        }
        Command::PollServer { instance, address } => {
            actix_rt::spawn(async move {
                let report = shared.clients.service.status(&address).await.ok();
                shared.with(|node, now| node.input(now, Input::Server { instance, report }));
            });
        }
        Command::Order { instance, address, order } => {
            actix_rt::spawn(async move {
                let fence = order.fence;
                let reply = match shared.clients.engine.order(&address, &order).await {
                    engine::Reply::Accepted => Reply::Accepted,
                    engine::Reply::Stale { fence } => Reply::Stale { fence },
                    // A refused order has no effect, like one that was not sent.
                    engine::Reply::Refused(_) | engine::Reply::Unsent(_) => Reply::Unsent,
                    engine::Reply::Unknown(_) => Reply::Unknown,
                };
                shared.with(|node, now| node.input(now, Input::Order { instance, fence, reply }));
            });
        }
        Command::FetchState { peer } => {
            actix_rt::spawn(async move {
                let whole = shared.links.fetch_state(&peer).await;
                shared.with(|node, now| node.input(now, Input::State(whole)));
            });
        }
        Command::FetchView { peer } => {
            actix_rt::spawn(async move {
                let items = shared.links.fetch_view(&peer).await;
                shared.with(|node, now| node.input(now, Input::View { items }));
            });
        }
        Command::Send { peer, frame } => {
            shared.links.send(&peer, &Frame::Stamp(shared.stamp()));
            shared.links.send(&peer, &frame);
        }
        Command::Run { key } => {
            actix_rt::spawn(booking::execute(shared, key));
        }
        Command::Relay { waiter, exchange, executor, peer } => {
            actix_rt::spawn(booking::relay(shared, waiter, exchange, executor, peer));
        }
        Command::Answer { waiter, verdict } => {
            let waiting = shared.waiting.borrow_mut().remove(&waiter.0);
            if let Some(waiting) = waiting {
                // The caller may have gone away.
                let _ = waiting.sender.send(verdict);
            }
        }
    }
}

async fn append(shared: &Shared, records: &[Vec<u8>]) -> Append {
    match shared.clients.log.append(&shared.config.stream, records).await {
        log::Append::Accepted { first } => Append::Accepted { first },
        log::Append::Refused(_) => Append::Refused,
        log::Append::Unknown(_) => Append::Unknown,
    }
}

async fn read(shared: &Shared, from: u64) -> Read {
    let read = shared.clients.log.read(&shared.config.stream, from, READ_BYTES, READ_WAIT).await;
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
