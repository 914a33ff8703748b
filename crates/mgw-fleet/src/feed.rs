//! Messages between readers, the entries that read the store, and the entries that follow them.
//!
//! A follower sends a [`Poll`] several times a second, with a timestamp of its own clock. The reader
//! answers with an [`Update`] that echoes the timestamp and states the ages of what it knows, or that
//! it knows nothing if it has read less of the servers' topic than the follower. When something changes,
//! the reader also pushes an update without ages. The follower discards a server list that ends
//! before the one it knows.
//!
//! The timestamp minus an age is a time on the follower's clock at which the knowledge was current.
//! A delay of the messages makes this time too early and never too late, because the reader
//! computes the age after the follower has taken the timestamp.

use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::{Buf, Bytes, BytesMut};
use mgw_base::time::Instant;
use serde::{Deserialize, Serialize};

use crate::entry::{Heartbeat, Leader, Member};
use crate::evacuation::Snapshot;
use crate::position;
use crate::roster::{Base, Changes, Record, Roster};

/// Version of the encoding, sent with each message.
const FORMAT_VERSION: u8 = 1;

/// Version of an [`Update`] that a list of [`Overdue`] entries follows. A reader sends it only to
/// followers that announce [`Format::Overdue`].
const OVERDUE_VERSION: u8 = 2;

/// Version of an [`Update`] that a list of [`Overdue`] entries and the evacuated zones follow. A
/// reader sends it only to followers that announce [`Format::Evacuations`].
const EVACUATIONS_VERSION: u8 = 3;

/// Header field of a stream's request by which a follower announces the formats of updates that it
/// reads, one value each, beginning with the oldest. Readers of former builds know none of them, or
/// only look at the first value.
pub const FORMAT_FIELD: &str = "feed-format";

/// Header field of a stream's request with the position of the configuration that the follower has in
/// force. A reader that has the same one repeats the field in the response and does not send it.
/// Readers of a former build ignore the field.
pub const CONFIG_FIELD: &str = "feed-config";

/// Header field of a stream's request by which a follower announces that it has a reader already, and
/// wants another one only if that has recent knowledge. Readers of a former build ignore it.
pub const RECENT_FIELD: &str = "feed-recent";

/// The value of [`RECENT_FIELD`].
pub const RECENT_VALUE: &str = "1";

/// Maximum number of overdue entries in an update; those without a heartbeat for longest are listed.
pub const MAX_OVERDUE: usize = 32;

/// Maximum size of an encoded message in bytes, with its version; larger than any configuration.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Size in bytes of the length prefix, which is a big-endian `u32`.
const LENGTH_BYTES: usize = 4;

/// Size in bytes of a message's header: the length prefix and the version.
const HEADER_BYTES: usize = 5;

/// A follower's request for the reader's current knowledge.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Poll {
    /// Name of the follower.
    pub name: String,
    /// Time of sending in microseconds on the follower's clock.
    pub timestamp: u64,
    /// Position up to which the follower knows the servers' topic; see [`crate::position`]. A reader
    /// that has read less sends no data, so that the follower never replaces its list of servers by
    /// an older one.
    pub end_offset: u64,
    /// The follower's heartbeat, if it changed since the previous poll.
    pub heartbeat: Option<Heartbeat>,
}

/// The configuration as the operator published it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Document {
    /// Position of its record in the configuration's topic.
    pub offset: u64,
    /// The published bytes.
    pub bytes: Vec<u8>,
}

/// Servers that were added, changed or removed since the previous update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// Position up to which the reader has read the servers' topic.
    #[serde(rename = "listed")]
    pub end_offset: u64,
    /// Whether `changed` lists all servers, so that the follower drops every other one.
    pub is_whole: bool,
    /// Added and changed servers by id.
    pub changed: Vec<(String, Record)>,
    /// Ids of the removed servers.
    pub gone: Vec<String>,
}

