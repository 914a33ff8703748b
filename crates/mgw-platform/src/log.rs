//! Client of the log service, which stores append-only streams of records.

use std::future::Future;
use std::time::Duration;

use actix_http::Method;
use bytes::{Buf, Bytes};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::transport::{self, Cause, Endpoint, Error, Options, Request, Response};

/// Size in bytes of the header before each record in a batch: offset (8), append time (8) and
/// record length (4), all big-endian.
const RECORD_HEADER_BYTES: usize = 20;

/// A record read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream; offsets ascend.
    pub offset: u64,
    /// Time of the append in milliseconds on the log service's clock.
    pub at_ms: u64,
    /// Payload as it was appended.
    pub bytes: Bytes,
}

/// Result of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Append {
    /// The records are in the log at consecutive offsets.
    Accepted {
        /// Offset of the first appended record.
        first: u64,
    },
    /// None of the records is in the log: either nothing was sent or the service rejected the
    /// append.
    Refused(Error),
    /// The records may or may not be in the log; only reading the stream tells which.
    Unknown(Error),
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records from the requested offset on; empty if there are none yet.
    Batch {
        /// Oldest offset that the log retains.
        first: u64,
        /// Offset that the next appended record gets.
        next: u64,
        /// Records in ascending offset order.
        records: Vec<Record>,
    },
    /// The log no longer retains the requested offset.
    Trimmed {
        /// Oldest offset that the log retains.
        first: u64,
        /// Offset that the next appended record gets.
        next: u64,
    },
    /// The read timed out, was rejected or returned a malformed response.
    Failed(Error),
}

/// Appends to and reads from streams of the log service.
pub trait Service {
    /// Appends `records` to `stream` atomically.
    fn append(&self, stream: &str, records: &[Vec<u8>]) -> impl Future<Output = Append>;

    /// Reads about `max_bytes` of `stream` starting at offset `from`.
    ///
    /// Returns at least one record if there is one, even if it exceeds `max_bytes`. If there is
    /// none, the service waits up to `wait` for one to be appended (long polling).
    fn read(
        &self,
        stream: &str,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> impl Future<Output = Read>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client(Endpoint);

impl Client {
    /// Creates a client for the log service at `address`, an IP address with a port.
    pub fn new<A>(address: A, options: Options) -> Self
    where
        A: Into<SmolStr>,
    {
        Self(Endpoint::new(address, options))
    }
}

impl Service for Client {
    async fn append(&self, stream: &str, records: &[Vec<u8>]) -> Append {
        let mut body = Vec::new();
        for record in records {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        let request = Request {
            step: "append to the log",
            peer: &self.0.address,
            method: Method::POST,
            path: &format!("/log/{}/records", transport::encode_path_segment(stream)),
            headers: &[("content-type", b"application/octet-stream")],
            body: body.into(),
            response_timeout: self.0.client.options.response_timeout,
        };
        match self.0.client.send_buffered(&request).await {
            Ok(response) => match (response.status, accepted_offset(&response, records.len())) {
                (200, Ok(first)) => Append::Accepted { first },
                // The service sends 429 and 503 only for appends that it did not execute; the
                // other 4xx statuses mean that it rejected the request.
                (503 | 400..=499, _) => Append::Refused(request.error(response.status_error())),
                (_, Err(cause)) => Append::Unknown(request.error(cause)),
                (_, Ok(_)) => Append::Unknown(request.error(response.status_error())),
            },
            Err(error) if error.cause.is_unsent() => Append::Refused(error),
            Err(error) => Append::Unknown(error),
        }
    }

    async fn read(&self, stream: &str, from: u64, max_bytes: usize, wait: Duration) -> Read {
        let stream = transport::encode_path_segment(stream);
        let wait_ms = wait.as_millis();
        let request = Request {
            step: "read the log",
            peer: &self.0.address,
            method: Method::GET,
            path: &format!(
                "/log/{stream}/records?from={from}&max_bytes={max_bytes}&wait_ms={wait_ms}"
            ),
            headers: &[],
            body: Bytes::new(),
            response_timeout: self.0.client.options.response_timeout + wait,
        };
        let response = match self.0.client.send_buffered(&request).await {
            Ok(response) => response,
            Err(error) => return Read::Failed(error),
        };
        let bounds =
            (response.numeric_header("x-log-first"), response.numeric_header("x-log-next"));
        match (response.status, bounds) {
            (200, (Some(first), Some(next))) => match decode_batch(response.body, from, next) {
                Some(records) => Read::Batch { first, next, records },
                None => Read::Failed(request.error(Cause::Malformed(
                    "batch has a truncated record or an offset out of range".into(),
                ))),
            },
            (410, (Some(first), Some(next))) => Read::Trimmed { first, next },
            (200 | 410, _) => Read::Failed(request.error(Cause::Malformed(
                "header x-log-first or x-log-next is missing or not a number".into(),
            ))),
            _ => Read::Failed(request.error(response.status_error())),
        }
    }
}

/// Body of the response to an append: the offsets `first..next` of the accepted records.
#[derive(Deserialize)]
struct AcceptedRange {
    first: u64,
    next: u64,
}

/// Returns the first accepted offset, provided that the response confirms exactly `count` records.
fn accepted_offset(response: &Response, count: usize) -> Result<u64, Cause> {
    let range: AcceptedRange = response.json()?;
    match range.next.checked_sub(range.first) {
        Some(length) if length == count as u64 => Ok(range.first),
        _ => {
            Err(Cause::Malformed("accepted offsets do not match the number of records sent".into()))
        }
    }
}

/// Decodes the records of a batch. Returns `None` if a record is truncated, or unless the offsets
/// ascend strictly and lie in `from..next`.
fn decode_batch(mut body: Bytes, from: u64, next: u64) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    let mut min_offset = from;
    while !body.is_empty() {
        if body.len() < RECORD_HEADER_BYTES {
            return None;
        }
        let (offset, at_ms, length) = (body.get_u64(), body.get_u64(), body.get_u32() as usize);
        if body.len() < length || offset < min_offset || offset >= next {
            return None;
        }
        min_offset = offset + 1;
        records.push(Record { offset, at_ms, bytes: body.split_to(length) });
    }
    Some(records)
}
