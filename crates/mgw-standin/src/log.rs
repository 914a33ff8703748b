//! Stand-in for the log service: streams with offsets, limited retention and a rate limit.
//!
//! Faults: `lost` (the append takes effect, then the connection is closed without a response),
//! `slow` (delays each request by `ms`), and those that every stand-in supports; `down` simulates
//! an outage. Records are kept in memory only: after a crash the log starts empty, which the real
//! service never does.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::Method;
use bytes::{Buf, Bytes};
use mgw_base::sorted::Map;
use serde_json::json;
use tokio::sync::Notify;

use crate::fault::Injector;
use crate::server::{self, Bind, Call, Handle, Reply};

/// Faults of this stand-in, besides the common ones.
const FAULTS: &[&str] = &["lost", "slow"];

/// Upper bound of a read's `wait_ms`.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

/// Maximum size of a read's response if the reader gives no `max_bytes`.
const DEFAULT_BATCH_BYTES: u64 = 1 << 20;

/// Size of the header of each record in a read's response: offset and append time (8 bytes each)
/// and length (4 bytes).
const RECORD_HEADER_BYTES: usize = 20;

/// Configuration of the log service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listen address and crash behaviour.
    pub bind: Bind,
    /// Maximum number of records retained per stream; the oldest are dropped first.
    pub max_records: usize,
    /// Maximum total size of the records retained per stream, in bytes.
    pub max_bytes: usize,
    /// Rate limit of appends per second across all streams; 0 for no limit.
    pub appends_per_second: f64,
    /// Duration of each append.
    pub append_latency: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            bind: Bind::default(),
            max_records: 100_000,
            max_bytes: 64 << 20,
            appends_per_second: 0.0,
            append_latency: Duration::ZERO,
        }
    }
}

#[derive(Default)]
struct Stream {
    /// Offset of the oldest retained record, or of the next one if the stream is empty.
    first_offset: u64,
    /// Append time in ms since the Unix epoch, and content of each retained record.
    records: VecDeque<(u64, Bytes)>,
    /// Total size of the retained records.
    bytes: usize,
}

impl Stream {
    /// Offset that the next appended record gets.
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

#[derive(Default)]
struct State {
    streams: Map<String, Stream>,
    /// Tokens in the rate limiter's bucket as of `refilled_at`; each append takes one.
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Time of the last append in ms since the Unix epoch. Append times never decrease, even if the
    /// clock is set back.
    last_append_ms: u64,
}

struct Service {
    options: Options,
    faults: Arc<Injector>,
    state: Mutex<State>,
    /// Wakes the waiting reads of all streams after an append.
    appended: Notify,
}

/// Starts the stand-in on a thread of its own.
///
/// # Errors
///
/// Fails if the address cannot be bound or the server does not start.
pub fn start(options: Options) -> io::Result<Handle> {
    let (bind, faults) = (options.bind, Arc::new(Injector::new(FAULTS)));
    let service = Arc::new(Service {
        options,
        faults: faults.clone(),
        state: Mutex::default(),
        appended: Notify::new(),
    });
    server::start("log", bind, faults, move |call| Box::pin(route(service.clone(), call)))
}

/// Handles a request to the stand-in.
async fn route(service: Arc<Service>, call: Call) -> Reply {
    let stream = call.path.strip_prefix("/log/").and_then(|rest| rest.strip_suffix("/records"));
    if let Some(fault) = service.faults.take("slow") {
        actix_rt::time::sleep(fault.millis("ms").unwrap_or(Duration::from_secs(1))).await;
    }
    match (stream, &call.method) {
        (Some(stream), &Method::POST) => service.append(stream, call.body.clone()).await,
        (Some(stream), &Method::GET) => service.read(stream, &call).await,
        _ => Reply::error(404, "no such path"),
    }
}

impl Service {
    /// Appends the records in `body` unless the rate limit rejects them with 429.
    async fn append(&self, stream: &str, body: Bytes) -> Reply {
        let records = match parse_records(body) {
            Some(records) if !records.is_empty() => records,
            _ => return Reply::error(400, "expected records with their lengths"),
        };
        if !self.try_take_token() {
            return Reply::error(429, "too many appends");
        }
        actix_rt::time::sleep(self.options.append_latency).await;
        let (first, next) = self.append_records(stream, records);
        self.appended.notify_waiters();
        match self.faults.take("lost") {
            Some(_) => Reply::Disconnect,
            None => Reply::json(200, &json!({ "first": first, "next": next })),
        }
    }

