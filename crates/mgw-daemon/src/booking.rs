//! Bookings: calls of plain services that must not run twice. Runs them here as their executor, or
//! relays them to the entry that is the executor.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mgw_base::time::Instant;
use mgw_booking::coordinator::{Origin, Request};
use mgw_booking::key::{self, Key};
use mgw_booking::ledger::{End, Waiter};
use mgw_booking::outcome::{Cause, Outcome, Reply};
use mgw_booking::relay::{self, Answer};
use mgw_platform::service::{self, Call, Method, Service as _};
use mgw_wire::frame;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::links;
use crate::shared::{PendingBooking, Shared};

/// Delay before a relay that was not sent is tried again.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum wait for the answer to a dispatched call, regardless of the booking's deadline: a retry
/// with the same key gets an answer that arrives after the deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A booking with the content of its call.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Team of the caller.
    pub team: SmolStr,
    /// Plain service that the call is for.
    pub service: SmolStr,
    /// Idempotency key as the caller sent it, or one that this process generated.
    pub key: SmolStr,
    /// Parsed form of the idempotency key.
    pub parsed_key: Key,
    /// Hash of team, service and key.
    pub key_hash: u128,
    /// HTTP method of the call.
    pub method: SmolStr,
    /// Path below the service's prefix, with the query.
    pub path: SmolStr,
    /// Content type of the body; may be empty.
    pub content_type: SmolStr,
    /// Body of the call.
    pub body: Bytes,
    /// Instant from which the call is no longer dispatched. The connection to the server is opened
    /// after the dispatch, so bytes may be written up to the transport's connect timeout later.
    pub deadline: Instant,
}

impl Booking {
    /// The request for the coordinator. Its content hash covers method, path, content type and body.
    fn request(&self) -> Request {
        let parts: [&[u8]; 4] = [
            self.method.as_bytes(),
            self.path.as_bytes(),
            self.content_type.as_bytes(),
            &self.body,
        ];
        Request {
            key: self.parsed_key.clone(),
            hash: self.key_hash,
            content: key::content_hash(self.key_hash, &parts),
            deadline: self.deadline,
        }
    }
}

/// Removes the pending booking and tells the node when the request that waits for it is dropped.
struct PendingGuard {
    shared: Rc<Shared>,
    hash: u128,
    waiter: Waiter,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        if self.shared.pending_bookings.borrow_mut().remove(&self.waiter.0).is_some() {
            let (hash, waiter) = (self.hash, self.waiter);
            self.shared.with_node(|node, _| node.remove_waiter(hash, waiter));
        }
    }
}

/// Submits a booking of a caller or a peer to the node and waits for its outcome.
pub async fn submit(shared: &Rc<Shared>, booking: Booking, origin: Origin) -> Answer {
    let (waiter, booking) = (shared.next_waiter(), Rc::new(booking));
    let (sender, receiver) = oneshot::channel();
    let request = booking.request();
    let hash = booking.key_hash;
    shared
        .pending_bookings
        .borrow_mut()
        .insert(waiter.0, PendingBooking { booking: booking.clone(), sender });
    // The first booking with a key is the one that runs. The node refuses later ones with the same
    // key and other content.
    shared.bookings_by_key.borrow_mut().get_or_insert_with(hash, || booking.clone());
    let pending_guard = PendingGuard { shared: shared.clone(), hash, waiter };
    shared.with_node(|node, now| node.book(now, &request, origin, waiter));
    let answer = receiver.await;
    drop(pending_guard);
    let open = shared.node.borrow().is_booking_open(hash);
    if !open {
        shared.bookings_by_key.borrow_mut().remove(&hash);
    }
    answer.unwrap_or(Answer::Outcome(Outcome::Unknown(Cause::AnswerLost)))
}

/// Runs a booking whose only executor is this process: chooses a server, asks the node for the
/// permission to dispatch, sends the call and reports how it ended.
pub async fn execute(shared: Rc<Shared>, hash: u128) {
    let Some(booking) = shared.bookings_by_key.borrow().get(&hash).cloned() else {
        shared.with_node(|node, now| node.abandon_booking(now, hash));
        return;
    };
    let Ok(method) = Method::from_bytes(booking.method.as_bytes()) else {
        shared.with_node(|node, now| node.abandon_booking(now, hash));
        return;
    };
    let server = shared.with_node(|node, now| node.booking_server(now, &booking.service));
    let Some(server) = server else {
        shared.with_node(|node, now| node.abandon_booking(now, hash));
        return;
    };
    if !shared.with_node(|node, now| node.dispatch(now, hash, &server)) {
        return;
    }
    let call = Call {
        method,
        path: booking.path.clone(),
        headers: vec![(
            SmolStr::new_static("content-type"),
            Bytes::copy_from_slice(booking.content_type.as_bytes()),
        )],
        body: booking.body.clone(),
        idempotency_key: Some(booking.key.clone()),
        repeatable: false,
        response_timeout: ANSWER_TIMEOUT,
    };
    let end = match shared.clients.service.call(&server.address, &call).await {
        service::Outcome::Unsent(_) => {
            shared.with_node(|node, now| node.record_refusal(now, &server.name));
            End::NeverWritten
        }
        service::Outcome::Unknown(_) => End::Lost,
        service::Outcome::NotRun(_) => End::ReportedNotRun,
        service::Outcome::Answered(answer) => {
            let content_type = answer
                .headers
                .iter()
                .find(|(name, _)| name == "content-type")
                .map(|(_, value)| String::from_utf8_lossy(value).into_owned())
                .unwrap_or_default();
            End::Answered(Reply {
                status: answer.status,
                content_type: content_type.into(),
                body: answer.body,
            })
        }
    };
    shared.with_node(|node, now| node.settle_booking(now, hash, end));
}

