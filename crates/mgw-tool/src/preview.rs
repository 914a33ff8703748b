//! What publishing a sheet would lead to.

use std::fmt::Write as _;

use mgw_sheet::{Change, diff};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A step of the planner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "lowercase")]
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
        group: u64,
        /// Its model.
        model: SmolStr,
        /// Why.
        reason: SmolStr,
    },
    /// A member is replaced.
    Replace {
        /// The group's id.
        group: u64,
        /// The instance that leaves.
        lost: SmolStr,
        /// The instance that takes its place.
        spare: SmolStr,
    },
}

/// An instance that would belong to no group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stranded {
    /// The instance.
    pub instance: SmolStr,
    /// Its accelerators.
    pub accelerators: u32,
    /// Why.
    pub because: SmolStr,
}

/// An entry's answer to a preview.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Preview {
    /// The version in force that the sheet was compared with.
    pub base: u64,
    /// What the sheet changes.
    pub changes: Vec<Change>,
    /// The planner's steps.
    pub steps: Vec<Step>,
    /// Instances that would load weights.
    pub loads: usize,
    /// The sheet's limit of loads at once.
    pub weight_loads: u32,
    /// Instances without a group after these steps.
    pub stranded: Vec<Stranded>,
}

impl Preview {
    /// The form for people.
    pub fn render(&self) -> String {
        let mut text = diff::render(&self.changes);
        for step in &self.steps {
            // Writing to a string cannot fail.
            let _ = match step {
                Step::Form { model, version, members } => {
                    let members = members.join(" ");
                    writeln!(text, "forms: {model} {version} on {members}")
                }
                Step::Dissolve { group, model, reason } => {
                    writeln!(text, "dissolves: group {group} of {model}: {reason}")
                }
                Step::Replace { group, lost, spare } => {
                    writeln!(text, "replaces: {lost} by {spare} in group {group}")
                }
            };
        }
        let _ = writeln!(
            text,
            "loads: {} instances, {} at once by the weight store's limit",
            self.loads, self.weight_loads
        );
        for stranded in &self.stranded {
            let Stranded { instance, accelerators, because } = stranded;
            let _ = writeln!(text, "stranded: {instance} ({accelerators} accelerators): {because}");
        }
        let _ = writeln!(text, "compared with version {}; nothing was changed", self.base);
        text
    }
}
