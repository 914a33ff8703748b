//! Bytes of the records in the `control` stream: a version byte, then the envelope.

use std::fmt;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};

use crate::record::Envelope;

/// Version of the encoding, the first byte of every record.
pub const VERSION: u8 = 1;

/// Largest record in bytes, including the version byte.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Largest memory that decoding claims. Elements take more memory than bytes on the wire (an empty
/// member is 2 bytes and 48 in memory), so it is larger than the limit of the bytes.
const MAX_DECODE_MEMORY: usize = 32 << 20;

/// Why bytes are not a record, or a record cannot be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No bytes.
    Empty,
    /// Written by another version of this program.
    Version(u8),
    /// Larger than [`MAX_RECORD_BYTES`]; the size in bytes.
    Oversized(usize),
    /// Not an envelope, or followed by further bytes.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "the record is empty"),
            Self::Version(version) => write!(formatter, "unknown record version {version}"),
            Self::Oversized(size) => {
                write!(formatter, "record of {size} bytes exceeds {MAX_RECORD_BYTES}")
            }
            Self::Malformed => write!(formatter, "malformed record"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes an envelope.
///
/// # Errors
///
/// The record has more than [`MAX_RECORD_BYTES`] bytes.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    let bytes = pack(VERSION, envelope)?;
    match bytes.len() {
        size if size > MAX_RECORD_BYTES => Err(Error::Oversized(size)),
        _ => Ok(bytes),
    }
}

/// Decodes an envelope; never panics, and claims a bounded amount of memory.
///
/// # Errors
///
/// The bytes are not exactly one envelope of this version within [`MAX_RECORD_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<Envelope, Error> {
    match bytes.len() {
        size if size > MAX_RECORD_BYTES => Err(Error::Oversized(size)),
        _ => unpack::<Envelope, MAX_DECODE_MEMORY>(VERSION, bytes),
    }
}

fn configuration<const SIZE: usize>() -> Configuration<LittleEndian, Varint, Limit<SIZE>> {
    bincode::config::standard().with_limit::<SIZE>()
}

/// Encodes `value` behind a version byte.
pub(crate) fn pack<T>(version: u8, value: &T) -> Result<Vec<u8>, Error>
where
    T: Encode,
{
    let mut bytes = vec![version];
    bincode::encode_into_std_write(value, &mut bytes, bincode::config::standard())
        .map_err(|_| Error::Malformed)?;
    Ok(bytes)
}

/// Decodes what [`pack`] wrote, claiming at most `SIZE` bytes of memory.
pub(crate) fn unpack<T, const SIZE: usize>(version: u8, bytes: &[u8]) -> Result<T, Error>
where
    T: Decode<()>,
{
    match bytes.split_first() {
        None => Err(Error::Empty),
        Some((found, _)) if *found != version => Err(Error::Version(*found)),
        Some((_, body)) => match bincode::decode_from_slice(body, configuration::<SIZE>()) {
            Ok((value, used)) if used == body.len() => Ok(value),
            _ => Err(Error::Malformed),
        },
    }
}