/// Relays a pending booking to its executor and reports how that ended.
///
/// While nothing was sent it tries again, until the deadline passes or the executor's incarnation has
/// ended. It never sends again what the executor may have received.
pub async fn relay(
    shared: Rc<Shared>,
    waiter: Waiter,
    exchange: u64,
    executor: u64,
    peer: Option<SmolStr>,
) {
    let booking =
        shared.pending_bookings.borrow().get(&waiter.0).map(|pending| pending.booking.clone());
    let Some(booking) = booking else {
        shared.with_node(|node, now| node.finish_relay(now, exchange, executor, relay::End::Lost));
        return;
    };
    let end = loop {
        let left = shared.time_left(booking.deadline);
        let Some(peer) = peer.as_ref().filter(|_| !left.is_zero()) else {
            break relay::End::Unsent;
        };
        let frame = frame::Frame::Relay(frame::Relay {
            exchange_id: exchange,
            executor,
            team: booking.team.to_string(),
            service: booking.service.to_string(),
            key: booking.key.to_string(),
            method: booking.method.to_string(),
            path: booking.path.to_string(),
            content_type: booking.content_type.to_string(),
            body: booking.body.to_vec(),
            deadline_ms: left.as_millis() as u64,
            stamp: shared.stamp(),
        });
        match shared.links.exchange(peer, &frame, left).await {
            Ok(answer) => break read_answer(&shared, peer, exchange, answer),
            Err(links::Error::Unanswered) => break relay::End::Lost,
            Err(links::Error::Unsent) => actix_rt::time::sleep(RELAY_RETRY_DELAY).await,
        }
        let executor_gone = shared.node.borrow().state().is_dead(executor);
        if executor_gone {
            break relay::End::Gone;
        }
    };
    shared.with_node(|node, now| node.finish_relay(now, exchange, executor, end));
}

/// Reads the answer to a relayed booking. Without an answer that names this exchange, the answer
/// counts as lost.
fn read_answer(
    shared: &Shared,
    peer: &str,
    exchange: u64,
    answer: Vec<frame::Frame>,
) -> relay::End {
    let mut end = relay::End::Lost;
    for frame in answer {
        match frame {
            frame::Frame::Stamp(stamp) => shared.observe(peer, stamp),
            frame::Frame::RelayAnswer { exchange_id: id, outcome } if id == exchange => {
                end = relay::End::Answered(decode_outcome(outcome));
            }
            _ => {}
        }
    }
    end
}

/// Submits a booking that another entry relayed to this one and returns the frame with its outcome. A
/// booking with a malformed key is not run.
pub async fn handle_relay(shared: Rc<Shared>, relay: frame::Relay) -> frame::Frame {
    let exchange = relay.exchange_id;
    let outcome = match key::parse(&relay.key) {
        Err(_) => frame::Outcome::NotRun { reason: Cause::GivenUp.to_string() },
        Ok(parsed_key) => {
            let booking = Booking {
                key_hash: key::hash(&relay.team, &relay.service, &relay.key),
                team: relay.team.into(),
                service: relay.service.into(),
                key: relay.key.into(),
                parsed_key,
                method: relay.method.into(),
                path: relay.path.into(),
                content_type: relay.content_type.into(),
                body: relay.body.into(),
                deadline: shared.now() + Duration::from_millis(relay.deadline_ms),
            };
            let origin = Origin::Peer { executor: relay.executor };
            encode_outcome(submit(&shared, booking, origin).await)
        }
    };
    frame::Frame::RelayAnswer { exchange_id: exchange, outcome }
}

/// Converts the answer of the node to its form on the wire.
fn encode_outcome(answer: Answer) -> frame::Outcome {
    match answer {
        Answer::Conflict => frame::Outcome::Conflict,
        Answer::Outcome(Outcome::Done(reply)) => frame::Outcome::Done {
            status: reply.status,
            content_type: reply.content_type.to_string(),
            body: reply.body.to_vec(),
        },
        Answer::Outcome(Outcome::NotRun(cause)) => {
            frame::Outcome::NotRun { reason: cause.to_string() }
        }
        Answer::Outcome(Outcome::Unknown(cause)) => {
            frame::Outcome::Unknown { reason: cause.to_string() }
        }
    }
}

/// Converts an outcome on the wire. A reason that cannot be parsed becomes
/// [`Cause::GivenUp`] or [`Cause::AnswerLost`].
fn decode_outcome(outcome: frame::Outcome) -> Answer {
    Answer::Outcome(match outcome {
        frame::Outcome::Conflict => return Answer::Conflict,
        frame::Outcome::Done { status, content_type, body } => {
            Outcome::Done(Reply { status, content_type: content_type.into(), body: body.into() })
        }
        frame::Outcome::NotRun { reason } => {
            Outcome::NotRun(Cause::parse(&reason).unwrap_or(Cause::GivenUp))
        }
        frame::Outcome::Unknown { reason } => {
            Outcome::Unknown(Cause::parse(&reason).unwrap_or(Cause::AnswerLost))
        }
    })
}