impl Servers {
    /// Wraps the changes of a reader that has read the servers' topic up to `end_offset`.
    pub fn new(changes: Changes, end_offset: u64) -> Self {
        Self {
            end_offset,
            is_whole: changes.is_whole,
            changed: changes.changed.into_iter().map(|(id, it)| (id.into(), it)).collect(),
            gone: changes.gone.into_iter().map(String::from).collect(),
        }
    }
}

/// What a reader has sent of the server list on one stream, and what its follower knows.
///
/// A follower may read the store itself before it connects and while the reader's knowledge is old,
/// so it may know more than the reader. The reader then sends nothing, also not on its own, until
/// it has read as far. After that it sends what has changed since the follower's position, as a
/// list of all servers is large and goes to every follower that changes readers.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Position up to which the follower knew the list when it sent its newest poll; `None` before
    /// the first poll.
    follower_end: Option<u64>,
    /// Position at which the newest sent list ended.
    sent_end: u64,
    /// What the follower knows by now.
    known: Base,
}

impl Default for Progress {
    fn default() -> Self {
        Self { follower_end: None, sent_end: 0, known: Base::Nothing }
    }
}

impl Progress {
    /// Records a poll of a follower that knows the list up to `end_offset`.
    pub fn record_poll(&mut self, end_offset: u64) {
        // The follower has learned more elsewhere and may have discarded messages of this stream.
        if end_offset > self.sent_end {
            self.known = Base::Position(end_offset);
        }
        self.follower_end = Some(end_offset);
    }

    /// Whether the follower's list may be newer than `roster`.
    pub fn is_behind(&self, roster: &Roster) -> bool {
        self.follower_end.is_none_or(|follower_end| roster.end_offset() < follower_end)
    }

    /// Whether the next message has to contain all servers.
    pub fn needs_whole_list(&self, roster: &Roster) -> bool {
        let is_sent = self.known == Base::Revision(roster.revision());
        !self.is_behind(roster) && !is_sent && !roster.covers(self.known)
    }

    /// Records that all servers of `roster` were sent.
    pub fn record_whole_list(&mut self, roster: &Roster) {
        self.known = Base::Revision(roster.revision());
        self.sent_end = roster.end_offset();
    }

    /// Returns the position of an unchanged list, if that is further than the sent one, and counts it
    /// as sent. The follower states it to its next reader, which then need not send all servers.
    pub fn next_end(&mut self, roster: &Roster) -> Option<Servers> {
        let end_offset = roster.end_offset();
        let is_unchanged = self.known == Base::Revision(roster.revision());
        if self.is_behind(roster) || !is_unchanged || self.sent_end >= end_offset {
            return None;
        }
        self.sent_end = end_offset;
        Some(Servers { end_offset, is_whole: false, changed: Vec::new(), gone: Vec::new() })
    }

    /// Returns the changes that were not sent yet, and counts them as sent. `None` if there are
    /// none or if the follower's list may be newer.
    pub fn next_changes(&mut self, roster: &Roster) -> Option<Servers> {
        // A restore of the store is told even if it has changed nothing: the follower has to know when
        // entries may be missing because of it.
        let is_news = self.known != Base::Revision(roster.revision())
            || position::begins_era(self.sent_end, roster.end_offset());
        if self.is_behind(roster) || !is_news {
            return None;
        }
        let changes = roster.changes_since(self.known);
        self.known = Base::Revision(changes.revision);
        self.sent_end = roster.end_offset();
        Some(Servers::new(changes, self.sent_end))
    }
}

/// The serving entries and the planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Members {
    /// Position up to which the reader has read the entries' topic.
    pub end_offset: u64,
    /// The entries that take requests.
    pub entries: Vec<Member>,
    /// The newest leader record with its position.
    pub leader: Option<(u64, Leader)>,
}

/// Ages of a reader's knowledge in microseconds; `u64::MAX` if it knows nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Ages {
    /// Timestamp of the poll that this answers.
    pub timestamp: u64,
    /// Age of the configuration.
    pub config: u64,
    /// Age of the list of servers.
    pub servers: u64,
    /// Age of the entries' records.
    pub entries: u64,
}

