//! The check of a sheet before it is published.

use std::path::{Path, PathBuf};

use anyhow::Result;
use mgw_check::{Effect, Finding, effect, report, sheet};
use mgw_sheet::{Change, Sheet, diff};
use serde::Serialize;
use serde_json::json;

use crate::client::Client;
use crate::exit::{Exit, Failure};
use crate::history;
use crate::run::{Command, block_on, read_file, read_sheet, request_failure};
use crate::settings;

/// Parameters of a check.
#[derive(Debug)]
pub(crate) struct Options {
    /// The sheet.
    pub(crate) file: PathBuf,
    /// The sheet that it is compared with.
    pub(crate) against: Against,
    /// Whether warnings count as errors.
    pub(crate) is_strict: bool,
}

/// What a sheet is compared with.
#[derive(Debug)]
pub(crate) enum Against {
    /// Nothing.
    Nothing,
    /// The sheet in a file.
    File(PathBuf),
    /// The newest sheet in force at the entries.
    InForce(settings::Options),
}

/// A difference from the other sheet, with what it is known to mean.
#[derive(Serialize)]
struct Difference {
    #[serde(flatten)]
    change: Change,
    effects: Vec<Effect>,
}

impl Command<'_> {
    /// Checks a sheet, and prints what is wrong and what differs.
    pub(crate) fn check(&mut self, options: &Options) -> Result<Exit> {
        let sheet = match mgw_sheet::parse(&read_file(&options.file)?) {
            Ok(sheet) => sheet,
            Err(faults) => return self.print_faults(&faults),
        };
        let old = match &options.against {
            Against::Nothing => None,
            Against::File(path) => Some(read_sheet(path)?),
            Against::InForce(settings) => self.fetch_in_force(settings)?,
        };
        let findings = sheet::check(&sheet);
        let differences = old.map(|old| differences(&old, &sheet));
        self.print_check(&options.file, &sheet, &findings, differences.as_deref())?;
        let is_passed = report::is_passed(&findings, options.is_strict);
        Ok(if is_passed { Exit::Done } else { Exit::Findings })
    }

    /// Fetches the newest sheet in force; `None` before the first publication, which is said.
    fn fetch_in_force(&mut self, settings: &settings::Options) -> Result<Option<Sheet>> {
        let newest = block_on(async { Ok(history::fetch_newest(&Client::new(settings)).await) })?;
        let current = newest.map_err(request_failure)?;
        if current.version == 0 {
            writeln!(self.err, "marigoldwall: no version is in force yet")?;
            return Ok(None);
        }
        let sheet = mgw_sheet::parse(&current.sheet).map_err(|_| {
            let text = format!("version {} is in force and has no valid sheet", current.version);
            Failure::new(Exit::Refused, text)
        })?;
        Ok(Some(sheet))
    }

    /// Prints the result of checking a sheet without faults.
    fn print_check(
        &mut self,
        file: &Path,
        sheet: &Sheet,
        findings: &[Finding],
        differences: Option<&[Difference]>,
    ) -> Result<()> {
        if self.json {
            let mut answer = json!({"faults": [], "warnings": findings});
            if let Some(differences) = differences {
                answer["changes"] = json!(differences);
            }
            writeln!(self.out, "{answer}")?;
            return Ok(());
        }
        for finding in findings {
            writeln!(self.out, "{finding}")?;
        }
        for Difference { change, effects } in differences.unwrap_or_default() {
            writeln!(self.out, "{change}")?;
            for effect in effects {
                writeln!(self.out, "    {effect}")?;
            }
        }
        writeln!(self.out, "{}: {}", file.display(), summarize(sheet))?;
        Ok(())
    }
}

/// The differences between two sheets with their effects.
fn differences(old: &Sheet, new: &Sheet) -> Vec<Difference> {
    let with_effects = |change| Difference { effects: effect::of_sheet(&change), change };
    diff(old, new).into_iter().map(with_effects).collect()
}

/// Returns the number of entities of each kind in a valid sheet.
fn summarize(sheet: &Sheet) -> String {
    format!(
        "valid (instances {}, models {}, adapters {}, teams {}, services {}, servers {}, calls {})",
        sheet.instances.len(),
        sheet.models.len(),
        sheet.adapters.len(),
        sheet.teams.len(),
        sheet.services.len(),
        sheet.servers.len(),
        sheet.calls.len()
    )
}
