//! Client of plain services: forwards HTTP calls and reads status reports.

use std::future::Future;
use std::time::Duration;

pub use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use mgw_report::report::Server;
use smol_str::SmolStr;

use crate::transport::{self, Error, Options, Request};

/// Headers that are not forwarded: hop-by-hop headers, and those that this client or the HTTP
/// library sets itself.
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
    /// HTTP method.
    pub method: Method,
    /// Path and query; must start with a slash.
    pub path: SmolStr,
    /// Headers to forward, as name and value; hop-by-hop headers among them are dropped.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// Request body.
    pub body: Bytes,
    /// Sent as the `idempotency-key` header; replaces any such header in `headers`.
    pub idempotency_key: Option<SmolStr>,
    /// Whether the service may execute the call more than once. If not, the call is sent over a new
    /// connection instead of a pooled one.
    pub repeatable: bool,
    /// Time limit for the whole response, in addition to [`Options::connect_timeout`].
    pub response_timeout: Duration,
}

/// A complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers to forward to the caller, as name and value, without hop-by-hop headers.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// Response body.
    pub body: Bytes,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the call was written, so the service cannot have executed it.
    Unsent(Error),
    /// Part or all of the call may have been written, but no complete response was received: the
    /// service may have executed it.
    Unknown(Error),
    /// The service responded that it did not execute the call (503 with `x-not-run: 1`).
    NotRun(Response),
    /// Any other complete response, whatever its status.
    Answered(Response),
}

/// Access to the backend servers of plain services; `peer` is an IP address with a port.
pub trait Service {
    /// Fetches the status report of the server at `peer`.
    fn status(&self, peer: &str) -> impl Future<Output = Result<Server, Error>>;

    /// Sends `call` to the server at `peer`, without retries.
    fn call(&self, peer: &str, call: &Call) -> impl Future<Output = Outcome>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client {
    transport: transport::Client,
}

impl Client {
    /// Creates a client for the servers of all plain services.
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
        // The peer may close a pooled connection while a call is being written to it, which makes
        // the outcome unknown. On a new connection this can only happen during the call itself,
        // and the counters tell whether any byte was written.
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

/// Reports whether the header is listed in [`RESERVED_HEADERS`].
fn is_reserved(name: &str) -> bool {
    RESERVED_HEADERS.iter().any(|reserved| name.eq_ignore_ascii_case(reserved))
}

/// Copies all headers except the reserved ones.
fn forwarded_headers(headers: &HeaderMap) -> Vec<(SmolStr, Bytes)> {
    let forwarded = headers.iter().filter(|(name, _)| !is_reserved(name.as_str()));
    forwarded
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
