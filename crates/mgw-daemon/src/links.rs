//! Links to other entries: sends frames and requests of the node, and delivers incoming ones to it.
//!
//! [`crate::peer`] has the transport.

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

/// Maximum time to fetch the state or the view of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an exchange failed, which decides whether the request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The peer did not receive the whole request or refused it before acting on it, so it may be
    /// sent again.
    Unsent,
    /// The peer may have received the request, and no answer arrived.
    Unanswered,
}

/// Links to other entries, one per peer.
pub struct Links {
    pool: Pool,
}

impl Links {
    /// Creates the pool; a link is opened when it is first used.
    pub fn new(options: Options) -> Self {
        Self { pool: Pool::new(options) }
    }

    /// Queues a frame that needs no answer. It may be lost.
    pub fn send(&self, peer: &str, frame: &Frame) {
        if let Err(error) = self.pool.send(peer, frame) {
            log::debug!(target: "mgw::links", "{error}");
        }
    }

    /// Sends a request and returns the answer. Logs the cause of a failure.
    pub async fn exchange(
        &self,
        peer: &str,
        frame: &Frame,
        timeout: Duration,
    ) -> Result<Vec<Frame>, Error> {
        self.pool.exchange(peer, frame, timeout).await.map_err(|error| {
            log::debug!(target: "mgw::links", "{error}");
            match error.cause {
                Failure::Unsent(_) => Error::Unsent,
                Failure::Unanswered(_) => Error::Unanswered,
            }
        })
    }

    /// Fetches what a peer knows about all entries, groups and instances; empty if that fails.
    pub async fn fetch_view(&self, peer: &str) -> Vec<Item> {
        let frames = self.pool.exchange(peer, &Frame::ViewRequest, FETCH_TIMEOUT).await;
        let items = frames.unwrap_or_default().into_iter().map(|frame| match frame {
            Frame::Gossip { items, .. } => items,
            _ => Vec::new(),
        });
        items.flatten().collect()
    }

    /// Fetches the replicated state of a peer; `None` if that fails or the state is incomplete.
    pub async fn fetch_state(&self, peer: &str) -> Option<Snapshot> {
        let frames = self.pool.exchange(peer, &Frame::StateRequest, FETCH_TIMEOUT).await.ok()?;
        let mut assembly = Assembler::default();
        // The assembler keeps snapshots apart by their id. One answer holds one snapshot.
        let id = UniqueId::default();
        frames.into_iter().find_map(|frame| match frame {
            Frame::StateChunk { end_offset: upto, index, count, bytes } => {
                assembly.add(id, Part { upto, index, count, bytes })
            }
            _ => None,
        })
    }
}

/// Accepts the links that other entries open. Never returns.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener, options: Options) {
    let deliver = move |incoming| handle_incoming(&shared, incoming);
    server::serve(listener, options, deliver).await;
}

/// Handles a message of a peer, and answers it if it is a request.
fn handle_incoming(shared: &Rc<Shared>, incoming: Incoming) {
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
            // Without frames, `reply` is dropped, which tells the peer that no answer comes.
            if let Some(frames) = state_chunks(shared) {
                reply.send(frames);
            }
        }
        Incoming::Exchange { frame: Frame::ViewRequest, reply, .. } => {
            reply.send(shared.node.borrow().dump_view(shared.now()));
        }
        Incoming::Frame { peer, .. } | Incoming::Exchange { peer, .. } => {
            record_unexpected_frame(shared, &peer)
        }
    }
}

/// Records a frame whose type is not valid on the kind of stream on which it arrived.
fn record_unexpected_frame(shared: &Rc<Shared>, peer: &SmolStr) {
    let body = Body::new(Kind::MalformedFrame).entry(peer);
    shared.record(body.text("unexpected type of frame for this stream"));
}

/// The replicated state as frames; `None` if it cannot be split.
fn state_chunks(shared: &Rc<Shared>) -> Option<Vec<Frame>> {
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
