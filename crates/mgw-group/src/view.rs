//! What this process has observed of instances, entries and groups, by polls and gossip.
//!
//! Observations may be stale or incomplete. Only the replayed log is authoritative.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_report::report::{Engine, Phase};
use mgw_state::record::{Incarnation, Offset};
use mgw_state::state::Group;
use smol_str::SmolStr;

use crate::readiness::Summary;

/// Status of an instance in the platform's instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Listing {
    /// No instance list was received yet.
    #[default]
    Unknown,
    /// The list contains the instance, and it is to stay.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
    /// The list does not contain the instance.
    Absent,
}

/// The newest known report of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Boot identifier; changes with each restart of the instance.
    pub boot: SmolStr,
    /// Fencing token of the last accepted order; 0 if none.
    pub fence: Offset,
    /// Group id of the last accepted order; 0 if none.
    pub group: Offset,
    /// Name and version of the model that is loaded or loading. `None` if the report came by
    /// gossip, which omits them because the group implies them.
    pub model: Option<(SmolStr, SmolStr)>,
    /// What the engine is doing.
    pub phase: Phase,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub queued: u32,
    /// Number of requests that the batch can hold.
    pub slots: u32,
    /// When the report was made: the time of its receipt minus the age that it states.
    pub at: Instant,
}

impl Report {
    /// Converts an engine's answer to a poll that was made at `at`.
    pub fn new(engine: &Engine, at: Instant) -> Self {
        Self {
            boot: engine.boot.clone(),
            fence: engine.fence,
            group: engine.group,
            model: Some((engine.model.clone(), engine.version.clone())),
            phase: engine.state,
            running: engine.running,
            queued: engine.queued,
            slots: engine.slots,
            at,
        }
    }

    /// Whether the engine has accepted the newest order of group `id`.
    ///
    /// Engines that do not check fencing tokens (`fencing` is false) need not report them. Theirs
    /// are compared by group, model and version.
    pub fn matches_group(&self, id: Offset, group: &Group, fencing: bool) -> bool {
        let model = self.model.as_ref();
        let loaded =
            model.is_none_or(|(model, version)| *model == group.model && *version == group.version);
        self.group == id && (self.fence == group.fence || (!fencing && loaded))
    }

    /// Number of requests that the engine holds, running or queued.
    pub fn request_count(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// An observer that currently gets no answers to its polls of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollFailure {
    /// Incarnation of the observing entry.
    pub observer: Incarnation,
    /// Since when the instance has not answered this observer.
    pub since: Instant,
}

/// Observations of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Status in the newest instance list.
    pub listed: Listing,
    /// Newest report from any observer.
    pub report: Option<Report>,
    /// Observers that the instance does not answer; at most one item per observer.
    pub poll_failures: Vec<PollFailure>,
    /// Since when the instance is a straggler that slows its group down; `None` if it is not one.
    pub slow_since: Option<Instant>,
}

impl Observation {
    /// The newest report, if it is younger than `max_age`.
    pub fn fresh_report(&self, now: Instant, max_age: Duration) -> Option<&Report> {
        self.report.as_ref().filter(|report| now.since(report.at) < max_age)
    }
}

/// Observations of all instances, entries and groups.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Time as of which the newest instance list holds; `None` if none was received yet.
    pub listed_at: Option<Instant>,
    /// Names of the entry machines in the newest instance list, sorted.
    pub listed_entries: Vec<SmolStr>,
    /// Entry incarnations that gossip shows as live, including this process; sorted.
    pub live_entries: Vec<Incarnation>,
    /// Observations of each instance, by instance name.
    pub instances: Map<SmolStr, Observation>,
    /// Newest readiness summary of each observer, by group id.
    pub summaries: Map<Offset, Vec<Summary>>,
}

impl View {
    /// The observations of the instance `name`.
    pub fn observation(&self, name: &SmolStr) -> Option<&Observation> {
        self.instances.get(name)
    }

    /// Whether the instance list is younger than `max_age`. From an older list it must not be
    /// concluded that an instance or entry is gone.
    pub fn is_list_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.listed_at.is_some_and(|at| now.since(at) < max_age)
    }
}
