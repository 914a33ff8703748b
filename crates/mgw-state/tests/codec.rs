//! Tests of the records' encoding.

use mgw_state::codec::{Error, MAX_RECORD_BYTES, VERSION, decode, encode};
use mgw_state::record::{Claim, Envelope, Member, Record, UniqueId};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

fn envelope(record: Record) -> Envelope {
    Envelope { append_id: UniqueId { incarnation: u64::MAX, sequence: 300 }, record }
}

fn form(members: usize) -> Envelope {
    let member = |place: usize| Member { instance: format!("i{place}"), boot: String::new() };
    envelope(Record::Form {
        term: 1,
        base: 2,
        model: "m".into(),
        version: "1".into(),
        members: (0..members).map(member).collect(),
        executor: 3,
    })
}

/// Guards against records that are written but cannot be read: small elements take many times
/// their encoded size in memory.
#[test]
fn everything_that_is_written_can_be_read() {
    let claims = vec![Claim { key: 0, executor: 0 }; 400_000];
    for written in [form(3), form(100_000), envelope(Record::Claim { claims })] {
        let bytes = encode(&written).expect("within the limit");
        assert!(decode(&bytes) == Ok(written));
    }
}

/// Guards against foreign, oversized and cut bytes being taken for a record.
#[test]
fn faulty_bytes_give_the_fault() {
    let bytes = encode(&form(3)).expect("within the limit");
    let mut other = bytes.clone();
    other[0] = VERSION + 1;
    assert_eq!(decode(&other), Err(Error::Version(VERSION + 1)));
    assert_eq!(decode(&[]), Err(Error::Empty));
    assert_eq!(decode(&bytes[..bytes.len() - 1]), Err(Error::Malformed));
    assert_eq!(decode(&[&bytes[..], &[0]].concat()), Err(Error::Malformed));
    assert_eq!(
        decode(&vec![VERSION; MAX_RECORD_BYTES + 1]),
        Err(Error::Oversized(MAX_RECORD_BYTES + 1))
    );
    let sheet = "x".repeat(MAX_RECORD_BYTES);
    let large = envelope(Record::Publish { publication: "p".into(), base: 0, sheet });
    assert!(matches!(encode(&large), Err(Error::Oversized(_))));
}

/// Guards against a panic or a huge allocation: a length of 2^62 in place of a string's.
#[test]
fn random_and_hostile_bytes_never_panic() {
    let mut random = SmallRng::seed_from_u64(1);
    let good = encode(&form(5)).expect("within the limit");
    for _ in 0..20_000 {
        let mut bytes = good.clone();
        for _ in 0..random.random_range(1..4) {
            let place = random.random_range(0..bytes.len());
            bytes[place] = random.random();
        }
        let _ = decode(&bytes);
        random.fill_bytes(&mut bytes[1..]);
        let _ = decode(&bytes);
    }
    let mut hostile = vec![VERSION, 0, 0, 0];
    hostile.extend([253, 0, 0, 0, 0, 0, 0, 0, 64]);
    assert_eq!(decode(&hostile), Err(Error::Malformed));
}
