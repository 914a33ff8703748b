//! Replication of the store's contents from entries that read the store (*readers*) to entries that
//! follow them (*followers*), over HTTP/2 streams with the messages of [`mgw_fleet::feed`].
//!
//! A follower opens one connection with one stream to its reader. The request body carries the
//! follower's polls, and the response body carries the reader's updates.

pub mod follower;
pub mod reader;

use std::fmt;
use std::time::Duration;

use bytes::BytesMut;
use h2::RecvStream;
use mgw_fleet::feed;

/// URI of the stream's request.
const STREAM_URI: &str = "http://entry/feed";

/// HTTP/2 flow-control window in bytes; a list of all servers fits.
const WINDOW_BYTES: u32 = 1 << 20;

/// Timeout for the TCP connection and the HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a stream between a follower and its reader ended.
#[derive(Debug)]
pub enum Error {
    /// The TCP connection could not be established.
    Connect(std::io::Error),
    /// The HTTP/2 connection or stream failed.
    Transport(h2::Error),
    /// The peer ended the stream, or its address is unknown or the request is invalid.
    StreamClosed,
    /// A message could not be encoded or decoded.
    Message(feed::Error),
    /// The peer sent no message in time, or the connection was not established in time.
    Timeout,
    /// The reader has had outdated data for too long.
    Stale,
    /// This entry now reads the store itself or prefers another reader.
    ReaderChanged,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(cause) => write!(formatter, "connect: {cause}"),
            Error::Transport(cause) => write!(formatter, "HTTP/2 stream: {cause}"),
            Error::StreamClosed => {
                formatter.write_str("the stream could not be opened or has ended")
            }
            Error::Message(cause) => write!(formatter, "encode or decode a message: {cause}"),
            Error::Timeout => formatter.write_str("timed out"),
            Error::Stale => formatter.write_str("the reader's data is outdated"),
            Error::ReaderChanged => formatter.write_str("the store or another reader is preferred"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads the next message of a stream with `decode`; `input` holds bytes of messages that are
/// incomplete.
///
/// Cancel safe: a cancelled call loses no bytes.
async fn read_message<T, F>(
    stream: &mut RecvStream,
    input: &mut BytesMut,
    decode: F,
) -> Result<T, Error>
where
    F: Fn(&mut BytesMut) -> Result<Option<T>, feed::Error>,
{
    loop {
        if let Some(message) = decode(input).map_err(Error::Message)? {
            return Ok(message);
        }
        let bytes = stream.data().await.ok_or(Error::StreamClosed)?.map_err(Error::Transport)?;
        stream.flow_control().release_capacity(bytes.len()).map_err(Error::Transport)?;
        input.extend_from_slice(&bytes);
    }
}
