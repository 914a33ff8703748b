//! Tests of snapshots and of replaying a log with limited retention.

mod common;

use common::Log;
use mgw_state::codec;
use mgw_state::reader::{RawRecord, Reader, Settlement, Step};
use mgw_state::record::{Claim, Envelope, Record, UniqueId};
use mgw_state::snapshot::{
    self, Assembler, MAX_PART_BYTES, Part, Snapshot, Tracker, restore, split,
};
use mgw_state::state::{Options, State};

fn options() -> Options {
    Options::new(common::parse)
}

/// An in-memory log service: all records as bytes, and the first offset that is retained.
#[derive(Default)]
struct LogService {
    records: Vec<Vec<u8>>,
    first: u64,
}

impl LogService {
    fn append(&mut self, writer: u64, sequence: u64, record: Record) -> u64 {
        let append_id = UniqueId { incarnation: writer, sequence };
        self.records
            .push(codec::encode(&Envelope { append_id, record }).expect("within the limit"));
        self.records.len() as u64 - 1
    }

    /// Appends a claim whose key is unique to the writer and the sequence.
    fn claim(&mut self, writer: u64, sequence: u64) -> u64 {
        let key = u128::from(writer) << 64 | u128::from(sequence);
        self.append(
            writer,
            sequence,
            Record::Claim { claims: vec![Claim { key, executor: writer }] },
        )
    }

    fn join(&mut self, incarnation: u64) -> u64 {
        let (entry, address, zone) = ("e".into(), format!("{incarnation}"), "z".into());
        self.append(incarnation, 0, Record::Join { entry, incarnation, address, zone })
    }

    /// Returns the state after all records, also those that are no longer retained.
    fn state(&self) -> State {
        let mut reader = Reader::new(options(), 0);
        let records = raw_records(&self.records, 0);
        reader.apply_batch(0, self.records.len() as u64, records);
        reader.state().clone()
    }

    /// Appends a snapshot of `state`, one append per part.
    fn snapshot(&mut self, writer: u64, sequence: u64, state: &State) {
        let id = UniqueId { incarnation: writer, sequence };
        for part in split(state).expect("within the limit") {
            self.append(writer, sequence, part.into_record(id));
        }
    }

    /// Performs one read of at most two records, so that snapshot parts arrive in several reads.
    fn read(&self, reader: &mut Reader) -> Vec<Step> {
        let (next, end) = (reader.next_offset(), self.records.len() as u64);
        match next < self.first {
            true => reader.handle_trimmed(self.first, end),
            false => reader.apply_batch(
                self.first,
                end,
                raw_records(&self.records, next as usize).take(2),
            ),
        }
    }

    /// Reads more often than needed to reach the end of the log.
    fn read_all(&self, reader: &mut Reader) -> Vec<Step> {
        (0..2 * self.records.len() + 4).flat_map(|_| self.read(reader)).collect()
    }
}

fn raw_records(records: &[Vec<u8>], from: usize) -> impl Iterator<Item = RawRecord<'_>> {
    records.iter().enumerate().skip(from).map(|(offset, bytes)| RawRecord {
        offset: offset as u64,
        at_ms: 1_000 + offset as u64,
        bytes,
    })
}

/// Returns a state whose snapshot has several parts.
fn large_state() -> State {
    let mut log = Log::new();
    log.publish("i a z d k no\nm m 1 k 1 1 0");
    log.join(1, "one");
    log.lead(1);
    let form = log.form(&["a"], 1);
    log.accept(1, form);
    for chunk in 0..20_u128 {
        let claim = |key| Claim { key: (chunk * 1_000 + key) << 70, executor: 1 };
        log.accept(1, Record::Claim { claims: (0..1_000).map(claim).collect() });
    }
    log.state
}

