//! Entries, their heartbeats, and which of them plans.

use std::time::Duration;

use bincode::{Decode, Encode};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Version byte of the encoding.
const VERSION: u8 = 1;

/// Largest encoded record in bytes.
const LIMIT: usize = 16 << 10;

/// Period of heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time without a heartbeat after which an entry counts as gone; two heartbeats and the period of
/// reads.
const SILENT: Duration = Duration::from_millis(3_200);

/// Age of the newest read of the records after which a planner gives no orders: by then another
/// entry may hold the role.
const LEAD_STALE: Duration = Duration::from_millis(1_900);

/// Time between the candidates for the planner's role.
const CANDIDATE_GAP: Duration = Duration::from_millis(300);

/// A longer time between two reads means that heartbeats could not be seen.
const READ_GAP: Duration = Duration::from_secs(2);

/// Whether an entry takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Phase {
    /// It lacks the configuration, or its knowledge is too old.
    Starting,
    /// It does.
    Serving,
    /// It finishes what it has and ends.
    Draining,
}

/// A server crash blamed on a request, as in `mgw_route::quarantine`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Blame {
    /// Hash of the request.
    pub fingerprint: u128,
    /// Incarnation of the entry that saw the crash.
    pub observer: u64,
    /// The observer's count.
    pub counter: u64,
}

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Random bits drawn at the start of the process.
    pub incarnation: u64,
    /// Address for callers.
    pub callers: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Recent crashes that it blames on requests.
    pub blames: Vec<Blame>,
}

/// The planner from the record's offset on.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Lead {
    /// Name of the entry.
    pub entry: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A record of the entries' topic.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// The planner's role passes to an entry.
    Lead(Lead),
}

/// The key of the record that names the planner.
pub const LEAD_KEY: &str = "lead";

/// The key of an entry's heartbeat.
pub fn heartbeat_key(name: &str) -> String {
    format!("entry/{name}")
}

/// The bytes of a record: the version, then the encoded record.
///
/// # Errors
///
/// The record is too large.
pub fn encode(record: &Record) -> Result<Vec<u8>, bincode::error::EncodeError> {
    let mut bytes = vec![VERSION];
    bytes.extend(bincode::encode_to_vec(record, bincode::config::standard())?);
    Ok(bytes)
}

/// The record that `bytes` hold; `None` if another writer or version wrote them.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    let (version, rest) = bytes.split_first()?;
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (record, size) = bincode::decode_from_slice(rest, config).ok()?;
    (*version == VERSION && size == rest.len()).then_some(record)
}

/// An entry as another one knows it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that was read.
    pub heard: Instant,
}

/// What this entry has to do about the planner's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Nothing.
    Follow,
    /// Apply for the role.
    Apply,
    /// Plan under this term.
    Lead {
        /// Offset of the record that gave the role.
        term: u64,
    },
}

/// The entries and the planner.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Map<SmolStr, Entry>,
    lead: Option<(u64, Lead)>,
    /// When the newest successful read was sent.
    asked: Option<Instant>,
    /// Since when no live entry has the role.
    vacant: Option<Instant>,
}

impl Table {
    /// Takes a record that was read at `now`. A heartbeat that is unreadable changes nothing.
    pub fn take(&mut self, key: &str, offset: u64, record: Record, now: Instant) {
        match (key.strip_prefix("entry/"), record) {
            (Some(name), Record::Heartbeat(heartbeat)) => {
                self.entries.insert(name.into(), Entry { heartbeat, heard: now });
            }
            (None, Record::Lead(lead)) if key == LEAD_KEY => {
                let is_newer = self.lead.as_ref().is_none_or(|(known, _)| *known < offset);
                if is_newer {
                    self.lead = Some((offset, lead));
                }
            }
            _ => {}
        }
    }

    /// Notes that a read which was sent at `asked` shows everything up to then.
    pub fn note_read(&mut self, asked: Instant) {
        let had_gap = self.asked.is_some_and(|last| asked.since(last) > READ_GAP);
        if had_gap {
            self.entries.iter_mut().for_each(|(_, entry)| entry.heard = asked);
        }
        self.asked = self.asked.max(Some(asked));
    }

    /// All entries that were ever heard of.
    pub fn iter(&self) -> impl Iterator<Item = (&SmolStr, &Entry)> {
        self.entries.iter()
    }

    /// The entries that take requests, by name.
    pub fn serving(&self) -> impl Iterator<Item = (&SmolStr, &Entry)> {
        let read = self.asked.unwrap_or_default();
        self.entries.iter().filter(move |(_, entry)| {
            entry.heartbeat.phase == Phase::Serving && read.since(entry.heard) < SILENT
        })
    }

    /// The term of the newest planner, if there was one.
    pub fn term(&self) -> Option<u64> {
        self.lead.as_ref().map(|(offset, _)| *offset)
    }

    /// The name of the newest planner, if there was one.
    pub fn leader(&self) -> Option<&str> {
        self.lead.as_ref().map(|(_, lead)| lead.entry.as_str())
    }

    /// The incarnation of the newest planner, if there was one.
    pub fn leader_incarnation(&self) -> Option<u64> {
        self.lead.as_ref().map(|(_, lead)| lead.incarnation)
    }

    /// What the entry `name` with `incarnation` has to do. `is_lost` says that the planner is silent
    /// towards the other entries, which is noticed sooner than missing heartbeats.
    pub fn duty(&mut self, name: &str, incarnation: u64, is_lost: bool, now: Instant) -> Duty {
        let is_fresh = self.asked.is_some_and(|asked| now.since(asked) < LEAD_STALE);
        if !is_fresh {
            self.vacant = None;
            return Duty::Follow;
        }
        let held = self.lead.as_ref().filter(|(_, lead)| {
            (!is_lost || lead.incarnation == incarnation)
                && self.serving().any(|(entry, it)| {
                    lead.entry == entry.as_str() && lead.incarnation == it.heartbeat.incarnation
                })
        });
        match held {
            Some((term, lead)) if lead.entry == name && lead.incarnation == incarnation => {
                let term = *term;
                self.vacant = None;
                Duty::Lead { term }
            }
            Some(_) => {
                self.vacant = None;
                Duty::Follow
            }
            None => self.candidacy(name, now),
        }
    }

    fn candidacy(&mut self, name: &str, now: Instant) -> Duty {
        let Some(rank) = self.serving().position(|(entry, _)| entry == name) else {
            return Duty::Follow;
        };
        let since = *self.vacant.get_or_insert(now);
        match now.since(since) >= CANDIDATE_GAP * rank as u32 {
            true => Duty::Apply,
            false => Duty::Follow,
        }
    }
}
