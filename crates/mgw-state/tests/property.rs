//! Random, cut and damaged records and snapshots, with fixed seeds.

mod common;

use common::{Log, member};
use mgw_state::codec::{self, Error};
use mgw_state::record::{Claim, Envelope, Mark, Member, Reason, Record, Target, UniqueId};
use mgw_state::snapshot::{self, Snapshot, restore, split};
use mgw_state::state::Options;
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

/// A number of any magnitude, so that every length of a variable-length integer occurs.
fn number(random: &mut SmallRng) -> u64 {
    random.random::<u64>() >> random.random_range(0..64)
}

fn text(random: &mut SmallRng) -> String {
    let marks = ['a', '\0', '"', 'ž', '\u{10ffff}', '9'];
    (0..random.random_range(0..12)).map(|_| marks[random.random_range(0..marks.len())]).collect()
}

fn append_id(random: &mut SmallRng) -> UniqueId {
    UniqueId { incarnation: number(random), sequence: number(random) }
}

fn any_member(random: &mut SmallRng) -> Member {
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
        0 => {
            Record::Publish { publication: text(random), base: number(random), sheet: text(random) }
        }
        1 => Record::Join {
            entry: text(random),
            incarnation: number(random),
            address: text(random),
            zone: text(random),
        },
        2 => Record::Lead { term: number(random), incarnation: number(random) },
        3 => Record::Form {
            term: number(random),
            base: number(random),
            model: text(random),
            version: text(random),
            members: (0..random.random_range(0..6)).map(|_| any_member(random)).collect(),
            executor: number(random),
        },
        4 => Record::Dissolve {
            term: number(random),
            group: number(random),
            reason: reasons[random.random_range(0..reasons.len())],
        },
        5 => Record::Replace {
            term: number(random),
            group: number(random),
            lost: text(random),
            spare: any_member(random),
            executor: number(random),
        },
        6 => Record::OrderDone { instance: text(random), fence: number(random) },
        7 => Record::Restarted { term: number(random), instance: text(random), boot: text(random) },
        8 => {
            let count = random.random_range(0..6);
            let claim = |random: &mut SmallRng| Claim {
                key: random.random::<u128>() >> random.random_range(0..128),
                executor: number(random),
            };
            Record::Claim { claims: (0..count).map(|_| claim(random)).collect() }
        }
        9 => Record::Crash { fingerprint: random.random(), group: number(random) },
        10 => {
            let target = match random.random() {
                true => Target::Instance(text(random)),
                false => Target::Entry(text(random)),
            };
            Record::Mark { target, mark: marks[random.random_range(0..marks.len())] }
        }
        11 => Record::EntryGone { incarnation: number(random) },
        _ => {
            let mut bytes = vec![0; random.random_range(0..200)];
            random.fill_bytes(&mut bytes);
            Record::SnapshotPart {
                id: append_id(random),
                upto: number(random),
                index: random.random(),
                count: random.random(),
                bytes,
            }
        }
    }
}

/// A state with something in every table, and the bytes of its snapshot.
fn log() -> (Log, Snapshot) {
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
    let whole = Snapshot { upto: log.state.applied(), bytes };
    (log, whole)
}

/// Largest virtual size of this process so far, in KiB; allocations count even if not touched.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmPeak:")).expect("VmPeak");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

fn records() {
    let mut random = SmallRng::seed_from_u64(12);
    for _ in 0..1_500 {
        let sent = Envelope { append_id: append_id(&mut random), record: record(&mut random) };
        let form = codec::encode(&sent).expect("within the limit");
        assert_eq!(codec::decode(&form).as_ref(), Ok(&sent));
        for _ in 0..4 {
            let cut = random.random_range(1..form.len());
            assert_eq!(codec::decode(&form[..cut]), Err(Error::Malformed), "{sent:?} cut at {cut}");
        }
        for _ in 0..16 {
            let mut damaged = form.clone();
            let bit = random.random_range(0..8 * form.len());
            damaged[bit / 8] ^= 1 << (bit % 8);
            if let Ok(found) = codec::decode(&damaged) {
                // Integers may shrink to their shortest form.
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

fn snapshots() {
    let (log, whole) = log();
    let options = || Options::new(common::parse);
    let upto = whole.upto;
    assert!(restore(options(), &whole).expect("the snapshot is whole") == log.state);
    for cut in 0..whole.bytes.len() {
        let part = Snapshot { upto, bytes: whole.bytes[..cut].to_vec() };
        let error = restore(options(), &part).expect_err("the snapshot is cut");
        assert!(matches!(error, snapshot::Error::Codec(_)), "{error} at {cut}");
    }
    let mut random = SmallRng::seed_from_u64(13);
    for round in 0..6_000 {
        let mut bytes = whole.bytes.clone();
        match round % 3 {
            0 => random.fill_bytes(&mut bytes[1..]),
            _ => {
                let bit = random.random_range(0..8 * bytes.len());
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
        }
        let Ok(mut state) = restore(options(), &Snapshot { upto, bytes }) else { continue };
        assert_eq!(state.applied(), upto);
        // A damaged state that was accepted must not make a later record panic.
        for step in 0..4 {
            let envelope =
                Envelope { append_id: append_id(&mut random), record: record(&mut random) };
            state.apply(upto + step, number(&mut random), &envelope);
        }
        let restart =
            Record::Restarted { term: 1, instance: "c".into(), boot: format!("b{round}") };
        let append_id = UniqueId { incarnation: 1, sequence: u64::MAX };
        state.apply(upto + 9, log.at_ms, &Envelope { append_id, record: restart });
    }
}

/// Guards against a field of a record or a part of the state that is lost on the way through the
/// log, cut bytes that are taken for whole ones, and damage that makes every reader panic or
/// allocate what a damaged length names.
///
/// All in one test, because memory is measured for the whole process.
#[test]
fn records_and_snapshots_survive_the_codec_and_damage_is_an_error() {
    let before = peak();
    records();
    snapshots();
    let grown = peak().saturating_sub(before);
    assert!(grown < 256 << 10, "{grown} KiB");
}
