//! Stand-in for the instance list, whose responses lag behind the actual state.
//!
//! Faults: `stale` (the list stays as it was when the fault was enabled), and those that every
//! stand-in supports.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::Method;
use mgw_report::report::{Instance, List};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::fault::Injector;
use crate::server::{self, Bind, Call, Handle, Reply};

/// Faults of this stand-in, besides the common ones.
const FAULTS: &[&str] = &["stale"];

/// Configuration of the instance list.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Listen address and crash behaviour.
    pub bind: Bind,
    /// Delay until a change becomes visible in the list.
    pub lag: Duration,
    /// Initial instances.
    pub instances: Vec<Instance>,
}

/// Body of `POST /instances`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Change {
    /// Instances to add; an instance of the same name is replaced.
    instances: Vec<Instance>,
    /// Names of instances to remove.
    remove: Vec<SmolStr>,
}

struct Service {
    options: Options,
    faults: Arc<Injector>,
    /// Time and content of each version of the list, oldest first. The oldest one is also returned
    /// when no version is old enough yet.
    versions: Mutex<VecDeque<(Instant, Vec<Instance>)>>,
}

/// Starts the stand-in on a thread of its own.
///
/// # Errors
///
/// Fails if the address cannot be bound or the server does not start.
pub fn start(options: Options) -> io::Result<Handle> {
    let (bind, faults) = (options.bind, Arc::new(Injector::new(FAULTS)));
    let mut instances = Vec::new();
    apply_change(
        &mut instances,
        Change { instances: options.instances.clone(), remove: Vec::new() },
    );
    let versions = Mutex::new(VecDeque::from([(Instant::now(), instances)]));
    let service = Arc::new(Service { options, faults: faults.clone(), versions });
    server::start("list", bind, faults, move |call| Box::pin(route(service.clone(), call)))
}

/// Handles a request to the stand-in.
async fn route(service: Arc<Service>, call: Call) -> Reply {
    match (call.path.as_str(), &call.method) {
        ("/instances", &Method::GET) => Reply::json(200, &service.visible_list()),
        ("/instances", &Method::POST) => match serde_json::from_slice::<Change>(&call.body) {
            Ok(change) => {
                service.apply(change);
                Reply::json(200, &serde_json::json!({}))
            }
            Err(error) => Reply::error(400, &error.to_string()),
        },
        _ => Reply::error(404, "no such path"),
    }
}

impl Service {
    /// Returns the newest version that is at least `lag` old, or was when `stale` was enabled.
    fn visible_list(&self) -> List {
        let versions = server::lock(&self.versions);
        let now = self.faults.get("stale").map_or_else(Instant::now, |fault| fault.enabled_at());
        let cutoff = now.checked_sub(self.options.lag).unwrap_or(now);
        let index = versions.partition_point(|(at, _)| *at <= cutoff).saturating_sub(1);
        let instances = versions.get(index).map(|(_, list)| list.clone()).unwrap_or_default();
        let age = cutoff.elapsed().as_millis() as u64;
        List { as_of_ms: server::now_ms().saturating_sub(age), instances }
    }

    /// Adds a version with `change` applied, and drops the versions that can no longer be read.
    fn apply(&self, change: Change) {
        let mut versions = server::lock(&self.versions);
        let now = Instant::now();
        let mut instances = versions.back().map(|(_, list)| list.clone()).unwrap_or_default();
        apply_change(&mut instances, change);
        versions.push_back((now, instances));
        let stale_since = self.faults.get("stale").map(|fault| fault.enabled_at());
        let oldest = stale_since.unwrap_or(now).checked_sub(self.options.lag).unwrap_or(now);
        while versions.len() > 1 && versions[1].0 <= oldest {
            versions.pop_front();
        }
    }
}

/// Applies `change` to `instances`, which must be sorted by name and remain so.
fn apply_change(instances: &mut Vec<Instance>, change: Change) {
    instances.retain(|instance| !change.remove.contains(&instance.name));
    for instance in change.instances {
        match instances.binary_search_by(|known| known.name.cmp(&instance.name)) {
            Ok(index) => instances[index] = instance,
            Err(index) => instances.insert(index, instance),
        }
    }
}