impl Ages {
    /// The ages in the answer to a poll of a follower that may know newer lists than the reader: they
    /// prove nothing, but that the reader answers.
    pub fn without_lists(self) -> Self {
        Self { config: u64::MAX, servers: u64::MAX, entries: u64::MAX, ..self }
    }

    /// Returns the time on the follower's clock at which knowledge of this age was current.
    pub fn as_of(&self, age: u64) -> Instant {
        Instant::from_micros(self.timestamp.saturating_sub(age))
    }
}

/// An entry whose newest heartbeat is older than the interval of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Overdue {
    /// Name of the entry.
    pub name: String,
    /// Age of its newest heartbeat in microseconds.
    pub age: u64,
}

/// Format of the updates on a stream; each one adds to those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Updates do not say when the reader heard of each entry.
    #[default]
    Plain,
    /// Updates with ages list the overdue entries.
    Overdue,
    /// Updates list the evacuated zones when these have changed.
    Evacuations,
}

impl Format {
    /// The value of [`FORMAT_FIELD`] that announces [`Format::Overdue`].
    pub const OVERDUE_VALUE: &str = "2";

    /// The value of [`FORMAT_FIELD`] that announces [`Format::Evacuations`].
    pub const EVACUATIONS_VALUE: &str = "3";

    /// The newest format that a follower announces with the values of [`FORMAT_FIELD`].
    pub fn announced<'a, I>(values: I) -> Self
    where
        I: IntoIterator<Item = &'a [u8]>,
    {
        let format = |value: &[u8]| match value {
            _ if value == Self::OVERDUE_VALUE.as_bytes() => Self::Overdue,
            _ if value == Self::EVACUATIONS_VALUE.as_bytes() => Self::Evacuations,
            _ => Self::Plain,
        };
        values.into_iter().map(format).max().unwrap_or_default()
    }
}

/// What a reader tells a follower. Parts that did not change are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Update {
    /// Set in the answer to a poll. All changes that the reader knew at that time are in this
    /// update or in earlier ones.
    pub ages: Option<Ages>,
    /// The configuration, if it changed.
    pub config: Option<Document>,
    /// Changes of the servers.
    #[bincode(with_serde)]
    pub servers: Option<Servers>,
    /// All serving entries and the planner, if any of them changed.
    pub members: Option<Members>,
}

impl Update {
    /// Whether the update contains nothing and need not be sent.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What a message says about the evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Evacuations {
    /// Nothing, as its format has no place for them.
    #[default]
    Untold,
    /// They are those of the previous message, or the reader does not know them yet.
    Unchanged,
    /// All of them.
    Replaced(Snapshot),
}

/// An update with what the formats after [`Format::Plain`] add to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The update.
    pub update: Update,
    /// The overdue entries, if the update has ages.
    pub overdue: Vec<Overdue>,
    /// The evacuated zones.
    pub evacuations: Evacuations,
}

impl Message {
    /// Whether the message contains nothing and need not be sent.
    pub fn is_empty(&self) -> bool {
        self.update.is_empty() && !matches!(self.evacuations, Evacuations::Replaced(_))
    }
}

/// Returns the age in microseconds of knowledge that was current at `as_of`; `u64::MAX` for `None`.
pub fn age_micros(as_of: Option<Instant>, now: Instant) -> u64 {
    as_of.map_or(u64::MAX, |as_of| now.since(as_of).as_micros() as u64)
}

/// Converts an age in microseconds to a duration.
pub fn duration(age: u64) -> Duration {
    Duration::from_micros(age)
}

/// Why a message could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message exceeds the size limit.
    Oversized,
    /// The message has another format version.
    Version,
    /// The message cannot be encoded, or the bytes are not a valid message.
    Malformed,
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Error::Oversized => "feed message exceeds the size limit",
            Error::Version => "feed message has an unsupported format version",
            Error::Malformed => "feed message cannot be encoded or decoded",
        })
    }
}

impl std::error::Error for Error {}

