//! Status reports, the instance list and orders, in the shape of their JSON documents.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The state that a model engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// No model is loaded.
    Idle,
    /// The engine is loading model weights.
    Loading,
    /// The engine is ready to serve its rank of the group.
    Ready,
    /// The last accepted order failed.
    Failed,
}

/// Response of a model engine to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Name of the engine's instance.
    pub instance: SmolStr,
    /// Boot id, which changes with each restart of the instance.
    pub boot: SmolStr,
    /// Fencing token of the last accepted order; 0 if the engine accepted none.
    pub fence: u64,
    /// Group id of the last accepted order; 0 if the engine accepted none.
    pub group: u64,
    /// Rank of the engine in the group.
    pub rank: u32,
    /// Name of the model that is loaded or loading; empty if none.
    pub model: SmolStr,
    /// Version of that model; empty if none.
    pub version: SmolStr,
    /// Names of the adapters that are loaded.
    pub adapters: Vec<SmolStr>,
    /// State of the engine.
    pub state: Phase,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait for a place in the batch.
    pub queued: u32,
    /// Largest number of requests in a batch.
    pub slots: u32,
    /// When the load figures were measured, in ms on the instance's clock.
    pub as_of_ms: u64,
}

/// Response of a plain service's server to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server's instance.
    pub instance: SmolStr,
    /// Boot id, which changes with each restart of the instance.
    pub boot: SmolStr,
    /// Number of calls that are running.
    pub running: u32,
    /// When the load figure was measured, in ms on the instance's clock.
    pub as_of_ms: u64,
}

/// The kind of an instance in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The instance runs a backend server.
    Server,
    /// The instance runs an entry.
    Entry,
}

/// Whether the platform will keep an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The instance is in use.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// One instance in the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: SmolStr,
    /// Kind of the instance: backend server or entry.
    pub kind: Kind,
    /// IP address and port of the instance.
    pub address: SmolStr,
    /// Availability zone of the instance.
    pub zone: SmolStr,
    /// Fabric domain of the instance; empty for entries.
    pub domain: SmolStr,
    /// Live or leaving; an instance that was removed is not in the list.
    pub status: Status,
    /// Boot id, which changes with each restart of the instance.
    pub boot: SmolStr,
}

/// Response of the instance list to `GET /instances`; it lags behind the actual instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// When the list was compiled, in ms on the platform's clock.
    pub as_of_ms: u64,
    /// All instances that the platform knows of.
    pub instances: Vec<Instance>,
}

/// The action that an order requests from a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load a model and take a rank in a group; idempotent.
    Load,
    /// Unload the model and leave the group.
    Unload,
}

/// Body of `POST /orders` to a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the log offset of the record that caused the order.
    pub fence: u64,
    /// Id of the group that the order is about.
    pub group: u64,
    /// The requested action.
    pub order: Action,
    /// Name of the model to load.
    pub model: SmolStr,
    /// Version of the model to load.
    pub version: SmolStr,
    /// Names of the adapters to load.
    pub adapters: Vec<SmolStr>,
    /// Addresses of all members of the group in rank order.
    pub members: Vec<SmolStr>,
    /// Rank of the receiving instance in the group.
    pub rank: u32,
    /// Boot id that the order is meant for; the sender has confirmed it on the same connection.
    pub boot: SmolStr,
}

/// Response of the weight store to `GET /weights`: its use by loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStore {
    /// Number of loads that may run at once.
    pub limit: u32,
    /// Number of loads that are running.
    pub active: u32,
    /// Number of loads that are waiting.
    pub queued: u32,
}
