//! Stand-in for a model engine: orders, weight loads, batching, generation and prefix cache.
//!
//! Faults, besides those that every stand-in supports:
//!
//! - `slow`: multiplies all generation times by `factor`; the slowest member determines the speed
//!   of the whole group.
//! - `crash_on`: crashes on a completion request whose body contains `text`.
//! - `cut`: aborts the generation at token position `after`.
//! - `other_id`: responds with the request id `id` instead of the request's own.
//! - `duplicate`: sends each chunk twice, or only the one at position `at`.
//! - `order_lost`: executes an order, then closes the connection without a response.
//! - `load_failed`: lets a load end in the state `failed`.
//! - `large`: makes the text of each token `bytes` bytes long.

mod batch;
mod cache;
mod chat;
mod order;

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::Method;
use mgw_report::report::{self, Order, Phase};
use serde_json::json;
use smol_str::SmolStr;

use crate::fault::Injector;
use crate::server::{self, Bind, Call, Handle, Reply, lock};

/// Faults of this stand-in, besides the common ones.
const FAULTS: &[&str] =
    &["slow", "crash_on", "cut", "other_id", "duplicate", "order_lost", "load_failed", "large"];

/// Configuration of the engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listen address and crash behaviour.
    pub bind: Bind,
    /// Name of the instance in status reports and weight requests.
    pub instance: SmolStr,
    /// Boot id, which orders must name; if empty, one is generated at the start.
    pub boot_id: SmolStr,
    /// Whether orders with a stale fencing token are rejected; if false, fencing tokens are
    /// ignored.
    pub fencing: bool,
    /// Address of the weight store; without one, a load takes `load_time`.
    pub weight_store: Option<SmolStr>,
    /// Number of bytes that a load fetches from the weight store.
    pub weight_bytes: u64,
    /// Duration of a load if there is no weight store.
    pub load_time: Duration,
    /// Maximum number of concurrently running requests, at least 1.
    pub slots: u32,
    /// Prefill time for each block of the prompt that is not in the prefix cache.
    pub block_prefill_time: Duration,
    /// Interval between tokens.
    pub token_interval: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay until a cache event becomes visible to readers.
    pub cache_event_delay: Duration,
    /// Loses every n-th cache event; 0 for no losses.
    pub cache_event_loss_period: u64,
    /// Maximum age of the load figures in a status report; they are cached for this long.
    pub load_report_max_age: Duration,
    /// Interval at which rank 0 checks the other members of its group.
    pub member_check_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            bind: Bind::default(),
            instance: "engine-1".into(),
            boot_id: SmolStr::default(),
            fencing: true,
            weight_store: None,
            weight_bytes: 1_000_000_000,
            load_time: Duration::from_millis(100),
            slots: 8,
            block_prefill_time: Duration::from_millis(2),
            token_interval: Duration::from_millis(5),
            cache_blocks: 4_096,
            cache_event_delay: Duration::from_millis(200),
            cache_event_loss_period: 50,
            load_report_max_age: Duration::from_millis(100),
            member_check_interval: Duration::from_millis(200),
        }
    }
}

/// The last accepted order and the progress of its execution.
#[derive(Clone, Debug)]
struct Assignment {
    fence: u64,
    group: u64,
    rank: u32,
    model: SmolStr,
    version: SmolStr,
    adapters: Vec<SmolStr>,
    members: Vec<SmolStr>,
    phase: Phase,
    /// Incremented by each order that changes the assignment. Tasks that were started for an
    /// earlier epoch stop or have no effect.
    epoch: u64,
}

impl Assignment {
    /// The assignment of an engine without a model.
    fn idle() -> Self {
        Self {
            fence: 0,
            group: 0,
            rank: 0,
            model: SmolStr::default(),
            version: SmolStr::default(),
            adapters: Vec::new(),
            members: Vec::new(),
            phase: Phase::Idle,
            epoch: 0,
        }
    }
}

/// Result of rank 0's last check of the other members.
#[derive(Clone, Copy, Debug)]
struct PeerCheck {
    epoch: u64,
    checked_at: Instant,
    /// Whether all other members were ready in the same group with the same model version.
    all_ready: bool,
    /// Largest slow factor among the other members.
    max_slow_factor: f64,
}

