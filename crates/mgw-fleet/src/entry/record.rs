//! The records of the entries' topic: heartbeats, and the record that names the planner.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::codec;

/// Version of the encoding, the first byte of each record.
const FORMAT_VERSION: u8 = 2;

/// Maximum size of an encoded record in bytes.
const MAX_RECORD_BYTES: usize = 64 << 10;

/// Maximum number of blames in a record. It bounds the record with the heartbeats of 100 followers
/// to [`MAX_RECORD_BYTES`], whatever they observe.
const MAX_RECORD_BLAMES: usize = 1_024;

/// Whether an entry takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Phase {
    /// The entry takes no requests, because it has no configuration yet or its view of the store is
    /// too old.
    Starting,
    /// The entry takes requests.
    Serving,
    /// The entry finishes the requests in flight and then exits.
    Draining,
}

/// A server crash that an entry attributes to a request; see `mgw_route::quarantine`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Blame {
    /// Hash of the request.
    pub fingerprint: u128,
    /// Incarnation of the entry that observed the crash.
    pub observer: u64,
    /// Twice the observer's count of crashes, plus 1 if the request was the only suspect in flight
    /// at the server, as in `mgw_route::quarantine`.
    pub counter: u64,
}

/// State that an entry publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Random number drawn at the start of the process. It tells a restarted entry from its
    /// predecessor of the same name.
    pub incarnation: u64,
    /// IP address and port on which the entry accepts callers.
    pub caller_address: String,
    /// IP address and port on which the entry accepts followers; see [`crate::feed`].
    pub feed_address: String,
    /// CPU share in thousandths of a core.
    pub cores_milli: u32,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether the entry takes requests.
    pub phase: Phase,
    /// The newest term in which the entry resigned as planner.
    pub resigned_term: Option<u64>,
    /// Recent server crashes that the entry attributes to requests.
    pub blames: Vec<Blame>,
}

impl Heartbeat {
    /// Whether the change from `known` to this heartbeat is announced without waiting for others: the
    /// entry begins or ends to take requests, or gives up the planner's role.
    pub fn is_urgent_after(&self, known: &Heartbeat) -> bool {
        (self.phase, self.resigned_term) != (known.phase, known.resigned_term)
    }

    /// Whether callers and followers can connect to the entry.
    fn has_usable_addresses(&self) -> bool {
        [&self.caller_address, &self.feed_address].iter().all(|text| {
            text.parse::<SocketAddr>().is_ok_and(|it| it.port() != 0 && !it.ip().is_unspecified())
        })
    }
}

/// Names the entry that becomes planner with this record. The planner's term is made from the
/// record's position.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Leader {
    /// Name of the entry.
    pub entry: String,
    /// Incarnation of the entry; a restarted process does not inherit the role.
    pub incarnation: u64,
}

/// An entry's name and heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Name of the entry.
    pub name: String,
    /// The entry's newest heartbeat.
    pub heartbeat: Heartbeat,
}

/// A record in the entries' topic of the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// The heartbeats of an entry that reads the store, and of the entries that follow it.
    Heartbeat {
        /// Time of writing in milliseconds since 1970 by the writer's clock. Readers use it to
        /// discard records of entries that ended long ago, because the store keeps the newest
        /// record of each key forever.
        wall_ms: u64,
        /// The writer's heartbeat.
        own: Heartbeat,
        /// The heartbeats of the writer's followers.
        followers: Vec<Member>,
    },
    /// An entry becomes planner.
    Leader(Leader),
}

impl Record {
    /// The record of an entry with its heartbeat and those of its followers. If they have more
    /// blames than fit, each keeps as many, the last ones.
    pub fn heartbeat(wall_ms: u64, mut own: Heartbeat, mut followers: Vec<Member>) -> Self {
        let limit = MAX_RECORD_BLAMES / (followers.len() + 1);
        let members = followers.iter_mut().map(|it| &mut it.heartbeat);
        let blames = members.chain([&mut own]).map(|it| &mut it.blames);
        blames.for_each(|it| {
            let excess = it.len().saturating_sub(limit);
            it.drain(..excess);
        });
        Record::Heartbeat { wall_ms, own, followers }
    }
}

/// Key of the record that names the planner.
pub const LEADER_KEY: &str = "lead";

/// Returns the key of the record with the heartbeat of the entry `name`.
pub fn heartbeat_key(name: &str) -> String {
    format!("entry/{name}")
}

/// Encodes a record: a version byte, then the record in bincode's standard format.
///
/// # Errors
///
/// The encoder fails.
pub fn encode(record: &Record) -> Result<Vec<u8>, bincode::error::EncodeError> {
    codec::encode(FORMAT_VERSION, record)
}

/// Decodes a record. Returns `None` if the bytes are malformed, too long or of another version, or if
/// the writer's heartbeat has an address that cannot be used. Followers with such an address are left
/// out.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    let mut record = codec::decode::<_, MAX_RECORD_BYTES>(FORMAT_VERSION, bytes)?;
    if let Record::Heartbeat { own, followers, .. } = &mut record {
        followers.retain(|member| member.heartbeat.has_usable_addresses());
        return own.has_usable_addresses().then_some(record);
    }
    Some(record)
}
