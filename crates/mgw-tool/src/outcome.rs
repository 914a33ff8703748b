//! The commands `publish` and `rollback`, which print the outcome of a publication.

use anyhow::Result;
use mgw_sheet::{Change, diff};
use serde_json::json;

use crate::client::Client;
use crate::exit::Exit;
use crate::publish::{self, Outcome};
use crate::run::{Command, request_failure};
use crate::settings::Options;

impl Command<'_> {
    /// Publishes a sheet and prints the outcome.
    pub(crate) async fn publish(
        &mut self,
        client: &Client,
        options: &Options,
        sheet: &str,
        base: Option<u64>,
    ) -> Result<Exit> {
        let options = publish::Options { sheet, base, settle_timeout: options.settle_timeout };
        match publish::publish(client, &options).await.map_err(request_failure)? {
            Outcome::InForce { version, publication, settled, changes } => {
                if self.json {
                    let answer = json!({
                        "outcome": "in_force",
                        "version": version,
                        "publication": publication,
                        "settled": settled,
                        "changes": changes,
                    });
                    writeln!(self.out, "{answer}")?;
                } else {
                    self.print_changes(changes.as_deref())?;
                    let settled_note = if settled {
                        "; the reply was lost, and the configuration shows the outcome"
                    } else {
                        ""
                    };
                    writeln!(
                        self.out,
                        "version {version} is accepted (publication {publication}{settled_note})"
                    )?;
                }
                Ok(Exit::Done)
            }
            Outcome::Unchanged { version } => {
                if self.json {
                    writeln!(self.out, "{}", json!({"outcome": "unchanged", "version": version}))?;
                } else {
                    writeln!(
                        self.out,
                        "version {version}, which is in force, has the same content"
                    )?;
                }
                Ok(Exit::Done)
            }
            Outcome::Conflict { base, in_force, changes } => {
                if self.json {
                    let answer = json!({
                        "outcome": "conflict",
                        "base": base,
                        "in_force": in_force,
                        "changes": changes,
                    });
                    writeln!(self.out, "{answer}")?;
                } else {
                    self.print_changes(changes.as_deref())?;
                    let since = match changes {
                        _ if base > in_force => "no entry that answers knows the base",
                        Some(_) => "the base is outdated; the changes since then are listed",
                        None => "the base is outdated; the changes since then are not known",
                    };
                    writeln!(
                        self.err,
                        "marigoldwall: not published on base {base}: version {in_force} is in \
                         force; {since}"
                    )?;
                }
                Ok(Exit::Conflict)
            }
            Outcome::Invalid(faults) => self.print_faults(&faults),
            Outcome::Unknown { publication, base, cause } => {
                if self.json {
                    let answer = json!({
                        "outcome": "unknown",
                        "base": base,
                        "publication": publication,
                        "cause": cause,
                    });
                    writeln!(self.out, "{answer}")?;
                } else {
                    writeln!(
                        self.err,
                        "marigoldwall: the outcome of publication {publication} is not known: \
                         {cause}; see `marigoldwall history`. Publishing again with --base {base} \
                         is safe: at most one publication takes effect on a base."
                    )?;
                }
                Ok(Exit::Unknown)
            }
        }
    }

    /// Prints changes as text; prints nothing if they are not known.
    fn print_changes(&mut self, changes: Option<&[Change]>) -> Result<()> {
        write!(self.out, "{}", diff::render(changes.unwrap_or_default()))?;
        Ok(())
    }
}
