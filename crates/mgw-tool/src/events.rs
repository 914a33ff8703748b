//! The commands `events`, `timeline` and `why`, which print events of entries or files.

use std::fs;
use std::io::BufReader;
use std::path::PathBuf;

use anyhow::{Context, Result};
use mgw_event::timeline;
use mgw_event::{Event, Severity};

use crate::client::{self, Client};
use crate::exit::Exit;
use crate::flags::{Events, Timeline};
use crate::run::{Command, block_on, describe_errors, ensure_one_of};
use crate::settings::Options;
use crate::time;

/// Maximum number of requests to one entry, each for the events after the last one received. The
/// limit ends the command even if the entry keeps recording events.
const MAX_REQUESTS_PER_ENTRY: usize = 64;

impl Command<'_> {
    /// Prints the events of files that match `filter`, merged into one order.
    pub(crate) fn print_file_events(
        &mut self,
        files: &[PathBuf],
        filter: &timeline::Filter,
    ) -> Result<Exit> {
        let mut events = Vec::new();
        for path in files {
            let file =
                fs::File::open(path).with_context(|| format!("opening file {}", path.display()))?;
            let outcome = timeline::read(BufReader::new(file), filter)
                .with_context(|| format!("reading file {}", path.display()))?;
            self.report_malformed_lines(&path.display().to_string(), &outcome)?;
            events.extend(outcome.events);
        }
        self.print_events(events, filter)?;
        Ok(Exit::Done)
    }

    /// Prints the events of all entries that match `filter`, merged into one order. `after` is the
    /// event number after which each entry starts. The errors of entries that fail are printed, and
    /// the events of the others are printed nevertheless.
    pub(crate) fn print_remote_events(
        &mut self,
        options: &Options,
        after: u64,
        filter: &timeline::Filter,
    ) -> Result<Exit> {
        let results = block_on(async {
            let client = Client::new(options);
            let mut results = Vec::new();
            for entry in &options.entries {
                results.push((*entry, fetch_events(&client, *entry, after).await));
            }
            Ok(results)
        })?;
        let mut events = Vec::new();
        let mut exit = Exit::Done;
        for (entry, result) in results {
            match result {
                Ok(outcome) => {
                    self.report_malformed_lines(&format!("entry {entry}"), &outcome)?;
                    events.extend(outcome.events);
                }
                Err(error) => {
                    let (_, failed) = describe_errors(std::slice::from_ref(&error));
                    exit = if exit == Exit::Refused { exit } else { failed };
                    writeln!(self.err, "marigoldwall: {error}")?;
                }
            }
        }
        self.print_events(events, filter)?;
        Ok(exit)
    }

    /// Prints the number of malformed lines of a source and the cause of the first one, if any.
    fn report_malformed_lines(&mut self, source: &str, outcome: &timeline::Outcome) -> Result<()> {
        if let Some((line, cause)) = outcome.errors.first() {
            let count = outcome.malformed;
            writeln!(
                self.err,
                "marigoldwall: {source}: skipped {count} malformed lines, first line {line}: {cause}"
            )?;
        }
        Ok(())
    }

    /// Merges events into one order and prints them.
    fn print_events(&mut self, events: Vec<Event>, filter: &timeline::Filter) -> Result<()> {
        for event in timeline::merge(events, filter) {
            if self.json {
                writeln!(self.out, "{}", event.json())?;
            } else {
                writeln!(self.out, "{event}")?;
            }
        }
        Ok(())
    }
}

/// Splits the flags of `timeline` into its files and the flags that it shares with `events`.
pub(crate) fn split_timeline(timeline: Timeline) -> (Vec<PathBuf>, Events) {
    let Timeline { files, request, group, instance, team, of_entry, from, until, severity } =
        timeline;
    let events =
        Events { after: None, request, group, instance, team, of_entry, from, until, severity };
    (files, events)
}

/// Converts the flags to the filter that they describe.
pub(crate) fn parse_filter(flags: Events) -> Result<timeline::Filter> {
    let severity = match flags.severity {
        Some(name) => {
            ensure_one_of("--severity", &name, &Severity::ALL.map(Severity::name))?;
            Severity::ALL.into_iter().find(|severity| severity.name() == name)
        }
        None => None,
    };
    Ok(timeline::Filter {
        request: flags.request.map(Into::into),
        group: flags.group,
        instance: flags.instance.map(Into::into),
        team: flags.team.map(Into::into),
        entry: flags.of_entry.map(Into::into),
        from_ms: flags.from.map(|text| parse_time("from", &text)).transpose()?,
        until_ms: flags.until.map(|text| parse_time("until", &text)).transpose()?,
        severity,
    })
}

/// Parses the time in flag `--{flag}`.
fn parse_time(flag: &str, text: &str) -> Result<u64> {
    time::parse(text).with_context(|| {
        format!(
            "--{flag} = `{text}`: not allowed; allowed is ms since 1970 or UTC such as \
             2026-12-04T06:00:00"
        )
    })
}

/// Fetches the events of an entry after number `after`, with as many requests as it takes, up to
/// [`MAX_REQUESTS_PER_ENTRY`].
async fn fetch_events(
    client: &Client,
    entry: std::net::SocketAddr,
    mut after: u64,
) -> Result<timeline::Outcome, client::Error> {
    let mut merged = timeline::Outcome::default();
    for _ in 0..MAX_REQUESTS_PER_ENTRY {
        let reply = client.get_from(entry, &format!("/operator/v1/events?after={after}")).await?;
        // Reading from a byte slice cannot fail.
        let no_filter = timeline::Filter::default();
        let outcome = timeline::read(reply.body.as_slice(), &no_filter).unwrap_or_default();
        merged.malformed += outcome.malformed;
        merged.errors.extend(outcome.errors);
        let last_seq = outcome.events.iter().map(|event| event.seq).max().unwrap_or(0);
        merged.events.extend(outcome.events);
        if last_seq <= after {
            break;
        }
        after = last_seq;
    }
    Ok(merged)
}
