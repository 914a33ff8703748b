//! What a process has observed of instances, entries and groups; never authoritative.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_report::report::{Engine, Phase};
use mgw_state::record::{Incarnation, Offset};
use mgw_state::state::Group;
use smol_str::SmolStr;

use crate::readiness::Summary;

/// What the instance list says of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Listing {
    /// No list was received yet.
    #[default]
    Unknown,
    /// The instance is to stay.
    Live,
    /// The instance is about to be taken away.
    Leaving,
    /// The list does not contain the instance.
    Absent,
}

/// The newest report of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Changes with each restart of the instance.
    pub boot: SmolStr,
    /// Fencing token of the last accepted order; 0 if none.
    pub fence: Offset,
    /// Group of the last accepted order; 0 if none.
    pub group: Offset,
    /// Model and version; `None` if the report came by gossip, which leaves them out. The group
    /// implies them.
    pub model: Option<(SmolStr, SmolStr)>,
    /// What the engine is doing.
    pub phase: Phase,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Size of the batch.
    pub slots: u32,
    /// When the report was made: time of receipt less the stated age.
    pub at: Instant,
}

impl Report {
    /// The report in an engine's answer to a poll at `at`.
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

    /// Whether the engine took the group's newest order. Engines that do not check fencing tokens
    /// need not report them, so for them the group, model and version decide.
    pub fn matches_group(&self, id: Offset, group: &Group, fencing: bool) -> bool {
        let model = self.model.as_ref();
        let loaded =
            model.is_none_or(|(model, version)| *model == group.model && *version == group.version);
        self.group == id && (self.fence == group.fence || (!fencing && loaded))
    }

    /// Requests that the engine holds.
    pub fn request_count(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// An observer that gets no answer from an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollFailure {
    /// The observer.
    pub observer: Incarnation,
    /// Since when.
    pub since: Instant,
}

/// What is known of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// What the newest instance list says.
    pub listed: Listing,
    /// The newest report from any observer.
    pub report: Option<Report>,
    /// Observers to which the instance is silent, at most one item per observer.
    pub poll_failures: Vec<PollFailure>,
    /// Since when the instance holds its group back; `None` if it does not.
    pub slow_since: Option<Instant>,
}

impl Observation {
    /// The report, if it is younger than `bound`.
    pub fn fresh_report(&self, now: Instant, bound: Duration) -> Option<&Report> {
        self.report.as_ref().filter(|report| now.since(report.at) < bound)
    }
}

/// What is known of all instances, entries and groups.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// When the newest instance list was taken; `None` if none was received.
    pub listed_at: Option<Instant>,
    /// Names of the entries in the newest instance list, sorted.
    pub listed_entries: Vec<SmolStr>,
    /// Live entry incarnations by gossip, including the own one, sorted.
    pub live_entries: Vec<Incarnation>,
    /// Instances by name.
    pub instances: Map<SmolStr, Observation>,
    /// Newest summary per observer of each group.
    pub summaries: Map<Offset, Vec<Summary>>,
}

impl View {
    /// What is known of an instance.
    pub fn observation(&self, name: &SmolStr) -> Option<&Observation> {
        self.instances.get(name)
    }

    /// Whether the instance list is young enough to conclude that something is gone.
    pub fn is_list_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.listed_at.is_some_and(|at| now.since(at) < bound)
    }
}
