//! What operators can see of the node.

use mgw_base::time::Instant;
use mgw_group::planner;
use mgw_group::view::Listing;
use mgw_report::report::Phase;
use mgw_route::select::Id;
use mgw_state::record::{Mark, Offset};
use smol_str::SmolStr;

use crate::node::Node;

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub instance: SmolStr,
    /// Its boot at the time of the assignment.
    pub boot: SmolStr,
    /// What it reports: `idle`, `loading`, `ready`, `failed` or `silent`.
    pub state: &'static str,
}

/// A group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Its id.
    pub group: Offset,
    /// The model.
    pub model: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// Fencing token.
    pub fence: Offset,
    /// Zone of rank 0.
    pub zone: SmolStr,
    /// Fabric domain of rank 0.
    pub domain: SmolStr,
    /// Whether this entry sends requests there.
    pub servable: bool,
    /// Members in rank order.
    pub members: Vec<Member>,
}

/// A model server of the sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub instance: SmolStr,
    /// Zone.
    pub zone: SmolStr,
    /// Fabric domain.
    pub domain: SmolStr,
    /// Kind of accelerator.
    pub accelerator: SmolStr,
    /// Number of accelerators.
    pub accelerators: u32,
    /// What the instance list says: `unknown`, `live`, `leaving` or `absent`.
    pub status: &'static str,
    /// The group it belongs to.
    pub group: Option<Offset>,
    /// The entry whose order may still reach it.
    pub custody: Option<String>,
    /// The operator's mark: `clear`, `cordon` or `drain`.
    pub mark: &'static str,
    /// Why it belongs to no serving group; empty if it does.
    pub stranded: String,
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub entry: SmolStr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Address for callers.
    pub callers: SmolStr,
    /// Address for peers.
    pub peers: SmolStr,
    /// Zone.
    pub zone: SmolStr,
    /// `starting`, `serving`, `draining`, `suspect` or `gone`.
    pub phase: &'static str,
    /// All records below this offset are applied there.
    pub applied: Offset,
    /// Whether it is the planner.
    pub planner: bool,
}

impl Node {
    /// The groups in the order of their ids.
    pub fn groups(&self) -> Vec<Group> {
        let state = self.state();
        let Some(sheet) = state.sheet() else { return Vec::new() };
        let place = |name: &SmolStr| {
            let place = sheet.instances.binary_search_by(|it| it.name.cmp(name)).ok()?;
            Some(&sheet.instances[place])
        };
        state
            .groups()
            .map(|(id, group)| {
                let first = group.members.first().and_then(|seat| place(&seat.instance));
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

    /// Why this entry sends no requests to a group; empty if it does.
    pub fn closed_because(&self, now: Instant, group: Offset) -> String {
        match self.judge(now, group).0 {
            _ if self.is_servable(group) => String::new(),
            Err(cause) => format!("{cause:?}"),
            Ok(()) => String::from("rank 0 refused a connection"),
        }
    }

    /// The model servers of the sheet by name.
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
                    stranded: self.stranded(&declared.name, group, listed, mark),
                }
            })
            .collect()
    }

    /// The entries that this one knows.
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        use mgw_member::view::Status;
        use mgw_wire::frame::Phase as Stage;
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
                    callers: SmolStr::new(&heartbeat.callers),
                    peers: SmolStr::new(&heartbeat.peers),
                    zone: SmolStr::new(&heartbeat.zone),
                    phase: match (status, heartbeat.phase) {
                        (Status::Suspect, _) => "suspect",
                        (Status::Gone, _) => "gone",
                        (Status::Live, Stage::Starting) => "starting",
                        (Status::Live, Stage::Serving) => "serving",
                        (Status::Live, Stage::Draining) => "draining",
                    },
                    applied: if own { self.state().applied() } else { heartbeat.applied },
                    planner: planner == Some(heartbeat.incarnation),
                }
            })
            .collect();
        entries.sort_by(|left, right| {
            (&left.entry, left.incarnation).cmp(&(&right.entry, right.incarnation))
        });
        entries
    }

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

    fn stranded(
        &self,
        name: &SmolStr,
        group: Option<Offset>,
        listed: Listing,
        mark: Mark,
    ) -> String {
        match group {
            Some(group) if self.is_servable(group) => String::new(),
            Some(group) => format!("group {group} does not serve"),
            None => self.why_unassigned(name, listed, mark),
        }
    }

    /// Why an instance of a previewed sheet would belong to no group.
    pub(crate) fn why_free(&self, name: &SmolStr) -> String {
        let listed = self
            .observations
            .observation(name)
            .map_or(Listing::Unknown, |observation| observation.listed);
        let mark = self.state().instance(name).map_or(Mark::Clear, |it| it.mark);
        self.why_unassigned(name, listed, mark)
    }

    fn why_unassigned(&self, name: &SmolStr, listed: Listing, mark: Mark) -> String {
        let blocker = self.state().blocking_executor(name, self.options.incarnation);
        match (listed, mark, blocker) {
            (Listing::Leaving, ..) => "leaving".into(),
            (Listing::Absent, ..) => "not in the instance list".into(),
            (_, Mark::Cordon | Mark::Drain, _) => mark_name(mark).into(),
            (.., Some(executor)) => format!("custody of {}", self.entry_name(executor)),
            _ if self.member_state(name) == "silent" => "silent".into(),
            _ => self.shortage(),
        }
    }

    fn shortage(&self) -> String {
        let missing = self.undone.iter().find_map(|cause| match cause {
            planner::Cause::NoCapacity { model, missing } => {
                Some(format!("no room for {missing} more groups of {model}"))
            }
            planner::Cause::ForeignCustody { .. } | planner::Cause::NoSpare { .. } => None,
        });
        missing.unwrap_or_else(|| "too few free instances of its domain for a group".into())
    }
}

fn listed_name(listed: Listing) -> &'static str {
    match listed {
        Listing::Unknown => "unknown",
        Listing::Live => "live",
        Listing::Leaving => "leaving",
        Listing::Absent => "absent",
    }
}

fn mark_name(mark: Mark) -> &'static str {
    match mark {
        Mark::Clear => "clear",
        Mark::Cordon => "cordon",
        Mark::Drain => "drain",
    }
}
