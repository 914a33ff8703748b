//! Stand-in for a server of a plain service that accepts bookings and stock queries.
//!
//! It runs every booking that it receives, without deduplication, and counts the runs per
//! idempotency key, so that tests can detect a booking that ran twice.
//!
//! Faults: `slow` (delays each response by `ms`, after a booking has run), `lose` (runs the
//! request, then closes the connection without a response), `refuse` (responds with 503 and
//! `x-not-run: 1` without running the request), `crash_after` (runs the request, then crashes),
//! `large` (adds `bytes` bytes to the response), and those that every stand-in supports.

use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::Method;
use mgw_base::sorted::Map;
use mgw_report::report::Server;
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::fault::Injector;
use crate::server::{self, Bind, Call, GaugeGuard, Handle, Reply};

/// Faults of this stand-in, besides the common ones.
const FAULTS: &[&str] = &["slow", "lose", "refuse", "crash_after", "large"];

/// Configuration of the server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listen address and crash behaviour.
    pub bind: Bind,
    /// Name of the instance in status reports and booking responses.
    pub instance: SmolStr,
    /// Boot id in status reports; if empty, one is generated at the start.
    pub boot_id: SmolStr,
    /// Duration of each call.
    pub work_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            bind: Bind::default(),
            instance: "service-1".into(),
            boot_id: SmolStr::default(),
            work_time: Duration::ZERO,
        }
    }
}

struct Service {
    options: Options,
    faults: Arc<Injector>,
    /// Number of calls in progress.
    running: AtomicU32,
    /// Number of runs per idempotency key.
    runs: Mutex<Map<String, u64>>,
}

/// Starts the stand-in on a thread of its own.
///
/// # Errors
///
/// Fails if the address cannot be bound or the server does not start.
pub fn start(mut options: Options) -> io::Result<Handle> {
    if options.boot_id.is_empty() {
        options.boot_id = server::generate_boot_id();
    }
    let (bind, faults) = (options.bind, Arc::new(Injector::new(FAULTS)));
    let service = Arc::new(Service {
        options,
        faults: faults.clone(),
        running: AtomicU32::new(0),
        runs: Mutex::default(),
    });
    server::start("service", bind, faults, move |call| Box::pin(route(service.clone(), call)))
}

/// Handles a request to the stand-in.
async fn route(service: Arc<Service>, call: Call) -> Reply {
    match (call.path.as_str(), &call.method) {
        ("/status", &Method::GET) => Reply::json(
            200,
            &Server {
                instance: service.options.instance.clone(),
                boot: service.options.boot_id.clone(),
                running: service.running.load(Ordering::Relaxed),
                as_of_ms: server::now_ms(),
            },
        ),
        ("/counts", &Method::GET) => {
            let runs = server::lock(&service.runs);
            let counts: Value =
                runs.iter().map(|(key, count)| (key.clone(), json!(count))).collect();
            Reply::json(200, &counts)
        }
        ("/bookings", &Method::POST) | ("/stock", &Method::GET) => service.handle_call(&call).await,
        _ => Reply::error(404, "no such path"),
    }
}

impl Service {
    async fn handle_call(&self, call: &Call) -> Reply {
        let _running = GaugeGuard::new(&self.running);
        if self.faults.take("refuse").is_some() {
            return Reply::Full {
                status: 503,
                headers: vec![("x-not-run", "1".into())],
                body: Default::default(),
            };
        }
        // The booking runs before any delay, so that it takes effect even if the caller times out.
        let mut answer = match call.method {
            Method::POST => self.run_booking(call),
            _ => json!({ "item": call.query, "stock": 40 + call.query.len() }),
        };
        if self.faults.take("crash_after").is_some() {
            return Reply::Crash;
        }
        let slow = self.faults.take("slow").and_then(|fault| fault.millis("ms"));
        actix_rt::time::sleep(self.options.work_time + slow.unwrap_or_default()).await;
        if let Some(fault) = self.faults.take("large") {
            let bytes = fault.number("bytes").unwrap_or(1e6) as usize;
            answer["filler"] = Value::String("x".repeat(bytes));
        }
        match self.faults.take("lose") {
            Some(_) => Reply::Disconnect,
            None => Reply::json(200, &answer),
        }
    }

    /// Counts a run of the booking and returns the response's body.
    fn run_booking(&self, call: &Call) -> Value {
        let key = call.header("idempotency-key").unwrap_or_default().to_owned();
        let mut runs = server::lock(&self.runs);
        let count = runs.get_or_insert_with(key.clone(), || 0);
        *count += 1;
        let count = *count;
        let booked: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        json!({ "key": key, "run": count, "instance": self.options.instance, "booked": booked })
    }
}
