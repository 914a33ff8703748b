//! An event, its JSON line and its plain-text line.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock::Stamp;
use crate::kind::{Field, Kind};

/// Target of the log records that [`Event::log`] emits.
pub const TARGET: &str = "mgw::event";

/// Largest length of `text` in bytes; longer text is truncated, which bounds the memory of the
/// ring.
pub const MAX_TEXT: usize = 240;
/// Largest length of a name or request id in bytes; longer ones are truncated.
pub const MAX_NAME: usize = 128;

/// The content of an event without its stamp and reporter, so code without a clock can create it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// Kind of the event.
    pub kind: Kind,
    /// Id of the request; empty if absent.
    pub request: SmolStr,
    /// Id of the group.
    pub group: Option<u64>,
    /// Name of the instance or server; empty if absent.
    pub instance: SmolStr,
    /// Name of the team; empty if absent.
    pub team: SmolStr,
    /// Name of the entry that the event is about; empty if absent.
    pub entry: SmolStr,
    /// Offset of a record in the log.
    pub offset: Option<u64>,
    /// Cause or details; empty if absent.
    pub text: SmolStr,
}

impl Body {
    /// Creates the content of an event of `kind` without fields.
    pub fn new(kind: Kind) -> Self {
        let none = SmolStr::default;
        Self {
            kind,
            request: none(),
            group: None,
            instance: none(),
            team: none(),
            entry: none(),
            offset: None,
            text: none(),
        }
    }

    /// Sets the request id.
    pub fn request<T>(self, request: T) -> Self
    where
        T: AsRef<str>,
    {
        Self { request: truncate(request.as_ref(), MAX_NAME), ..self }
    }

    /// Sets the group id.
    pub fn group(self, group: u64) -> Self {
        Self { group: Some(group), ..self }
    }

    /// Sets the name of the instance or server.
    pub fn instance<T>(self, instance: T) -> Self
    where
        T: AsRef<str>,
    {
        Self { instance: truncate(instance.as_ref(), MAX_NAME), ..self }
    }

    /// Sets the name of the team.
    pub fn team<T>(self, team: T) -> Self
    where
        T: AsRef<str>,
    {
        Self { team: truncate(team.as_ref(), MAX_NAME), ..self }
    }

    /// Sets the name of the entry that the event is about.
    pub fn entry<T>(self, entry: T) -> Self
    where
        T: AsRef<str>,
    {
        Self { entry: truncate(entry.as_ref(), MAX_NAME), ..self }
    }

    /// Sets the offset of a record in the log.
    pub fn offset(self, offset: u64) -> Self {
        Self { offset: Some(offset), ..self }
    }

    /// Sets the cause or details.
    pub fn text<T>(self, text: T) -> Self
    where
        T: fmt::Display,
    {
        Self { text: truncate(&text.to_string(), MAX_TEXT), ..self }
    }

    /// Returns the fields that have a value.
    pub fn fields(&self) -> Vec<Field> {
        let fields = [
            (Field::Request, !self.request.is_empty()),
            (Field::Group, self.group.is_some()),
            (Field::Instance, !self.instance.is_empty()),
            (Field::Team, !self.team.is_empty()),
            (Field::Entry, !self.entry.is_empty()),
            (Field::Offset, self.offset.is_some()),
            (Field::Text, !self.text.is_empty()),
        ];
        fields.into_iter().filter_map(|(field, is_present)| is_present.then_some(field)).collect()
    }
}

/// Truncates `text` to at most `limit` bytes at a character boundary.
fn truncate(text: &str, limit: usize) -> SmolStr {
    let end = (0..=text.len().min(limit)).rev().find(|end| text.is_char_boundary(*end));
    SmolStr::new(&text[..end.unwrap_or(0)])
}

/// An event that a process recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Line", try_from = "Line")]
pub struct Event {
    /// Number of the event in its process, ascending from 1.
    pub seq: u64,
    /// When the event was recorded, on the process's hybrid logical clock.
    pub stamp: Stamp,
    /// Name of the entry that recorded the event; `at` in JSON.
    pub reporter: SmolStr,
    /// Kind and fields of the event.
    pub body: Body,
}

