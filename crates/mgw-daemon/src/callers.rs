//! The HTTP interface for callers: the directory of entries, health checks, model calls and calls of
//! plain services.

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
use mgw_entry::call::{self, Action, Loss, Route};
use mgw_platform::service::{self, Call, Service as _};
use mgw_route::quarantine;
use mgw_route::select::Destination;
use mgw_wire::frame::Phase;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::booking::{self, Booking};
use crate::error::{Code, Error};
use crate::shared::Shared;
use crate::{chat, http, metrics};

/// Maximum deadline of a request; a longer one in `x-deadline-ms` is reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Delay before a cut connection is reported to the node, which may open the next one at once.
///
/// A process that dies closes its connections shortly before its listening socket. A connection that
/// is opened in between is cut too, and the crash would not be recognised by the refused connection
/// that otherwise follows it.
const CONNECTION_CUT_DELAY: Duration = Duration::from_millis(25);

/// Maximum length of `x-request-id` in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Identity and limits of an authorised request of a caller.
#[derive(Clone, Debug)]
pub struct Metadata {
    /// Team of the caller's bearer key.
    pub team: SmolStr,
    /// Request id from `x-request-id`, or a random one.
    pub id: SmolStr,
    /// Instant from which on the caller no longer waits.
    pub deadline: Instant,
    /// Priority from 0 (interactive) to 3 (batch).
    pub priority: u8,
}

/// Answers a request of a caller. Refused requests are counted by error code.
pub async fn handle(shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let result = match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/entries") => Ok(directory(&shared, &request)),
        (&Method::GET, "/healthz") => Ok(http::json_response(200, &json!({ "status": "ok" }))),
        (&Method::GET, "/readyz") => Ok(readiness(&shared)),
        (&Method::POST, "/v1/chat/completions") => model_call(&shared, &mut request).await,
        (_, path) => match path.strip_prefix("/services/").and_then(|it| it.split_once('/')) {
            Some((service, rest)) => service_call(&shared, &mut request, service, rest).await,
            None => Err(Error::new(Code::UnknownModel, "no such path")),
        },
    };
    result.unwrap_or_else(|error| {
        shared.metrics.count(&metrics::REFUSED, error.code.name());
        error.response()
    })
}

/// Responds with the entries that a caller may use and their weights.
fn directory(shared: &Rc<Shared>, request: &Request) -> Response<BoxBody> {
    let zone = http::query_parameter(request, "zone").map(str::to_owned);
    let answer = shared.with_node(|node, now| node.directory(zone.as_deref(), now));
    let entries: Vec<_> = answer
        .entries
        .iter()
        .map(|entry| {
            json!({
                "address": entry.address,
                "zone": entry.zone,
                "weight": entry.weight,
                "key_prefix": entry.key_prefix,
            })
        })
        .collect();
    http::json_response(200, &json!({ "ttl_ms": answer.ttl_ms, "entries": entries }))
}

/// Responds whether the entry serves: 200 if it does, 503 while it starts or drains.
fn readiness(shared: &Rc<Shared>) -> Response<BoxBody> {
    match shared.node.borrow().phase() {
        Phase::Starting => http::json_response(503, &json!({ "status": "starting" })),
        Phase::Serving => http::json_response(200, &json!({ "status": "serving" })),
        Phase::Draining => http::json_response(503, &json!({ "status": "draining" })),
    }
}

