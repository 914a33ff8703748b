//! The encoding of frames: a big-endian `u32` length prefix, a version byte and the frame in
//! bincode.
//!
//! The length counts the version byte and the bincode bytes, but not the prefix itself.

use std::fmt;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::enc::write::SizeWriter;
use bincode::error::DecodeError;
use smol_str::{SmolStr, format_smolstr};

use crate::frame::{Frame, Item};

/// The encoding version that this build writes, and the only one that it reads.
pub const VERSION: u8 = 1;

/// Largest encoded frame of any kind, in bytes with the length prefix.
pub const MAX_FRAME_SIZE: usize = 1 << 20;

/// Largest encoded gossip frame, in bytes with the length prefix; fits into one packet.
pub const MAX_GOSSIP_SIZE: usize = 1_200;

/// Size of the length prefix and the version byte, in bytes.
pub const HEADER_SIZE: usize = 5;

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The frame has an unsupported encoding version.
    Version {
        /// The version byte of the frame.
        found: u8,
    },
    /// The frame exceeds the size limit of its kind.
    Oversized {
        /// The size of the frame in bytes, from its length prefix or from encoding it.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The bytes end inside the frame.
    Truncated,
    /// The bytes are not a valid frame, or the frame could not be encoded.
    Malformed {
        /// What is wrong, as reported by the codec.
        cause: SmolStr,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Version { found } => {
                write!(formatter, "frame version {found} is not supported, expected {VERSION}")
            }
            Error::Oversized { size, limit } => {
                write!(formatter, "frame of {size} bytes exceeds the limit of {limit} bytes")
            }
            Error::Truncated => write!(formatter, "frame is truncated: the bytes end inside it"),
            Error::Malformed { cause } => write!(formatter, "frame is malformed: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// The limit also bounds the memory that bincode allocates for a length found in malicious bytes.
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_SIZE>> =
    bincode::config::standard().with_limit::<MAX_FRAME_SIZE>();

/// Returns the encoded size of `frame` in bytes, with the length prefix.
pub fn encoded_size(frame: &Frame) -> usize {
    HEADER_SIZE + bincode_size(frame)
}

/// Returns the number of bytes that `item` adds to a gossip frame.
pub fn encoded_item_size(item: &Item) -> usize {
    bincode_size(item)
}

/// Encodes `frame` with its length prefix.
///
/// # Errors
///
/// The encoded frame exceeds the limit of its kind: [`MAX_GOSSIP_SIZE`] for gossip, else
/// [`MAX_FRAME_SIZE`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let limit = match frame {
        Frame::Gossip { .. } => MAX_GOSSIP_SIZE,
        _ => MAX_FRAME_SIZE,
    };
    let size = encoded_size(frame);
    if size > limit {
        return Err(Error::Oversized { size, limit });
    }
    let mut bytes = Vec::with_capacity(size);
    bytes.extend_from_slice(&((size - 4) as u32).to_be_bytes());
    bytes.push(VERSION);
    match bincode::encode_into_std_write(frame, &mut bytes, CONFIG) {
        Ok(_) => Ok(bytes),
        Err(error) => Err(Error::Malformed { cause: format_smolstr!("{error}") }),
    }
}

/// Decodes `bytes`, which must be exactly one encoded frame.
///
/// # Errors
///
/// The bytes are not exactly one frame of this version within the limit of its kind.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    match announced_size(bytes)? {
        Some(size) if size == bytes.len() => decode_content(&bytes[4..]),
        Some(size) if size < bytes.len() => {
            Err(Error::Malformed { cause: SmolStr::new_static("bytes after the end of the frame") })
        }
        _ => Err(Error::Truncated),
    }
}

/// Splits the bytes of a stream into frames.
///
/// After an error the frame boundaries are lost, so every later call returns the same error. If the
/// caller pops all frames after each push, at most one incomplete frame and one read are buffered.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Index in `bytes` of the first frame that was not returned yet.
    start: usize,
    /// The first error, which ended decoding.
    failed: Option<Error>,
}

impl Decoder {
    /// Adds bytes read from the stream; ignored after an error.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.bytes.drain(..self.start);
            self.start = 0;
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Returns the next frame, or `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid frame; every later call returns the same error.
    pub fn pop(&mut self) -> Result<Option<Frame>, Error> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let result = self.next_frame();
        if let Err(error) = &result {
            self.failed = Some(error.clone());
            self.bytes = Vec::new();
            self.start = 0;
        }
        result
    }

    /// Checks at the end of the stream that it ended at a frame boundary.
    ///
    /// # Errors
    ///
    /// The last frame is incomplete, or an earlier one was invalid.
    pub fn finish(&self) -> Result<(), Error> {
        match &self.failed {
            Some(error) => Err(error.clone()),
            None if self.start < self.bytes.len() => Err(Error::Truncated),
            None => Ok(()),
        }
    }

    fn next_frame(&mut self) -> Result<Option<Frame>, Error> {
        let rest = &self.bytes[self.start..];
        match announced_size(rest)? {
            Some(size) if size <= rest.len() => {
                let frame = decode_content(&rest[4..size])?;
                self.start += size;
                Ok(Some(frame))
            }
            _ => Ok(None),
        }
    }
}

/// Returns the size, with the length prefix, of the frame at the start of `bytes`; `None` if the
/// prefix is incomplete. Checks the size limit, and the version byte if it is present.
fn announced_size(bytes: &[u8]) -> Result<Option<usize>, Error> {
    let Some(prefix) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let size = (u32::from_be_bytes(*prefix) as usize).saturating_add(4);
    match bytes.get(4) {
        _ if size > MAX_FRAME_SIZE => Err(Error::Oversized { size, limit: MAX_FRAME_SIZE }),
        _ if size <= HEADER_SIZE => {
            Err(Error::Malformed { cause: SmolStr::new_static("empty frame") })
        }
        Some(&found) if found != VERSION => Err(Error::Version { found }),
        _ => Ok(Some(size)),
    }
}

/// Decodes a version byte and the bincode bytes after it.
fn decode_content(bytes: &[u8]) -> Result<Frame, Error> {
    let content = &bytes[1..];
    match bincode::decode_from_slice::<Frame, _>(content, CONFIG) {
        Ok((_, used)) if used < content.len() => Err(Error::Malformed {
            cause: SmolStr::new_static("bytes after the content of the frame"),
        }),
        Ok((Frame::Gossip { .. }, _)) if bytes.len() + 4 > MAX_GOSSIP_SIZE => {
            Err(Error::Oversized { size: bytes.len() + 4, limit: MAX_GOSSIP_SIZE })
        }
        Ok((frame, _)) => Ok(frame),
        Err(DecodeError::UnexpectedEnd { .. }) => Err(Error::Truncated),
        Err(error) => Err(Error::Malformed { cause: format_smolstr!("{error:?}") }),
    }
}

/// Returns the size of `value` in bincode; a size above every limit if it can't be encoded.
fn bincode_size<T>(value: &T) -> usize
where
    T: bincode::Encode,
{
    let mut writer = SizeWriter::default();
    match bincode::encode_into_writer(value, &mut writer, CONFIG) {
        Ok(()) => writer.bytes_written,
        Err(_) => usize::MAX / 2,
    }
}
