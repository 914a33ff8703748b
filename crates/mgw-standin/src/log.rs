//! Stand-in of the log service: streams with offsets, limited retention and a rate limit.
//!
//! Faults: `lost` (the append takes effect, then the connection is cut), `slow` (`ms` per call),
//! and those of every stand-in; `down` is an outage. Records are kept in memory only: after a crash
//! the log starts empty, which the real service never does.

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

const FAULTS: &[&str] = &["lost", "slow"];

/// Longest wait of a read, whatever the reader asks for.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Size of a batch when the reader names none.
const BATCH_BYTES: u64 = 1 << 20;

/// How the log service behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub bind: Bind,
    /// Records retained per stream.
    pub max_records: usize,
    /// Bytes retained per stream.
    pub max_bytes: usize,
    /// Appends per second over all streams; 0 for no limit.
    pub appends_per_second: f64,
    /// Time that each append takes.
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
    /// Offset of the oldest retained record.
    first: u64,
    records: VecDeque<(u64, Bytes)>,
    bytes: usize,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct State {
    streams: Map<String, Stream>,
    /// Appends that may be made at once, at `refilled`.
    tokens: f64,
    refilled: Option<Instant>,
    /// Append times ascend even if the clock is set back.
    last_ms: u64,
}

struct Service {
    options: Options,
    faults: Arc<Injector>,
    state: Mutex<State>,
    appended: Notify,
}

/// Starts the stand-in.
///
/// # Errors
///
/// The address cannot be bound, or the server does not start.
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
    async fn append(&self, stream: &str, body: Bytes) -> Reply {
        let records = match split(body) {
            Some(records) if !records.is_empty() => records,
            _ => return Reply::error(400, "expected records with their lengths"),
        };
        if !self.admit() {
            return Reply::error(429, "too many appends");
        }
        actix_rt::time::sleep(self.options.append_latency).await;
        let (first, next) = self.store(stream, records);
        self.appended.notify_waiters();
        match self.faults.take("lost") {
            Some(_) => Reply::Disconnect,
            None => Reply::json(200, &json!({ "first": first, "next": next })),
        }
    }

    /// Takes a token; the bucket holds a tenth of a second's worth, and at least one.
    fn admit(&self) -> bool {
        let rate = self.options.appends_per_second;
        if rate <= 0.0 {
            return true;
        }
        let mut state = server::lock(&self.state);
        let now = Instant::now();
        let burst = (rate / 10.0).max(1.0);
        let gained = state.refilled.map_or(burst, |at| (now - at).as_secs_f64() * rate);
        state.tokens = (state.tokens + gained).min(burst);
        state.refilled = Some(now);
        let admitted = state.tokens >= 1.0;
        if admitted {
            state.tokens -= 1.0;
        }
        admitted
    }

    fn store(&self, name: &str, records: Vec<Bytes>) -> (u64, u64) {
        let mut state = server::lock(&self.state);
        let at_ms = server::now_ms().max(state.last_ms);
        state.last_ms = at_ms;
        let stream = state.streams.get_or_insert_with(name.to_owned(), Stream::default);
        let first = stream.next();
        for record in records {
            stream.bytes += record.len();
            stream.records.push_back((at_ms, record));
        }
        let next = stream.next();
        while stream.records.len() > self.options.max_records
            || stream.bytes > self.options.max_bytes
        {
            if let Some((_, record)) = stream.records.pop_front() {
                stream.bytes -= record.len();
                stream.first += 1;
            }
        }
        (first, next)
    }

    async fn read(&self, name: &str, call: &Call) -> Reply {
        let from = call.query_number("from").unwrap_or(0);
        let limit = call.query_number("max_bytes").unwrap_or(BATCH_BYTES) as usize;
        let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0)).min(WAIT_LIMIT);
        let until = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let (reply, empty) = self.batch(name, from, limit);
            let rest = until.saturating_duration_since(Instant::now());
            if !empty || rest.is_zero() {
                return reply;
            }
            let _ = actix_rt::time::timeout(rest, appended).await;
        }
    }

    fn batch(&self, name: &str, from: u64, limit: usize) -> (Reply, bool) {
        let mut state = server::lock(&self.state);
        let stream = state.streams.get_or_insert_with(name.to_owned(), Stream::default);
        let (first, next) = (stream.first, stream.next());
        let headers = vec![("x-log-first", first.to_string()), ("x-log-next", next.to_string())];
        if from < first {
            return (Reply::Full { status: 410, headers, body: Bytes::new() }, false);
        }
        let mut body = Vec::new();
        for (place, (at_ms, record)) in
            stream.records.iter().enumerate().skip((from - first) as usize)
        {
            // One record is sent even if it exceeds the limit, so that a reader always advances.
            if !body.is_empty() && body.len() + 20 + record.len() > limit {
                break;
            }
            body.extend_from_slice(&(first + place as u64).to_be_bytes());
            body.extend_from_slice(&at_ms.to_be_bytes());
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        let empty = body.is_empty();
        (Reply::Full { status: 200, headers, body: body.into() }, empty)
    }
}

fn split(mut body: Bytes) -> Option<Vec<Bytes>> {
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
