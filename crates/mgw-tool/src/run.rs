//! Execution of the commands.

use std::ffi::OsString;
use std::fs;
use std::io::{self, Read, Write};
use std::path::Path;

use anyhow::{Context, Result};
use mgw_event::event::Utc;
use mgw_event::timeline;
use mgw_sheet::parse::MAX_SHEET_BYTES;
use mgw_sheet::{Fault, Sheet, diff, key};
use serde_json::{Value, json};

use crate::check::{self, Against};
use crate::client::{self, Client, Kind};
use crate::exit::{Exit, Failure};
use crate::flags::{Check, Marigoldwall, MarigoldwallCmd, Mark};
use crate::preview::Preview;
use crate::settings::{self, Options};
use crate::{events, history, table};

/// Runs a command line. Writes results to `out` and messages to `err`, and returns the exit code.
///
/// A reader that closes `out` early, such as `head`, ends the command without a message.
pub fn run<E>(
    arguments: Vec<OsString>,
    environment: E,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit
where
    E: IntoIterator<Item = (OsString, OsString)>,
{
    let flags = match Marigoldwall::from_vec(arguments) {
        Ok(flags) => flags,
        Err(help) if help.is_help() => return print_help(out, &help.to_string()),
        Err(error) => {
            // A failure to write to `err` cannot be reported anywhere else.
            let _ = writeln!(err, "marigoldwall: {error}; see marigoldwall --help");
            return Exit::Usage;
        }
    };
    let mut command = Command { json: flags.json, out, err };
    match command.dispatch(flags, environment.into_iter().collect()) {
        Ok(exit) => exit,
        Err(error) => {
            let exit = error.downcast_ref().map_or(Exit::Usage, |failure: &Failure| failure.exit);
            let broken_pipe = error
                .downcast_ref::<io::Error>()
                .is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe);
            if !broken_pipe {
                let _ = writeln!(command.err, "marigoldwall: {error:#}");
            }
            exit
        }
    }
}

/// Prints the help text. Failing to write it is an error of the command.
fn print_help(out: &mut dyn Write, text: &str) -> Exit {
    match writeln!(out, "{text}") {
        Ok(()) => Exit::Done,
        Err(_) => Exit::Usage,
    }
}

/// A running command with its output streams.
pub(crate) struct Command<'a> {
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
    /// Stream for results, standard output outside of tests.
    pub(crate) out: &'a mut dyn Write,
    /// Stream for messages, standard error outside of tests.
    pub(crate) err: &'a mut dyn Write,
}

