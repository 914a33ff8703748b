//! Entries, their heartbeats, and which of them plans.

use std::cmp::Reverse;
use std::time::Duration;

use bincode::{Decode, Encode};
use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Version byte of the encoding.
const VERSION: u8 = 2;

/// Largest encoded record in bytes.
const LIMIT: usize = 64 << 10;

/// Period of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time without a heartbeat after which an entry counts as gone; two heartbeats and the period of
/// reads.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Age of the newest read of the records after which an entry knows too little to take the planner's
/// role, and a planner says that another one should take it.
const BLIND: Duration = Duration::from_millis(1_300);

/// Time between the candidates for the planner's role.
const CANDIDATE_GAP: Duration = Duration::from_millis(300);

/// A longer time between two reads means that heartbeats could not be seen.
const READ_GAP: Duration = Duration::from_secs(2);

/// Entries that one reader of the store serves with what it reads.
const FOLLOWERS: usize = 24;

/// Readers of the store where there are enough entries.
const READERS: usize = 3;

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
    pub caller_address: String,
    /// Address for other entries that follow this one.
    pub feed_address: String,
    /// Processor share in thousandths of a core.
    pub cores_milli: u32,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether it takes requests.
    pub phase: Phase,
    /// The newest term in which it gave up the planner's role.
    pub resigned_term: Option<u64>,
    /// Recent crashes that it blames on requests.
    pub blames: Vec<Blame>,
}

/// The planner from the record's offset on.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Leader {
    /// Name of the entry.
    pub entry: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// An entry by its name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Name.
    pub name: String,
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
}

/// A record of the entries' topic.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// The heartbeats of an entry that reads the store, and of those that follow it.
    Heartbeat {
        /// When it was written, in milliseconds since 1970 on the writer's clock. The newest record of
        /// an entry that ended long ago is kept without limit.
        wall_ms: u64,
        /// Its own.
        own: Heartbeat,
        /// Those of its followers.
        followers: Vec<Member>,
    },
    /// The planner's role passes to an entry.
    Leader(Leader),
}

/// The key of the record that names the planner.
pub const LEADER_KEY: &str = "lead";

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
    pub last_seen: Instant,
    /// Offset of the record that it was in.
    offset: u64,
    /// The entry whose record that was.
    source: SmolStr,
}

/// What this entry has to do about the planner's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Nothing.
    Standby,
    /// Apply for the role.
    Candidate,
    /// Plan under this term.
    Leader {
        /// Offset of the record that gave the role.
        term: u64,
    },
    /// Go on planning under this term, if it did, as it cannot be known whether another one has the
    /// role. Servers refuse the orders of an earlier term once they had one of a later term.
    UnconfirmedLeader {
        /// Offset of the record that gave the role.
        term: u64,
    },
}

/// The entries and the planner.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Map<SmolStr, Entry>,
    lead: Option<(u64, Leader)>,
    /// When the newest successful read was sent.
    asked: Option<Instant>,
    /// Since when no live entry has the role.
    vacant: Option<Instant>,
}

impl Table {
    /// Takes a record that was current at `heard`.
    pub fn apply(&mut self, key: &str, offset: u64, record: Record, heard: Instant) {
        match (key.strip_prefix("entry/"), record) {
            (Some(name), Record::Heartbeat { own, followers, .. }) => {
                let source = SmolStr::new(name);
                self.entries.retain(|known, entry| {
                    let is_listed = known == name || followers.iter().any(|it| known == &it.name);
                    entry.source != source || entry.offset > offset || is_listed
                });
                self.hear(source.clone(), own, offset, &source, heard);
                for member in followers {
                    self.hear(member.name.into(), member.heartbeat, offset, &source, heard);
                }
            }
            (None, Record::Leader(lead)) if key == LEADER_KEY => self.apply_leader(offset, lead),
            _ => {}
        }
    }

    fn hear(
        &mut self,
        name: SmolStr,
        heartbeat: Heartbeat,
        offset: u64,
        source: &SmolStr,
        heard: Instant,
    ) {
        let is_newer = self.entries.get(&name).is_none_or(|known| known.offset <= offset);
        if is_newer {
            let entry = Entry { heartbeat, last_seen: heard, offset, source: source.clone() };
            self.entries.insert(name, entry);
        }
    }

    /// Takes the planner that a record at `offset` names.
    pub fn apply_leader(&mut self, offset: u64, lead: Leader) {
        let is_newer = self.lead.as_ref().is_none_or(|(known, _)| *known < offset);
        if is_newer {
            self.lead = Some((offset, lead));
        }
    }

    /// Takes the members that a reader of the store knows, with all records before `offset`.
    pub fn replace_all(&mut self, members: Vec<Member>, offset: u64, now: Instant) {
        let entry = |member: Member| {
            let entry = Entry {
                heartbeat: member.heartbeat,
                last_seen: now,
                offset: offset.saturating_sub(1),
                source: SmolStr::default(),
            };
            (SmolStr::from(member.name), entry)
        };
        self.entries = members.into_iter().map(entry).collect();
    }

    /// Takes a heartbeat that an entry sent to this one.
    pub fn update_heartbeat(&mut self, name: &SmolStr, heartbeat: &Heartbeat, now: Instant) {
        if let Some(known) = self.entries.get_mut(name) {
            known.heartbeat = heartbeat.clone();
            known.last_seen = now;
        }
    }