/// Finds the team of a request and reads the request id, deadline and priority from its headers.
fn authorize(shared: &Rc<Shared>, request: &Request) -> Result<Metadata, Error> {
    // A starting entry has no configuration, so it would reject every key as unknown.
    if shared.node.borrow().phase() == Phase::Starting {
        return Err(call::Error::Phase.into());
    }
    let team = shared.team_of_key(http::bearer_key(request));
    let team = team.ok_or_else(|| {
        shared.record(
            mgw_event::Body::new(mgw_event::Kind::Unauthorized)
                .text("caller key is missing or unknown"),
        );
        Error::new(Code::Unauthorized, "the bearer key is missing or unknown")
    })?;
    let id = match http::header(request, "x-request-id") {
        "" => format_smolstr!("{:032x}", shared.random_u128()),
        id if id.len() <= MAX_REQUEST_ID_BYTES => SmolStr::new(id),
        _ => return Err(Error::new(Code::BadRequest, "x-request-id is longer than 128 bytes")),
    };
    let timeout = match http::header(request, "x-deadline-ms") {
        "" => shared.config.default_deadline,
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
    let deadline = shared.now() + timeout.min(MAX_DEADLINE);
    Ok(Metadata { team, id, deadline, priority })
}

/// Reads the body of a request within its deadline and the configured size limit.
async fn read_body(
    shared: &Rc<Shared>,
    request: &mut Request,
    metadata: &Metadata,
) -> Result<Bytes, Error> {
    let limit = shared.config.body_limit;
    let timeout = shared.time_left(metadata.deadline);
    match actix_rt::time::timeout(timeout, http::read_body(request, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(http::Error::Oversize)) => {
            let body = mgw_event::Body::new(mgw_event::Kind::OversizedRequest);
            shared.record(body.request(&metadata.id).team(&metadata.team));
            Err(Error::new(Code::TooLarge, format!("the body exceeds {limit} bytes")))
        }
        Ok(Err(http::Error::Incomplete)) => {
            Err(Error::new(Code::BadRequest, "the body did not arrive in full"))
        }
        Err(_) => Err(Error::new(Code::DeadlineExceeded, "the body did not arrive in time")),
    }
}

/// Answers a chat completion.
async fn model_call(
    shared: &Rc<Shared>,
    request: &mut Request,
) -> Result<Response<BoxBody>, Error> {
    let metadata = authorize(shared, request)?;
    let body = read_body(shared, request, &metadata).await?;
    chat::complete(shared, metadata, &body).await
}

/// Answers a call of a plain service. Calls that the configuration declares repeatable may be retried
/// at other servers; all others run as bookings.
async fn service_call(
    shared: &Rc<Shared>,
    request: &mut Request,
    service: &str,
    rest: &str,
) -> Result<Response<BoxBody>, Error> {
    let metadata = authorize(shared, request)?;
    let service = SmolStr::new(service);
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let path = format_smolstr!("/{rest}{query}");
    let method = SmolStr::new(request.method().as_str());
    let repeatable = shared.node.borrow().is_repeatable(&service, &method, &path);
    let key = SmolStr::new(http::header(request, "idempotency-key"));
    let content_type = SmolStr::new(http::header(request, "content-type"));
    let body = read_body(shared, request, &metadata).await?;
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
                // Set before each attempt.
                response_timeout: Duration::ZERO,
            };
            call_with_retries(shared, &metadata, service, call).await
        }
        Some(false) => {
            let key = match key.as_str() {
                "" => generate_key(shared),
                _ => key,
            };
            let parsed_key = key::parse(&key).map_err(|error| {
                Error::new(Code::BadRequest, format!("idempotency-key: {error}"))
            })?;
            let booking = Booking {
                key_hash: key::hash(&metadata.team, &service, &key),
                team: metadata.team.clone(),
                service,
                key,
                parsed_key,
                method,
                path,
                content_type,
                body,
                deadline: metadata.deadline,
            };
            run_booking(shared, &metadata, booking).await
        }
    }
}

/// Generates the key of a booking that came without one. The caller learns it only with the answer,
/// so it cannot retry a booking whose answer was lost.
fn generate_key(shared: &Rc<Shared>) -> SmolStr {
    let prefix = shared.with_node(|node, now| node.key_prefix(now));
    format_smolstr!("{prefix}{:032x}", shared.random_u128())
}