impl Command<'_> {
    /// Reads the settings and runs the subcommand that the flags name.
    fn dispatch(
        &mut self,
        flags: Marigoldwall,
        environment: Vec<(OsString, OsString)>,
    ) -> Result<Exit> {
        let mut given_flags = Vec::new();
        if !flags.entry.is_empty() {
            given_flags.push((settings::ENTRY.name, flags.entry.join(",")));
        }
        for (name, value) in [
            (settings::OPERATOR_KEY.name, flags.operator_key),
            (settings::REQUEST_TIMEOUT.name, flags.timeout_ms),
            (settings::SETTLE_TIMEOUT.name, flags.settle_ms),
        ] {
            given_flags.extend(value.map(|value| (name, value)));
        }
        let remote = match &flags.subcommand {
            MarigoldwallCmd::Check(check) => check.in_force,
            MarigoldwallCmd::Diff(_) | MarigoldwallCmd::HashKey(_) => false,
            MarigoldwallCmd::Timeline(timeline) => timeline.files.is_empty(),
            _ => true,
        };
        let options = match settings::read(given_flags, environment, remote) {
            Ok(options) => options,
            Err(faults) => {
                for fault in &faults {
                    writeln!(self.err, "marigoldwall: {fault}")?;
                }
                return Ok(Exit::Usage);
            }
        };
        match flags.subcommand {
            MarigoldwallCmd::Check(Check { file, against, in_force, strict }) => {
                let against = match (against, in_force) {
                    (None, false) => Against::Nothing,
                    (Some(path), false) => Against::File(path),
                    (None, true) => Against::InForce(options),
                    (Some(_), true) => {
                        anyhow::bail!("--against and --in-force exclude each other")
                    }
                };
                self.check(&check::Options { file, against, is_strict: strict })
            }
            MarigoldwallCmd::Diff(diff) => self.diff(&diff.old, &diff.new),
            MarigoldwallCmd::HashKey(hash) => self.hash_key(&hash.key),
            MarigoldwallCmd::Timeline(timeline) => {
                let (files, events) = events::split_timeline(timeline);
                match files.is_empty() {
                    true => self.print_remote_events(&options, 0, &events::parse_filter(events)?),
                    false => self.print_file_events(&files, &events::parse_filter(events)?),
                }
            }
            MarigoldwallCmd::Events(events) => {
                let after = events.after.unwrap_or(0);
                self.print_remote_events(&options, after, &events::parse_filter(events)?)
            }
            MarigoldwallCmd::Publish(publish) => {
                let sheet = read_file(&publish.file)?;
                block_on(async {
                    let client = Client::new(&options);
                    self.publish(&client, &options, &sheet, publish.base).await
                })
            }
            MarigoldwallCmd::Preview(preview) => {
                let sheet = read_file(&preview.file)?;
                block_on(async { self.preview(&Client::new(&options), &sheet).await })
            }
            MarigoldwallCmd::Why(why) => {
                ensure_one_of("what", &why.what, &["instance", "group"])?;
                block_on(async {
                    self.show_item(&Client::new(&options), &why.what, &why.name).await
                })?;
                let (group, instance) = match why.what.as_str() {
                    "group" => (why.name.parse().ok(), None),
                    _ => (None, Some(why.name.into())),
                };
                let filter = timeline::Filter { group, instance, ..timeline::Filter::default() };
                self.print_remote_events(&options, 0, &filter)
            }
            MarigoldwallCmd::Rollback(rollback) => block_on(async {
                let client = Client::new(&options);
                let old = history::fetch_version(&client, rollback.version)
                    .await
                    .map_err(request_failure)?;
                self.publish(&client, &options, &old.sheet, None).await
            }),
            MarigoldwallCmd::History(_) => {
                block_on(async { self.history(&Client::new(&options)).await })
            }
            MarigoldwallCmd::Show(show) => {
                block_on(async { self.show(&Client::new(&options), &show.what).await })
            }
            MarigoldwallCmd::Mark(Mark { mark, target, name }) => {
                ensure_one_of("mark", &mark, &["cordon", "drain", "clear"])?;
                ensure_one_of("target", &target, &["instance", "entry"])?;
                let body = json!({"target": target, "name": name, "mark": mark});
                block_on(async { self.post_change(&options, "/operator/v1/marks", body).await })
            }
            MarigoldwallCmd::Gone(gone) => {
                let body = json!({"entry": gone.entry});
                block_on(async { self.post_change(&options, "/operator/v1/gone", body).await })
            }
        }
    }

    /// Prints the faults of an invalid sheet.
    pub(crate) fn print_faults(&mut self, faults: &[Fault]) -> Result<Exit> {
        if self.json {
            writeln!(self.out, "{}", json!({"faults": faults}))?;
        } else {
            for fault in faults {
                writeln!(self.out, "{fault}")?;
            }
            writeln!(self.err, "marigoldwall: the sheet has {} faults", faults.len())?;
        }
        Ok(Exit::Findings)
    }

    /// Prints the differences between two sheets.
    fn diff(&mut self, old: &Path, new: &Path) -> Result<Exit> {
        let (old, new) = (read_sheet(old)?, read_sheet(new)?);
        let changes = diff(&old, &new);
        if self.json {
            writeln!(self.out, "{}", json!({"changes": changes}))?;
        } else {
            write!(self.out, "{}", diff::render(&changes))?;
        }
        Ok(if changes.is_empty() { Exit::Done } else { Exit::Findings })
    }

    /// Prints the hash of a team's bearer key.
    fn hash_key(&mut self, key: &str) -> Result<Exit> {
        let hash = key::hash(key);
        if self.json {
            writeln!(self.out, "{}", json!({"hash": hash}))?;
        } else {
            writeln!(self.out, "{hash}")?;
        }
        Ok(Exit::Done)
    }

    /// Prints the versions that are or were in force, sorted by version.
    async fn history(&mut self, client: &Client) -> Result<Exit> {
        if self.json {
            let reply = client.get("/operator/v1/config").await.map_err(request_failure)?;
            let answer: Value = reply.json().map_err(|error| request_failure(vec![error]))?;
            writeln!(self.out, "{}", json!({"history": answer.get("history")}))?;
            return Ok(Exit::Done);
        }
        let mut config = history::fetch_current(client).await.map_err(request_failure)?;
        config.history.sort_by_key(|revision| revision.version);
        let rows = config.history.iter().map(|revision| {
            let in_force = if revision.version == config.version { "in force" } else { "" };
            vec![
                revision.version.to_string(),
                Utc(revision.at_ms).to_string(),
                table::format_cell(&Value::from(revision.publication.as_str())),
                in_force.to_owned(),
            ]
        });
        let rows: Vec<_> = rows.collect();
        write!(self.out, "{}", table::format(&["version", "since", "publication", ""], &rows))?;
        Ok(Exit::Done)
    }

    /// Prints the effects that publishing a sheet would have. Faults are found locally, without a
    /// request.
    async fn preview(&mut self, client: &Client, sheet: &str) -> Result<Exit> {
        if let Err(faults) = mgw_sheet::parse(sheet) {
            return self.print_faults(&faults);
        }
        let body = json!({ "sheet": sheet });
        let reply = client.post("/operator/v1/preview", &body).await.map_err(request_failure)?;
        if reply.status != 200 {
            return Err(request_failure(vec![reply.unexpected_status()]));
        }
        let preview: Preview = reply.json().map_err(|error| request_failure(vec![error]))?;
        match self.json {
            true => writeln!(self.out, "{}", json!(preview))?,
            false => write!(self.out, "{}", preview.render())?,
        }
        Ok(Exit::Done)
    }

    /// Sends a request that changes state other than the configuration, such as a mark.
    async fn post_change(&mut self, options: &Options, path: &str, body: Value) -> Result<Exit> {
        let client = Client::new(options);
        let reply = match client.post(path, &body).await {
            Ok(reply) => reply,
            Err(errors) if errors.iter().any(|error| error.kind == Kind::NoReply) => {
                let (text, _) = describe_errors(&errors);
                let text = format!("the outcome is not known: {text}");
                return Err(Failure::new(Exit::Unknown, text).into());
            }
            Err(errors) => return Err(request_failure(errors)),
        };
        match reply.status {
            200..=299 => {}
            500 | 502 | 504.. => {
                let text = format!("the outcome is not known: {}", reply.unexpected_status());
                return Err(Failure::new(Exit::Unknown, text).into());
            }
            _ => return Err(request_failure(vec![reply.unexpected_status()])),
        }
        if self.json {
            let answer: Value = reply.json().unwrap_or(Value::Null);
            writeln!(self.out, "{}", json!({"outcome": "done", "answer": answer}))?;
        } else {
            writeln!(self.out, "done (entry {})", reply.entry)?;
        }
        Ok(Exit::Done)
    }
}

