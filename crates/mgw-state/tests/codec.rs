//! Tests of the encoding of records.

use mgw_state::codec::{Error, MAX_RECORD_BYTES, VERSION, decode, encode};
use mgw_state::record::{Claim, Envelope, Member, Record, UniqueId};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

fn envelope(record: Record) -> Envelope {
    Envelope { append_id: UniqueId { incarnation: u64::MAX, sequence: 300 }, record }
}

fn form(members: usize) -> Envelope {
    let member = |index: usize| Member { instance: format!("i{index}"), boot: String::new() };
    envelope(Record::Form {
        term: 1,
        base: 2,
        model: "m".into(),
        version: "1".into(),
        members: (0..members).map(member).collect(),
        executor: 3,
    })
}

/// Guards against a memory limit that rejects valid records on decoding: small elements take many
/// times their encoded size in memory.
#[test]
fn encoded_records_decode_to_the_same_value() {
    let claims = vec![Claim { key: 0, executor: 0 }; 400_000];
    for original in [form(3), form(100_000), envelope(Record::Claim { claims })] {
        let bytes = encode(&original).expect("within the limit");
        assert!(decode(&bytes) == Ok(original));
    }
}

/// Guards against bytes of another version, truncated, oversized or trailing bytes being accepted
/// as a record.
#[test]
fn invalid_bytes_return_the_matching_error() {
    let bytes = encode(&form(3)).expect("within the limit");
    let mut other_version = bytes.clone();
    other_version[0] = VERSION + 1;
    assert_eq!(decode(&other_version), Err(Error::Version(VERSION + 1)));
    assert_eq!(decode(&[]), Err(Error::Empty));
    assert_eq!(decode(&bytes[..bytes.len() - 1]), Err(Error::Malformed));
    assert_eq!(decode(&[&bytes[..], &[0]].concat()), Err(Error::Malformed));
    assert_eq!(
        decode(&vec![VERSION; MAX_RECORD_BYTES + 1]),
        Err(Error::Oversized(MAX_RECORD_BYTES + 1))
    );
    let sheet = "x".repeat(MAX_RECORD_BYTES);
    let oversized = envelope(Record::Publish { publication: "p".into(), base: 0, sheet });
    assert!(matches!(encode(&oversized), Err(Error::Oversized(_))));
}

/// Guards against a panic or a huge allocation on corrupt input, such as a string length of 2^62.
#[test]
fn corrupt_bytes_never_panic_or_allocate_stated_lengths() {
    let mut random = SmallRng::seed_from_u64(1);
    let valid = encode(&form(5)).expect("within the limit");
    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        for _ in 0..random.random_range(1..4) {
            let index = random.random_range(0..bytes.len());
            bytes[index] = random.random();
        }
        let _ = decode(&bytes);
        random.fill_bytes(&mut bytes[1..]);
        let _ = decode(&bytes);
    }
    // A `Publish` whose identifier has a length of 2^62.
    let mut forged = vec![VERSION, 0, 0, 0];
    forged.extend([253, 0, 0, 0, 0, 0, 0, 0, 64]);
    assert_eq!(decode(&forged), Err(Error::Malformed));
}
