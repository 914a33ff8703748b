//! The commands.

use std::ffi::OsString;
use std::fs;
use std::io::{self, Read, Write};
use std::path::Path;

use anyhow::{Context, Result};
use mgw_event::event::Utc;
use mgw_event::timeline;
use mgw_sheet::parse::MAX_SHEET_BYTES;
use mgw_sheet::{Change, Fault, Sheet, diff, key};
use serde_json::{Value, json};

use crate::client::{self, Client, Kind, Reply};
use crate::exit::{Exit, Failure};
use crate::flags::{Marigoldwall, MarigoldwallCmd, Mark};
use crate::preview::Preview;
use crate::publish::{self, Outcome};
use crate::settings::{self, Options};
use crate::{events, history, show, table};

/// Runs a command line and writes results to `out` and messages to `err`.
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
        Err(help) if help.is_help() => return print(out, &help.to_string()),
        Err(error) => {
            // A message that cannot be written to `err` has no other place to go.
            let _ = writeln!(err, "marigoldwall: {error}; see marigoldwall --help");
            return Exit::Usage;
        }
    };
    let mut command = Command { json: flags.json, out, err };
    match command.dispatch(flags, environment.into_iter().collect()) {
        Ok(exit) => exit,
        Err(error) => {
            let exit = error.downcast_ref().map_or(Exit::Usage, |failure: &Failure| failure.exit);
            let closed = error
                .downcast_ref::<io::Error>()
                .is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe);
            if !closed {
                let _ = writeln!(command.err, "marigoldwall: {error:#}");
            }
            exit
        }
    }
}

fn print(out: &mut dyn Write, text: &str) -> Exit {
    match writeln!(out, "{text}") {
        Ok(()) => Exit::Done,
        Err(_) => Exit::Usage,
    }
}

/// A command that runs, with its output.
pub(crate) struct Command<'a> {
    pub(crate) json: bool,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
}

