//! What entries that read the store tell the entries that follow them.
//!
//! A follower sends an [`Poll`] several times a second, with a stamp of its own clock. The reader answers
//! each with [`Update`] that carry the stamp and the ages of what the reader knows, and sends news without
//! a stamp at each change. The stamp less an age is a time on the follower's clock at which the
//! knowledge was current: the answer was made after the question, however long either was on its way.

use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::{Buf, Bytes, BytesMut};
use mgw_base::time::Instant;
use serde::{Deserialize, Serialize};

use crate::entry::{Heartbeat, Leader, Member};
use crate::roster::{Changes, Record};

/// Version byte of the encoding.
const VERSION: u8 = 1;

/// Largest encoded message in bytes; above the largest configuration.
const LIMIT: usize = 8 << 20;

/// Bytes before a message: its length and the version.
const HEADER: usize = 5;

/// A follower's question.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Poll {
    /// Name of the follower.
    pub name: String,
    /// Microseconds on the follower's clock.
    pub timestamp: u64,
    /// The end of the servers' list that the follower has seen; older lists are of no use to it.
    pub end_offset: u64,
    /// The follower's newest heartbeat, if it changed since its last question.
    pub heartbeat: Option<Heartbeat>,
}

/// The configuration as the operator published it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Document {
    /// Offset of its record.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The servers that are new, changed or gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// The end of the servers' list up to which the reader has read.
    #[serde(rename = "listed")]
    pub end_offset: u64,
    /// Whether these are all servers.
    pub is_whole: bool,
    /// New and changed ones by id.
    pub changed: Vec<(String, Record)>,
    /// Ids of those that are gone.
    pub gone: Vec<String>,
}

impl Servers {
    /// The changes as a reader tells them that has read the list up to `listed`.
    pub fn new(changes: Changes, listed: u64) -> Self {
        Self {
            end_offset: listed,
            is_whole: changes.is_whole,
            changed: changes.changed.into_iter().map(|(id, it)| (id.into(), it)).collect(),
            gone: changes.gone.into_iter().map(String::from).collect(),
        }
    }
}

/// The entries, and the planner among them.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Members {
    /// The end of the entries' topic up to which the reader has read.
    pub end_offset: u64,
    /// The entries that take requests.
    pub entries: Vec<Member>,
    /// The planner, with the offset of its record.
    pub leader: Option<(u64, Leader)>,
}

/// How old a reader's knowledge is, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Ages {
    /// The stamp of the question that this answers.
    pub timestamp: u64,
    /// Of the configuration.
    pub config: u64,
    /// Of the servers' list.
    pub servers: u64,
    /// Of the entries' records.
    pub entries: u64,
}

impl Ages {
    /// The time on the follower's clock at which knowledge of this age was current.
    pub fn as_of(&self, age: u64) -> Instant {
        Instant::from_micros(self.timestamp.saturating_sub(age))
    }
}

/// What a reader tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Update {
    /// Set in the answer to a question, which follows all changes that were known by then.
    pub ages: Option<Ages>,
    /// The configuration, if the follower lacks it.
    pub config: Option<Document>,
    /// Changes of the servers.
    #[bincode(with_serde)]
    pub servers: Option<Servers>,
    /// The entries, if they changed.
    pub members: Option<Members>,
}

impl Update {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The age of what was known at `known`, in microseconds.
pub fn age_micros(known: Option<Instant>, now: Instant) -> u64 {
    known.map_or(u64::MAX, |known| now.since(known).as_micros() as u64)
}

/// The age as a span.
pub fn duration(age: u64) -> Duration {
    Duration::from_micros(age)
}

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message exceeds the limit.
    Oversized,
    /// The sender writes another version.
    Version,
    /// The bytes are not a message.
    Malformed,
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Error::Oversized => "the message is too large",
            Error::Version => "the message has an unknown version",
            Error::Malformed => "the message is malformed",
        })
    }
}

impl std::error::Error for Error {}

/// The bytes of a message: length, version, and the encoded message.
///
/// # Errors
///
/// The message is too large.
pub fn encode<T>(message: &T) -> Result<Bytes, Error>
where
    T: Encode,
{
    let mut bytes = vec![0; HEADER];
    bytes[HEADER - 1] = VERSION;
    bincode::encode_into_std_write(message, &mut bytes, bincode::config::standard())
        .map_err(|_| Error::Malformed)?;
    let size = bytes.len() - 4;
    if size > LIMIT {
        return Err(Error::Oversized);
    }
    bytes[..4].copy_from_slice(&(size as u32).to_be_bytes());
    Ok(bytes.into())
}

/// Takes the next whole message from `input`; `None` if it has not arrived.
///
/// # Errors
///
/// The bytes are not a message of this version.
pub fn decode<T>(input: &mut BytesMut) -> Result<Option<T>, Error>
where
    T: Decode<()>,
{
    let Some(length) = input.first_chunk::<4>() else { return Ok(None) };
    let size = u32::from_be_bytes(*length) as usize;
    if size > LIMIT {
        return Err(Error::Oversized);
    }
    if input.len() < 4 + size {
        return Ok(None);
    }
    input.advance(4);
    let bytes = input.split_to(size);
    let (version, rest) = bytes.split_first().ok_or(Error::Malformed)?;
    if *version != VERSION {
        return Err(Error::Version);
    }
    let config = bincode::config::standard().with_limit::<LIMIT>();
    match bincode::decode_from_slice(rest, config) {
        Ok((message, used)) if used == rest.len() => Ok(Some(message)),
        Ok(_) | Err(_) => Err(Error::Malformed),
    }
}
