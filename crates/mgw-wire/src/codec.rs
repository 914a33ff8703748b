//! The byte form of frames: a big-endian `u32` length, a version byte and the encoded frame.
//!
//! The length counts the version byte and the encoded frame.

use std::fmt;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::enc::write::SizeWriter;
use bincode::error::DecodeError;
use smol_str::{SmolStr, format_smolstr};

use crate::frame::{Frame, Item};

/// The version that this build writes, and the only one that it reads.
pub const VERSION: u8 = 1;

/// Largest byte form of any frame, with its length prefix.
pub const MAX_FRAME_SIZE: usize = 1 << 20;

/// Largest byte form of a gossip frame, with its length prefix; it fits one packet.
pub const MAX_GOSSIP_SIZE: usize = 1_200;

/// Bytes of the length prefix and the version.
pub const HEADER_SIZE: usize = 5;

/// Why bytes or a frame were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The sender writes another version.
    Version {
        /// The version found.
        found: u8,
    },
    /// The frame is larger than its limit.
    Oversized {
        /// The size announced or needed.
        size: usize,
        /// The limit.
        limit: usize,
    },
    /// The bytes end before the frame does.
    Truncated,
    /// The bytes aren't a frame.
    Malformed {
        /// The decoder's account.
        cause: SmolStr,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Version { found } => {
                write!(formatter, "frame version {found} is unknown, {VERSION} is expected")
            }
            Error::Oversized { size, limit } => {
                write!(formatter, "frame of {size} bytes exceeds the limit of {limit}")
            }
            Error::Truncated => write!(formatter, "frame is truncated"),
            Error::Malformed { cause } => write!(formatter, "frame is malformed: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// The limit also bounds what the decoder allocates for lengths found in hostile bytes.
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_SIZE>> =
    bincode::config::standard().with_limit::<MAX_FRAME_SIZE>();

/// Size of the byte form of `frame`, with its length prefix.
pub fn encoded_size(frame: &Frame) -> usize {
    HEADER_SIZE + measure(frame)
}

/// Size that `item` adds to a gossip frame.
pub fn encoded_item_size(item: &Item) -> usize {
    measure(item)
}

/// The byte form of `frame`.
///
/// # Errors
///
/// The byte form exceeds the limit of its kind: [`MAX_GOSSIP_SIZE`] for gossip, else [`MAX_FRAME_SIZE`].
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

/// The frame of which `bytes` is the whole byte form.
///
/// # Errors
///
/// The bytes are not exactly one frame of this version within the limit of its kind.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    match announced(bytes)? {
        Some(size) if size == bytes.len() => body(&bytes[4..]),
        Some(size) if size < bytes.len() => {
            Err(Error::Malformed { cause: SmolStr::new_static("bytes follow the frame") })
        }
        _ => Err(Error::Truncated),
    }
}

/// Splits the bytes of one stream into frames.
///
/// After an error the stream's frame boundaries are lost, so every later call returns the same
/// error. At most one frame and one chunk are held.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Everything before this place was returned.
    start: usize,
    failed: Option<Error>,
}

impl Decoder {
    /// Appends bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.bytes.drain(..self.start);
            self.start = 0;
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The next whole frame, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// The bytes are no frame; every later call returns the same error.
    pub fn pop(&mut self) -> Result<Option<Frame>, Error> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let result = self.split();
        if let Err(error) = &result {
            self.failed = Some(error.clone());
            self.bytes = Vec::new();
            self.start = 0;
        }
        result
    }

    /// Checks that the stream ends at a frame boundary.
    ///
    /// # Errors
    ///
    /// A frame is incomplete, or an earlier one was no frame.
    pub fn finish(&self) -> Result<(), Error> {
        match &self.failed {
            Some(error) => Err(error.clone()),
            None if self.start < self.bytes.len() => Err(Error::Truncated),
            None => Ok(()),
        }
    }

    fn split(&mut self) -> Result<Option<Frame>, Error> {
        let rest = &self.bytes[self.start..];
        match announced(rest)? {
            Some(size) if size <= rest.len() => {
                let frame = body(&rest[4..size])?;
                self.start += size;
                Ok(Some(frame))
            }
            _ => Ok(None),
        }
    }
}

/// Size of the byte form that starts with `bytes`, as announced; `None` if the prefix is cut.
fn announced(bytes: &[u8]) -> Result<Option<usize>, Error> {
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

fn body(bytes: &[u8]) -> Result<Frame, Error> {
    let content = &bytes[1..];
    match bincode::decode_from_slice::<Frame, _>(content, CONFIG) {
        Ok((_, used)) if used < content.len() => {
            Err(Error::Malformed { cause: SmolStr::new_static("bytes follow the frame's content") })
        }
        Ok((Frame::Gossip { .. }, _)) if bytes.len() + 4 > MAX_GOSSIP_SIZE => {
            Err(Error::Oversized { size: bytes.len() + 4, limit: MAX_GOSSIP_SIZE })
        }
        Ok((frame, _)) => Ok(frame),
        Err(DecodeError::UnexpectedEnd { .. }) => Err(Error::Truncated),
        Err(error) => Err(Error::Malformed { cause: format_smolstr!("{error:?}") }),
    }
}

fn measure<T>(value: &T) -> usize
where
    T: bincode::Encode,
{
    let mut writer = SizeWriter::default();
    match bincode::encode_into_writer(value, &mut writer, CONFIG) {
        Ok(()) => writer.bytes_written,
        Err(_) => usize::MAX / 2,
    }
}
