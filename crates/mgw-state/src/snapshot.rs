//! Snapshots: the state as bytes, split into bounded parts and assembled again.

use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};
use smol_str::SmolStr;

use crate::claim::{self, ActiveClaim};
use crate::codec;
use crate::record::{Mark, Offset, Record, UniqueId};
use crate::state::{
    self, Assignment, Config, CrashCount, Custody, Entry, Group, Instance, MemberSlot,
};
use crate::state::{State, Term};

/// Version of the snapshot's encoding.
const VERSION: u8 = 1;

/// Largest part in bytes.
pub const MAX_PART_BYTES: usize = 128 << 10;

/// Largest snapshot in bytes; 200,000 claims take about 7 MB.
pub const MAX_SNAPSHOT_BYTES: usize = 24 << 20;

/// Largest memory that decoding claims.
const MAX_DECODE_MEMORY: usize = 64 << 20;

/// Snapshots that are assembled at the same time: those of a paused and of a new planner, and one
/// that a dead planner left incomplete.
const MAX_CANDIDATES: usize = 3;

/// Records between two snapshots.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 2_000;

/// Why bytes are not a snapshot, or a state cannot be written as one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Larger than [`MAX_SNAPSHOT_BYTES`]; the size in bytes.
    Oversized(usize),
    /// The bytes cannot be decoded.
    Codec(codec::Error),
    /// The sheet in force does not parse.
    InvalidSheet,
    /// The snapshot holds the state up to another offset than its parts say.
    OffsetMismatch {
        /// What the parts say.
        stated: Offset,
        /// What the snapshot holds.
        found: Offset,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized(size) => {
                write!(formatter, "snapshot of {size} bytes exceeds {MAX_SNAPSHOT_BYTES}")
            }
            Self::Codec(cause) => write!(formatter, "snapshot: {cause}"),
            Self::InvalidSheet => write!(formatter, "the snapshot's sheet does not parse"),
            Self::OffsetMismatch { stated, found } => {
                write!(formatter, "snapshot up to {found} was stated to be up to {stated}")
            }
        }
    }
}

impl std::error::Error for Error {}

#[derive(Debug, PartialEq, Encode, Decode)]
pub(crate) struct Dump {
    applied: Offset,
    log_ms: u64,
    planning_revision: Offset,
    version: Offset,
    text: Option<String>,
    publications: Vec<(String, Offset)>,
    term: (u64, Option<u64>),
    entries: Vec<EntryDump>,
    entry_marks: Vec<(String, Mark)>,
    instances: Vec<InstanceDump>,
    groups: Vec<GroupDump>,
    /// Log time, key and executor.
    claims: Vec<(u64, u128, u64)>,
    /// Fingerprint, count and log time.
    crashes: Vec<(u128, u32, u64)>,
}

#[derive(Debug, PartialEq, Encode, Decode)]
struct EntryDump {
    incarnation: u64,
    name: String,
    address: String,
    zone: String,
    joined: Offset,
    dead_ms: Option<u64>,
    sequence: u64,
}

#[derive(Debug, PartialEq, Encode, Decode)]
struct InstanceDump {
    name: String,
    boot: String,
    past_boots: Vec<String>,
    /// Group and rank.
    assignment: Option<(Offset, u32)>,
    custody: Option<CustodyDump>,
    settled_fence: Offset,
    mark: Mark,
}

#[derive(Debug, PartialEq, Encode, Decode)]
struct CustodyDump {
    executor: u64,
    fence: Offset,
    boot: String,
    drain: bool,
}

#[derive(Debug, PartialEq, Encode, Decode)]
struct GroupDump {
    id: Offset,
    model: String,
    version: String,
    /// Instance, boot and whether the seat is vacant.
    members: Vec<(String, String, bool)>,
    fence: Offset,
    executor: u64,
}

/// The whole state in a canonical form: equal states have equal dumps.
pub(crate) fn dump(state: &State) -> Dump {
    Dump {
        applied: state.applied,
        log_ms: state.log_ms,
        planning_revision: state.planning_revision,
        version: state.config.version,
        text: state.config.sheet.as_ref().map(|_| state.config.text.clone()),
        publications: state.publications.iter().map(|(id, at)| (id.to_string(), *at)).collect(),
        term: (state.term.number, state.term.planner),
        entries: state.entries.iter().map(dump_entry).collect(),
        entry_marks: state.entry_marks.iter().map(|(at, mark)| (at.to_string(), *mark)).collect(),
        instances: state.instances.iter().map(dump_instance).collect(),
        groups: state.groups.iter().map(dump_group).collect(),
        claims: state.claims.list().iter().map(|it| (it.at_ms, it.key, it.executor)).collect(),
        crashes: state.crashes.iter().map(|(of, it)| (*of, it.count, it.last_ms)).collect(),
    }
}

fn dump_entry((incarnation, entry): (&u64, &Entry)) -> EntryDump {
    EntryDump {
        incarnation: *incarnation,
        name: entry.name.to_string(),
        address: entry.address.to_string(),
        zone: entry.zone.to_string(),
        joined: entry.joined,
        dead_ms: entry.dead_ms,
        sequence: entry.sequence,
    }
}

