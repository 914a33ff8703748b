//! What publishing a sheet would lead to.

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

/// Planning passes at most; a pass proposes one batch of records.
const PASSES: usize = 32;

/// A step that the planner would take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A group forms.
    Form {
        /// The model.
        model: SmolStr,
        /// Its version.
        version: SmolStr,
        /// The members in rank order.
        members: Vec<SmolStr>,
    },
    /// A group is dissolved.
    Dissolve {
        /// Its id.
        group: Offset,
        /// Its model.
        model: SmolStr,
        /// Why.
        reason: String,
    },
    /// A member is replaced.
    Replace {
        /// The group's id.
        group: Offset,
        /// The instance that leaves.
        lost: SmolStr,
        /// The instance that takes its place.
        spare: SmolStr,
    },
}

/// An instance that would belong to no group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stranded {
    /// The instance.
    pub instance: SmolStr,
    /// Its accelerators.
    pub accelerators: u32,
    /// Why.
    pub cause: String,
}

/// What publishing a sheet would lead to, from what this entry knows now.
#[derive(Clone, Debug, PartialEq)]
pub struct Preview {
    /// The version in force that the sheet was compared with.
    pub base: Offset,
    /// What the sheet changes.
    pub changes: Vec<Change>,
    /// The planner's steps. Those that wait until a new group serves, as in a rolling change of
    /// version, are not among them.
    pub steps: Vec<Step>,
    /// Instances that would have to load weights, and how many may do so at once.
    pub loads: usize,
    /// The sheet's limit of loads at once.
    pub weight_loads: u32,
    /// Instances without a group after these steps.
    pub stranded: Vec<Stranded>,
}

impl Node {
    /// Plans as if `sheet` were in force; nothing is appended.
    pub fn preview(&self, now: Instant, sheet: &str) -> Result<Preview, Error> {
        let new = parse::parse(sheet).map_err(Error::Sheet)?;
        let known = self.reader.state();
        let base = known.config().version;
        let changes = known.sheet().map(|old| diff(old, &new)).unwrap_or_default();
        let mut trial = Trial { state: known.clone(), node: self };
        let publication = String::from("preview");
        trial.apply(Record::Publish { publication, base, sheet: sheet.to_owned() });
        let term = known.term().number + 1;
        trial.apply(Record::Lead { term, incarnation: self.options.incarnation });
        let steps = trial.plan(now);
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
                trial.state.instance(&it.name).is_none_or(|known| known.assignment.is_none())
            })
            .map(|it| Stranded {
                instance: it.name.clone(),
                accelerators: it.accelerators,
                cause: self.why_free(&it.name),
            })
            .collect();
        let weight_loads = new.setting.weight_loads;
        Ok(Preview { base, changes, steps, loads, weight_loads, stranded })
    }
}

/// A copy of the state that goes on without the log.
struct Trial<'a> {
    state: State,
    node: &'a Node,
}

impl Trial<'_> {
    fn apply(&mut self, record: Record) -> bool {
        let incarnation = self.node.options.incarnation;
        let append_id = UniqueId { incarnation, sequence: u64::MAX };
        let (offset, at_ms) = (self.state.applied().max(1), self.state.log_ms());
        let outcome = self.state.apply(offset, at_ms, &Envelope { append_id, record });
        matches!(outcome, Outcome::Applied(_))
    }

    fn plan(&mut self, now: Instant) -> Vec<Step> {
        // Delays say when a step is taken, not whether.
        let options = planner::Options {
            settle_delay: Duration::ZERO,
            drain_timeout: Duration::ZERO,
            stabilization_window: Duration::ZERO,
            max_stabilization: Duration::ZERO,
            ..self.node.options.form
        };
        let (own, observations) = (self.node.options.incarnation, &self.node.observations);
        let mut memory = planner::Tracker::default();
        let mut steps = Vec::new();
        for _ in 0..PASSES {
            let planned = planner::plan(&self.state, observations, now, own, &mut memory, &options);
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
