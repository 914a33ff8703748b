//! The interface for callers: directory, model calls, calls of plain services.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response};
use bytes::Bytes;
use mgw_base::time::Instant;
use mgw_booking::coordinator::Origin;
use mgw_booking::key;
use mgw_booking::outcome::Outcome;
use mgw_booking::relay::Answer;
use mgw_entry::call::{self, Loss, Next, Route};
use mgw_platform::service::{self, Call, Service as _};
use mgw_route::quarantine;
use mgw_route::select::Destination;
use mgw_wire::frame::Phase;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::answer::{Code, Error};
use crate::booking::{self, Booking};
use crate::shared::Shared;
use crate::{chat, http, metrics};

/// The longest deadline that a caller may ask for.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);

/// Pause before the loss of a connection is acted upon. A process that dies closes its
/// connections a moment before its listening socket; a connection that is opened in between is cut
/// as well, and the crash would not be recognized by the refusal that follows it.
const CUT_PAUSE: Duration = Duration::from_millis(25);

/// The longest request id in bytes.
const ID_LIMIT: usize = 128;

/// What every authorised request of a caller has.
#[derive(Clone, Debug)]
pub struct Head {
    /// The caller's team.
    pub team: SmolStr,
    /// The request id.
    pub id: SmolStr,
    /// When the caller no longer waits.
    pub deadline: Instant,
    /// 0 (interactive) to 3 (batch).
    pub priority: u8,
}

/// Answers a request of a caller.
pub async fn handle(shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let result = match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/entries") => Ok(directory(&shared, &request)),
        (&Method::GET, "/healthz") => Ok(http::json(200, &json!({ "status": "ok" }))),
        (&Method::GET, "/readyz") => Ok(ready(&shared)),
        (&Method::POST, "/v1/chat/completions") => model(&shared, &mut request).await,
        (_, path) => match path.strip_prefix("/services/").and_then(|it| it.split_once('/')) {
            Some((service, rest)) => plain(&shared, &mut request, service, rest).await,
            None => Err(Error::new(Code::UnknownModel, "no such path")),
        },
    };
    result.unwrap_or_else(|error| {
        shared.metrics.count(&metrics::REFUSED, error.code.name());
        error.response()
    })
}

fn directory(shared: &Rc<Shared>, request: &Request) -> Response<BoxBody> {
    let zone = http::parameter(request, "zone").map(str::to_owned);
    let answer = shared.with(|node, now| node.directory(zone.as_deref(), now));
    let entries: Vec<_> = answer
        .entries
        .iter()
        .map(|line| {
            json!({
                "address": line.address,
                "zone": line.zone,
                "weight": line.weight,
                "key_prefix": line.key_prefix,
            })
        })
        .collect();
    http::json(200, &json!({ "ttl_ms": answer.ttl_ms, "entries": entries }))
}

fn ready(shared: &Rc<Shared>) -> Response<BoxBody> {
    match shared.node.borrow().phase() {
        Phase::Starting => http::json(503, &json!({ "status": "starting" })),
        Phase::Serving => http::json(200, &json!({ "status": "serving" })),
        Phase::Draining => http::json(503, &json!({ "status": "draining" })),
    }
}