fn dump_instance((name, instance): (&SmolStr, &Instance)) -> InstanceDump {
    InstanceDump {
        name: name.to_string(),
        boot: instance.boot.to_string(),
        past_boots: instance.past_boots.iter().map(SmolStr::to_string).collect(),
        assignment: instance.assignment.map(|it| (it.group, it.rank)),
        custody: instance.custody.as_ref().map(|custody| CustodyDump {
            executor: custody.executor,
            fence: custody.fence,
            boot: custody.boot.to_string(),
            drain: custody.drain,
        }),
        settled_fence: instance.settled_fence,
        mark: instance.mark,
    }
}

fn dump_group((id, group): (&Offset, &Group)) -> GroupDump {
    let members = group.members.iter();
    GroupDump {
        id: *id,
        model: group.model.to_string(),
        version: group.version.to_string(),
        members: members
            .map(|seat| (seat.instance.to_string(), seat.boot.to_string(), seat.vacant))
            .collect(),
        fence: group.fence,
        executor: group.executor,
    }
}

fn load(options: state::Options, dump: Dump) -> Result<State, Error> {
    let mut state = State::new(options);
    state.applied = dump.applied;
    state.log_ms = dump.log_ms;
    state.planning_revision = dump.planning_revision;
    if let Some(text) = dump.text {
        let sheet = (options.parse)(&text).ok_or(Error::InvalidSheet)?;
        state.config = Config { version: dump.version, text, sheet: Some(Arc::new(sheet)) };
    }
    state.publications = dump.publications.into_iter().map(|(id, at)| (id.into(), at)).collect();
    state.term = Term { number: dump.term.0, planner: dump.term.1 };
    state.entries = dump.entries.into_iter().map(load_entry).collect();
    state.entry_marks = dump.entry_marks.into_iter().map(|(at, mark)| (at.into(), mark)).collect();
    for it in dump.instances {
        let instance = Instance {
            boot: it.boot.into(),
            past_boots: it.past_boots.into_iter().map(SmolStr::from).collect(),
            assignment: it.assignment.map(|(group, rank)| Assignment { group, rank }),
            custody: it.custody.map(|custody| Custody {
                executor: custody.executor,
                fence: custody.fence,
                boot: custody.boot.into(),
                drain: custody.drain,
            }),
            settled_fence: it.settled_fence,
            mark: it.mark,
        };
        state.instances.insert(it.name.into(), instance);
    }
    state.groups = dump.groups.into_iter().map(load_group).collect();
    state.claims = load_claims(&dump.claims, state.log_ms, options);
    state.crashes = dump
        .crashes
        .into_iter()
        .map(|(of, count, last_ms)| (of, CrashCount { count, last_ms }))
        .collect();
    Ok(state)
}

fn load_entry(it: EntryDump) -> (u64, Entry) {
    let entry = Entry {
        name: it.name.into(),
        address: it.address.into(),
        zone: it.zone.into(),
        joined: it.joined,
        dead_ms: it.dead_ms,
        sequence: it.sequence,
    };
    (it.incarnation, entry)
}

fn load_group(it: GroupDump) -> (Offset, Group) {
    let members = it.members.into_iter();
    let group = Group {
        model: it.model.into(),
        version: it.version.into(),
        members: members
            .map(|(instance, boot, vacant)| MemberSlot {
                instance: instance.into(),
                boot: boot.into(),
                vacant,
            })
            .collect(),
        fence: it.fence,
        executor: it.executor,
    };
    (it.id, group)
}

fn load_claims(claims: &[(u64, u128, u64)], log_ms: u64, options: state::Options) -> claim::Table {
    let mut table = claim::Table::default();
    for (at_ms, key, executor) in claims {
        let held = ActiveClaim { key: *key, executor: *executor, at_ms: *at_ms };
        table.claim(held, usize::MAX);
    }
    table.expire(log_ms, options.claim_window_ms);
    table
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The snapshot holds the effect of all records below this offset.
    pub upto: Offset,
    /// This part's place.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// This part's bytes, at most [`MAX_PART_BYTES`].
    pub bytes: Vec<u8>,
}

impl Part {
    /// The part as a record of the snapshot `id`.
    pub fn into_record(self, id: UniqueId) -> Record {
        let Self { upto, index, count, bytes } = self;
        Record::SnapshotPart { id, upto, index, count, bytes }
    }
}

/// Writes the state as parts in order.
///
/// # Errors
///
/// The state has more than [`MAX_SNAPSHOT_BYTES`] bytes.
pub fn split(state: &State) -> Result<Vec<Part>, Error> {
    let bytes = codec::pack(VERSION, &dump(state)).map_err(Error::Codec)?;
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(Error::Oversized(bytes.len()));
    }
    let chunks = bytes.chunks(MAX_PART_BYTES);
    let count = chunks.len() as u32;
    let part = |(index, chunk): (usize, &[u8])| Part {
        upto: state.applied,
        index: index as u32,
        count,
        bytes: chunk.to_vec(),
    };
    Ok(chunks.enumerate().map(part).collect())
}