    /// Takes a token from the rate limiter's bucket, or returns false if there is none.
    ///
    /// The bucket holds the tokens of a tenth of a second, but at least one.
    fn try_take_token(&self) -> bool {
        let rate = self.options.appends_per_second;
        if rate <= 0.0 {
            return true;
        }
        let mut state = server::lock(&self.state);
        let now = Instant::now();
        let burst = (rate / 10.0).max(1.0);
        let refill = state.refilled_at.map_or(burst, |at| (now - at).as_secs_f64() * rate);
        state.tokens = (state.tokens + refill).min(burst);
        state.refilled_at = Some(now);
        let available = state.tokens >= 1.0;
        if available {
            state.tokens -= 1.0;
        }
        available
    }

    /// Appends `records` to the stream `name` and applies its retention limits.
    ///
    /// Returns the offset of the first appended record and the offset after the last one.
    fn append_records(&self, name: &str, records: Vec<Bytes>) -> (u64, u64) {
        let mut state = server::lock(&self.state);
        let at_ms = server::now_ms().max(state.last_append_ms);
        state.last_append_ms = at_ms;
        let stream = state.streams.get_or_insert_with(name.to_owned(), Stream::default);
        let first = stream.next_offset();
        for record in records {
            stream.bytes += record.len();
            stream.records.push_back((at_ms, record));
        }
        let next = stream.next_offset();
        while stream.records.len() > self.options.max_records
            || stream.bytes > self.options.max_bytes
        {
            if let Some((_, record)) = stream.records.pop_front() {
                stream.bytes -= record.len();
                stream.first_offset += 1;
            }
        }
        (first, next)
    }

    /// Returns the records of the stream `name` from an offset on; if there are none, waits up to
    /// `wait_ms` for an append.
    async fn read(&self, name: &str, call: &Call) -> Reply {
        let from = call.query_number("from").unwrap_or(0);
        let max_bytes = call.query_number("max_bytes").unwrap_or(DEFAULT_BATCH_BYTES) as usize;
        let wait =
            Duration::from_millis(call.query_number("wait_ms").unwrap_or(0)).min(MAX_READ_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let (reply, empty) = self.read_batch(name, from, max_bytes);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !empty || remaining.is_zero() {
                return reply;
            }
            let _ = actix_rt::time::timeout(remaining, appended).await;
        }
    }

    /// Returns the response with the records from offset `from` on, and whether it is an empty
    /// batch. Responds with 410 if records from `from` on have already been dropped.
    fn read_batch(&self, name: &str, from: u64, max_bytes: usize) -> (Reply, bool) {
        let mut state = server::lock(&self.state);
        let stream = state.streams.get_or_insert_with(name.to_owned(), Stream::default);
        let (first, next) = (stream.first_offset, stream.next_offset());
        let headers = vec![("x-log-first", first.to_string()), ("x-log-next", next.to_string())];
        if from < first {
            return (Reply::Full { status: 410, headers, body: Bytes::new() }, false);
        }
        let mut body = Vec::new();
        for (index, (at_ms, record)) in
            stream.records.iter().enumerate().skip((from - first) as usize)
        {
            // The first record is sent even if it exceeds the limit; otherwise the reader could
            // never get past it.
            if !body.is_empty() && body.len() + RECORD_HEADER_BYTES + record.len() > max_bytes {
                break;
            }
            body.extend_from_slice(&(first + index as u64).to_be_bytes());
            body.extend_from_slice(&at_ms.to_be_bytes());
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        let empty = body.is_empty();
        (Reply::Full { status: 200, headers, body: body.into() }, empty)
    }
}

/// Splits the body of an append into its records, each of which follows its length (4 bytes, big
/// endian). Returns `None` if the body ends within a record.
fn parse_records(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        if body.len() < 4 {
            return None;
        }
        let length = body.get_u32() as usize;
        if body.len() < length {
            return None;
        }
        records.push(body.split_to(length));
    }
    Some(records)
}
