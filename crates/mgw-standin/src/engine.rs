//! Stand-in of a model engine: orders, weight loads, batching, generation, prefix cache.
//!
//! Faults, besides those of every stand-in: `slow` (`factor` on all generation times; the slowest
//! member slows the whole group), `crash_on` (crash on a completion whose body contains `text`),
//! `cut` (cut a stream `after` that many tokens), `other_id` (answer with the request id `id`),
//! `duplicate` (send each chunk twice, or only the one at position `at`), `order_lost` (carry an
//! order out, then cut the connection), `load_failed` (a load ends in the state `failed`), `large`
//! (`bytes` in the text of each token).

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

const FAULTS: &[&str] =
    &["slow", "crash_on", "cut", "other_id", "duplicate", "order_lost", "load_failed", "large"];

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub bind: Bind,
    /// The instance's name.
    pub instance: SmolStr,
    /// Its boot id; empty to draw one.
    pub boot_id: SmolStr,
    /// Whether it rejects orders with a stale fencing token; if not, it ignores the token.
    pub fencing: bool,
    /// Address of the weight store; without one, a load takes `load`.
    pub weight_store: Option<SmolStr>,
    /// Size of the weights that one load fetches.
    pub weight_bytes: u64,
    /// Time of a load without a weight store.
    pub load_time: Duration,
    /// Requests that run at once.
    pub slots: u32,
    /// Time of the prefill per block of the prompt that the prefix cache does not hold.
    pub block_prefill_time: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Delay of cache events.
    pub cache_event_delay: Duration,
    /// Every how many cache events one is lost; 0 for no losses.
    pub cache_event_loss_period: u64,
    /// Age that the load figures in the report may reach.
    pub load_report_max_age: Duration,
    /// How often rank 0 checks the other members of its group.
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

/// The accepted order and how far it is carried out.
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
    /// Grows with each order that changes something; ends work for earlier orders.
    epoch: u64,
}

impl Assignment {
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

/// What rank 0 last saw of the other members.
#[derive(Clone, Copy, Debug)]
struct Peers {
    epoch: u64,
    at: Instant,
    present: bool,
    /// Largest `slow` factor of the other members.
    slow: f64,
}

struct Engine {
    options: Options,
    faults: Arc<Injector>,
    assignment: Mutex<Assignment>,
    peers: Mutex<Option<Peers>>,
    /// Load figures as last reported.
    reported: Mutex<Option<(Instant, report::Engine)>>,
    batch: batch::Batch,
    cache: Mutex<cache::Cache>,
    /// Ids of the requests that run, and whether they are cancelled.
    requests: Mutex<Vec<(SmolStr, bool)>>,
}

/// Starts the stand-in.
///
/// # Errors
///
/// The address cannot be bound, or the server does not start.
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
        peers: Mutex::new(None),
        reported: Mutex::new(None),
        requests: Mutex::default(),
    });
    server::start("engine", bind, faults, move |call| Box::pin(route(engine.clone(), call)))
}

async fn route(engine: Arc<Engine>, call: Call) -> Reply {
    let parts: Vec<String> = call.path.split('/').skip(1).map(server::decode).collect();
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
    /// The report; its load figures are up to `report_lag` old, the rest is current.
    ///
    /// The further field `slow` tells rank 0 how fast this member is.
    fn status(&self) -> Reply {
        let assignment = lock(&self.assignment).clone();
        let mut reported = lock(&self.reported);
        let fresh =
            reported.take().filter(|(at, _)| at.elapsed() < self.options.load_report_max_age);
        let (at, load) = fresh.unwrap_or_else(|| {
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
        *reported = Some((at, load));
        let mut body = json!(report);
        body["slow"] = json!(self.slow());
        Reply::json(200, &body)
    }

    /// This engine's own slow factor.
    fn slow(&self) -> f64 {
        self.faults.get("slow").map_or(1.0, |fault| fault.number("factor").unwrap_or(5.0).max(1.0))
    }

    /// The group's slow factor as far as rank 0 knows it.
    fn slowdown(&self) -> f64 {
        let epoch = self.epoch();
        let peers = lock(&self.peers).filter(|peers| peers.epoch == epoch);
        self.slow().max(peers.map_or(1.0, |peers| peers.slow))
    }

    fn cancel(&self, request: &str) -> bool {
        let mut requests = lock(&self.requests);
        let mut found = false;
        for (_, cancelled) in requests.iter_mut().filter(|(id, _)| id == request) {
            *cancelled = true;
            found = true;
        }
        found
    }

    fn cancelled(&self, request: &str) -> bool {
        lock(&self.requests).iter().any(|(id, cancelled)| id == request && *cancelled)
    }

    fn epoch(&self) -> u64 {
        lock(&self.assignment).epoch
    }
}
