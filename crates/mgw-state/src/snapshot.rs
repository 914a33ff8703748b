//! Snapshots: encodes the state as bytes, splits them into parts that fit into records, and
//! restores the state from the parts.

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

/// Version of the encoding; the first byte of a snapshot.
const VERSION: u8 = 1;

/// Maximum size of a part in bytes.
pub const MAX_PART_BYTES: usize = 128 << 10;

/// Maximum size of a snapshot in bytes; 200,000 claims take about 7 MB.
pub const MAX_SNAPSHOT_BYTES: usize = 24 << 20;

/// Maximum memory in bytes that decoding a snapshot may allocate.
const MAX_DECODE_MEMORY: usize = 64 << 20;

/// Maximum number of incomplete snapshots that are kept: those that a paused and a new planner
/// write at the same time, and one that a dead planner left incomplete.
const MAX_CANDIDATES: usize = 3;

/// Number of records after which the planner writes the next snapshot.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 2_000;

/// Why a state cannot be written as a snapshot, or a snapshot cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The snapshot, whose size in bytes is given, exceeds [`MAX_SNAPSHOT_BYTES`].
    Oversized(usize),
    /// The snapshot cannot be encoded or decoded.
    Codec(codec::Error),
    /// The parser rejects the sheet in the snapshot.
    InvalidSheet,
    /// The offset in the snapshot differs from the one that its parts state.
    OffsetMismatch {
        /// Offset that the parts state.
        stated: Offset,
        /// Offset in the snapshot.
        found: Offset,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized(size) => {
                write!(
                    formatter,
                    "snapshot of {size} bytes exceeds the limit of {MAX_SNAPSHOT_BYTES} bytes"
                )
            }
            Self::Codec(cause) => write!(formatter, "snapshot: {cause}"),
            Self::InvalidSheet => write!(formatter, "sheet in the snapshot is invalid"),
            Self::OffsetMismatch { stated, found } => {
                write!(
                    formatter,
                    "snapshot holds offset {found}, but its parts state offset {stated}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// The encoded form of the state. Encoded by position: the fields of this type and of the types in
/// it must keep their order, number and types.
#[derive(Debug, PartialEq, Encode, Decode)]
pub(crate) struct Dump {
    applied: Offset,
    log_ms: u64,
    planning_revision: Offset,
    version: Offset,
    /// The sheet as CSV text; `None` before the first publication.
    text: Option<String>,
    /// Identifiers and versions.
    publications: Vec<(String, Offset)>,
    /// Number and planner.
    term: (u64, Option<u64>),
    entries: Vec<EntryDump>,
    /// Addresses and marks.
    entry_marks: Vec<(String, Mark)>,
    instances: Vec<InstanceDump>,
    groups: Vec<GroupDump>,
    /// Log times, keys and executors.
    claims: Vec<(u64, u128, u64)>,
    /// Fingerprints, counts and log times.
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
    /// Instances, boots and whether the slot is vacant.
    members: Vec<(String, String, bool)>,
    fence: Offset,
    executor: u64,
}

/// Returns the state in a canonical form: equal states have equal dumps.
pub(crate) fn dump(state: &State) -> Dump {
    Dump {
        applied: state.applied,
        log_ms: state.log_ms,
        planning_revision: state.planning_revision,
        version: state.config.version,
        text: state.config.sheet.as_ref().map(|_| state.config.text.clone()),
        publications: state
            .publications
            .iter()
            .map(|(id, version)| (id.to_string(), *version))
            .collect(),
        term: (state.term.number, state.term.planner),
        entries: state.entries.iter().map(dump_entry).collect(),
        entry_marks: state
            .entry_marks
            .iter()
            .map(|(address, mark)| (address.to_string(), *mark))
            .collect(),
        instances: state.instances.iter().map(dump_instance).collect(),
        groups: state.groups.iter().map(dump_group).collect(),
        claims: state
            .claims
            .list()
            .iter()
            .map(|claim| (claim.at_ms, claim.key, claim.executor))
            .collect(),
        crashes: state
            .crashes
            .iter()
            .map(|(fingerprint, crash)| (*fingerprint, crash.count, crash.last_ms))
            .collect(),
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
        assignment: instance.assignment.map(|assignment| (assignment.group, assignment.rank)),
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
            .map(|slot| (slot.instance.to_string(), slot.boot.to_string(), slot.vacant))
            .collect(),
        fence: group.fence,
        executor: group.executor,
    }
}

fn state_from(options: state::Options, dump: Dump) -> Result<State, Error> {
    let mut state = State::new(options);
    state.applied = dump.applied;
    state.log_ms = dump.log_ms;
    state.planning_revision = dump.planning_revision;
    if let Some(text) = dump.text {
        let sheet = (options.parse)(&text).ok_or(Error::InvalidSheet)?;
        state.config = Config { version: dump.version, text, sheet: Some(Arc::new(sheet)) };
    }
    state.publications =
        dump.publications.into_iter().map(|(id, version)| (id.into(), version)).collect();
    state.term = Term { number: dump.term.0, planner: dump.term.1 };
    state.entries = dump.entries.into_iter().map(entry_from).collect();
    state.entry_marks =
        dump.entry_marks.into_iter().map(|(address, mark)| (address.into(), mark)).collect();
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
    state.groups = dump.groups.into_iter().map(group_from).collect();
    state.claims = claims_from(&dump.claims, state.log_ms, options);
    state.crashes = dump
        .crashes
        .into_iter()
        .map(|(fingerprint, count, last_ms)| (fingerprint, CrashCount { count, last_ms }))
        .collect();
    Ok(state)
}

fn entry_from(it: EntryDump) -> (u64, Entry) {
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

fn group_from(it: GroupDump) -> (Offset, Group) {
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

fn claims_from(claims: &[(u64, u128, u64)], log_ms: u64, options: state::Options) -> claim::Table {
    let mut table = claim::Table::default();
    for (at_ms, key, executor) in claims {
        let claim = ActiveClaim { key: *key, executor: *executor, at_ms: *at_ms };
        table.claim(claim, usize::MAX);
    }
    table.expire(log_ms, options.claim_window_ms);
    table
}

/// One part of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The snapshot includes all records below this offset.
    pub upto: Offset,
    /// Index of this part, from 0.
    pub index: u32,
    /// Number of parts of the snapshot.
    pub count: u32,
    /// Content of this part, at most [`MAX_PART_BYTES`].
    pub bytes: Vec<u8>,
}

impl Part {
    /// Converts the part to a record of the snapshot `id`.
    pub fn into_record(self, id: UniqueId) -> Record {
        let Self { upto, index, count, bytes } = self;
        Record::SnapshotPart { id, upto, index, count, bytes }
    }
}

/// Encodes the state as a snapshot and returns its parts in order.
///
/// # Errors
///
/// Returns [`Error::Oversized`] if the snapshot exceeds [`MAX_SNAPSHOT_BYTES`].
pub fn split(state: &State) -> Result<Vec<Part>, Error> {
    let bytes = codec::encode_versioned(VERSION, &dump(state)).map_err(Error::Codec)?;
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

/// Restores the state from a complete snapshot, allocating a bounded amount of memory.
///
/// # Errors
///
/// Returns an error if the bytes cannot be decoded, contain another offset than `snapshot.upto`, or
/// contain an invalid sheet.
pub fn restore(options: state::Options, snapshot: &Snapshot) -> Result<State, Error> {
    let dump = codec::decode_versioned::<Dump, MAX_DECODE_MEMORY>(VERSION, &snapshot.bytes)
        .map_err(Error::Codec)?;
    match dump.applied {
        found if found != snapshot.upto => {
            Err(Error::OffsetMismatch { stated: snapshot.upto, found })
        }
        _ => state_from(options, dump),
    }
}

/// A complete, encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The snapshot includes all records below this offset.
    pub upto: Offset,
    /// The content of all parts in order.
    pub bytes: Vec<u8>,
}

/// A snapshot that lacks parts.
#[derive(Clone, Debug)]
struct Candidate {
    id: UniqueId,
    upto: Offset,
    /// The content of each part, `None` until it arrives.
    parts: Vec<Option<Vec<u8>>>,
    /// Number of parts that have not arrived.
    missing: usize,
    /// Total size in bytes of the parts that have arrived, at most [`MAX_SNAPSHOT_BYTES`].
    size: usize,
}

/// Reassembles snapshots from parts, several at the same time.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    /// At most [`MAX_CANDIDATES`]; the one that received a part last comes last, so the one that
    /// has waited longest is dropped first.
    candidates: Vec<Candidate>,
}

impl Assembler {
    /// Adds a part and returns the snapshot if the part completes it.
    ///
    /// Parts may arrive repeatedly, out of order, and interleaved with those of other snapshots. A
    /// part that exceeds a limit or contradicts the earlier parts of its snapshot is ignored.
    pub fn add(&mut self, id: UniqueId, part: Part) -> Option<Snapshot> {
        let count = part.count as usize;
        if part.index >= part.count
            || part.bytes.len() > MAX_PART_BYTES
            || count > MAX_SNAPSHOT_BYTES.div_ceil(MAX_PART_BYTES)
        {
            return None;
        }
        let mut candidate = match self.candidates.iter().position(|candidate| candidate.id == id) {
            Some(index) => self.candidates.remove(index),
            None => {
                Candidate { id, upto: part.upto, parts: vec![None; count], missing: count, size: 0 }
            }
        };
        let size = candidate.size + part.bytes.len();
        let fits = candidate.upto == part.upto
            && candidate.parts.len() == count
            && size <= MAX_SNAPSHOT_BYTES;
        match candidate.parts.get_mut(part.index as usize) {
            Some(content @ None) if fits => {
                *content = Some(part.bytes);
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

    /// Drops all parts.
    pub fn clear(&mut self) {
        self.candidates.clear();
    }
}

/// A snapshot in the log of which not all parts have been read.
#[derive(Clone, Debug)]
struct Progress {
    id: UniqueId,
    upto: Offset,
    /// Number of parts of the snapshot.
    count: u32,
    /// Number of parts that were read in order.
    seen: u32,
}

/// Tracks which snapshots are complete in the log, without storing their content, to decide when
/// the next one is due.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Incomplete snapshots, at most [`MAX_CANDIDATES`], the oldest first.
    incomplete: Vec<Progress>,
    /// Offset up to which the newest complete snapshot includes the log.
    newest: Option<Offset>,
}

impl Tracker {
    /// Records that a part was read from the log.
    pub fn record_part(&mut self, id: UniqueId, upto: Offset, index: u32, count: u32) {
        if index == 0 {
            self.incomplete.retain(|known| known.id != id);
            self.incomplete.push(Progress { id, upto, count, seen: 0 });
            if self.incomplete.len() > MAX_CANDIDATES {
                self.incomplete.remove(0);
            }
        }
        let Some(position) = self.incomplete.iter().position(|known| known.id == id) else {
            return;
        };
        let progress = &mut self.incomplete[position];
        if (progress.upto, progress.count, progress.seen) == (upto, count, index) {
            progress.seen += 1;
        }
        if progress.seen == progress.count {
            self.newest = self.newest.max(Some(upto));
            self.incomplete.remove(position);
        }
    }

    /// Records that a snapshot up to an offset is complete in the log.
    pub fn record_complete(&mut self, upto: Offset) {
        self.newest = self.newest.max(Some(upto));
    }

    /// Returns the offset below which the newest complete snapshot includes all records.
    pub fn newest(&self) -> Option<Offset> {
        self.newest
    }

    /// Whether the planner should write a snapshot, given the offset that it has applied and the
    /// first offset that the log retains.
    ///
    /// A snapshot is due 2,000 records after the last one, or as soon as the last one lies in the
    /// older half of the retained range: a new process needs all records behind the snapshot, so
    /// the next one must be written before the log is trimmed beyond the last.
    pub fn is_due(&self, applied: Offset, first: Offset) -> bool {
        let snapshotted = self.newest.unwrap_or(0);
        let retained = applied.saturating_sub(first);
        applied.saturating_sub(snapshotted) >= SNAPSHOT_INTERVAL_RECORDS
            || (first > 0 && snapshotted < first + retained / 2)
    }
}
