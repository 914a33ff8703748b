//! The log service: appends and reads of streams.

use std::future::Future;
use std::time::Duration;

use actix_http::Method;
use bytes::{Buf, Bytes};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::transport::{self, Cause, Endpoint, Error, Options, Request, Response};

/// Bytes before each record in a batch: offset, append time and length.
const RECORD_HEADER_BYTES: usize = 20;

/// A record as the log service returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its offset.
    pub offset: u64,
    /// When the log service appended it, on its clock, in ms.
    pub at_ms: u64,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Result of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Append {
    /// The records are in the log, without a gap.
    Accepted {
        /// Offset of the first of them.
        first: u64,
    },
    /// None of the records is in the log: they were not sent, or the service rejected them.
    Refused(Error),
    /// It is unknown whether the records are in the log; reading further decides it.
    Unknown(Error),
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records from the offset that was asked for, perhaps none.
    Batch {
        /// The first offset that the log retains.
        first: u64,
        /// The offset that the next append gets.
        next: u64,
        /// The records in offset order.
        records: Vec<Record>,
    },
    /// The offset that was asked for is no longer retained.
    Trimmed {
        /// The first offset that the log retains.
        first: u64,
        /// The offset that the next append gets.
        next: u64,
    },
    /// No response in time, or an error.
    Failed(Error),
}

/// The log service.
pub trait Service {
    /// Appends `records` to `stream`, all or none.
    fn append(&self, stream: &str, records: &[Vec<u8>]) -> impl Future<Output = Append>;

    /// Reads about `max_bytes` of `stream` from offset `from` on, and at least one record if there
    /// is one; waits for up to `wait` if there is none.
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
    /// An adapter for the log service at `address`.
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
                // 429 and 503 are the service's own refusals; other errors of the 400 range say
                // that the request was rejected.
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
                None => Read::Failed(request.error(Cause::Malformed("bad batch".into()))),
            },
            (410, (Some(first), Some(next))) => Read::Trimmed { first, next },
            (200 | 410, _) => Read::Failed(request.error(Cause::Malformed("no offsets".into()))),
            _ => Read::Failed(request.error(response.status_error())),
        }
    }
}

#[derive(Deserialize)]
struct AcceptedRange {
    first: u64,
    next: u64,
}

/// The offset of the first of `count` records that the log service says it accepted.
fn accepted_offset(response: &Response, count: usize) -> Result<u64, Cause> {
    let range: AcceptedRange = response.json()?;
    match range.next.checked_sub(range.first) {
        Some(length) if length == count as u64 => Ok(range.first),
        _ => Err(Cause::Malformed("the offsets do not fit the number of records".into())),
    }
}

/// The records of a batch; `None` unless their offsets ascend from `from` on and are below `next`.
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
