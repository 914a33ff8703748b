//! Targets of requests and what is known of them.

use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Identifier of a target, the same in all processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Id {
    /// Id of a model group.
    Group(u64),
    /// Name of a server of a plain service.
    Server(SmolStr),
}

/// The model or plain service that a request addresses and a target serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// Name of a model.
    Model(SmolStr),
    /// Name of a plain service.
    Service(SmolStr),
}

/// A load report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests in the batch.
    pub running: u32,
    /// Maximum number of requests in the batch; 0 is treated as 1.
    pub slots: u32,
    /// Time of the measurement: the time of receipt minus the age that the report states.
    pub measured_at: Instant,
}

/// The properties of a target that routing depends on. The entry updates them on its tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attributes {
    /// Model or service that the target serves.
    pub destination: Destination,
    /// Names of the loaded adapters, sorted.
    pub adapters: Vec<SmolStr>,
    /// Availability zone of the target.
    pub zone: SmolStr,
    /// Region of the target.
    pub region: SmolStr,
    /// Whether the group is servable, or the server is up.
    pub available: bool,
    /// Whether the target is leaving. It then receives no new requests.
    pub leaving: bool,
}

/// Health of a target as decided by outlier ejection; see [`crate::eject`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The target takes part in the selection.
    #[default]
    Healthy,
    /// The target is only used if no healthy one is left.
    Ejected,
    /// The next request that can serve as a probe is sent to the target.
    Probe,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) sent_at: Instant,
    pub(super) request: u64,
    pub(super) suspect: bool,
}

/// A model group or a server of a plain service.
#[derive(Clone, Debug)]
pub struct Target {
    pub(super) id: Id,
    pub(super) attributes: Attributes,
    pub(super) load: Option<Load>,
    pub(super) health: Health,
    /// Requests of this entry in flight at the target, ascending by start.
    pub(super) requests: Vec<InFlight>,
    /// Smoothed duration of this entry's requests in seconds.
    pub(super) mean_duration: Option<f64>,
}

impl Target {
    /// Returns the identifier of the target.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Returns the properties that were last set with [`Table::upsert`](super::Table::upsert).
    pub fn attributes(&self) -> &Attributes {
        &self.attributes
    }

    /// Returns the number of this entry's requests in flight at the target.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }
}
