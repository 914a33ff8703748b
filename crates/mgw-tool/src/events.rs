//! The commands that print events.

use std::fs;
use std::io::BufReader;
use std::path::PathBuf;

use anyhow::{Context, Result};
use mgw_event::timeline;
use mgw_event::{Event, Severity};

use crate::client::{self, Client};
use crate::exit::Exit;
use crate::flags::{Events, Timeline};
use crate::run::{Command, block_on, describe, one_of};
use crate::settings::Options;
use crate::time;

/// Requests for events per entry, each for those after the last one received.
const MAX_ROUNDS: usize = 64;

impl Command<'_> {
    pub(crate) fn file_events(
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
            self.skipped(&path.display().to_string(), &outcome)?;
            events.extend(outcome.events);
        }
        self.events(events, filter)?;
        Ok(Exit::Done)
    }

    pub(crate) fn remote_events(
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
                    self.skipped(&format!("entry {entry}"), &outcome)?;
                    events.extend(outcome.events);
                }
                Err(error) => {
                    let (_, failed) = describe(std::slice::from_ref(&error));
                    exit = if exit == Exit::Refused { exit } else { failed };
                    writeln!(self.err, "marigoldwall: {error}")?;
                }
            }
        }
        self.events(events, filter)?;
        Ok(exit)
    }

    fn skipped(&mut self, source: &str, outcome: &timeline::Outcome) -> Result<()> {
        if let Some((line, cause)) = outcome.errors.first() {
            let count = outcome.malformed;
            writeln!(
                self.err,
                "marigoldwall: {source}: skipped {count} malformed lines, first line {line}: {cause}"
            )?;
        }
        Ok(())
    }

    fn events(&mut self, events: Vec<Event>, filter: &timeline::Filter) -> Result<()> {
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

/// The files of the command `timeline`, and its other flags as those of `events`, which has the same
/// criteria.
pub(crate) fn split(timeline: Timeline) -> (Vec<PathBuf>, Events) {
    let Timeline { files, request, group, instance, team, of_entry, from, until, severity } =
        timeline;
    let events =
        Events { after: None, request, group, instance, team, of_entry, from, until, severity };
    (files, events)
}

/// The criteria that the flags give.
pub(crate) fn filter(flags: Events) -> Result<timeline::Filter> {
    let severity = match flags.severity {
        Some(name) => {
            one_of("--severity", &name, &Severity::ALL.map(Severity::name))?;
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
        from_ms: flags.from.map(|text| read_time("from", &text)).transpose()?,
        until_ms: flags.until.map(|text| read_time("until", &text)).transpose()?,
        severity,
    })
}

fn read_time(flag: &str, text: &str) -> Result<u64> {
    time::parse(text).with_context(|| {
        format!(
            "--{flag} = `{text}`: not allowed; allowed is ms since 1970 or UTC such as \
             2026-12-04T06:00:00"
        )
    })
}

/// Fetches the events of an entry, which may give them in several answers.
async fn fetch_events(
    client: &Client,
    entry: std::net::SocketAddr,
    mut after: u64,
) -> Result<timeline::Outcome, client::Error> {
    let mut all = timeline::Outcome::default();
    for _ in 0..MAX_ROUNDS {
        let reply = client.get_from(entry, &format!("/operator/v1/events?after={after}")).await?;
        // Reading from memory cannot fail.
        let all_events = timeline::Filter::default();
        let outcome = timeline::read(reply.body.as_slice(), &all_events).unwrap_or_default();
        all.malformed += outcome.malformed;
        all.errors.extend(outcome.errors);
        let last = outcome.events.iter().map(|event| event.seq).max().unwrap_or(0);
        all.events.extend(outcome.events);
        if last <= after {
            break;
        }
        after = last;
    }
    Ok(all)
}
