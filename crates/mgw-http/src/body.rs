//! Body framing.

use bytes::BytesMut;

use crate::error::Error;

/// The largest line that states a chunk's size, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// The largest trailer, in bytes.
const MAX_TRAILER: usize = 8_192;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fixed { left: u64 },
    ChunkSize,
    ChunkData { left: u64 },
    ChunkEnd,
    Trailer { size: usize },
    UntilClose,
    Done,
}

/// Takes a body apart as its bytes arrive.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(left) => State::Fixed { left },
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Moves what `input` holds of the body to `output`; bytes after the body's end stay.
    ///
    /// # Errors
    ///
    /// A malformed chunk.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<(), Error> {
        loop {
            let before = (self.state, input.len());
            self.step(input, output)?;
            if before == (self.state, input.len()) {
                return Ok(());
            }
        }
    }

    /// Takes note of the end of the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`] if the body should go on.
    pub fn finish(&mut self) -> Result<(), Error> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Error::Truncated),
        }
    }

    fn step(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<(), Error> {
        match self.state {
            State::Done => {}
            State::UntilClose => output.unsplit(input.split()),
            State::Fixed { left } => {
                let left = take(left, input, output);
                self.state = if left == 0 { State::Done } else { State::Fixed { left } };
            }
            State::ChunkSize => {
                if let Some(line) = line(input, MAX_CHUNK_LINE)? {
                    let left = chunk_size(&line)?;
                    let (trailer, data) = (State::Trailer { size: 0 }, State::ChunkData { left });
                    self.state = if left == 0 { trailer } else { data };
                }
            }
            State::ChunkData { left } => {
                let left = take(left, input, output);
                self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData { left } };
            }
            State::ChunkEnd if input.len() >= 2 => {
                if input.split_to(2) != b"\r\n"[..] {
                    return Err(Error::Chunk);
                }
                self.state = State::ChunkSize;
            }
            State::ChunkEnd => {}
            State::Trailer { size } => match line(input, MAX_TRAILER)? {
                Some(line) if line.is_empty() => self.state = State::Done,
                Some(line) if size + line.len() > MAX_TRAILER => return Err(Error::Chunk),
                Some(line) => self.state = State::Trailer { size: size + line.len() + 2 },
                None => {}
            },
        }
        Ok(())
    }
}

fn take(left: u64, input: &mut BytesMut, output: &mut BytesMut) -> u64 {
    let size = left.min(input.len() as u64);
    output.extend_from_slice(&input.split_to(size as usize));
    left - size
}

/// A line without its CRLF.
fn line(input: &mut BytesMut, limit: usize) -> Result<Option<BytesMut>, Error> {
    match memchr::memchr(b'\n', input) {
        Some(end) if end >= 1 && end <= limit && input[end - 1] == b'\r' => {
            let mut line = input.split_to(end + 1);
            line.truncate(end - 1);
            Ok(Some(line))
        }
        Some(_) => Err(Error::Chunk),
        None if input.len() > limit => Err(Error::Chunk),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let valid = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| Error::Chunk)?;
    match u64::from_str_radix(text, 16) {
        Ok(size) if valid => Ok(size),
        _ => Err(Error::Chunk),
    }
}