fn head(shared: &Rc<Shared>, request: &Request) -> Result<Head, Error> {
    // A starting entry has no configuration yet, so it knows no team.
    if shared.node.borrow().phase() == Phase::Starting {
        return Err(call::Error::Phase.into());
    }
    let team = shared.team(http::bearer(request));
    let team = team.ok_or_else(|| {
        shared.record(mgw_event::Body::new(mgw_event::Kind::Unauthorized).text("caller"));
        Error::new(Code::Unauthorized, "the bearer key is missing or unknown")
    })?;
    let id = match http::header(request, "x-request-id") {
        "" => format_smolstr!("{:032x}", shared.random()),
        id if id.len() <= ID_LIMIT => SmolStr::new(id),
        _ => return Err(Error::new(Code::BadRequest, "x-request-id is longer than 128 bytes")),
    };
    let within = match http::header(request, "x-deadline-ms") {
        "" => shared.config.deadline,
        text => text.parse().map(Duration::from_millis).map_err(|_| {
            Error::new(Code::BadRequest, "x-deadline-ms is no number of milliseconds")
        })?,
    };
    let priority =
        match http::header(request, "x-priority") {
            "" => 0,
            text => text.parse().ok().filter(|priority| *priority <= 3).ok_or_else(|| {
                Error::new(Code::BadRequest, "x-priority is no number from 0 to 3")
            })?,
        };
    let deadline = shared.now() + within.min(LONGEST_DEADLINE);
    Ok(Head { team, id, deadline, priority })
}

async fn read(shared: &Rc<Shared>, request: &mut Request, head: &Head) -> Result<Bytes, Error> {
    let limit = shared.config.body_limit;
    let within = shared.left(head.deadline);
    match actix_rt::time::timeout(within, http::body(request, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(http::Error::Oversize)) => {
            let body = mgw_event::Body::new(mgw_event::Kind::OversizedRequest);
            shared.record(body.request(&head.id).team(&head.team));
            Err(Error::new(Code::TooLarge, format!("the body exceeds {limit} bytes")))
        }
        Ok(Err(http::Error::Incomplete)) => {
            Err(Error::new(Code::BadRequest, "the body did not arrive in full"))
        }
        Err(_) => Err(Error::new(Code::DeadlineExceeded, "the body did not arrive in time")),
    }
}

async fn model(shared: &Rc<Shared>, request: &mut Request) -> Result<Response<BoxBody>, Error> {
    let head = head(shared, request)?;
    let body = read(shared, request, &head).await?;
    chat::complete(shared, head, &body).await
}

async fn plain(
    shared: &Rc<Shared>,
    request: &mut Request,
    service: &str,
    rest: &str,
) -> Result<Response<BoxBody>, Error> {
    let head = head(shared, request)?;
    let service = SmolStr::new(service);
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let path = format_smolstr!("/{rest}{query}");
    let method = SmolStr::new(request.method().as_str());
    let repeatable = shared.node.borrow().is_repeatable(&service, &method, &path);
    let key = SmolStr::new(http::header(request, "idempotency-key"));
    let content_type = SmolStr::new(http::header(request, "content-type"));
    let body = read(shared, request, &head).await?;
    match repeatable {
        None => Err(Error::new(Code::UnknownModel, "no such service")),
        Some(true) => {
            let call = Call {
                method: request.method().clone(),
                path,
                headers: vec![(
                    SmolStr::new_static("content-type"),
                    Bytes::copy_from_slice(content_type.as_bytes()),
                )],
                body,
                idempotency_key: (!key.is_empty()).then_some(key),
                repeatable: true,
                response_timeout: Duration::ZERO,
            };
            repeat(shared, &head, service, call).await
        }
        Some(false) => {
            let key = match key.as_str() {
                "" => own_key(shared),
                _ => key,
            };
            let parsed = key::parse(&key).map_err(|error| {
                Error::new(Code::BadRequest, format!("idempotency-key: {error}"))
            })?;
            let booking = Booking {
                hash: key::hash(&head.team, &service, &key),
                team: head.team.clone(),
                service,
                key,
                parsed,
                method,
                path,
                content_type,
                body,
                deadline: head.deadline,
            };
            book(shared, &head, booking).await
        }
    }
}

/// A key for a booking that came without one; it cannot be retried by the caller.
fn own_key(shared: &Rc<Shared>) -> SmolStr {
    let prefix = shared.with(|node, now| node.key_prefix(now));
    format_smolstr!("{prefix}{:032x}", shared.random())
}

