//! Stand-in of the instance list, which lags behind the actual state.
//!
//! Faults: `stale` (the list stays as it was when the fault was switched on), and those of every
//! stand-in.

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

const FAULTS: &[&str] = &["stale"];

/// How the instance list behaves.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Where it listens.
    pub bind: Bind,
    /// How far it lags behind the actual state.
    pub lag: Duration,
    /// The instances at the start.
    pub instances: Vec<Instance>,
}

/// Body of `POST /instances`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Change {
    /// Instances to add or to replace by name.
    instances: Vec<Instance>,
    /// Names of instances to remove.
    remove: Vec<SmolStr>,
}

struct Service {
    options: Options,
    faults: Arc<Injector>,
    /// Ascending by time; the first version is shown to readers that lag behind all others.
    versions: Mutex<VecDeque<(Instant, Vec<Instance>)>>,
}

/// Starts the stand-in.
///
/// # Errors
///
/// The address cannot be bound, or the server does not start.
pub fn start(options: Options) -> io::Result<Handle> {
    let (bind, faults) = (options.bind, Arc::new(Injector::new(FAULTS)));
    let mut instances = Vec::new();
    merge(&mut instances, Change { instances: options.instances.clone(), remove: Vec::new() });
    let versions = Mutex::new(VecDeque::from([(Instant::now(), instances)]));
    let service = Arc::new(Service { options, faults: faults.clone(), versions });
    server::start("list", bind, faults, move |call| Box::pin(route(service.clone(), call)))
}

async fn route(service: Arc<Service>, call: Call) -> Reply {
    match (call.path.as_str(), &call.method) {
        ("/instances", &Method::GET) => Reply::json(200, &service.show()),
        ("/instances", &Method::POST) => match serde_json::from_slice::<Change>(&call.body) {
            Ok(change) => {
                service.change(change);
                Reply::json(200, &serde_json::json!({}))
            }
            Err(error) => Reply::error(400, &error.to_string()),
        },
        _ => Reply::error(404, "no such path"),
    }
}

impl Service {
    /// The newest version that is at least `lag` old.
    fn show(&self) -> List {
        let versions = server::lock(&self.versions);
        let now = self.faults.get("stale").map_or_else(Instant::now, |fault| fault.enabled_at());
        let seen = now.checked_sub(self.options.lag).unwrap_or(now);
        let place = versions.partition_point(|(at, _)| *at <= seen).saturating_sub(1);
        let instances = versions.get(place).map(|(_, list)| list.clone()).unwrap_or_default();
        let age = seen.elapsed().as_millis() as u64;
        List { as_of_ms: server::now_ms().saturating_sub(age), instances }
    }

    fn change(&self, change: Change) {
        let mut versions = server::lock(&self.versions);
        let now = Instant::now();
        let mut instances = versions.back().map(|(_, list)| list.clone()).unwrap_or_default();
        merge(&mut instances, change);
        versions.push_back((now, instances));
        let stale = self.faults.get("stale").map(|fault| fault.enabled_at());
        let oldest = stale.unwrap_or(now).checked_sub(self.options.lag).unwrap_or(now);
        while versions.len() > 1 && versions[1].0 <= oldest {
            versions.pop_front();
        }
    }
}

/// Applies `change` to `instances`, which stay sorted by name.
fn merge(instances: &mut Vec<Instance>, change: Change) {
    instances.retain(|instance| !change.remove.contains(&instance.name));
    for instance in change.instances {
        match instances.binary_search_by(|known| known.name.cmp(&instance.name)) {
            Ok(place) => instances[place] = instance,
            Err(place) => instances.insert(place, instance),
        }
    }
}
