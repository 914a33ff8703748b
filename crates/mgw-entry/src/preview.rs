//! Preview of the effects of publishing a sheet.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_group::planner;
use mgw_sheet::parse;
use mgw_sheet::{Change, diff};
use mgw_state::record::{Envelope, Offset, Record, UniqueId};
use mgw_state::state::{Outcome, State};
use smol_str::SmolStr;

use crate::node::Node;
use crate::publish::Error;

/// Maximum number of planning passes. Each pass proposes one batch of records.
const MAX_PASSES: usize = 32;

/// A change of groups that the planner would make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A group is formed.
    Form {
        /// Name of the model.
        model: SmolStr,
        /// Version of the model.
        version: SmolStr,
        /// Names of the members in rank order.
        members: Vec<SmolStr>,
    },
    /// A group is dissolved.
    Dissolve {
        /// Id of the group.
        group: Offset,
        /// Name of the group's model.
        model: SmolStr,
        /// Name of the reason.
        reason: String,
    },
    /// A member of a group is replaced.
    Replace {
        /// Id of the group.
        group: Offset,
        /// Name of the instance that leaves the group.
        lost: SmolStr,
        /// Name of the instance that takes its rank.
        spare: SmolStr,
    },
}

/// An instance that would belong to no group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stranded {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// The reason, as text for operators.
    pub cause: String,
}

/// The effects of publishing a sheet, computed from the state and reports that this entry has.
#[derive(Clone, Debug, PartialEq)]
pub struct Preview {
    /// Version in force, which the sheet was compared with.
    pub base: Offset,
    /// Differences from the sheet in force to the new one.
    pub changes: Vec<Change>,
    /// Steps of the planner, in order. Steps that wait until a new group serves, as in a rolling
    /// change of version, are not included.
    pub steps: Vec<Step>,
    /// Number of instances that would have to load weights.
    pub loads: usize,
    /// Maximum number of instances that load weights at the same time, from the sheet.
    pub weight_loads: u32,
    /// Instances that would belong to no group after these steps.
    pub stranded: Vec<Stranded>,
}

impl Node {
    /// Plans as if `sheet` were in force. Nothing is appended to the log.
    pub fn preview(&self, now: Instant, sheet: &str) -> Result<Preview, Error> {
        let new = parse::parse(sheet).map_err(Error::Sheet)?;
        let known = self.reader.state();
        let base = known.config().version;
        let changes = known.sheet().map(|old| diff(old, &new)).unwrap_or_default();
        let mut simulation = Simulation { state: known.clone(), node: self };
        let publication = String::from("preview");
        simulation.apply(Record::Publish { publication, base, sheet: sheet.to_owned() });
        let term = known.term().number + 1;
        simulation.apply(Record::Lead { term, incarnation: self.options.incarnation });
        let steps = simulation.plan(now);
        let loads = steps
            .iter()
            .map(|step| match step {
                Step::Form { members, .. } => members.len(),
                Step::Replace { .. } => 1,
                Step::Dissolve { .. } => 0,
            })
            .sum();
        let stranded = new
            .instances
            .iter()
            .filter(|it| {
                simulation.state.instance(&it.name).is_none_or(|known| known.assignment.is_none())
            })
            .map(|it| Stranded {
                instance: it.name.clone(),
                accelerators: it.accelerators,
                cause: self.unassigned_reason_of(&it.name),
            })
            .collect();
        let weight_loads = new.settings.weight_loads;
        Ok(Preview { base, changes, steps, loads, weight_loads, stranded })
    }
}

/// A copy of the state to which records are applied without appending them to the log.
struct Simulation<'a> {
    state: State,
    node: &'a Node,
}

impl Simulation<'_> {
    /// Applies a record to the copy. Returns false if the state ignored it.
    fn apply(&mut self, record: Record) -> bool {
        let incarnation = self.node.options.incarnation;
        let append_id = UniqueId { incarnation, sequence: u64::MAX };
        let (offset, at_ms) = (self.state.applied().max(1), self.state.log_ms());
        let outcome = self.state.apply(offset, at_ms, &Envelope { append_id, record });
        matches!(outcome, Outcome::Applied(_))
    }

    /// Runs the planner until it proposes nothing more, and returns the steps that took effect.
    fn plan(&mut self, now: Instant) -> Vec<Step> {
        // Delays decide when a step is taken and not whether it is, so all of them are zero here.
        let options = planner::Options {
            settle_delay: Duration::ZERO,
            drain_timeout: Duration::ZERO,
            stabilization_window: Duration::ZERO,
            max_stabilization: Duration::ZERO,
            ..self.node.options.planning
        };
        let (own, observations) = (self.node.options.incarnation, &self.node.observations);
        let mut tracker = planner::Tracker::default();
        let mut steps = Vec::new();
        for _ in 0..MAX_PASSES {
            let planned =
                planner::plan(&self.state, observations, now, own, &mut tracker, &options);
            let records = planned.map(|outcome| outcome.records).unwrap_or_default();
            if records.is_empty() {
                break;
            }
            for record in records {
                let step = self.step(&record);
                if self.apply(record) {
                    steps.extend(step);
                }
            }
        }
        steps
    }

    /// The step that a record stands for; `None` for a record that changes no group.
    fn step(&self, record: &Record) -> Option<Step> {
        match record {
            Record::Form { model, version, members, .. } => Some(Step::Form {
                model: model.into(),
                version: version.into(),
                members: members.iter().map(|member| (&member.instance).into()).collect(),
            }),
            Record::Dissolve { group, reason, .. } => Some(Step::Dissolve {
                group: *group,
                model: self.state.group(*group).map(|it| it.model.clone()).unwrap_or_default(),
                reason: format!("{reason:?}"),
            }),
            Record::Replace { group, lost, spare, .. } => Some(Step::Replace {
                group: *group,
                lost: lost.into(),
                spare: (&spare.instance).into(),
            }),
            _ => None,
        }
    }
}