impl Event {
    /// Returns the event as one line of JSON, without a line break.
    pub fn json(&self) -> String {
        // Serializing a struct of numbers and strings cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses a line of JSON.
    ///
    /// # Errors
    ///
    /// The line is not an event, or its kind is unknown to this version.
    pub fn from_json(line: &[u8]) -> Result<Event, serde_json::Error> {
        serde_json::from_slice(line)
    }

    /// Emits the plain-text form of the body as a log record with target [`TARGET`], at the level
    /// of the severity.
    pub fn log(&self) {
        log::log!(target: TARGET, self.body.kind.severity().level(), "{}", self.body);
    }
}

/// Formats the body as plain text: number, name and fields.
impl fmt::Display for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.kind.number(), self.kind.name())?;
        for field in self.fields() {
            let name = field.name();
            match field {
                Field::Request => write_field(f, name, &self.request)?,
                Field::Group => write!(f, " {name}={}", self.group.unwrap_or_default())?,
                Field::Instance => write_field(f, name, &self.instance)?,
                Field::Team => write_field(f, name, &self.team)?,
                Field::Entry => write_field(f, name, &self.entry)?,
                Field::Offset => write!(f, " {name}={}", self.offset.unwrap_or_default())?,
                Field::Text => write!(f, " {name}={:?}", self.text)?,
            }
        }
        Ok(())
    }
}

/// Writes a field, quoted and escaped if its value has characters that names don't have. Request
/// ids come from callers, who must not be able to forge fields or lines.
fn write_field(f: &mut fmt::Formatter<'_>, name: &str, value: &str) -> fmt::Result {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./:@+".contains(c);
    match value.chars().all(is_plain) {
        true => write!(f, " {name}={value}"),
        false => write!(f, " {name}={value:?}"),
    }
}

/// Formats the event as plain text: stamp, reporter, severity and body.
impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stamp { wall_ms, logical } = self.stamp;
        let severity = self.body.kind.severity().name();
        write!(f, "{} {logical:>3} ", Utc(wall_ms))?;
        write!(f, "{} {severity:<5} {}", self.reporter, self.body)
    }
}

/// Formats milliseconds since 1970-01-01 as UTC date and time.
#[derive(Clone, Copy, Debug)]
pub struct Utc(pub u64);

impl fmt::Display for Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (days, ms) = (self.0 / 86_400_000, self.0 % 86_400_000);
        // Converts days since 1970-01-01 to a date. Years start on 1 March, so the leap day is the
        // last day of its year; an era of 400 years has 146,097 days.
        let shifted = days + 719_468;
        let (era, day) = (shifted / 146_097, shifted % 146_097);
        let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
        let day = day - (365 * year + year / 4 - year / 100);
        let month = (5 * day + 2) / 153;
        let day = day - (153 * month + 2) / 5 + 1;
        let (month, carry) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
        let year = era * 400 + year + carry;
        let (hour, minute) = (ms / 3_600_000, ms / 60_000 % 60);
        let (second, milli) = (ms / 1_000 % 60, ms % 1_000);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
    }
}

/// The JSON representation of an event: one flat object.
#[derive(Serialize, Deserialize)]
struct Line {
    seq: u64,
    wall_ms: u64,
    #[serde(default)]
    logical: u32,
    at: SmolStr,
    number: u16,
    #[serde(default)]
    event: SmolStr,
    #[serde(default)]
    severity: SmolStr,
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    request: SmolStr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    group: Option<u64>,
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    instance: SmolStr,
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    team: SmolStr,
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    entry: SmolStr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    offset: Option<u64>,
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    text: SmolStr,
}

impl From<Event> for Line {
    fn from(event: Event) -> Self {
        let Event { seq, stamp, reporter, body } = event;
        Line {
            seq,
            wall_ms: stamp.wall_ms,
            logical: stamp.logical,
            at: reporter,
            number: body.kind.number(),
            event: SmolStr::new_static(body.kind.name()),
            severity: SmolStr::new_static(body.kind.severity().name()),
            request: body.request,
            group: body.group,
            instance: body.instance,
            team: body.team,
            entry: body.entry,
            offset: body.offset,
            text: body.text,
        }
    }
}

impl TryFrom<Line> for Event {
    type Error = String;

    fn try_from(line: Line) -> Result<Self, String> {
        let kind = Kind::from_number(line.number)
            .ok_or_else(|| format!("unknown event number {}", line.number))?;
        let body = Body {
            kind,
            request: truncate(&line.request, MAX_NAME),
            group: line.group,
            instance: truncate(&line.instance, MAX_NAME),
            team: truncate(&line.team, MAX_NAME),
            entry: truncate(&line.entry, MAX_NAME),
            offset: line.offset,
            text: truncate(&line.text, MAX_TEXT),
        };
        let stamp = Stamp { wall_ms: line.wall_ms, logical: line.logical };
        Ok(Event { seq: line.seq, stamp, reporter: line.at, body })
    }
}
