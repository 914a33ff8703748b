//! The typed content of a validated sheet.

use smol_str::SmolStr;

/// Settings of the deployment, one row of kind `setting` each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the deployment, free text of at most [`crate::parse::MAX_NAME_BYTES`] bytes.
    pub deployment: SmolStr,
    /// Weight of group downtime relative to stranded accelerators, in thousandths from 0 to 1,000.
    /// The sheet writes it as a decimal number from 0 to 1.
    pub downtime_weight: u32,
    /// Maximum number of instances that load weights concurrently, 1 to 10,000.
    pub weight_loads: u32,
}

/// A model server that is available to the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance, unique among instances and servers.
    pub name: SmolStr,
    /// Availability zone of the instance.
    pub zone: SmolStr,
    /// Fabric domain of the instance. All instances of a domain are in one zone.
    pub domain: SmolStr,
    /// Accelerator type, which models refer to.
    pub accelerator: SmolStr,
    /// Number of accelerators, 1 to 64.
    pub accelerators: u32,
    /// IP address and port, unique among instances and servers.
    pub address: SmolStr,
    /// Whether the engine rejects orders that carry an outdated fencing token.
    pub fencing: bool,
}

/// A model that the deployment serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name of the model, unique among models and adapters.
    pub name: SmolStr,
    /// Version of the weights.
    pub version: SmolStr,
    /// Accelerator type that the model requires.
    pub accelerator: SmolStr,
    /// Instances per replica, 1 to 64.
    pub instances: u32,
    /// Desired number of replicas, 0 to 10,000.
    pub replicas: u32,
    /// Scheduling priority, from 0 (highest) to 3 (lowest).
    pub priority: u8,
}

/// An adapter that is served on top of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// Name of the adapter, unique among models and adapters.
    pub name: SmolStr,
    /// Name of the base model, which the same sheet declares.
    pub model: SmolStr,
}

/// A team and its request limits, which apply to all entries together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team, unique among teams.
    pub name: SmolStr,
    /// Limit of requests per second, 1 to 1,000,000.
    pub rate: u32,
    /// Limit of generated tokens per second, 1 to 1,000,000,000.
    pub tokens: u32,
    /// Limit of concurrent requests, 1 to 1,000,000.
    pub concurrency: u32,
    /// Hash of the team's bearer key as 32 lowercase hexadecimal digits; see [`crate::key::hash`].
    /// No two teams have the same hash.
    pub key: SmolStr,
}

/// A plain service, which runs on declared servers rather than on groups of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service, unique among services.
    pub name: SmolStr,
}

/// A backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name of the server, unique among instances and servers.
    pub name: SmolStr,
    /// Name of its service, which the same sheet declares.
    pub service: SmolStr,
    /// Availability zone of the server.
    pub zone: SmolStr,
    /// IP address and port, unique among instances and servers.
    pub address: SmolStr,
}

/// A call of a plain service, identified by service, method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the service, which the same sheet declares.
    pub service: SmolStr,
    /// HTTP method in upper case.
    pub method: SmolStr,
    /// Path relative to the service, starting with `/`.
    pub path: SmolStr,
    /// Whether the call is idempotent. Calls that the sheet does not list are not idempotent.
    pub repeatable: bool,
}

/// A validated sheet. Every list is sorted by name (calls by service, method and path) and has no
/// duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sheet {
    /// Settings of the deployment.
    pub settings: Settings,
    /// Available model servers.
    pub instances: Vec<Instance>,
    /// Models to serve.
    pub models: Vec<Model>,
    /// Adapters to serve.
    pub adapters: Vec<Adapter>,
    /// Teams that may send requests.
    pub teams: Vec<Team>,
    /// Plain services that the entries proxy to.
    pub services: Vec<Service>,
    /// Backend servers of the plain services.
    pub servers: Vec<Server>,
    /// Calls of the plain services whose idempotency is declared.
    pub calls: Vec<Call>,
}

impl Sheet {
    /// Creates a sheet that declares only settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            instances: Vec::new(),
            models: Vec::new(),
            adapters: Vec::new(),
            teams: Vec::new(),
            services: Vec::new(),
            servers: Vec::new(),
            calls: Vec::new(),
        }
    }
}