/// Submits a booking, waits for its outcome and converts it into the response.
async fn run_booking(
    shared: &Rc<Shared>,
    metadata: &Metadata,
    booking: Booking,
) -> Result<Response<BoxBody>, Error> {
    let (team, service, key) = (booking.team.clone(), booking.service.clone(), booking.key.clone());
    let start = shared.now();
    let permit = shared.with_node(|node, now| node.admit_booking(now, &team, metadata.deadline))?;
    let answer = booking::submit(shared, booking, Origin::Caller).await;
    shared.with_node(|node, now| node.finish_booking(now, permit));
    shared.metrics.time(&metrics::BOOKING, shared.now().since(start), &team, &service);
    let mut response = match answer {
        Answer::Conflict => {
            let message = "the idempotency key was used with other content";
            Error::new(Code::KeyConflict, message).response()
        }
        Answer::Outcome(Outcome::Done(reply)) => {
            let mut response = http::response(reply.status, &reply.content_type, reply.body);
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
    http::set_header(&mut response, "x-request-id", &metadata.id);
    Ok(response)
}

/// Makes a repeatable call of a plain service. After a failure it is sent again to the server that the
/// node chooses, until the node ends the call.
async fn call_with_retries(
    shared: &Rc<Shared>,
    metadata: &Metadata,
    service: SmolStr,
    mut call: Call,
) -> Result<Response<BoxBody>, Error> {
    let request = call::Request {
        id: metadata.id.clone(),
        team: metadata.team.clone(),
        fingerprint: quarantine::fingerprint(&metadata.team, &service, &fingerprint_input(&call)),
        destination: Destination::Service(service),
        adapter: None,
        priority: metadata.priority,
        tokens: 0,
        deadline: metadata.deadline,
        prefixes: Vec::new(),
    };
    let mut route = shared.with_node(|node, now| node.open_call(now, request))?;
    let call_key = route.call;
    let result = loop {
        call.response_timeout = shared.time_left(metadata.deadline);
        let loss = match shared.clients.service.call(&route.address, &call).await {
            service::Outcome::Answered(answer) => break Ok(answer),
            service::Outcome::Unsent(_) => Loss::Refused,
            service::Outcome::NotRun(_) => Loss::Unavailable,
            service::Outcome::Unknown(error) => chat::classify_loss(&error.cause),
        };
        match next_route(shared, &route, loss).await {
            Ok(next) => route = next,
            Err(error) => break Err(error),
        }
    };
    shared.with_node(|node, now| node.close_call(now, call_key, result.is_ok(), 0));
    let answer = result?;
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name == "content-type")
        .map(|(_, value)| String::from_utf8_lossy(value).into_owned())
        .unwrap_or_default();
    let mut response = http::response(answer.status, &content_type, answer.body);
    http::set_header(&mut response, "x-request-id", &metadata.id);
    Ok(response)
}

/// The part of a call that identifies it when a caller sends it again: method, path and body.
fn fingerprint_input(call: &Call) -> Vec<u8> {
    [call.method.as_str().as_bytes(), b" ", call.path.as_bytes(), b"\n", &call.body].concat()
}

/// Reports the loss of a connection to the node and waits until it returns the next route. Fails if
/// the node ends the call.
pub async fn next_route(shared: &Rc<Shared>, route: &Route, loss: Loss) -> Result<Route, Error> {
    if loss == Loss::Disconnected {
        actix_rt::time::sleep(CONNECTION_CUT_DELAY).await;
    }
    let mut next =
        shared.with_node(|node, now| node.connection_lost(now, route.call, route.connection, loss));
    loop {
        match next {
            Action::Connect(route) => return Ok(route),
            Action::Fail(error) => return Err(error.into()),
            Action::Ignore => {
                return Err(Error::new(Code::UpstreamFailed, "the call is already over"));
            }
            Action::RetryAfter(delay) => {
                actix_rt::time::sleep(delay).await;
                next = shared.with_node(|node, now| node.retry_call(now, route.call));
            }
        }
    }
}
