//! What the platform's services and the backend servers report, as in their JSON.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a model engine says that it is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Nothing is loaded.
    Idle,
    /// Weights are loading.
    Loading,
    /// Ready to serve its part of the group.
    Ready,
    /// The last order failed.
    Failed,
}

/// Answer of a model engine to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The instance's name.
    pub instance: SmolStr,
    /// Changes with each restart of the instance.
    pub boot: SmolStr,
    /// Fencing token of the last accepted order; 0 if none.
    pub fence: u64,
    /// Group id of the last accepted order; 0 if none.
    pub group: u64,
    /// Rank in the group.
    pub rank: u32,
    /// Model that is loaded or loading; empty if none.
    pub model: SmolStr,
    /// Its version; empty if none.
    pub version: SmolStr,
    /// Adapters that are loaded.
    pub adapters: Vec<SmolStr>,
    /// What the engine is doing.
    pub state: Phase,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Size of the batch.
    pub slots: u32,
    /// When the load figures were taken, on the instance's clock, in ms.
    pub as_of_ms: u64,
}

/// Answer of a plain service's server to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The instance's name.
    pub instance: SmolStr,
    /// Changes with each restart of the instance.
    pub boot: SmolStr,
    /// Calls that are running.
    pub running: u32,
    /// When the load figure was taken, on the instance's clock, in ms.
    pub as_of_ms: u64,
}

/// What kind of instance the list shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A backend server.
    Server,
    /// An entry instance.
    Entry,
}

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The instance is live.
    Live,
    /// The instance is about to be taken away.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: SmolStr,
    /// Backend server or entry.
    pub kind: Kind,
    /// IP address and port.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Fabric domain; empty for entries.
    pub domain: SmolStr,
    /// Live or leaving; a gone instance is absent.
    pub status: Status,
    /// Changes with each restart of the instance.
    pub boot: SmolStr,
}

/// Answer of the instance list to `GET /instances`; it lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// When the list was taken, on the platform's clock, in ms.
    pub as_of_ms: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// What an order asks a model engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load a model and take a rank in a group; repeats change nothing.
    Load,
    /// Drop the model and leave the group.
    Unload,
}

/// Body of `POST /orders` at a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the log offset of the record that caused the order.
    pub fence: u64,
    /// Group id.
    pub group: u64,
    /// What to do.
    pub order: Action,
    /// Model to load.
    pub model: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// Adapters to load.
    pub adapters: Vec<SmolStr>,
    /// Addresses of all members in rank order.
    pub members: Vec<SmolStr>,
    /// The instance's rank.
    pub rank: u32,
    /// The boot that the order is meant for; the sender has confirmed it on this connection.
    pub boot: SmolStr,
}

/// Answer of the weight store to `GET /weights`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStore {
    /// Loads that may run at once.
    pub limit: u32,
    /// Loads that run.
    pub active: u32,
    /// Loads that wait.
    pub queued: u32,
}
