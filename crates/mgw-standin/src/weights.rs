//! Stand-in for the weight store: a limited number of concurrent loads, each at a limited rate.
//!
//! Faults: `slow` (divides the rate by `factor`), and those that every stand-in supports.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use actix_http::Method;
use mgw_report::report::WeightStore;
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use crate::fault::Injector;
use crate::server::{self, Bind, Call, GaugeGuard, Handle, Reply};

/// Faults of this stand-in, besides the common ones.
const FAULTS: &[&str] = &["slow"];

/// Interval at which a running load updates its progress and checks for faults, so that a fault
/// also affects loads that are already running.
const TRANSFER_STEP: Duration = Duration::from_millis(10);

/// Configuration of the weight store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listen address and crash behaviour.
    pub bind: Bind,
    /// Maximum number of concurrent loads; further loads wait in a queue.
    pub max_loads: u32,
    /// Transfer rate of each load in bytes per second.
    pub bytes_per_second: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { bind: Bind::default(), max_loads: 4, bytes_per_second: 1e9 }
    }
}

struct Store {
    options: Options,
    faults: Arc<Injector>,
    permits: Semaphore,
    /// Number of running loads.
    active: AtomicU32,
    /// Number of loads that wait for a permit.
    queued: AtomicU32,
}

/// Starts the stand-in on a thread of its own.
///
/// # Errors
///
/// Fails if the address cannot be bound or the server does not start.
pub fn start(options: Options) -> io::Result<Handle> {
    let (bind, faults) = (options.bind, Arc::new(Injector::new(FAULTS)));
    let store = Arc::new(Store {
        permits: Semaphore::new(options.max_loads as usize),
        options,
        faults: faults.clone(),
        active: AtomicU32::new(0),
        queued: AtomicU32::new(0),
    });
    server::start("weights", bind, faults, move |call| Box::pin(route(store.clone(), call)))
}

/// Handles a request to the stand-in.
async fn route(store: Arc<Store>, call: Call) -> Reply {
    match (call.path.as_str(), &call.method) {
        ("/weights", &Method::GET) => Reply::json(
            200,
            &WeightStore {
                limit: store.options.max_loads,
                active: store.active.load(Ordering::Relaxed),
                queued: store.queued.load(Ordering::Relaxed),
            },
        ),
        ("/weights/fetch", &Method::POST) => {
            let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
            match body["bytes"].as_f64() {
                Some(bytes) => store.fetch(bytes).await,
                None => Reply::error(400, "expected an object with the number `bytes`"),
            }
        }
        _ => Reply::error(404, "no such path"),
    }
}

impl Store {
    /// Waits for a permit, then simulates the transfer of `bytes` at the limited rate. Responds with
    /// 503 if the fault `down` is enabled during the transfer.
    async fn fetch(&self, bytes: f64) -> Reply {
        let queued = GaugeGuard::new(&self.queued);
        let permit = self.permits.acquire().await;
        drop(queued);
        let _active = GaugeGuard::new(&self.active);
        let mut remaining_bytes = bytes;
        let mut last_step_at = Instant::now();
        while remaining_bytes > 0.0 && permit.is_ok() {
            let factor = self
                .faults
                .get("slow")
                .map_or(1.0, |fault| fault.number("factor").unwrap_or(10.0).max(f64::EPSILON));
            let rate = self.options.bytes_per_second.max(1.0) / factor;
            let step =
                Duration::from_secs_f64((remaining_bytes / rate).min(TRANSFER_STEP.as_secs_f64()));
            actix_rt::time::sleep(step).await;
            if self.faults.get("down").is_some() {
                return Reply::error(503, "down");
            }
            let now = Instant::now();
            remaining_bytes -= (now - last_step_at).as_secs_f64() * rate;
            last_step_at = now;
        }
        Reply::json(200, &json!({ "bytes": bytes }))
    }
}
