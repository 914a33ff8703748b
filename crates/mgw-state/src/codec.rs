//! Encoding of the records in the `control` stream: a version byte, then the bincode form of the
//! envelope.

use std::fmt;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};

use crate::record::Envelope;

/// Version of the encoding; the first byte of every record.
pub const VERSION: u8 = 1;

/// Maximum size of a record in bytes, including the version byte.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Maximum memory in bytes that decoding a record may allocate. It exceeds [`MAX_RECORD_BYTES`]
/// because decoded elements are larger than encoded ones: an empty member takes 2 bytes encoded and
/// 48 bytes in memory.
const MAX_DECODE_MEMORY: usize = 32 << 20;

/// Why bytes cannot be decoded, or a value cannot be encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The input is empty.
    Empty,
    /// The version byte, which is given, differs from the expected one.
    Version(u8),
    /// The record, whose size in bytes is given, exceeds [`MAX_RECORD_BYTES`].
    Oversized(usize),
    /// The bytes behind the version are not exactly one encoded value, or decoding them would
    /// exceed the memory limit.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "no bytes to decode"),
            Self::Version(version) => {
                write!(formatter, "unsupported encoding version {version}")
            }
            Self::Oversized(size) => {
                write!(
                    formatter,
                    "record of {size} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes"
                )
            }
            Self::Malformed => write!(formatter, "malformed encoding"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes an envelope.
///
/// # Errors
///
/// Returns [`Error::Oversized`] if the result exceeds [`MAX_RECORD_BYTES`].
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    let bytes = encode_versioned(VERSION, envelope)?;
    match bytes.len() {
        size if size > MAX_RECORD_BYTES => Err(Error::Oversized(size)),
        _ => Ok(bytes),
    }
}

/// Decodes an envelope. Never panics, and allocates a bounded amount of memory whatever lengths the
/// bytes state.
///
/// # Errors
///
/// Returns an error unless the bytes are exactly one envelope of version [`VERSION`] and at most
/// [`MAX_RECORD_BYTES`] long.
pub fn decode(bytes: &[u8]) -> Result<Envelope, Error> {
    match bytes.len() {
        size if size > MAX_RECORD_BYTES => Err(Error::Oversized(size)),
        _ => decode_versioned::<Envelope, MAX_DECODE_MEMORY>(VERSION, bytes),
    }
}

fn configuration<const MEMORY: usize>() -> Configuration<LittleEndian, Varint, Limit<MEMORY>> {
    bincode::config::standard().with_limit::<MEMORY>()
}

/// Encodes `value` behind the byte `version`.
pub(crate) fn encode_versioned<T>(version: u8, value: &T) -> Result<Vec<u8>, Error>
where
    T: Encode,
{
    let mut bytes = vec![version];
    bincode::encode_into_std_write(value, &mut bytes, bincode::config::standard())
        .map_err(|_| Error::Malformed)?;
    Ok(bytes)
}

/// Decodes the output of [`encode_versioned`] for the same version, allocating at most `MEMORY`
/// bytes.
pub(crate) fn decode_versioned<T, const MEMORY: usize>(
    version: u8,
    bytes: &[u8],
) -> Result<T, Error>
where
    T: Decode<()>,
{
    match bytes.split_first() {
        None => Err(Error::Empty),
        Some((found, _)) if *found != version => Err(Error::Version(*found)),
        Some((_, body)) => match bincode::decode_from_slice(body, configuration::<MEMORY>()) {
            Ok((value, used)) if used == body.len() => Ok(value),
            _ => Err(Error::Malformed),
        },
    }
}
