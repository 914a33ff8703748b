//! A checked sheet.

use smol_str::SmolStr;

/// Settings of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The deployment's name.
    pub deployment: SmolStr,
    /// Weight of group downtime against stranded accelerators, 0 to 1,000.
    pub downtime_weight: u32,
    /// Instances that may load weights at once, at least 1.
    pub weight_loads: u32,
}

/// A model server on hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique among instances and servers.
    pub name: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Fabric domain; a domain lies in one zone.
    pub domain: SmolStr,
    /// Kind of accelerator.
    pub accelerator: SmolStr,
    /// Number of accelerators, at least 1.
    pub accelerators: u32,
    /// IP address and port.
    pub address: SmolStr,
    /// Whether the engine refuses orders with an old fencing token.
    pub fencing: bool,
}

/// A model that is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Unique among models.
    pub name: SmolStr,
    /// Version of the weights.
    pub version: SmolStr,
    /// Kind of accelerator that it needs.
    pub accelerator: SmolStr,
    /// Instances per replica, 1 to 64.
    pub instances: u32,
    /// Replicas wanted.
    pub replicas: u32,
    /// 0 (first) to 3 (last).
    pub priority: u8,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// Unique among adapters.
    pub name: SmolStr,
    /// The model, which the sheet declares.
    pub model: SmolStr,
}

/// A team and its capacity over all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Unique among teams.
    pub name: SmolStr,
    /// Requests per second, at least 1.
    pub rate: u32,
    /// Generated tokens per second, at least 1.
    pub tokens: u32,
    /// Requests in flight, at least 1.
    pub concurrency: u32,
    /// Hash of the team's bearer key, 32 hexadecimal digits (XXH3, 128 bits).
    pub key: SmolStr,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Unique among services.
    pub name: SmolStr,
}

/// A server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Unique among instances and servers.
    pub name: SmolStr,
    /// The service, which the sheet declares.
    pub service: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// IP address and port.
    pub address: SmolStr,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service, which the sheet declares.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path below the service, starting with `/`.
    pub path: SmolStr,
    /// Whether the call is idempotent; calls that the sheet does not list are not.
    pub repeatable: bool,
}

/// A checked sheet; every list is sorted by name (calls by service, method and path) without
/// repetition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sheet {
    /// Settings of the deployment.
    pub settings: Settings,
    /// Model servers on hand.
    pub instances: Vec<Instance>,
    /// Models wanted.
    pub models: Vec<Model>,
    /// Adapters wanted.
    pub adapters: Vec<Adapter>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Servers of plain services.
    pub servers: Vec<Server>,
    /// Calls of plain services.
    pub calls: Vec<Call>,
}

impl Sheet {
    /// A sheet that declares settings only.
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
