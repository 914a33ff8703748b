//! Reads events from JSON lines and merges those of many processes into one timeline.

use std::io::{self, BufRead};

use smol_str::SmolStr;

use crate::event::Event;
use crate::kind::Severity;

/// Largest length of a line in bytes; longer lines are skipped without being held in memory. An
/// event with all fields at their limit has about 2 KB.
pub const MAX_LINE: usize = 16 * 1024;

/// Number of malformed lines of a source whose errors are kept; further ones are only counted.
pub const MAX_REPORTED_ERRORS: usize = 20;

/// Selects events; all criteria that are set must match.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Id of the request.
    pub request: Option<SmolStr>,
    /// Id of the group.
    pub group: Option<u64>,
    /// Name of the instance or server.
    pub instance: Option<SmolStr>,
    /// Name of the team.
    pub team: Option<SmolStr>,
    /// Name of the entry that reported the event or that the event is about.
    pub entry: Option<SmolStr>,
    /// Earliest `wall_ms`, inclusive.
    pub from_ms: Option<u64>,
    /// Latest `wall_ms`, inclusive.
    pub until_ms: Option<u64>,
    /// Lowest severity.
    pub severity: Option<Severity>,
}

impl Filter {
    /// Returns true if the event meets all criteria.
    pub fn matches(&self, event: &Event) -> bool {
        let Event { stamp, reporter, body, .. } = event;
        let is_match = |wanted: &Option<SmolStr>, value: &SmolStr| {
            wanted.as_ref().is_none_or(|wanted| wanted == value)
        };
        is_match(&self.request, &body.request)
            && self.group.is_none_or(|group| body.group == Some(group))
            && is_match(&self.instance, &body.instance)
            && is_match(&self.team, &body.team)
            && (is_match(&self.entry, &body.entry) || is_match(&self.entry, reporter))
            && self.from_ms.is_none_or(|from| stamp.wall_ms >= from)
            && self.until_ms.is_none_or(|until| stamp.wall_ms <= until)
            && self.severity.is_none_or(|least| body.kind.severity() >= least)
    }
}

/// The result of reading a source.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The events that match the filter, in the order of the source.
    pub events: Vec<Event>,
    /// Number of lines that are not events, without blank lines.
    pub malformed: u64,
    /// Line number, from 1, and error of each of the first [`MAX_REPORTED_ERRORS`] malformed lines.
    pub errors: Vec<(u64, String)>,
}

/// Reads the events that match `filter` from JSON lines.
///
/// Malformed lines are counted and skipped, such as a line that is incomplete because the process
/// died, or a line of another program. Events that don't match are dropped immediately, so the
/// memory used depends on the matching events, not on the size of the source.
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
        let Some(fits) = read_line(&mut source, &mut line)? else { return Ok(outcome) };
        number += 1;
        if fits && line.trim_ascii().is_empty() {
            continue;
        }
        let result = match fits {
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

/// Reads one line without its line feed into `line`; returns whether it is within [`MAX_LINE`], or
/// `None` at the end of the source.
fn read_line<R>(source: &mut R, line: &mut Vec<u8>) -> io::Result<Option<bool>>
where
    R: BufRead,
{
    let mut fits = true;
    let mut started = false;
    loop {
        let chunk = source.fill_buf()?;
        if chunk.is_empty() {
            return Ok(started.then_some(fits));
        }
        started = true;
        let end = chunk.iter().position(|byte| *byte == b'\n');
        let part = &chunk[..end.unwrap_or(chunk.len())];
        if line.len() + part.len() <= MAX_LINE {
            line.extend_from_slice(part);
        } else {
            fits = false;
        }
        let used = end.map_or(chunk.len(), |end| end + 1);
        source.consume(used);
        if end.is_some() {
            return Ok(Some(fits));
        }
    }
}

/// Merges the events of many processes that match `filter`, without duplicates.
///
/// Events are ordered by stamp, so an event comes after all events that its process learned of
/// through messages, even if the clocks of the hosts differ. Events with equal stamps are not
/// causally related and are ordered by reporter.
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
