//! Views of the node's state for operators and metrics.

use mgw_base::time::Instant;
use mgw_group::planner;
use mgw_group::view::Listing;
use mgw_report::report::Phase;
use mgw_route::select::Id;
use mgw_state::record::{Mark, Offset};
use smol_str::SmolStr;

use crate::node::Node;

/// A member of a model group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Boot identifier of the instance when it was assigned to the group.
    pub boot: SmolStr,
    /// State that it reports: `idle`, `loading`, `ready` or `failed`; `silent` if it does not
    /// answer polls.
    pub state: &'static str,
}

/// A model group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Id of the group, which is the log offset at which it was formed.
    pub group: Offset,
    /// Name of the model.
    pub model: SmolStr,
    /// Version of the model.
    pub version: SmolStr,
    /// Fencing token of the orders to the members.
    pub fence: Offset,
    /// Availability zone of the member of rank 0.
    pub zone: SmolStr,
    /// Fabric domain of the member of rank 0.
    pub domain: SmolStr,
    /// Whether this entry sends requests to the group.
    pub servable: bool,
    /// Members in the order of their ranks.
    pub members: Vec<Member>,
}

/// A model server that the sheet declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Fabric domain, within which a group is formed.
    pub domain: SmolStr,
    /// Kind of its accelerators.
    pub accelerator: SmolStr,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Status by the instance list: `unknown`, `live`, `leaving` or `absent`.
    pub status: &'static str,
    /// Id of the group that it belongs to, if any.
    pub group: Option<Offset>,
    /// Name of the entry whose order may still reach the instance, if any.
    pub custody: Option<String>,
    /// Mark set by an operator: `clear`, `cordon` or `drain`.
    pub mark: &'static str,
    /// The reason for which it belongs to no serving group; empty if it does.
    pub stranded: String,
}

/// An entry as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry.
    pub entry: SmolStr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Address at which callers reach it.
    pub callers: SmolStr,
    /// Address at which peers reach it.
    pub peers: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Phase from its heartbeat (`starting`, `serving` or `draining`) if it is live; otherwise
    /// `suspect` or `gone`.
    pub phase: &'static str,
    /// Offset below which it has applied all records of the log.
    pub applied: Offset,
    /// Whether it holds the planner's term.
    pub planner: bool,
}

impl Node {
    /// The model groups in the order of their ids.
    pub fn groups(&self) -> Vec<Group> {
        let state = self.state();
        let Some(sheet) = state.sheet() else { return Vec::new() };
        let declaration = |name: &SmolStr| {
            let index = sheet.instances.binary_search_by(|it| it.name.cmp(name)).ok()?;
            Some(&sheet.instances[index])
        };
        state
            .groups()
            .map(|(id, group)| {
                let first = group.members.first().and_then(|seat| declaration(&seat.instance));
                Group {
                    group: id,
                    model: group.model.clone(),
                    version: group.version.clone(),
                    fence: group.fence,
                    zone: first.map(|it| it.zone.clone()).unwrap_or_default(),
                    domain: first.map(|it| it.domain.clone()).unwrap_or_default(),
                    servable: self.is_servable(id),
                    members: group
                        .members
                        .iter()
                        .map(|seat| Member {
                            instance: seat.instance.clone(),
                            boot: seat.boot.clone(),
                            state: self.member_state(&seat.instance),
                        })
                        .collect(),
                }
            })
            .collect()
    }

    /// Whether this entry sends requests to a group.
    pub fn is_servable(&self, group: Offset) -> bool {
        let key = self.targets.find(&Id::Group(group));
        key.and_then(|key| self.targets.get(key))
            .is_some_and(|target| target.attributes().available)
    }

    /// The reason for which this entry sends no requests to a group; empty if it does.
    pub fn unavailable_reason(&self, now: Instant, group: Offset) -> String {
        match self.check_group(now, group).0 {
            _ if self.is_servable(group) => String::new(),
            Err(cause) => format!("{cause:?}"),
            Ok(()) => String::from("rank 0 refused a connection"),
        }
    }

    /// The model servers of the sheet in the order of their names.
    pub fn instances(&self) -> Vec<Instance> {
        let state = self.state();
        let Some(sheet) = state.sheet() else { return Vec::new() };
        sheet
            .instances
            .iter()
            .map(|declared| {
                let known = state.instance(&declared.name);
                let observation = self.observations.observation(&declared.name);
                let listed = observation.map_or(Listing::Unknown, |observation| observation.listed);
                let group = known.and_then(|it| it.assignment).map(|it| it.group);
                let custody = known.and_then(|it| it.custody.as_ref());
                let mark = known.map_or(Mark::Clear, |it| it.mark);
                Instance {
                    instance: declared.name.clone(),
                    zone: declared.zone.clone(),
                    domain: declared.domain.clone(),
                    accelerator: declared.accelerator.clone(),
                    accelerators: declared.accelerators,
                    status: listed_name(listed),
                    group,
                    custody: custody.map(|it| self.entry_name(it.executor)),
                    mark: mark_name(mark),
                    stranded: self.stranded_reason(&declared.name, group, listed, mark),
                }
            })
            .collect()
    }

