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
const OWN_HEADERS: &[&str] = &[
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
        self.transport.json("read a service's status", peer, "/status").await
    }

    async fn call(&self, peer: &str, call: &Call) -> Outcome {
        let passed = call.headers.iter().filter(|(name, _)| !is_own(name));
        let mut headers: Vec<(&str, &[u8])> =
            passed.map(|(name, value)| (name.as_str(), &value[..])).collect();
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
            within: call.response_timeout,
        };
        // A pooled connection may end while a call is being written to it, which leaves the
        // outcome open. On a new connection that risk is limited to the call's own duration, and
        // the probe tells whether anything was written.
        let (result, unsent) = match call.repeatable {
            true => (self.transport.whole(&request).await, false),
            false => {
                let (single, probe) = transport::Client::single(self.transport.options);
                let result = single.whole(&request).await;
                (result, probe.written() == 0)
            }
        };
        match result {
            Ok(answer) => {
                let not_run = answer.status == 503 && answer.number("x-not-run") == Some(1);
                let answer = Response {
                    status: answer.status,
                    headers: passed_headers(&answer.headers),
                    body: answer.body,
                };
                if not_run { Outcome::NotRun(answer) } else { Outcome::Answered(answer) }
            }
            Err(error) if unsent || error.cause.is_unsent() => Outcome::Unsent(error),
            Err(error) => Outcome::Unknown(error),
        }
    }
}

fn is_own(name: &str) -> bool {
    OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own))
}

fn passed_headers(headers: &HeaderMap) -> Vec<(SmolStr, Bytes)> {
    let passed = headers.iter().filter(|(name, _)| !is_own(name.as_str()));
    passed
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