impl Command<'_> {
    fn dispatch(
        &mut self,
        flags: Marigoldwall,
        environment: Vec<(OsString, OsString)>,
    ) -> Result<Exit> {
        let mut given = Vec::new();
        if !flags.entry.is_empty() {
            given.push((settings::ENTRY.name, flags.entry.join(",")));
        }
        for (name, value) in [
            (settings::OPERATOR_KEY.name, flags.operator_key),
            (settings::REQUEST_TIMEOUT.name, flags.timeout_ms),
            (settings::SETTLE_TIMEOUT.name, flags.settle_ms),
        ] {
            given.extend(value.map(|value| (name, value)));
        }
        let remote = match &flags.subcommand {
            MarigoldwallCmd::Check(_) | MarigoldwallCmd::Diff(_) | MarigoldwallCmd::HashKey(_) => {
                false
            }
            MarigoldwallCmd::Timeline(timeline) => timeline.files.is_empty(),
            _ => true,
        };
        let options = match settings::read(given, environment, remote) {
            Ok(options) => options,
            Err(faults) => {
                for fault in &faults {
                    writeln!(self.err, "marigoldwall: {fault}")?;
                }
                return Ok(Exit::Usage);
            }
        };
        match flags.subcommand {
            MarigoldwallCmd::Check(check) => self.check(&check.file),
            MarigoldwallCmd::Diff(diff) => self.diff(&diff.old, &diff.new),
            MarigoldwallCmd::HashKey(hash) => self.hash_key(&hash.key),
            MarigoldwallCmd::Timeline(timeline) => {
                let (files, events) = events::split(timeline);
                match files.is_empty() {
                    true => self.remote_events(&options, 0, &events::filter(events)?),
                    false => self.file_events(&files, &events::filter(events)?),
                }
            }
            MarigoldwallCmd::Events(events) => {
                let after = events.after.unwrap_or(0);
                self.remote_events(&options, after, &events::filter(events)?)
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
                one_of("what", &why.what, &["instance", "group"])?;
                block_on(async {
                    self.show_one(&Client::new(&options), &why.what, &why.name).await
                })?;
                let (group, instance) = match why.what.as_str() {
                    "group" => (why.name.parse().ok(), None),
                    _ => (None, Some(why.name.into())),
                };
                let filter = timeline::Filter { group, instance, ..timeline::Filter::default() };
                self.remote_events(&options, 0, &filter)
            }
            MarigoldwallCmd::Rollback(rollback) => block_on(async {
                let client = Client::new(&options);
                let old =
                    history::fetch_version(&client, rollback.version).await.map_err(failure)?;
                self.publish(&client, &options, &old.sheet, None).await
            }),
            MarigoldwallCmd::History(_) => {
                block_on(async { self.history(&Client::new(&options)).await })
            }
            MarigoldwallCmd::Show(show) => {
                block_on(async { self.show(&Client::new(&options), &show.what).await })
            }
            MarigoldwallCmd::Mark(Mark { mark, target, name }) => {
                one_of("mark", &mark, &["cordon", "drain", "clear"])?;
                one_of("target", &target, &["instance", "entry"])?;
                let body = json!({"target": target, "name": name, "mark": mark});
                block_on(async { self.order(&options, "/operator/v1/marks", body).await })
            }
            MarigoldwallCmd::Gone(gone) => {
                let body = json!({"entry": gone.entry});
                block_on(async { self.order(&options, "/operator/v1/gone", body).await })
            }
        }
    }

    fn check(&mut self, file: &Path) -> Result<Exit> {
        match mgw_sheet::parse(&read_file(file)?) {
            Ok(sheet) => {
                if self.json {
                    writeln!(self.out, "{}", json!({"faults": []}))?;
                } else {
                    writeln!(self.out, "{}: {}", file.display(), summary(&sheet))?;
                }
                Ok(Exit::Done)
            }
            Err(faults) => self.faults(&faults),
        }
    }

    /// Prints the faults of a sheet.
    fn faults(&mut self, faults: &[Fault]) -> Result<Exit> {
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

    fn hash_key(&mut self, key: &str) -> Result<Exit> {
        let hash = key::hash(key);
        if self.json {
            writeln!(self.out, "{}", json!({"hash": hash}))?;
        } else {
            writeln!(self.out, "{hash}")?;
        }
        Ok(Exit::Done)
    }

    async fn publish(
        &mut self,
        client: &Client,
        options: &Options,
        sheet: &str,
        base: Option<u64>,
    ) -> Result<Exit> {
        let options = publish::Options { sheet, base, settle_timeout: options.settle_timeout };
        match publish::publish(client, &options).await.map_err(failure)? {
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
                    self.changes(changes.as_deref())?;
                    let how = if settled {
                        "; the reply was lost, and the configuration shows the outcome"
                    } else {
                        ""
                    };
                    writeln!(
                        self.out,
                        "version {version} is accepted (publication {publication}{how})"
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
                    self.changes(changes.as_deref())?;
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
            Outcome::Invalid(faults) => self.faults(&faults),
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

    fn changes(&mut self, changes: Option<&[Change]>) -> Result<()> {
        write!(self.out, "{}", diff::render(changes.unwrap_or_default()))?;
        Ok(())
    }

    async fn history(&mut self, client: &Client) -> Result<Exit> {
        if self.json {
            let reply = client.get("/operator/v1/config").await.map_err(failure)?;
            let answer: Value = reply.json().map_err(|error| failure(vec![error]))?;
            writeln!(self.out, "{}", json!({"history": answer.get("history")}))?;
            return Ok(Exit::Done);
        }
        let mut config = history::fetch_current(client).await.map_err(failure)?;
        config.history.sort_by_key(|revision| revision.version);
        let rows = config.history.iter().map(|revision| {
            let in_force = if revision.version == config.version { "in force" } else { "" };
            vec![
                revision.version.to_string(),
                Utc(revision.at_ms).to_string(),
                table::cell(&Value::from(revision.publication.as_str())),
                in_force.to_owned(),
            ]
        });
        let rows: Vec<_> = rows.collect();
        write!(self.out, "{}", table::format(&["version", "since", "publication", ""], &rows))?;
        Ok(Exit::Done)
    }

    async fn show(&mut self, client: &Client, what: &str) -> Result<Exit> {
        let Some(list) = show::LISTS.iter().find(|list| list.name == what) else {
            one_of("what", what, &["config", "groups", "instances", "entries"])?;
            return self.show_config(client).await;
        };
        let reply = client.get(&format!("/operator/v1/{what}")).await.map_err(failure)?;
        let answer: Value = reply.json().map_err(|error| failure(vec![error]))?;
        if self.json {
            writeln!(self.out, "{answer}")?;
            return Ok(Exit::Done);
        }
        let text = list.table(&answer).ok_or_else(|| malformed(&reply))?;
        write!(self.out, "{text}")?;
        Ok(Exit::Done)
    }

    async fn preview(&mut self, client: &Client, sheet: &str) -> Result<Exit> {
        if let Err(faults) = mgw_sheet::parse(sheet) {
            return self.faults(&faults);
        }
        let body = json!({ "sheet": sheet });
        let reply = client.post("/operator/v1/preview", &body).await.map_err(failure)?;
        if reply.status != 200 {
            return Err(failure(vec![reply.unexpected()]));
        }
        let preview: Preview = reply.json().map_err(|error| failure(vec![error]))?;
        match self.json {
            true => writeln!(self.out, "{}", json!(preview))?,
            false => write!(self.out, "{}", preview.render())?,
        }
        Ok(Exit::Done)
    }

    /// Prints the row of one instance or group.
    async fn show_one(&mut self, client: &Client, what: &str, name: &str) -> Result<()> {
        let lists = if what == "group" { "groups" } else { "instances" };
        let Some(list) = show::LISTS.iter().find(|list| list.name == lists) else { return Ok(()) };
        let reply = client.get(&format!("/operator/v1/{lists}")).await.map_err(failure)?;
        let mut answer: Value = reply.json().map_err(|error| failure(vec![error]))?;
        let items = answer.get_mut(lists).and_then(Value::as_array_mut);
        let items = items.ok_or_else(|| malformed(&reply))?;
        items.retain(|item| item.get(what).is_some_and(|it| table::cell(it) == name));
        if items.is_empty() {
            let text = format!("the entry knows no {what} {name}");
            return Err(Failure::new(Exit::Refused, text).into());
        }
        if !self.json {
            let text = list.table(&answer).ok_or_else(|| malformed(&reply))?;
            write!(self.out, "{text}")?;
        }
        Ok(())
    }

    /// Prints the sheet in force to the output, so that it can go to a file, and its version to the
    /// messages.
    async fn show_config(&mut self, client: &Client) -> Result<Exit> {
        let reply = client.get("/operator/v1/config").await.map_err(failure)?;
        if self.json {
            let answer: Value = reply.json().map_err(|error| failure(vec![error]))?;
            writeln!(self.out, "{answer}")?;
            return Ok(Exit::Done);
        }
        let config: history::Config = reply.json().map_err(|error| failure(vec![error]))?;
        let history::Config { version, publication, sheet, .. } = config;
        writeln!(self.err, "version {version}, publication {publication}")?;
        write!(self.out, "{sheet}")?;
        if !sheet.is_empty() && !sheet.ends_with('\n') {
            writeln!(self.out)?;
        }
        Ok(Exit::Done)
    }

    /// Sends a request that changes something besides the configuration.
    async fn order(&mut self, options: &Options, path: &str, body: Value) -> Result<Exit> {
        let client = Client::new(options);
        let reply = match client.post(path, &body).await {
            Ok(reply) => reply,
            Err(errors) if errors.iter().any(|error| error.kind == Kind::NoReply) => {
                let (text, _) = describe(&errors);
                let text = format!("the outcome is not known: {text}");
                return Err(Failure::new(Exit::Unknown, text).into());
            }
            Err(errors) => return Err(failure(errors)),
        };
        match reply.status {
            200..=299 => {}
            500 | 502 | 504.. => {
                let text = format!("the outcome is not known: {}", reply.unexpected());
                return Err(Failure::new(Exit::Unknown, text).into());
            }
            _ => return Err(failure(vec![reply.unexpected()])),
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

pub(crate) fn block_on<F, T>(future: F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    actix_rt::System::new().block_on(future)
}

/// Reads a sheet as text; of a file above the limit only as much as shows that it is too large.
fn read_file(path: &Path) -> Result<String> {
    let context = || format!("reading file {}", path.display());
    let mut bytes = Vec::new();
    let file = fs::File::open(path).with_context(context)?;
    file.take(MAX_SHEET_BYTES as u64 + 1).read_to_end(&mut bytes).with_context(context)?;
    if bytes.len() > MAX_SHEET_BYTES {
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    String::from_utf8(bytes).with_context(|| format!("file {} is not UTF-8", path.display()))
}

/// Reads a sheet that must be valid.
fn read_sheet(path: &Path) -> Result<Sheet> {
    mgw_sheet::parse(&read_file(path)?).map_err(|faults| {
        let lines: Vec<_> =
            faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
        Failure::new(Exit::Usage, lines.join("\n")).into()
    })
}

fn summary(sheet: &Sheet) -> String {
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

pub(crate) fn one_of(name: &str, value: &str, allowed: &[&str]) -> Result<()> {
    anyhow::ensure!(
        allowed.contains(&value),
        "{name} = `{value}`: not allowed; allowed is one of {}",
        allowed.join(", ")
    );
    Ok(())
}

fn malformed(reply: &Reply) -> Failure {
    let text = format!("entry {}: the answer has an unexpected form", reply.entry);
    Failure::new(Exit::Unreachable, text)
}

/// The message and exit code of failed requests that changed nothing.
pub(crate) fn describe(errors: &[client::Error]) -> (String, Exit) {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    let refused = |error: &client::Error| matches!(error.kind, Kind::Status(..500 | 503));
    let exit = if errors.iter().any(refused) { Exit::Refused } else { Exit::Unreachable };
    (lines.join("\n"), exit)
}

fn failure(errors: Vec<client::Error>) -> anyhow::Error {
    let (text, exit) = describe(&errors);
    Failure::new(exit, text).into()
}