/// Encodes a message: length, version, and the message in bincode's standard format. The length
/// counts the bytes after itself.
///
/// # Errors
///
/// The message is too large, or the encoder fails.
pub fn encode<T>(message: &T) -> Result<Bytes, Error>
where
    T: Encode,
{
    encode_version(FORMAT_VERSION, message)
}

/// Encodes a message in the format of the stream, which may leave parts of it out.
///
/// # Errors
///
/// The message is too large, or the encoder fails.
pub fn encode_update(message: &Message, format: Format) -> Result<Bytes, Error> {
    let Message { update, overdue, evacuations } = message;
    match format {
        Format::Plain => encode(update),
        Format::Overdue => encode_version(OVERDUE_VERSION, &(update, overdue)),
        Format::Evacuations => {
            let snapshot = match evacuations {
                Evacuations::Replaced(snapshot) => Some(snapshot),
                Evacuations::Untold | Evacuations::Unchanged => None,
            };
            encode_version(EVACUATIONS_VERSION, &(update, overdue, snapshot))
        }
    }
}

pub(crate) fn encode_version<T>(version: u8, message: &T) -> Result<Bytes, Error>
where
    T: Encode,
{
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[HEADER_BYTES - 1] = version;
    bincode::encode_into_std_write(message, &mut bytes, bincode::config::standard())
        .map_err(|_| Error::Malformed)?;
    let size = bytes.len() - LENGTH_BYTES;
    if size > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized);
    }
    bytes[..LENGTH_BYTES].copy_from_slice(&(size as u32).to_be_bytes());
    Ok(bytes.into())
}

/// Removes the next message from `input` and decodes it. Returns `None` if the message is
/// incomplete.
///
/// # Errors
///
/// The message is too large, malformed, or of another format version.
pub fn decode<T>(input: &mut BytesMut) -> Result<Option<T>, Error>
where
    T: Decode<()>,
{
    let Some((version, body)) = take_message(input)? else { return Ok(None) };
    match version {
        FORMAT_VERSION => decode_body(&body).map(Some),
        _ => Err(Error::Version),
    }
}

/// Removes the next message with an update from `input` and decodes it. Parts that its format leaves
/// out are empty. Returns `None` if the message is incomplete.
///
/// # Errors
///
/// The message is too large, malformed, or of another format version.
pub fn decode_update(input: &mut BytesMut) -> Result<Option<Message>, Error> {
    let Some((version, body)) = take_message(input)? else { return Ok(None) };
    let message = match version {
        FORMAT_VERSION => Message { update: decode_body(&body)?, ..Message::default() },
        OVERDUE_VERSION => {
            let (update, overdue) = decode_body(&body)?;
            Message { update, overdue, evacuations: Evacuations::Untold }
        }
        EVACUATIONS_VERSION => {
            let (update, overdue, snapshot) = decode_body(&body)?;
            let evacuations: Option<Snapshot> = snapshot;
            let evacuations = evacuations.map_or(Evacuations::Unchanged, Evacuations::Replaced);
            Message { update, overdue, evacuations }
        }
        _ => return Err(Error::Version),
    };
    Ok(Some(message))
}

/// The version of the next message in `input`; `None` before it has arrived.
pub(crate) fn next_version(input: &[u8]) -> Option<u8> {
    input.get(LENGTH_BYTES).copied()
}

/// Removes the next message from `input`: its version and its body.
pub(crate) fn take_message(input: &mut BytesMut) -> Result<Option<(u8, BytesMut)>, Error> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let size = u32::from_be_bytes(*length) as usize;
    if size > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized);
    }
    if input.len() < LENGTH_BYTES + size {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let mut bytes = input.split_to(size);
    match bytes.try_get_u8() {
        Ok(version) => Ok(Some((version, bytes))),
        Err(_) => Err(Error::Malformed),
    }
}

pub(crate) fn decode_body<T>(body: &[u8]) -> Result<T, Error>
where
    T: Decode<()>,
{
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    match bincode::decode_from_slice(body, config) {
        Ok((message, used)) if used == body.len() => Ok(message),
        Ok(_) | Err(_) => Err(Error::Malformed),
    }
}
