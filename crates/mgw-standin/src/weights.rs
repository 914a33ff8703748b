//! Stand-in of the weight store: few loads at once, each at a limited rate.
//!
//! Faults: `slow` (`factor` divides the rate), and those of every stand-in.

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

const FAULTS: &[&str] = &["slow"];

/// A load advances in steps of this length, so that faults apply to loads that run.
const STEP: Duration = Duration::from_millis(10);

/// How the weight store behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub bind: Bind,
    /// Loads that may run at once.
    pub max_loads: u32,
    /// Bytes per second of one load.
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
    active: AtomicU32,
    queued: AtomicU32,
}

/// Starts the stand-in.
///
/// # Errors
///
/// The address cannot be bound, or the server does not start.
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
    async fn fetch(&self, bytes: f64) -> Reply {
        let queued = GaugeGuard::new(&self.queued);
        let permit = self.permits.acquire().await;
        drop(queued);
        let _active = GaugeGuard::new(&self.active);
        let mut left = bytes;
        let mut then = Instant::now();
        while left > 0.0 && permit.is_ok() {
            let factor = self
                .faults
                .get("slow")
                .map_or(1.0, |fault| fault.number("factor").unwrap_or(10.0).max(f64::EPSILON));
            let rate = self.options.bytes_per_second.max(1.0) / factor;
            let step = Duration::from_secs_f64((left / rate).min(STEP.as_secs_f64()));
            actix_rt::time::sleep(step).await;
            if self.faults.get("down").is_some() {
                return Reply::error(503, "down");
            }
            let now = Instant::now();
            left -= (now - then).as_secs_f64() * rate;
            then = now;
        }
        Reply::json(200, &json!({ "bytes": bytes }))
    }
}
