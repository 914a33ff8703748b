//! The links to other entries, as the rest of the daemon uses them.

use std::rc::Rc;
use std::time::Duration;

use mgw_entry::input::Input;
use mgw_event::{Body, Kind};
use mgw_state::record::UniqueId;
use mgw_state::snapshot::{self, Assembler, Part, Snapshot};
use mgw_wire::frame::{Frame, Item};
use smol_str::SmolStr;
use tokio::net::TcpListener;

use crate::booking;
use crate::peer::client::Pool;
use crate::peer::server::{self, Incoming};
use crate::peer::{Failure, Options};
use crate::shared::Shared;

/// Time for a peer's state to arrive.
const STATE: Duration = Duration::from_secs(10);

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The peer has not received the question and never will.
    Unsent,
    /// The question may have been received; no answer arrived.
    Unanswered,
}

/// The links to other entries.
pub struct Links {
    pool: Pool,
}

impl Links {
    /// Links that are opened on demand.
    pub fn new(options: Options) -> Self {
        Self { pool: Pool::new(options) }
    }

    /// Sends a frame that wants no answer; it may be lost.
    pub fn send(&self, peer: &str, frame: &Frame) {
        if let Err(error) = self.pool.send(peer, frame) {
            log::debug!(target: "mgw::links", "{error}");
        }
    }

    /// Sends a question and returns the answer.
    pub async fn exchange(
        &self,
        peer: &str,
        frame: &Frame,
        within: Duration,
    ) -> Result<Vec<Frame>, Error> {
        self.pool.exchange(peer, frame, within).await.map_err(|error| {
            log::debug!(target: "mgw::links", "{error}");
            match error.cause {
                Failure::Unsent(_) => Error::Unsent,
                Failure::Unanswered(_) => Error::Unanswered,
            }
        })
    }

    /// All that a peer knows; empty if it could not be had.
    pub async fn fetch_view(&self, peer: &str) -> Vec<Item> {
        let frames = self.pool.exchange(peer, &Frame::ViewRequest, STATE).await;
        let items = frames.unwrap_or_default().into_iter().map(|frame| match frame {
            Frame::Gossip { items, .. } => items,
            _ => Vec::new(),
        });
        items.flatten().collect()
    }

    /// The replicated state of a peer; `None` if it could not be had.
    pub async fn fetch_state(&self, peer: &str) -> Option<Snapshot> {
        let frames = self.pool.exchange(peer, &Frame::StateRequest, STATE).await.ok()?;
        let mut assembly = Assembler::default();
        let id = UniqueId::default();
        frames.into_iter().find_map(|frame| match frame {
            Frame::StateChunk { end_offset: upto, index, count, bytes } => {
                assembly.add(id, Part { upto, index, count, bytes })
            }
            _ => None,
        })
    }
}

/// Serves the links that other entries open.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener, options: Options) {
    let deliver = move |incoming| take(&shared, incoming);
    server::serve(listener, options, deliver).await;
}

fn take(shared: &Rc<Shared>, incoming: Incoming) {
    match incoming {
        Incoming::Frame { frame: Frame::Gossip { items, .. }, .. } => {
            shared.with_node(|node, now| node.handle_input(now, Input::Gossip { items }));
        }
        Incoming::Frame { frame: Frame::Stamp(stamp), peer } => shared.observe(&peer, stamp),
        Incoming::Exchange { frame: Frame::Relay(relay), reply, peer } => {
            shared.observe(&peer, relay.stamp);
            let shared = shared.clone();
            actix_rt::spawn(async move {
                let answer = booking::handle_relay(shared.clone(), relay).await;
                reply.send(vec![Frame::Stamp(shared.stamp()), answer]);
            });
        }
        Incoming::Exchange { frame: Frame::StateRequest, reply, .. } => {
            // A state that cannot be split is answered by no answer.
            if let Some(frames) = state(shared) {
                reply.send(frames);
            }
        }
        Incoming::Exchange { frame: Frame::ViewRequest, reply, .. } => {
            reply.send(shared.node.borrow().dump_view(shared.now()));
        }
        Incoming::Frame { peer, .. } | Incoming::Exchange { peer, .. } => unexpected(shared, &peer),
    }
}

fn unexpected(shared: &Rc<Shared>, peer: &SmolStr) {
    let body = Body::new(Kind::MalformedFrame).entry(peer);
    shared.record(body.text("the frame has no meaning in this place"));
}

fn state(shared: &Rc<Shared>) -> Option<Vec<Frame>> {
    let node = shared.node.borrow();
    let parts = snapshot::split(node.state()).ok()?;
    let chunks = parts.into_iter().map(|part| Frame::StateChunk {
        end_offset: part.upto,
        index: part.index,
        count: part.count,
        bytes: part.bytes,
    });
    Some(chunks.collect())
}