/// Runs a future to completion in a new `actix_rt` system.
pub(crate) fn block_on<F, T>(future: F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    actix_rt::System::new().block_on(future)
}

/// Reads the text of a sheet. Of a file above [`MAX_SHEET_BYTES`], it returns only enough bytes for
/// the parser to reject it.
pub(crate) fn read_file(path: &Path) -> Result<String> {
    let context = || format!("reading file {}", path.display());
    let mut bytes = Vec::new();
    let file = fs::File::open(path).with_context(context)?;
    file.take(MAX_SHEET_BYTES as u64 + 1).read_to_end(&mut bytes).with_context(context)?;
    if bytes.len() > MAX_SHEET_BYTES {
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    String::from_utf8(bytes).with_context(|| format!("file {} is not UTF-8", path.display()))
}

/// Reads and parses a sheet. Its faults are an error.
pub(crate) fn read_sheet(path: &Path) -> Result<Sheet> {
    mgw_sheet::parse(&read_file(path)?).map_err(|faults| {
        let lines: Vec<_> =
            faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
        Failure::new(Exit::Usage, lines.join("\n")).into()
    })
}

/// Returns an error unless `value` is one of the allowed values of argument `name`.
pub(crate) fn ensure_one_of(name: &str, value: &str, allowed: &[&str]) -> Result<()> {
    anyhow::ensure!(
        allowed.contains(&value),
        "{name} = `{value}`: not allowed; allowed is one of {}",
        allowed.join(", ")
    );
    Ok(())
}

/// Returns the message and exit code for failed requests that changed nothing. Statuses below 500
/// and status 503 count as refusals by the entry.
pub(crate) fn describe_errors(errors: &[client::Error]) -> (String, Exit) {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    let refused = |error: &client::Error| matches!(error.kind, Kind::Status(..500 | 503));
    let exit = if errors.iter().any(refused) { Exit::Refused } else { Exit::Unreachable };
    (lines.join("\n"), exit)
}

/// Converts failed requests that changed nothing to the failure of the command.
pub(crate) fn request_failure(errors: Vec<client::Error>) -> anyhow::Error {
    let (text, exit) = describe_errors(&errors);
    Failure::new(exit, text).into()
}