async fn book(
    shared: &Rc<Shared>,
    head: &Head,
    booking: Booking,
) -> Result<Response<BoxBody>, Error> {
    let (team, service, key) = (booking.team.clone(), booking.service.clone(), booking.key.clone());
    let start = shared.now();
    let permit = shared.with(|node, now| node.admit_booking(now, &team, head.deadline))?;
    let verdict = booking::submit(shared, booking, Origin::Caller).await;
    shared.with(|node, now| node.finish_booking(now, permit));
    shared.metrics.time(&metrics::BOOKING, shared.now().since(start), &team, &service);
    let mut response = match verdict {
        Answer::Conflict => {
            let message = "the idempotency key was used with other content";
            Error::new(Code::KeyConflict, message).response()
        }
        Answer::Outcome(Outcome::Done(reply)) => {
            let mut response = http::whole(reply.status, &reply.content_type, reply.body);
            http::set_header(&mut response, "x-booking-outcome", "done");
            response
        }
        Answer::Outcome(Outcome::NotRun(cause)) => {
            let mut error = Error::new(Code::BookingNotRun, cause.to_string());
            error.retry_after = Some(Duration::from_secs(1));
            error.response()
        }
        Answer::Outcome(Outcome::Unknown(cause)) => {
            Error::new(Code::BookingUnknown, cause.to_string()).response()
        }
    };
    http::set_header(&mut response, "idempotency-key", &key);
    http::set_header(&mut response, "x-request-id", &head.id);
    Ok(response)
}

/// Makes an idempotent call of a plain service, at another server if need be.
async fn repeat(
    shared: &Rc<Shared>,
    head: &Head,
    service: SmolStr,
    mut call: Call,
) -> Result<Response<BoxBody>, Error> {
    let request = call::Request {
        id: head.id.clone(),
        team: head.team.clone(),
        fingerprint: quarantine::fingerprint(&head.team, &service, &fingerprinted(&call)),
        scope: Destination::Service(service),
        adapter: None,
        priority: head.priority,
        tokens: 0,
        deadline: head.deadline,
        prefixes: Vec::new(),
    };
    let mut route = shared.with(|node, now| node.open(now, request))?;
    let held = route.call;
    let result = loop {
        call.response_timeout = shared.left(head.deadline);
        let loss = match shared.clients.service.call(&route.address, &call).await {
            service::Outcome::Answered(answer) => break Ok(answer),
            service::Outcome::Unsent(_) => Loss::Refused,
            service::Outcome::NotRun(_) => Loss::Unready,
            service::Outcome::Unknown(error) => chat::loss(&error.cause),
        };
        match next(shared, &route, loss).await {
            Ok(next) => route = next,
            Err(error) => break Err(error),
        }
    };
    shared.with(|node, now| node.close(now, held, result.is_ok(), 0));
    let answer = result?;
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name == "content-type")
        .map(|(_, value)| String::from_utf8_lossy(value).into_owned())
        .unwrap_or_default();
    let mut response = http::whole(answer.status, &content_type, answer.body);
    http::set_header(&mut response, "x-request-id", &head.id);
    Ok(response)
}

/// What of a call decides whether it is the same one sent again.
fn fingerprinted(call: &Call) -> Vec<u8> {
    [call.method.as_str().as_bytes(), b" ", call.path.as_bytes(), b"\n", &call.body].concat()
}

/// Reports a loss and waits for the next route.
pub async fn next(shared: &Rc<Shared>, route: &Route, loss: Loss) -> Result<Route, Error> {
    if loss == Loss::Cut {
        actix_rt::time::sleep(CUT_PAUSE).await;
    }
    let mut next = shared.with(|node, now| node.lost(now, route.call, route.connection, loss));
    loop {
        match next {
            Next::Go(route) => return Ok(route),
            Next::Broken(error) => return Err(error.into()),
            Next::Ignored => {
                return Err(Error::new(Code::UpstreamFailed, "the call is already over"));
            }
            Next::Wait(span) => {
                actix_rt::time::sleep(span).await;
                next = shared.with(|node, now| node.again(now, route.call));
            }
        }
    }
}
