//! Runs and relays calls that may not be repeated.

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
use crate::shared::{Shared, Waiting};

/// Pause before a relay that was not sent is tried again.
const RELAY_PAUSE: Duration = Duration::from_millis(100);

/// The longest time that the answer to a written call is waited for, whatever the deadline: a
/// retry with the same key gets it.
const ANSWER_WAIT: Duration = Duration::from_secs(30);

/// A booking with its content.
#[derive(Clone, Debug)]
pub struct Booking {
    /// The caller's team.
    pub team: SmolStr,
    /// The plain service.
    pub service: SmolStr,
    /// The idempotency key as the caller sent it.
    pub key: SmolStr,
    /// Its parsed form.
    pub parsed: Key,
    /// Hash of team, service and key.
    pub hash: u128,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query below the service.
    pub path: SmolStr,
    /// Content type of the body.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
    /// No byte is written at or after this instant.
    pub deadline: Instant,
}

impl Booking {
    fn request(&self) -> Request {
        let parts: [&[u8]; 4] = [
            self.method.as_bytes(),
            self.path.as_bytes(),
            self.content_type.as_bytes(),
            &self.body,
        ];
        Request {
            key: self.parsed.clone(),
            hash: self.hash,
            content: key::content_hash(self.hash, &parts),
            deadline: self.deadline,
        }
    }
}

/// Removes a waiting booking when the request that waits for it is dropped.
struct Wait {
    shared: Rc<Shared>,
    hash: u128,
    waiter: Waiter,
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.shared.waiting.borrow_mut().remove(&self.waiter.0).is_some() {
            let (hash, waiter) = (self.hash, self.waiter);
            self.shared.with(|node, _| node.leave(hash, waiter));
        }
    }
}

/// Takes a booking and waits for its outcome.
pub async fn submit(shared: &Rc<Shared>, booking: Booking, origin: Origin) -> Answer {
    let (waiter, booking) = (shared.waiter(), Rc::new(booking));
    let (sender, receiver) = oneshot::channel();
    let request = booking.request();
    let hash = booking.hash;
    shared.waiting.borrow_mut().insert(waiter.0, Waiting { booking: booking.clone(), sender });
    // The first booking of a key is the one that runs; the node refuses others with the same key
    // and another content.
    shared.held.borrow_mut().entry(hash, || booking.clone());
    let wait = Wait { shared: shared.clone(), hash, waiter };
    shared.with(|node, now| node.book(now, &request, origin, waiter));
    let verdict = receiver.await;
    drop(wait);
    let open = shared.node.borrow().is_booking_open(hash);
    if !open {
        shared.held.borrow_mut().remove(&hash);
    }
    verdict.unwrap_or(Answer::Outcome(Outcome::Unknown(Cause::AnswerLost)))
}

/// Runs a booking that this process is the sole executor of.
pub async fn execute(shared: Rc<Shared>, hash: u128) {
    let Some(booking) = shared.held.borrow().get(&hash).cloned() else {
        shared.with(|node, now| node.abandon(now, hash));
        return;
    };
    let Ok(method) = Method::from_bytes(booking.method.as_bytes()) else {
        shared.with(|node, now| node.abandon(now, hash));
        return;
    };
    let server = shared.with(|node, now| node.booking_server(now, &booking.service));
    let Some(server) = server else {
        shared.with(|node, now| node.abandon(now, hash));
        return;
    };
    if !shared.with(|node, now| node.dispatch(now, hash, &server)) {
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
        response_timeout: ANSWER_WAIT,
    };
    let end = match shared.clients.service.call(&server.address, &call).await {
        service::Outcome::Unsent(_) => {
            shared.with(|node, now| node.unreachable(now, &server.name));
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
    shared.with(|node, now| node.settle(now, hash, end));
}

/// Relays a waiting booking to its executor; tries again for as long as nothing was sent.
pub async fn relay(
    shared: Rc<Shared>,
    waiter: Waiter,
    exchange: u64,
    executor: u64,
    peer: Option<SmolStr>,
) {
    let booking = shared.waiting.borrow().get(&waiter.0).map(|held| held.booking.clone());
    let Some(booking) = booking else {
        shared.with(|node, now| node.relayed(now, exchange, executor, relay::End::Lost));
        return;
    };
    let end = loop {
        let left = shared.left(booking.deadline);
        let Some(peer) = peer.as_ref().filter(|_| !left.is_zero()) else {
            break relay::End::Unsent;
        };
        let frame = frame::Frame::Relay(frame::Relay {
            exchange,
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
            Err(links::Error::Lost) => break relay::End::Lost,
            Err(links::Error::Unsent) => actix_rt::time::sleep(RELAY_PAUSE).await,
        }
        let dead = shared.node.borrow().state().is_dead(executor);
        if dead {
            break relay::End::Gone;
        }
    };
    shared.with(|node, now| node.relayed(now, exchange, executor, end));
}

/// Reads the answer to a relayed booking; one of another exchange counts as lost.
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
            frame::Frame::RelayAnswer { exchange: named, outcome } if named == exchange => {
                end = relay::End::Answered(verdict(outcome));
            }
            _ => {}
        }
    }
    end
}

/// Answers a booking that another entry relayed to this one.
pub async fn take_relay(shared: Rc<Shared>, relay: frame::Relay) -> frame::Frame {
    let exchange = relay.exchange;
    let outcome = match key::parse(&relay.key) {
        Err(_) => frame::Outcome::NotRun { reason: Cause::GivenUp.to_string() },
        Ok(parsed) => {
            let booking = Booking {
                hash: key::hash(&relay.team, &relay.service, &relay.key),
                team: relay.team.into(),
                service: relay.service.into(),
                key: relay.key.into(),
                parsed,
                method: relay.method.into(),
                path: relay.path.into(),
                content_type: relay.content_type.into(),
                body: relay.body.into(),
                deadline: shared.now() + Duration::from_millis(relay.deadline_ms),
            };
            let origin = Origin::Peer { executor: relay.executor };
            outcome(submit(&shared, booking, origin).await)
        }
    };
    frame::Frame::RelayAnswer { exchange, outcome }
}

fn outcome(verdict: Answer) -> frame::Outcome {
    match verdict {
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

fn verdict(outcome: frame::Outcome) -> Answer {
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
