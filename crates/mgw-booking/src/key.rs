//! Idempotency keys: executor keys, opaque keys and their hashes.

use std::fmt;

use mgw_base::hash;
use smol_str::{SmolStr, format_smolstr};

/// The longest accepted key in bytes.
pub const MAX_LEN: usize = 256;

const SCHEME: &str = "mgw1.";

/// An idempotency key as a caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Names the only process incarnation that may run the booking.
    Executor {
        /// The incarnation.
        incarnation: u64,
        /// When the prefix was issued, in ms since the incarnation's start.
        issued_ms: u64,
    },
    /// Any other string; the first claim in the log decides the executor.
    Opaque,
}

/// Why a key is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The key is empty.
    Empty,
    /// The key is longer than [`LIMIT`].
    TooLong,
    /// The key holds a character other than visible ASCII.
    InvalidCharacter,
    /// The key is a `key_prefix` without a part of the caller's own. All bookings made with such
    /// a key would count as one.
    PrefixOnly,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::Empty => "the idempotency key is empty",
            Error::TooLong => "the idempotency key is too long",
            Error::InvalidCharacter => {
                "the idempotency key holds a character other than visible ASCII"
            }
            Error::PrefixOnly => "the idempotency key consists of the key prefix alone",
        })
    }
}

impl std::error::Error for Error {}

/// The `key_prefix` of `incarnation` for a directory answer given `issued` ms after its start.
pub fn prefix(incarnation: u64, issued_ms: u64) -> SmolStr {
    format_smolstr!("{SCHEME}{incarnation:016x}.{issued_ms}.")
}

/// The executor key with the caller's `random` part.
pub fn build(incarnation: u64, issued_ms: u64, random: &str) -> SmolStr {
    format_smolstr!("{SCHEME}{incarnation:016x}.{issued_ms}.{random}")
}

/// Reads a key.
///
/// Only the exact form that [`build`] writes is an executor key. Every other form, such as upper
/// case digits or leading zeros, is opaque, so that all entries classify a key the same way.
pub fn parse(text: &str) -> Result<Key, Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(Error::TooLong);
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Error::InvalidCharacter);
    }
    match executor(text) {
        Some((_, _, "")) => Err(Error::PrefixOnly),
        Some((incarnation, issued_ms, _)) => Ok(Key::Executor { incarnation, issued_ms }),
        None => Ok(Key::Opaque),
    }
}

fn executor(text: &str) -> Option<(u64, u64, &str)> {
    let (incarnation, rest) = text.strip_prefix(SCHEME)?.split_once('.')?;
    let (issued_ms, random) = rest.split_once('.')?;
    let key = (u64::from_str_radix(incarnation, 16).ok()?, issued_ms.parse().ok()?, random);
    // Printing the parsed numbers again rejects every form but the canonical one.
    (build(key.0, key.1, key.2) == text).then_some(key)
}

/// Hash of a key within its team and service.
pub fn hash(team: &str, service: &str, key: &str) -> u128 {
    hash::parts(&[team.as_bytes(), service.as_bytes(), key.as_bytes()])
}

/// Hash of everything that a booking asks for, with its key.
///
/// Covering team, service and key turns a collision of key hashes into a conflict instead of
/// another booking's answer.
pub fn content_hash(key: u128, parts: &[&[u8]]) -> u128 {
    let key = key.to_le_bytes();
    let mut all: Vec<&[u8]> = vec![&key];
    all.extend_from_slice(parts);
    hash::parts(&all)
}