/// Guards against a snapshot that is lost or mixed with another one when two planners write
/// snapshots at the same time, one of them stops before the last part, and parts are repeated or
/// inconsistent.
#[test]
fn snapshot_is_assembled_from_interleaved_repeated_and_inconsistent_parts() {
    let state = large_state();
    let parts = split(&state).expect("within the limit");
    assert!(parts.len() > 3 && parts.iter().all(|part| part.bytes.len() <= MAX_PART_BYTES));
    let id = |incarnation| UniqueId { incarnation, sequence: 1 };
    let mut assembler = Assembler::default();
    let mut snapshot = None;
    for part in parts.iter().rev() {
        let mut other = part.clone();
        other.bytes[0] ^= 1;
        let other_offset = Part { upto: part.upto + 1, ..other.clone() };
        let index_out_of_range = Part { index: part.count, ..other.clone() };
        let too_many_parts = Part { count: u32::MAX, ..other.clone() };
        assert_eq!(snapshot, None);
        if part.index > 0 {
            assert_eq!(assembler.add(id(2), other), None);
        }
        if part.index + 1 < part.count {
            for ignored in [other_offset, index_out_of_range, too_many_parts] {
                assert_eq!(assembler.add(id(1), ignored), None);
            }
        }
        snapshot = assembler.add(id(1), part.clone());
        assert!(snapshot.is_some() || assembler.add(id(1), part.clone()).is_none());
    }
    let restored = restore(options(), &snapshot.expect("complete")).expect("valid snapshot");
    assert!(restored == state);
}

/// Guards against restoring a state from a snapshot that is truncated, states another offset, or
/// contains an invalid sheet.
#[test]
fn invalid_snapshot_is_rejected() {
    let parts = split(&large_state()).expect("within the limit");
    let upto = parts[0].upto;
    let bytes: Vec<u8> = parts.into_iter().flat_map(|part| part.bytes).collect();
    let truncated = Snapshot { upto, bytes: bytes[..bytes.len() - 1].to_vec() };
    assert!(matches!(restore(options(), &truncated), Err(snapshot::Error::Codec(_))));
    let wrong_offset = Snapshot { upto: upto + 1, bytes: bytes.clone() };
    assert!(matches!(
        restore(options(), &wrong_offset),
        Err(snapshot::Error::OffsetMismatch { .. })
    ));
    let reject_all: fn(&str) -> Option<mgw_sheet::sheet::Sheet> = |_| None;
    let snapshot = Snapshot { upto, bytes };
    assert!(matches!(
        restore(Options::new(reject_all), &snapshot),
        Err(snapshot::Error::InvalidSheet)
    ));
}

/// Guards against a new process that cannot start from a trimmed log, or that restores a snapshot
/// although records behind it are no longer retained.
#[test]
fn new_process_starts_from_the_latest_usable_snapshot() {
    let mut service = LogService::default();
    service.join(1);
    (1..20).for_each(|sequence| _ = service.claim(1, sequence));
    let early = service.state();
    (20..30).for_each(|sequence| _ = service.claim(1, sequence));
    let late = service.state();
    service.snapshot(1, 30, &early);
    service.claim(1, 31);
    service.first = 25;
    let mut reader = Reader::new(options(), 2);
    let steps = service.read_all(&mut reader);
    assert!(steps.contains(&Step::NoSnapshot) && !reader.is_current(), "{steps:?}");

    service.snapshot(1, 32, &late);
    service.claim(1, 33);
    let steps = service.read_all(&mut reader);
    assert!(steps.contains(&Step::Restored { upto: late.applied() }), "{steps:?}");
    assert!(reader.is_caught_up());
    assert!(*reader.state() == service.state());
}

/// Guards against a reader that skips the records trimmed before it read them, or that counts its
/// old state as current until it has restored a snapshot.
#[test]
fn reader_behind_a_trimmed_log_restores_a_snapshot() {
    let mut service = LogService::default();
    service.join(1);
    let mut reader = Reader::new(options(), 2);
    service.read_all(&mut reader);
    assert!(reader.is_caught_up());
    (1..10).for_each(|sequence| _ = service.claim(1, sequence));
    let state = service.state();
    service.snapshot(1, 10, &state);
    service.first = 6;
    let steps = service.read(&mut reader);
    assert_eq!(steps, [Step::Trimmed { first: 6 }]);
    assert!(!reader.is_current());
    service.read_all(&mut reader);
    assert!(reader.is_caught_up() && *reader.state() == service.state());
}