/// Reads the state from the bytes of all parts; claims a bounded amount of memory.
///
/// # Errors
///
/// The bytes are damaged, hold the state up to another offset, or hold a sheet with faults.
pub fn restore(options: state::Options, whole: &Snapshot) -> Result<State, Error> {
    let dump =
        codec::unpack::<Dump, MAX_DECODE_MEMORY>(VERSION, &whole.bytes).map_err(Error::Codec)?;
    match dump.applied {
        found if found != whole.upto => Err(Error::OffsetMismatch { stated: whole.upto, found }),
        _ => load(options, dump),
    }
}

/// The bytes of a complete snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The snapshot holds the effect of all records below this offset.
    pub upto: Offset,
    /// All parts in order.
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Candidate {
    id: UniqueId,
    upto: Offset,
    /// One place per part.
    parts: Vec<Option<Vec<u8>>>,
    /// Parts that are still missing.
    missing: usize,
    /// Bytes of the parts held, at most [`MAX_SNAPSHOT_BYTES`].
    size: usize,
}

/// Collects parts of several snapshots until one is complete.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    /// At most [`MAX_CANDIDATES`], the one with the latest new part last.
    candidates: Vec<Candidate>,
}

impl Assembler {
    /// Adds a part; returns the snapshot that it completes. Parts may be repeated, out of order,
    /// mixed with those of other snapshots, or inconsistent with earlier ones (then ignored).
    pub fn add(&mut self, id: UniqueId, part: Part) -> Option<Snapshot> {
        let count = part.count as usize;
        if part.index >= part.count
            || part.bytes.len() > MAX_PART_BYTES
            || count > MAX_SNAPSHOT_BYTES.div_ceil(MAX_PART_BYTES)
        {
            return None;
        }
        let mut candidate = match self.candidates.iter().position(|it| it.id == id) {
            Some(place) => self.candidates.remove(place),
            None => {
                Candidate { id, upto: part.upto, parts: vec![None; count], missing: count, size: 0 }
            }
        };
        let size = candidate.size + part.bytes.len();
        let fits = candidate.upto == part.upto
            && candidate.parts.len() == count
            && size <= MAX_SNAPSHOT_BYTES;
        match candidate.parts.get_mut(part.index as usize) {
            Some(place @ None) if fits => {
                *place = Some(part.bytes);
                candidate.missing -= 1;
                candidate.size = size;
            }
            _ => {}
        }
        if candidate.missing == 0 {
            let bytes = candidate.parts.into_iter().flatten().collect::<Vec<_>>().concat();
            self.candidates.retain(|other| other.upto > part.upto);
            return Some(Snapshot { upto: candidate.upto, bytes });
        }
        self.candidates.push(candidate);
        if self.candidates.len() > MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        None
    }

    /// Forgets all parts.
    pub fn clear(&mut self) {
        self.candidates.clear();
    }
}

/// A snapshot of which the first parts were seen in the log.
#[derive(Clone, Debug)]
struct Progress {
    id: UniqueId,
    upto: Offset,
    /// The number of parts.
    count: u32,
    /// The number of parts seen in order.
    seen: u32,
}

/// Follows the snapshots in the log without keeping their bytes, to tell when the next is due.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// At most [`MAX_CANDIDATES`], the oldest first.
    open: Vec<Progress>,
    newest: Option<Offset>,
}

impl Tracker {
    /// Notes a part that was read from the log.
    pub fn record_part(&mut self, id: UniqueId, upto: Offset, index: u32, count: u32) {
        if index == 0 {
            self.open.retain(|known| known.id != id);
            self.open.push(Progress { id, upto, count, seen: 0 });
            if self.open.len() > MAX_CANDIDATES {
                self.open.remove(0);
            }
        }
        let Some(place) = self.open.iter().position(|known| known.id == id) else { return };
        let open = &mut self.open[place];
        if (open.upto, open.count, open.seen) == (upto, count, index) {
            open.seen += 1;
        }
        if open.seen == open.count {
            self.newest = self.newest.max(Some(upto));
            self.open.remove(place);
        }
    }

    /// Notes that a snapshot up to an offset is complete in the log.
    pub fn record_complete(&mut self, upto: Offset) {
        self.newest = self.newest.max(Some(upto));
    }

    /// The `upto` of the newest complete snapshot.
    pub fn newest(&self) -> Option<Offset> {
        self.newest
    }

    /// Whether the planner should write a snapshot: 2,000 records after the last one, or when the
    /// oldest offset that a new process needs passes half of the retained range. `first` is the
    /// first offset that the log retains.
    pub fn is_due(&self, applied: Offset, first: Offset) -> bool {
        let needed = self.newest.unwrap_or(0);
        let kept = applied.saturating_sub(first);
        applied.saturating_sub(needed) >= SNAPSHOT_INTERVAL_RECORDS
            || (first > 0 && needed < first + kept / 2)
    }
}
