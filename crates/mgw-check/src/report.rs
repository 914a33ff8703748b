//! The result of a check as text and JSON.

use std::fmt;

use serde::Serialize;

use crate::change::Change;
use crate::finding::{Finding, Severity};

/// Result of the check of a gateway's configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// What is wrong.
    pub findings: Vec<Finding>,
    /// What differs from the version in force; `None` if it was not given, or if the configuration is
    /// refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<Change>>,
}

impl Report {
    /// Whether there is no error and, if the check is strict, no warning.
    pub fn is_passed(&self, is_strict: bool) -> bool {
        is_passed(&self.findings, is_strict)
    }
}

/// Whether the findings have no error and, if the check is strict, no warning.
pub fn is_passed(findings: &[Finding], is_strict: bool) -> bool {
    findings.iter().all(|finding| match finding.severity() {
        Severity::Error => false,
        Severity::Warning => !is_strict,
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.findings.iter().try_for_each(|finding| writeln!(f, "{finding}"))?;
        let changes = self.changes.as_deref().unwrap_or_default();
        changes.iter().try_for_each(|change| writeln!(f, "{change}"))?;
        let errors = self.findings.iter().filter(|it| it.severity() == Severity::Error).count();
        write!(f, "errors {errors}, warnings {}", self.findings.len() - errors)?;
        match &self.changes {
            Some(changes) => writeln!(f, ", changes {}", changes.len()),
            None => writeln!(f),
        }
    }
}
