//! Decoding of message bodies by their framing: fixed length, chunked or until the connection ends.

use bytes::BytesMut;

use crate::error::Error;

/// Largest chunk-size line with its extensions, in bytes, without the line feed.
const MAX_CHUNK_LINE: usize = 256;

/// Largest trailer section of a chunked body, in bytes.
const MAX_TRAILER: usize = 8_192;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes, as stated by `Content-Length` or implied by the message.
    Length(u64),
    /// The body has the chunked transfer coding and ends after its trailer section.
    Chunked,
    /// The body ends when the server closes the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Inside a body of known length, with `remaining` bytes to come.
    Fixed { remaining: u64 },
    /// Before a chunk-size line.
    ChunkSize,
    /// Inside a chunk, with `remaining` bytes to come.
    ChunkData { remaining: u64 },
    /// Before the CRLF that ends a chunk's data.
    ChunkEnd,
    /// Inside the trailer section, of which `size` bytes were read.
    Trailer { size: usize },
    /// Inside a body that ends with the connection.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Incremental decoder of one body.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(remaining) => State::Fixed { remaining },
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Self { state }
    }

    /// Returns true if the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Moves the body bytes in `input` to `output`, without the chunk framing; bytes after the end
    /// of the body stay in `input`.
    ///
    /// # Errors
    ///
    /// [`Error::Chunk`] if a chunk or the trailer section is malformed or too large.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<(), Error> {
        loop {
            let before = (self.state, input.len());
            self.step(input, output)?;
            if before == (self.state, input.len()) {
                return Ok(());
            }
        }
    }

    /// Ends the body at the end of the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`] if the framing requires more bytes.
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
            State::Fixed { remaining } => {
                let remaining = transfer(remaining, input, output);
                self.state = if remaining == 0 { State::Done } else { State::Fixed { remaining } };
            }
            State::ChunkSize => {
                if let Some(line) = take_line(input, MAX_CHUNK_LINE)? {
                    let remaining = parse_chunk_size(&line)?;
                    let (trailer, data) =
                        (State::Trailer { size: 0 }, State::ChunkData { remaining });
                    self.state = if remaining == 0 { trailer } else { data };
                }
            }
            State::ChunkData { remaining } => {
                let remaining = transfer(remaining, input, output);
                self.state =
                    if remaining == 0 { State::ChunkEnd } else { State::ChunkData { remaining } };
            }
            State::ChunkEnd if input.len() >= 2 => {
                if input.split_to(2) != b"\r\n"[..] {
                    return Err(Error::Chunk);
                }
                self.state = State::ChunkSize;
            }
            State::ChunkEnd => {}
            State::Trailer { size } => match take_line(input, MAX_TRAILER)? {
                Some(line) if line.is_empty() => self.state = State::Done,
                Some(line) if size + line.len() > MAX_TRAILER => return Err(Error::Chunk),
                Some(line) => self.state = State::Trailer { size: size + line.len() + 2 },
                None => {}
            },
        }
        Ok(())
    }
}

/// Moves at most `remaining` bytes from `input` to `output` and returns how many are still to come.
fn transfer(remaining: u64, input: &mut BytesMut, output: &mut BytesMut) -> u64 {
    let size = remaining.min(input.len() as u64);
    output.extend_from_slice(&input.split_to(size as usize));
    remaining - size
}

/// Takes a line without its CRLF from the front of `input`; `None` if more bytes are needed. A line
/// that ends with a bare line feed or exceeds `limit` bytes is an error.
fn take_line(input: &mut BytesMut, limit: usize) -> Result<Option<BytesMut>, Error> {
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

/// Parses the hexadecimal size before the chunk extensions; 15 digits at most, which fit into a
/// `u64`.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let valid = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| Error::Chunk)?;
    match u64::from_str_radix(text, 16) {
        Ok(size) if valid => Ok(size),
        _ => Err(Error::Chunk),
    }
}