struct Engine {
    options: Options,
    faults: Arc<Injector>,
    assignment: Mutex<Assignment>,
    peer_check: Mutex<Option<PeerCheck>>,
    /// Cached load figures and the time of their measurement.
    reported_load: Mutex<Option<(Instant, report::Engine)>>,
    batch: batch::Batch,
    cache: Mutex<cache::Cache>,
    /// Ids of the queued and running requests, and whether each is cancelled.
    requests: Mutex<Vec<(SmolStr, bool)>>,
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
    let engine = Arc::new(Engine {
        batch: batch::Batch::new(options.slots),
        cache: Mutex::new(cache::Cache::new(&options)),
        options,
        faults: faults.clone(),
        assignment: Mutex::new(Assignment::idle()),
        peer_check: Mutex::new(None),
        reported_load: Mutex::new(None),
        requests: Mutex::default(),
    });
    server::start("engine", bind, faults, move |call| Box::pin(route(engine.clone(), call)))
}

/// Handles a request to the stand-in.
async fn route(engine: Arc<Engine>, call: Call) -> Reply {
    let parts: Vec<String> = call.path.split('/').skip(1).map(server::percent_decode).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    match (parts.as_slice(), &call.method) {
        (["status"], &Method::GET) => engine.status(),
        (["orders"], &Method::POST) => match serde_json::from_slice::<Order>(&call.body) {
            Ok(order) => order::accept(engine, order),
            Err(error) => Reply::error(400, &error.to_string()),
        },
        (["v1", "chat", "completions"], &Method::POST) => chat::complete(engine, call).await,
        (["cancel", request], &Method::POST) => match engine.cancel(request) {
            true => Reply::json(200, &json!({})),
            false => Reply::error(404, "no such request"),
        },
        (["cache", "events"], &Method::GET) => {
            let from = call.query_number("from").unwrap_or(0);
            Reply::json(200, &lock(&engine.cache).events(from))
        }
        (["kv", prefix], &Method::GET) => match lock(&engine.cache).export(prefix) {
            Some(body) => Reply::Full {
                status: 200,
                headers: vec![("content-type", "application/octet-stream".into())],
                body,
            },
            None => Reply::error(404, "no such prefix"),
        },
        (["kv", prefix], &Method::POST) => match lock(&engine.cache).import(prefix, &call.body) {
            true => Reply::json(200, &json!({})),
            false => Reply::error(400, "not an export of this prefix"),
        },
        _ => Reply::error(404, "no such path"),
    }
}

impl Engine {
    /// Returns the status report. Its load figures are up to `load_report_max_age` old; the rest is
    /// current.
    ///
    /// The additional field `slow` tells rank 0 the slow factor of this member.
    fn status(&self) -> Reply {
        let assignment = lock(&self.assignment).clone();
        let mut reported_load = lock(&self.reported_load);
        let recent =
            reported_load.take().filter(|(at, _)| at.elapsed() < self.options.load_report_max_age);
        let (at, load) = recent.unwrap_or_else(|| {
            let (running, queued) = self.batch.load();
            let report = report::Engine {
                instance: self.options.instance.clone(),
                boot: self.options.boot_id.clone(),
                fence: 0,
                group: 0,
                rank: 0,
                model: SmolStr::default(),
                version: SmolStr::default(),
                adapters: Vec::new(),
                state: Phase::Idle,
                running,
                queued,
                slots: self.options.slots,
                as_of_ms: server::now_ms(),
            };
            (Instant::now(), report)
        });
        let report = report::Engine {
            fence: assignment.fence,
            group: assignment.group,
            rank: assignment.rank,
            model: assignment.model,
            version: assignment.version,
            adapters: assignment.adapters,
            state: assignment.phase,
            ..load.clone()
        };
        *reported_load = Some((at, load));
        let mut body = json!(report);
        body["slow"] = json!(self.slow_factor());
        Reply::json(200, &body)
    }

    /// Returns the slow factor of this engine alone.
    fn slow_factor(&self) -> f64 {
        self.faults.get("slow").map_or(1.0, |fault| fault.number("factor").unwrap_or(5.0).max(1.0))
    }

    /// Returns the largest slow factor of the group, as of the last check of the other members.
    fn group_slow_factor(&self) -> f64 {
        let epoch = self.epoch();
        let check = lock(&self.peer_check).filter(|check| check.epoch == epoch);
        self.slow_factor().max(check.map_or(1.0, |check| check.max_slow_factor))
    }

    /// Marks the requests with this id as cancelled; returns false if there are none.
    fn cancel(&self, request: &str) -> bool {
        let mut requests = lock(&self.requests);
        let mut found = false;
        for (_, cancelled) in requests.iter_mut().filter(|(id, _)| id == request) {
            *cancelled = true;
            found = true;
        }
        found
    }

    /// Returns whether a request with this id is marked as cancelled.
    fn is_cancelled(&self, request: &str) -> bool {
        lock(&self.requests).iter().any(|(id, cancelled)| id == request && *cancelled)
    }

    /// Returns the epoch of the current assignment.
    fn epoch(&self) -> u64 {
        lock(&self.assignment).epoch
    }
}
