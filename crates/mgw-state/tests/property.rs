//! Property tests of the codec: random, truncated and damaged records and snapshots, with fixed
//! seeds.

mod common;

use common::{Log, member};
use mgw_state::codec::{self, Error};
use mgw_state::record::{Claim, Envelope, Mark, Member, Reason, Record, Target, UniqueId};
use mgw_state::snapshot::{self, Snapshot, restore, split};
use mgw_state::state::Options;
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

/// Returns an integer of random magnitude, so that every length of a variable-length integer
/// occurs.
fn random_integer(random: &mut SmallRng) -> u64 {
    random.random::<u64>() >> random.random_range(0..64)
}

fn text(random: &mut SmallRng) -> String {
    let marks = ['a', '\0', '"', 'ž', '\u{10ffff}', '9'];
    (0..random.random_range(0..12)).map(|_| marks[random.random_range(0..marks.len())]).collect()
}

fn append_id(random: &mut SmallRng) -> UniqueId {
    UniqueId { incarnation: random_integer(random), sequence: random_integer(random) }
}

fn random_member(random: &mut SmallRng) -> Member {
    Member { instance: text(random), boot: text(random) }
}

fn record(random: &mut SmallRng) -> Record {
    let reasons = [
        Reason::MemberLost,
        Reason::NotWanted,
        Reason::Preempted,
        Reason::Version,
        Reason::Drained,
    ];
    let marks = [Mark::Clear, Mark::Cordon, Mark::Drain];
    match random.random_range(0..13) {
        0 => Record::Publish {
            publication: text(random),
            base: random_integer(random),
            sheet: text(random),
        },
        1 => Record::Join {
            entry: text(random),
            incarnation: random_integer(random),
            address: text(random),
            zone: text(random),
        },
        2 => Record::Lead { term: random_integer(random), incarnation: random_integer(random) },
        3 => Record::Form {
            term: random_integer(random),
            base: random_integer(random),
            model: text(random),
            version: text(random),
            members: (0..random.random_range(0..6)).map(|_| random_member(random)).collect(),
            executor: random_integer(random),
        },
        4 => Record::Dissolve {
            term: random_integer(random),
            group: random_integer(random),
            reason: reasons[random.random_range(0..reasons.len())],
        },
        5 => Record::Replace {
            term: random_integer(random),
            group: random_integer(random),
            lost: text(random),
            spare: random_member(random),
            executor: random_integer(random),
        },
        6 => Record::OrderDone { instance: text(random), fence: random_integer(random) },
        7 => Record::Restarted {
            term: random_integer(random),
            instance: text(random),
            boot: text(random),
        },
        8 => {
            let count = random.random_range(0..6);
            let claim = |random: &mut SmallRng| Claim {
                key: random.random::<u128>() >> random.random_range(0..128),
                executor: random_integer(random),
            };
            Record::Claim { claims: (0..count).map(|_| claim(random)).collect() }
        }
        9 => Record::Crash { fingerprint: random.random(), group: random_integer(random) },
        10 => {
            let target = match random.random() {
                true => Target::Instance(text(random)),
                false => Target::Entry(text(random)),
            };
            Record::Mark { target, mark: marks[random.random_range(0..marks.len())] }
        }
        11 => Record::EntryGone { incarnation: random_integer(random) },
        _ => {
            let mut bytes = vec![0; random.random_range(0..200)];
            random.fill_bytes(&mut bytes);
            Record::SnapshotPart {
                id: append_id(random),
                upto: random_integer(random),
                index: random.random(),
                count: random.random(),
                bytes,
            }
        }
    }
}

