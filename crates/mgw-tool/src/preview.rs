//! The reply to a preview: the effects that publishing a sheet would have.

use std::fmt::Write as _;

use mgw_sheet::{Change, diff};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A step that the planner would take.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "lowercase")]
pub enum Step {
    /// Form a group.
    Form {
        /// Name of the model.
        model: SmolStr,
        /// Version of the model's weights.
        version: SmolStr,
        /// Names of the member instances in rank order.
        members: Vec<SmolStr>,
    },
    /// Dissolve a group.
    Dissolve {
        /// Id of the group.
        group: u64,
        /// Name of the model that the group serves.
        model: SmolStr,
        /// Reason for dissolving the group.
        reason: SmolStr,
    },
    /// Replace a member of a group.
    Replace {
        /// Id of the group.
        group: u64,
        /// Name of the instance that leaves the group.
        lost: SmolStr,
        /// Name of the instance that joins in its place.
        spare: SmolStr,
    },
}

/// An instance that would not belong to any group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stranded {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Number of accelerators of the instance.
    pub accelerators: u32,
    /// Reason why no group uses the instance.
    pub because: SmolStr,
}

/// The reply of an entry to a preview request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Preview {
    /// Version in force that the sheet was compared with.
    pub base: u64,
    /// Differences between the sheet in force and the previewed one.
    pub changes: Vec<Change>,
    /// Steps that the planner would take.
    pub steps: Vec<Step>,
    /// Number of instances that would load weights.
    pub loads: usize,
    /// Maximum number of concurrent loads according to the sheet.
    pub weight_loads: u32,
    /// Instances that belong to no group after these steps.
    pub stranded: Vec<Stranded>,
}

impl Preview {
    /// Formats the preview as text for operators.
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
