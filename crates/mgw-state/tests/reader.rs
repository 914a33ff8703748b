//! Tests of snapshots and of the replay of a log with limited retention.

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

/// A log service: records with their bytes, and the first offset that it retains.
#[derive(Default)]
struct Service {
    records: Vec<Vec<u8>>,
    first: u64,
}

impl Service {
    fn append(&mut self, writer: u64, sequence: u64, record: Record) -> u64 {
        let append_id = UniqueId { incarnation: writer, sequence };
        self.records.push(codec::encode(&Envelope { append_id, record }).expect("fits"));
        self.records.len() as u64 - 1
    }

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

    fn state(&self) -> State {
        let mut reader = Reader::new(options(), 0);
        let raws = raws(&self.records, 0);
        reader.apply_batch(0, self.records.len() as u64, raws);
        reader.state().clone()
    }

    fn snapshot(&mut self, writer: u64, sequence: u64, state: &State) {
        let id = UniqueId { incarnation: writer, sequence };
        for part in split(state).expect("fits") {
            self.append(writer, sequence, part.into_record(id));
        }
    }

    /// One read of the reader; at most two records, so that parts arrive in several reads.
    fn read(&self, reader: &mut Reader) -> Vec<Step> {
        let (next, end) = (reader.next_offset(), self.records.len() as u64);
        match next < self.first {
            true => reader.handle_trimmed(self.first, end),
            false => {
                reader.apply_batch(self.first, end, raws(&self.records, next as usize).take(2))
            }
        }
    }

    fn read_all(&self, reader: &mut Reader) -> Vec<Step> {
        (0..2 * self.records.len() + 4).flat_map(|_| self.read(reader)).collect()
    }
}

fn raws(records: &[Vec<u8>], from: usize) -> impl Iterator<Item = RawRecord<'_>> {
    records.iter().enumerate().skip(from).map(|(offset, bytes)| RawRecord {
        offset: offset as u64,
        at_ms: 1_000 + offset as u64,
        bytes,
    })
}

/// A state whose snapshot has several parts.
fn large() -> State {
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

/// Guards against a snapshot that is lost or mixed up when two planners write at the same time, one
/// of them stops half way, and parts are repeated or inconsistent.
#[test]
fn snapshot_survives_interleaved_repeated_and_foreign_parts() {
    let state = large();
    let parts = split(&state).expect("fits");
    assert!(parts.len() > 3 && parts.iter().all(|part| part.bytes.len() <= MAX_PART_BYTES));
    let id = |incarnation| UniqueId { incarnation, sequence: 1 };
    let mut assembly = Assembler::default();
    let mut whole = None;
    for part in parts.iter().rev() {
        let mut foreign = part.clone();
        foreign.bytes[0] ^= 1;
        let changed = Part { upto: part.upto + 1, ..foreign.clone() };
        let wide = Part { index: part.count, ..foreign.clone() };
        let huge = Part { count: u32::MAX, ..foreign.clone() };
        assert_eq!(whole, None);
        if part.index > 0 {
            assert_eq!(assembly.add(id(2), foreign), None);
        }
        if part.index + 1 < part.count {
            for ignored in [changed, wide, huge] {
                assert_eq!(assembly.add(id(1), ignored), None);
            }
        }
        whole = assembly.add(id(1), part.clone());
        assert!(whole.is_some() || assembly.add(id(1), part.clone()).is_none());
    }
    let restored = restore(options(), &whole.expect("complete")).expect("whole");
    assert!(restored == state);
}

/// Guards against damaged snapshots: they give an error and no state.
#[test]
fn damaged_snapshot_is_refused() {
    let parts = split(&large()).expect("fits");
    let upto = parts[0].upto;
    let bytes: Vec<u8> = parts.into_iter().flat_map(|part| part.bytes).collect();
    let cut = Snapshot { upto, bytes: bytes[..bytes.len() - 1].to_vec() };
    assert!(matches!(restore(options(), &cut), Err(snapshot::Error::Codec(_))));
    let moved = Snapshot { upto: upto + 1, bytes: bytes.clone() };
    assert!(matches!(restore(options(), &moved), Err(snapshot::Error::OffsetMismatch { .. })));
    let none: fn(&str) -> Option<mgw_sheet::sheet::Sheet> = |_| None;
    let whole = Snapshot { upto, bytes };
    assert!(matches!(restore(Options::new(none), &whole), Err(snapshot::Error::InvalidSheet)));
}

/// Guards against a new process that cannot start from a trimmed log, or starts from a snapshot
/// whose tail is no longer retained.
#[test]
fn new_process_starts_from_the_latest_usable_snapshot() {
    let mut service = Service::default();
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

/// Guards against a reader that goes on from a state with a hole after retention passed it, or acts
/// on the old state meanwhile.
#[test]
fn reader_that_retention_passed_takes_a_snapshot() {
    let mut service = Service::default();
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

/// Guards against acting on a state below an offset that a peer has seen in force, and against
/// taking an older state from a peer.
#[test]
fn reader_never_goes_below_the_floor() {
    let mut service = Service::default();
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
    let whole = |state: &State| {
        let bytes = split(state).expect("fits").into_iter().flat_map(|part| part.bytes).collect();
        Snapshot { upto: state.applied(), bytes }
    };
    assert_eq!(reader.adopt_snapshot(&whole(&state)), Ok(Vec::new()));
    assert_eq!(reader.next_offset(), 5);
    let mut new = Reader::new(options(), 3);
    let steps = new.adopt_snapshot(&whole(reader.state())).expect("whole");
    assert_eq!(steps, [Step::Restored { upto: 5 }]);
    assert!(new.is_current() && new.state() == reader.state());
}

/// Guards against a reader that stops at an undecodable record or applies records after a gap.
#[test]
fn undecodable_records_are_skipped_and_gaps_are_not() {
    let mut service = Service::default();
    service.join(1);
    service.records.push(vec![77, 1, 2]);
    service.claim(1, 1);
    let mut reader = Reader::new(options(), 2);
    let steps = reader.apply_batch(0, 3, raws(&service.records, 0));
    assert!(steps.contains(&Step::Skipped { offset: 1, cause: codec::Error::Version(77) }));
    assert_eq!(reader.state().claims().len(), 1);
    service.claim(1, 2);
    service.claim(1, 3);
    let steps = reader.apply_batch(0, 5, raws(&service.records, 4));
    assert_eq!(steps, [Step::Gap { expected: 3, found: 4 }]);
    assert_eq!(reader.next_offset(), 3);
}

/// Guards against a lost append reply being settled the wrong way.
#[test]
fn lost_append_replies_are_settled_by_reading() {
    let settled = |steps: Vec<Step>| -> Vec<(u64, Settlement)> {
        let settled = |step| match step {
            Step::AppendSettled { sequence, settlement } => Some((sequence, settlement)),
            _ => None,
        };
        steps.into_iter().filter_map(settled).collect()
    };
    let mut service = Service::default();
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
    // The append that was settled as absent arrives late; the state ignores it as well.
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
    assert_eq!(settled(service.read_all(&mut reader)), [(5, Settlement::InSnapshot)]);
}

/// Guards against snapshots that are written too rarely for the retained range, or counted as
/// written although parts are missing.
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