/// Returns a log whose state has elements in every table, and the snapshot of that state.
fn populated_log() -> (Log, Snapshot) {
    let mut log = Log::new();
    log.publish("i a z d k no\ni b z d k no\ni c z d k yes\ni e z d k yes\nm m 1 k 2 1 0");
    log.join(1, "one");
    log.join(2, "two");
    log.lead(1);
    let form = log.form(&["a", "b"], 1);
    let group = log.accept(1, form);
    let (term, spare) = (1, member("c"));
    log.accept(1, Record::Replace { term, group, lost: "a".into(), spare, executor: 1 });
    log.accept(1, Record::Restarted { term, instance: "b".into(), boot: "b2".into() });
    let claims = (0..4).map(|key| Claim { key, executor: 1 }).collect();
    log.accept(1, Record::Claim { claims });
    log.accept(1, Record::Crash { fingerprint: 7, group });
    log.accept(1, Record::Mark { target: Target::Instance("e".into()), mark: Mark::Drain });
    log.accept(1, Record::Mark { target: Target::Entry("two".into()), mark: Mark::Cordon });
    let parts = split(&log.state).expect("the state fits");
    let bytes = parts.into_iter().flat_map(|part| part.bytes).collect();
    let snapshot = Snapshot { upto: log.state.applied(), bytes };
    (log, snapshot)
}

/// Returns the peak virtual memory size of this process in KiB, which includes memory that was
/// allocated but never touched.
fn peak_virtual_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmPeak:")).expect("VmPeak");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

fn check_records() {
    let mut random = SmallRng::seed_from_u64(12);
    for _ in 0..1_500 {
        let envelope = Envelope { append_id: append_id(&mut random), record: record(&mut random) };
        let encoded = codec::encode(&envelope).expect("within the limit");
        assert_eq!(codec::decode(&encoded).as_ref(), Ok(&envelope));
        for _ in 0..4 {
            let cut = random.random_range(1..encoded.len());
            assert_eq!(
                codec::decode(&encoded[..cut]),
                Err(Error::Malformed),
                "{envelope:?} cut at {cut}"
            );
        }
        for _ in 0..16 {
            let mut damaged = encoded.clone();
            let bit = random.random_range(0..8 * encoded.len());
            damaged[bit / 8] ^= 1 << (bit % 8);
            if let Ok(found) = codec::decode(&damaged) {
                // A damaged integer may not have its shortest form, which encoding restores.
                let again = codec::encode(&found).expect("within the limit");
                assert!(again.len() <= damaged.len());
                assert_eq!(codec::decode(&again), Ok(found));
            }
        }
        let mut noise = vec![0; random.random_range(1..300)];
        random.fill_bytes(&mut noise);
        noise[0] = codec::VERSION;
        let _ = codec::decode(&noise);
    }
}

fn check_snapshots() {
    let (log, snapshot) = populated_log();
    let options = || Options::new(common::parse);
    let upto = snapshot.upto;
    assert!(restore(options(), &snapshot).expect("the snapshot is valid") == log.state);
    for cut in 0..snapshot.bytes.len() {
        let part = Snapshot { upto, bytes: snapshot.bytes[..cut].to_vec() };
        let error = restore(options(), &part).expect_err("the snapshot is truncated");
        assert!(matches!(error, snapshot::Error::Codec(_)), "{error} at {cut}");
    }
    let mut random = SmallRng::seed_from_u64(13);
    for round in 0..6_000 {
        let mut bytes = snapshot.bytes.clone();
        match round % 3 {
            0 => random.fill_bytes(&mut bytes[1..]),
            _ => {
                let bit = random.random_range(0..8 * bytes.len());
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
        }
        let Ok(mut state) = restore(options(), &Snapshot { upto, bytes }) else { continue };
        assert_eq!(state.applied(), upto);
        // If a damaged snapshot is accepted, applying further records to its state must not panic.
        for step in 0..4 {
            let envelope =
                Envelope { append_id: append_id(&mut random), record: record(&mut random) };
            state.apply(upto + step, random_integer(&mut random), &envelope);
        }
        let restart =
            Record::Restarted { term: 1, instance: "c".into(), boot: format!("b{round}") };
        let append_id = UniqueId { incarnation: 1, sequence: u64::MAX };
        state.apply(upto + 9, log.at_ms, &Envelope { append_id, record: restart });
    }
}

/// Guards against fields that are lost by encoding, truncated input that is accepted, and damaged
/// input that makes every reader panic or allocate the memory that a damaged length states.
///
/// Records and snapshots share one test because memory is measured for the entire process.
#[test]
fn codec_round_trips_and_rejects_damage_within_bounded_memory() {
    let before = peak_virtual_kib();
    check_records();
    check_snapshots();
    let growth = peak_virtual_kib().saturating_sub(before);
    assert!(growth < 256 << 10, "virtual memory grew by {growth} KiB");
}