    /// Takes note that a reader of the store has confirmed the known entries as of `asked`.
    pub fn confirm(&mut self, asked: Instant) {
        self.asked = self.asked.max(Some(asked));
        let heard = self.asked.unwrap_or(asked);
        self.entries.iter_mut().for_each(|(_, entry)| entry.last_seen = heard);
    }

    /// The newest planner with the offset of its record.
    pub fn leader_record(&self) -> Option<&(u64, Leader)> {
        self.lead.as_ref()
    }

    /// When the newest read was sent.
    pub fn last_read(&self) -> Option<Instant> {
        self.asked
    }

    /// Notes that a read which was sent at `asked` shows everything up to then.
    pub fn record_read(&mut self, asked: Instant) {
        let last = self.asked.unwrap_or(asked);
        // Who was silent before a gap has ended; who was not could not be heard during it.
        self.entries.retain(|_, entry| last.since(entry.last_seen) < HEARTBEAT_TIMEOUT);
        if asked.since(last) > READ_GAP {
            self.entries.iter_mut().for_each(|(_, entry)| entry.last_seen = asked);
        }
        self.asked = self.asked.max(Some(asked));
    }

    /// The entry called `name`.
    pub fn get(&self, name: &SmolStr) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// The entries that take requests, by name.
    pub fn serving(&self) -> impl Iterator<Item = (&SmolStr, &Entry)> {
        let read = self.asked.unwrap_or_default();
        self.entries.iter().filter(move |(_, entry)| {
            entry.heartbeat.phase == Phase::Serving
                && read.since(entry.last_seen) < HEARTBEAT_TIMEOUT
        })
    }

    /// The entries that read the store for the others, sorted by name: in each zone the ones with
    /// the most processor, and besides the planner.
    ///
    /// Entries with different views may choose others. That costs calls, no more: any entry may
    /// read the store, and follow any other one that does.
    pub fn readers(&self) -> Vec<&SmolStr> {
        let mut ranked: Vec<(&str, Reverse<u32>, u128, &SmolStr)> = self
            .serving()
            .map(|(name, entry)| {
                let heartbeat = &entry.heartbeat;
                let tie = hash::parts(&[name.as_bytes()]);
                (heartbeat.zone.as_str(), Reverse(heartbeat.cores_milli), tie, name)
            })
            .collect();
        ranked.sort_unstable();
        let mut zones: Vec<&str> = ranked.iter().map(|(zone, ..)| *zone).collect();
        zones.dedup();
        let least = READERS.div_ceil(zones.len().max(1));
        let leader = self.leader_name();
        let mut readers: Vec<&SmolStr> = zones
            .iter()
            .flat_map(|zone| {
                let here: Vec<&SmolStr> =
                    ranked.iter().filter(|it| it.0 == *zone).map(|it| it.3).collect();
                let count = here.len().div_ceil(FOLLOWERS).max(least);
                here.into_iter().take(count)
            })
            .collect();
        let planners = ranked.iter().map(|it| it.3).filter(|name| Some(name.as_str()) == leader);
        readers.extend(planners);
        readers.sort_unstable();
        readers.dedup();
        readers
    }

    /// The term of the newest planner, if there was one.
    pub fn term(&self) -> Option<u64> {
        self.lead.as_ref().map(|(offset, _)| *offset)
    }

    /// The name of the newest planner, if there was one.
    pub fn leader_name(&self) -> Option<&str> {
        self.lead.as_ref().map(|(_, lead)| lead.entry.as_str())
    }

    /// The incarnation of the newest planner, if there was one.
    pub fn leader_incarnation(&self) -> Option<u64> {
        self.lead.as_ref().map(|(_, lead)| lead.incarnation)
    }

    /// What the entry `name` with `incarnation` has to do. `is_lost` says that the planner is silent
    /// towards the other entries, which is noticed sooner than missing heartbeats.
    pub fn role(&mut self, name: &str, incarnation: u64, is_lost: bool, now: Instant) -> Role {
        let is_fresh = self.asked.is_some_and(|asked| now.since(asked) < BLIND);
        if !is_fresh {
            self.vacant = None;
            let own = self
                .lead
                .as_ref()
                .filter(|(_, lead)| lead.entry == name && lead.incarnation == incarnation);
            return own.map_or(Role::Standby, |(term, _)| Role::UnconfirmedLeader { term: *term });
        }
        let held = self.lead.as_ref().filter(|(term, lead)| {
            (!is_lost || lead.incarnation == incarnation)
                && self.serving().any(|(entry, it)| {
                    lead.entry == entry.as_str()
                        && lead.incarnation == it.heartbeat.incarnation
                        && it.heartbeat.resigned_term != Some(*term)
                })
        });
        match held {
            Some((term, lead)) if lead.entry == name && lead.incarnation == incarnation => {
                let term = *term;
                self.vacant = None;
                Role::Leader { term }
            }
            Some(_) => {
                self.vacant = None;
                Role::Standby
            }
            None => self.candidacy(name, now),
        }
    }

    fn candidacy(&mut self, name: &str, now: Instant) -> Role {
        let Some(rank) = self.readers().iter().position(|reader| *reader == name) else {
            return Role::Standby;
        };
        let since = *self.vacant.get_or_insert(now);
        match now.since(since) >= CANDIDATE_GAP * rank as u32 {
            true => Role::Candidate,
            false => Role::Standby,
        }
    }
}