    /// The entries that this one knows, in the order of name and incarnation.
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        use mgw_member::view::Status;
        use mgw_wire::frame::Phase as EntryPhase;
        let planner = self.state().term().planner;
        let mut entries: Vec<Entry> = self
            .peers
            .iter(now)
            .map(|(entry, status)| {
                let heartbeat = &entry.heartbeat;
                let own = heartbeat.incarnation == self.options.incarnation;
                Entry {
                    entry: SmolStr::new(&heartbeat.entry),
                    incarnation: heartbeat.incarnation,
                    callers: SmolStr::new(&heartbeat.caller_address),
                    peers: SmolStr::new(&heartbeat.peer_address),
                    zone: SmolStr::new(&heartbeat.zone),
                    phase: match (status, heartbeat.phase) {
                        (Status::Suspect, _) => "suspect",
                        (Status::Gone, _) => "gone",
                        (Status::Live, EntryPhase::Starting) => "starting",
                        (Status::Live, EntryPhase::Serving) => "serving",
                        (Status::Live, EntryPhase::Draining) => "draining",
                    },
                    applied: if own { self.state().applied() } else { heartbeat.applied_offset },
                    planner: planner == Some(heartbeat.incarnation),
                }
            })
            .collect();
        entries.sort_by(|left, right| {
            (&left.entry, left.incarnation).cmp(&(&right.entry, right.incarnation))
        });
        entries
    }

    /// State of an instance as text; `silent` without a report or with a poll failure.
    fn member_state(&self, instance: &SmolStr) -> &'static str {
        let observation = self.observations.observation(instance);
        let silent = observation.is_some_and(|observation| !observation.poll_failures.is_empty());
        match observation
            .and_then(|observation| observation.report.as_ref())
            .map(|report| report.phase)
        {
            _ if silent => "silent",
            None => "silent",
            Some(Phase::Idle) => "idle",
            Some(Phase::Loading) => "loading",
            Some(Phase::Ready) => "ready",
            Some(Phase::Failed) => "failed",
        }
    }

    /// The reason for which an instance belongs to no serving group; empty if it does.
    fn stranded_reason(
        &self,
        name: &SmolStr,
        group: Option<Offset>,
        listed: Listing,
        mark: Mark,
    ) -> String {
        match group {
            Some(group) if self.is_servable(group) => String::new(),
            Some(group) => format!("group {group} does not serve"),
            None => self.unassigned_reason(name, listed, mark),
        }
    }

    /// The reason for which an instance of a previewed sheet would belong to no group.
    pub(crate) fn unassigned_reason_of(&self, name: &SmolStr) -> String {
        let listed = self
            .observations
            .observation(name)
            .map_or(Listing::Unknown, |observation| observation.listed);
        let mark = self.state().instance(name).map_or(Mark::Clear, |it| it.mark);
        self.unassigned_reason(name, listed, mark)
    }

    /// The reason for which an instance belongs to no group.
    fn unassigned_reason(&self, name: &SmolStr, listed: Listing, mark: Mark) -> String {
        let blocker = self.state().blocking_executor(name, self.options.incarnation);
        match (listed, mark, blocker) {
            (Listing::Leaving, ..) => "leaving".into(),
            (Listing::Absent, ..) => "not in the instance list".into(),
            (_, Mark::Cordon | Mark::Drain, _) => mark_name(mark).into(),
            (.., Some(executor)) => format!("custody of {}", self.entry_name(executor)),
            _ if self.member_state(name) == "silent" => "silent".into(),
            _ => self.shortage_reason(),
        }
    }

    /// The reason for which an instance that could be assigned is in no group.
    fn shortage_reason(&self) -> String {
        let missing = self.unresolved.iter().find_map(|cause| match cause {
            planner::Cause::NoCapacity { model, missing } => {
                Some(format!("no room for {missing} more groups of {model}"))
            }
            planner::Cause::ForeignCustody { .. } | planner::Cause::NoSpare { .. } => None,
        });
        missing.unwrap_or_else(|| "too few free instances of its domain for a group".into())
    }
}

/// Name of a listing in operators' views.
fn listed_name(listed: Listing) -> &'static str {
    match listed {
        Listing::Unknown => "unknown",
        Listing::Live => "live",
        Listing::Leaving => "leaving",
        Listing::Absent => "absent",
    }
}

/// Name of a mark in operators' views.
fn mark_name(mark: Mark) -> &'static str {
    match mark {
        Mark::Clear => "clear",
        Mark::Cordon => "cordon",
        Mark::Drain => "drain",
    }
}
