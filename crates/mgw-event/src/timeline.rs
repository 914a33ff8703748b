//! The merge of the events of many processes into one order.

use std::io::{self, BufRead};

use smol_str::SmolStr;

use crate::event::Event;
use crate::kind::Severity;

/// Longest line that is read, in bytes; the rest of a longer one is skipped without being held in
/// memory. An event with all fields at their limit has about 2 KB.
pub const MAX_LINE: usize = 16 * 1024;

/// Malformed lines of one file that are described; further ones are only counted.
pub const MAX_REPORTED_ERRORS: usize = 20;

/// Which events to keep; criteria that are set must all hold.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Request id.
    pub request: Option<SmolStr>,
    /// Group id.
    pub group: Option<u64>,
    /// Instance or server.
    pub instance: Option<SmolStr>,
    /// Team.
    pub team: Option<SmolStr>,
    /// The entry that reports the event or that it is about.
    pub entry: Option<SmolStr>,
    /// Earliest `wall_ms`.
    pub from_ms: Option<u64>,
    /// Latest `wall_ms`.
    pub until_ms: Option<u64>,
    /// Least severity.
    pub severity: Option<Severity>,
}

impl Filter {
    /// Whether an event meets all criteria.
    pub fn matches(&self, event: &Event) -> bool {
        let Event { stamp, reporter, body, .. } = event;
        let same = |wanted: &Option<SmolStr>, value: &SmolStr| {
            wanted.as_ref().is_none_or(|wanted| wanted == value)
        };
        same(&self.request, &body.request)
            && self.group.is_none_or(|group| body.group == Some(group))
            && same(&self.instance, &body.instance)
            && same(&self.team, &body.team)
            && (same(&self.entry, &body.entry) || same(&self.entry, reporter))
            && self.from_ms.is_none_or(|from| stamp.wall_ms >= from)
            && self.until_ms.is_none_or(|until| stamp.wall_ms <= until)
            && self.severity.is_none_or(|least| body.kind.severity() >= least)
    }
}

/// Events that were read from one source and meet the criteria.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The events in the order of the source.
    pub events: Vec<Event>,
    /// Lines that are no events, blank ones not counted.
    pub malformed: u64,
    /// Line number, from 1, and cause of the first [`MAX_REPORTED_ERRORS`] malformed lines.
    pub errors: Vec<(u64, String)>,
}

/// Reads events from lines of JSON and skips lines that are malformed, such as a line that was cut
/// when the process died or one of another program. Events that do not meet the criteria are dropped
/// at once, so that the memory used does not depend on the size of the source.
///
/// # Errors
///
/// The source cannot be read.
pub fn read<R>(mut source: R, filter: &Filter) -> io::Result<Outcome>
where
    R: BufRead,
{
    let mut outcome = Outcome::default();
    let mut line = Vec::new();
    let mut number = 0;
    loop {
        line.clear();
        let Some(complete) = read_line(&mut source, &mut line)? else { return Ok(outcome) };
        number += 1;
        if complete && line.trim_ascii().is_empty() {
            continue;
        }
        let result = match complete {
            true => Event::from_json(&line).map_err(|error| error.to_string()),
            false => Err(format!("the line has more than {MAX_LINE} bytes")),
        };
        match result {
            Ok(event) if filter.matches(&event) => outcome.events.push(event),
            Ok(_) => {}
            Err(cause) => {
                outcome.malformed += 1;
                if outcome.errors.len() < MAX_REPORTED_ERRORS {
                    outcome.errors.push((number, cause));
                }
            }
        }
    }
}

/// Reads one line without its line break; returns whether all of it fitted, `None` at the end.
fn read_line<R>(source: &mut R, line: &mut Vec<u8>) -> io::Result<Option<bool>>
where
    R: BufRead,
{
    let mut complete = true;
    let mut started = false;
    loop {
        let chunk = source.fill_buf()?;
        if chunk.is_empty() {
            return Ok(started.then_some(complete));
        }
        started = true;
        let end = chunk.iter().position(|byte| *byte == b'\n');
        let part = &chunk[..end.unwrap_or(chunk.len())];
        if line.len() + part.len() <= MAX_LINE {
            line.extend_from_slice(part);
        } else {
            complete = false;
        }
        let used = end.map_or(chunk.len(), |end| end + 1);
        source.consume(used);
        if end.is_some() {
            return Ok(Some(complete));
        }
    }
}

/// Merges events of many processes, drops repetitions and applies the criteria.
///
/// The order is that of the stamps, so an event sorts behind all events that its process knew of
/// through messages, even if the clocks of the hosts differ. Events with equal stamps, which no
/// message connects, are ordered by entry.
pub fn merge<I>(events: I, filter: &Filter) -> Vec<Event>
where
    I: IntoIterator<Item = Event>,
{
    let mut events: Vec<_> = events.into_iter().filter(|event| filter.matches(event)).collect();
    events.sort_by(|a, b| {
        (a.stamp, &a.reporter, a.seq, a.body.kind).cmp(&(b.stamp, &b.reporter, b.seq, b.body.kind))
    });
    events.dedup();
    events
}