/// Guards against acting on a state below an offset that a peer has applied, and against restoring
/// an older state from a peer.
#[test]
fn reader_is_not_current_below_the_floor() {
    let mut service = LogService::default();
    service.join(1);
    service.claim(1, 1);
    let state = service.state();
    let mut reader = Reader::new(options(), 2);
    reader.raise_floor(4);
    service.read_all(&mut reader);
    assert!(!reader.is_current() && reader.next_offset() == 2);
    (2..5).for_each(|sequence| _ = service.claim(1, sequence));
    service.read_all(&mut reader);
    assert!(reader.is_current());
    let snapshot = |state: &State| {
        let bytes = split(state)
            .expect("within the limit")
            .into_iter()
            .flat_map(|part| part.bytes)
            .collect();
        Snapshot { upto: state.applied(), bytes }
    };
    assert_eq!(reader.adopt_snapshot(&snapshot(&state)), Ok(Vec::new()));
    assert_eq!(reader.next_offset(), 5);
    let mut new = Reader::new(options(), 3);
    let steps = new.adopt_snapshot(&snapshot(reader.state())).expect("valid snapshot");
    assert_eq!(steps, [Step::Restored { upto: 5 }]);
    assert!(new.is_current() && new.state() == reader.state());
}

/// Guards against a reader that stops at an undecodable record, or that applies records after a
/// gap.
#[test]
fn undecodable_records_are_skipped_and_gaps_are_not() {
    let mut service = LogService::default();
    service.join(1);
    service.records.push(vec![77, 1, 2]);
    service.claim(1, 1);
    let mut reader = Reader::new(options(), 2);
    let steps = reader.apply_batch(0, 3, raw_records(&service.records, 0));
    assert!(steps.contains(&Step::Skipped { offset: 1, cause: codec::Error::Version(77) }));
    assert_eq!(reader.state().claims().len(), 1);
    service.claim(1, 2);
    service.claim(1, 3);
    let steps = reader.apply_batch(0, 5, raw_records(&service.records, 4));
    assert_eq!(steps, [Step::Gap { expected: 3, found: 4 }]);
    assert_eq!(reader.next_offset(), 3);
}

/// Guards against a wrong conclusion about an append whose reply was lost.
#[test]
fn lost_append_replies_are_settled_by_reading() {
    let settled = |steps: Vec<Step>| -> Vec<(u64, Settlement)> {
        let settled = |step| match step {
            Step::AppendSettled { sequence, settlement } => Some((sequence, settlement)),
            _ => None,
        };
        steps.into_iter().filter_map(settled).collect()
    };
    let mut service = LogService::default();
    service.join(2);
    let mut reader = Reader::new(options(), 2);
    service.read_all(&mut reader);

    reader.track_append(1);
    let offset = service.claim(2, 1);
    assert_eq!(settled(service.read_all(&mut reader)), [(1, Settlement::Found(offset))]);

    reader.track_append(2);
    service.claim(1, 9);
    assert_eq!(settled(service.read_all(&mut reader)), []);
    assert_eq!(reader.unsettled_appends().collect::<Vec<_>>(), [2]);
    reader.track_append(3);
    let offset = service.claim(2, 3);
    let both = [(2, Settlement::Absent), (3, Settlement::Found(offset))];
    assert_eq!(settled(service.read_all(&mut reader)), both);
    // The append that was settled as absent reaches the log later; the state ignores it.
    service.claim(2, 2);
    service.read_all(&mut reader);
    assert_eq!(reader.state().claims().get((2 << 64) | 2), None);

    reader.track_append(4);
    let end = service.records.len() as u64;
    assert_eq!(settled(reader.bound_append(4, end + 1)), []);
    service.claim(1, 10);
    assert_eq!(settled(service.read_all(&mut reader)), [(4, Settlement::Absent)]);

    reader.track_append(5);
    service.claim(2, 5);
    let state = service.state();
    service.snapshot(1, 11, &state);
    service.first = state.applied();
    assert_eq!(settled(service.read_all(&mut reader)), [(5, Settlement::Included)]);
}

/// Guards against snapshots that are written too rarely for the retained range, and against
/// counting a snapshot as complete although parts are missing.
#[test]
fn snapshots_are_due_by_count_and_by_retention() {
    let id = UniqueId { incarnation: 1, sequence: 1 };
    let mut tracker = Tracker::default();
    assert!(!tracker.is_due(1_999, 0) && tracker.is_due(2_000, 0));
    tracker.record_part(id, 2_000, 0, 3);
    tracker.record_part(id, 2_000, 2, 3);
    assert!(tracker.is_due(2_003, 0));
    tracker.record_part(id, 2_000, 1, 3);
    tracker.record_part(id, 2_000, 2, 3);
    assert_eq!(tracker.newest(), Some(2_000));
    assert!(!tracker.is_due(2_500, 1_500) && tracker.is_due(2_500, 1_502));
}
