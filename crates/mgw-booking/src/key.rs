//! Idempotency keys: parsing, executor keys and hashes.

use std::fmt;

use mgw_base::hash;
use smol_str::{SmolStr, format_smolstr};

/// Maximum length of a key in bytes.
pub const MAX_LEN: usize = 256;

const EXECUTOR_SCHEME: &str = "mgw1.";

/// An idempotency key as a caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// A key with a `key_prefix` that a process issued. It names the only process incarnation that
    /// may run the booking.
    Executor {
        /// Incarnation of the process.
        incarnation: u64,
        /// Time at which the prefix was issued, in ms since the start of the process.
        issued_ms: u64,
    },
    /// Any other string. The first claim of the key in the log determines the executor.
    Opaque,
}

/// The reason for which a key is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The key is empty.
    Empty,
    /// The key is longer than [`MAX_LEN`].
    TooLong,
    /// The key holds a character other than visible ASCII.
    InvalidCharacter,
    /// The key is a `key_prefix` without a part added by the caller. All bookings with such a key
    /// would be treated as one.
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

/// Returns the `key_prefix` that the process with this incarnation issues in a directory answer
/// `issued_ms` after its start.
pub fn prefix(incarnation: u64, issued_ms: u64) -> SmolStr {
    format_smolstr!("{EXECUTOR_SCHEME}{incarnation:016x}.{issued_ms}.")
}

/// Returns the executor key with the caller's `random` part.
pub fn build(incarnation: u64, issued_ms: u64, random: &str) -> SmolStr {
    format_smolstr!("{EXECUTOR_SCHEME}{incarnation:016x}.{issued_ms}.{random}")
}

/// Parses a key.
///
/// Only the exact form that [`build`] returns is an executor key. Any other form, for example with
/// upper case digits or additional leading zeros, is opaque, so that all entries classify a key the
/// same way.
///
/// # Errors
///
/// See [`Error`].
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
    match parse_executor(text) {
        Some((_, _, "")) => Err(Error::PrefixOnly),
        Some((incarnation, issued_ms, _)) => Ok(Key::Executor { incarnation, issued_ms }),
        None => Ok(Key::Opaque),
    }
}

fn parse_executor(text: &str) -> Option<(u64, u64, &str)> {
    let (incarnation, rest) = text.strip_prefix(EXECUTOR_SCHEME)?.split_once('.')?;
    let (issued_ms, random) = rest.split_once('.')?;
    let key = (u64::from_str_radix(incarnation, 16).ok()?, issued_ms.parse().ok()?, random);
    // Formatting the parsed numbers again rejects every form but the canonical one.
    (build(key.0, key.1, key.2) == text).then_some(key)
}

/// Returns the hash of a key within its team and service.
pub fn hash(team: &str, service: &str, key: &str) -> u128 {
    hash::parts(&[team.as_bytes(), service.as_bytes(), key.as_bytes()])
}

/// Returns the content hash of a booking: the hash of `parts`, which is everything that the booking
/// asks for, and of `key`, the [`hash()`] of its team, service and key.
///
/// A booking whose key is already in use with another content hash is a conflict, so that it does
/// not get the answer of another booking.
pub fn content_hash(key: u128, parts: &[&[u8]]) -> u128 {
    let key = key.to_le_bytes();
    let mut all_parts: Vec<&[u8]> = vec![&key];
    all_parts.extend_from_slice(parts);
    hash::parts(&all_parts)
}
