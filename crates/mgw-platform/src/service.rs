//! Plain services: calls that are passed through, and status reports.

use std::future::Future;
use std::time::Duration;

pub use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use mgw_report::report::Server;
use smol_str::SmolStr;

use crate::transport::{self, Error, Options, Request};

/// Headers that concern one connection only, or that the transport sets itself.
const RESERVED_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query, with a leading slash.
    pub path: SmolStr,
    /// Headers to pass on; those that concern one connection only are left out.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// The body.
    pub body: Bytes,
    /// The idempotency key, passed on as `idempotency-key`.
    pub idempotency_key: Option<SmolStr>,
    /// Whether the call may run more than once; if not, it gets a connection of its own.
    pub repeatable: bool,
    /// Time for the answer, apart from the time to connect.
    pub response_timeout: Duration,
}

/// A whole answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the call was written, so it was not run.
    Unsent(Error),
    /// The call was written at least in part, and no whole answer came.
    Unknown(Error),
    /// The service answered that it did not run the call.
    NotRun(Response),
    /// The service answered.
    Answered(Response),
}

/// The servers of plain services.
pub trait Service {
    /// The report of the server at `peer`.
    fn status(&self, peer: &str) -> impl Future<Output = Result<Server, Error>>;

    /// Makes `call` once at the server at `peer`.
    fn call(&self, peer: &str, call: &Call) -> impl Future<Output = Outcome>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client {
    transport: transport::Client,
}

impl Client {
    /// An adapter for all servers of plain services.
    pub fn new(options: Options) -> Self {
        Self { transport: transport::Client::new(options) }
    }
}

impl Service for Client {
    async fn status(&self, peer: &str) -> Result<Server, Error> {
        self.transport.get_json("read a service's status", peer, "/status").await
    }

    async fn call(&self, peer: &str, call: &Call) -> Outcome {
        let forwarded = call.headers.iter().filter(|(name, _)| !is_reserved(name));
        let mut headers: Vec<(&str, &[u8])> =
            forwarded.map(|(name, value)| (name.as_str(), &value[..])).collect();
        if let Some(key) = &call.idempotency_key {
            headers.push(("idempotency-key", key.as_bytes()));
        }
        let request = Request {
            step: "call a service",
            peer,
            method: call.method.clone(),
            path: &call.path,
            headers: &headers,
            body: call.body.clone(),
            response_timeout: call.response_timeout,
        };
        // A pooled connection may end while a call is being written to it, which leaves the
        // outcome open. On a new connection that risk is limited to the call's own duration, and
        // the probe tells whether anything was written.
        let (result, unsent) = match call.repeatable {
            true => (self.transport.send_buffered(&request).await, false),
            false => {
                let (single, counters) =
                    transport::Client::single_connection(self.transport.options);
                let result = single.send_buffered(&request).await;
                (result, counters.bytes_written() == 0)
            }
        };
        match result {
            Ok(response) => {
                let not_run =
                    response.status == 503 && response.numeric_header("x-not-run") == Some(1);
                let response = Response {
                    status: response.status,
                    headers: forwarded_headers(&response.headers),
                    body: response.body,
                };
                if not_run { Outcome::NotRun(response) } else { Outcome::Answered(response) }
            }
            Err(error) if unsent || error.cause.is_unsent() => Outcome::Unsent(error),
            Err(error) => Outcome::Unknown(error),
        }
    }
}

fn is_reserved(name: &str) -> bool {
    RESERVED_HEADERS.iter().any(|reserved| name.eq_ignore_ascii_case(reserved))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(SmolStr, Bytes)> {
    let forwarded = headers.iter().filter(|(name, _)| !is_reserved(name.as_str()));
    forwarded
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
