//! Tests of idempotency keys.

use mgw_booking::key::{self, Error, Key};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

/// Guards against entries that classify the same key differently.
#[test]
fn only_the_canonical_form_is_an_executor_key() {
    let text = key::build(0xab, 17, "r.1");
    assert_eq!(text, "mgw1.00000000000000ab.17.r.1");
    assert_eq!(key::parse(&text), Ok(Key::Executor { incarnation: 0xab, issued_ms: 17 }));
    for other in [
        "mgw1.00000000000000AB.17.r",
        "mgw1.ab.17.r",
        "mgw1.00000000000000ab.017.r",
        "mgw1.00000000000000ab.+17.r",
        "mgw1.+0000000000000ab.17.r",
        "mgw1.00000000000000ab.99999999999999999999.r",
        "mgw1.00000000000000ab.17",
        "mgw2.00000000000000ab.17.r",
        "order-7",
    ] {
        assert_eq!(key::parse(other), Ok(Key::Opaque), "{other}");
    }
}

/// Guards against the acceptance of unusable keys, such as a prefix without a part of the caller,
/// with which all of its bookings would be treated as one.
#[test]
fn unusable_keys_are_refused() {
    assert_eq!(key::parse(&key::prefix(1, 2)), Err(Error::PrefixOnly));
    assert_eq!(key::parse(""), Err(Error::Empty));
    assert_eq!(key::parse("a b"), Err(Error::InvalidCharacter));
    assert_eq!(key::parse("ä"), Err(Error::InvalidCharacter));
    assert_eq!(key::parse(&"a".repeat(key::MAX_LEN + 1)), Err(Error::TooLong));
}

/// Guards against keys of different teams or services that get the same hash and share a record.
#[test]
fn hashes_keep_their_parts_apart() {
    assert_ne!(key::hash("ab", "c", "k"), key::hash("a", "bc", "k"));
    assert_ne!(key::hash("a", "b", "k"), key::hash("a", "k", "b"));
    assert_ne!(key::content_hash(1, &[b"POST", b"/x"]), key::content_hash(2, &[b"POST", b"/x"]));
    assert_ne!(key::content_hash(1, &[b"ab", b"c"]), key::content_hash(1, &[b"a", b"bc"]));
}

/// Guards against a panic on a key from a caller, a damaged key that is taken for an executor key
/// although no process issued it in this form, and the refusal of an issued key.
#[test]
fn random_and_damaged_keys_are_classified_without_a_panic() {
    let mut random = SmallRng::seed_from_u64(20);
    for _ in 0..20_000 {
        let number = |random: &mut SmallRng| random.random::<u64>() >> random.random_range(0..64);
        let (incarnation, issued_ms) = (number(&mut random), number(&mut random));
        let own_part: String =
            (0..random.random_range(1..40)).map(|_| random.random_range('!'..='~')).collect();
        let text = key::build(incarnation, issued_ms, &own_part);
        assert_eq!(key::parse(&text), Ok(Key::Executor { incarnation, issued_ms }), "{text}");
        assert!(text.starts_with(key::prefix(incarnation, issued_ms).as_str()));
        let mut bytes = text.as_bytes().to_vec();
        match random.random_range(0..3) {
            0 => bytes.truncate(random.random_range(0..bytes.len())),
            1 => {
                let bit = random.random_range(0..8 * bytes.len());
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            _ => {
                bytes.resize(random.random_range(0..2 * key::MAX_LEN), 0);
                random.fill_bytes(&mut bytes);
            }
        }
        let damaged = String::from_utf8_lossy(&bytes);
        match key::parse(&damaged) {
            // Only the exact form that is issued names an executor.
            Ok(Key::Executor { incarnation, issued_ms }) => {
                assert!(damaged.starts_with(key::prefix(incarnation, issued_ms).as_str()));
                assert!(damaged.len() <= key::MAX_LEN);
            }
            Ok(Key::Opaque) => assert!((1..=key::MAX_LEN).contains(&damaged.len())),
            Err(Error::Empty) => assert!(damaged.is_empty()),
            Err(Error::TooLong) => assert!(damaged.len() > key::MAX_LEN),
            Err(Error::InvalidCharacter) => {
                assert!(!damaged.bytes().all(|it| it.is_ascii_graphic()))
            }
            Err(Error::PrefixOnly) => {
                assert!(damaged.starts_with("mgw1.") && damaged.ends_with('.'))
            }
        }
    }
}
