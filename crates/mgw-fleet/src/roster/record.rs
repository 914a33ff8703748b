//! What a server's entry in the list states: its address, its state and its membership in a group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The server accepts new requests and orders.
    Ready,
    /// The server finishes its running requests and then terminates.
    Draining,
}

/// Progress of an instance within its group.
///
/// Between two orders an instance passes through the stages in the order of their declaration, so
/// an earlier stage under the same order count belongs to an outdated report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The instance is still loading the model.
    Joining,
    /// The model is in memory. A head does not accept requests yet, or has closed.
    Ready,
    /// The instance is the head and accepts requests.
    Open,
    /// The instance is the head, accepts no new requests and finishes the running ones.
    Closing,
    /// The instance is the head and has lost a member of the group.
    Broken,
}

/// Membership of an instance in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: SmolStr,
    /// Epoch of the group; a newer group has a higher one.
    pub epoch: u64,
    /// Position among the members; 0 for the head.
    pub rank: usize,
    /// Progress of the instance in the group.
    pub stage: Stage,
}

/// State of a model engine, as its list entry or its report shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Name of the model of its group.
    pub model: Option<SmolStr>,
    /// Name of the model of its newest known group since the start of the process. The engine still
    /// holds this model in memory after it has left the group.
    #[serde(rename = "recent")]
    pub last_model: Option<SmolStr>,
    /// Fabric domain of the instance; all members of a group are in one domain.
    pub domain: SmolStr,
    /// Names of the models whose weights are on the host.
    pub staged: Vec<SmolStr>,
    /// Its membership in a group; `None` if it is in none.
    #[serde(rename = "seat")]
    pub membership: Option<Membership>,
}

/// A server's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the service that the server belongs to.
    pub service: SmolStr,
    /// Address at which the server accepts requests, orders and probes.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: SmolStr,
    /// Whether the server accepts new work.
    pub phase: Phase,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Start time of the process in milliseconds since the Unix epoch. It tells processes with the
    /// same id apart; the platform calls it `born`.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// State of the model engine; `None` for plain servers.
    pub engine: Option<Engine>,
}

impl Engine {
    /// Sets `last_model`, which servers do not report, from the current model or the `known` state.
    pub(super) fn fill_last_model(&mut self, known: Option<&Engine>) {
        let known = known.and_then(|known| known.last_model.clone());
        self.last_model = self.model.clone().or(self.last_model.take()).or(known);
    }
}

impl Record {
    /// The membership in a group, if there is one.
    pub fn membership(&self) -> Option<&Membership> {
        self.engine.as_ref().and_then(|engine| engine.membership.as_ref())
    }

    /// The membership in a group if the server is its head.
    pub fn head_membership(&self) -> Option<&Membership> {
        self.membership().filter(|membership| membership.rank == 0)
    }
}
