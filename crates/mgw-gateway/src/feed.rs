//! Links between entries that read the store and those that follow them: `h2` streams with messages
//! of [`mgw_fleet::feed`].
//!
//! A follower opens one connection to its reader with one stream. Its body carries the questions, the
//! body of the answer carries the news.

pub mod follower;
pub mod reader;

use std::fmt;
use std::time::Duration;

use bincode::Decode;
use bytes::BytesMut;
use h2::RecvStream;
use mgw_fleet::feed;

/// The path of the stream.
const STREAM_URI: &str = "http://entry/feed";

/// Window of the streams in bytes; a list of all servers fits.
const WINDOW_BYTES: u32 = 1 << 20;

/// Time for a connection and its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a link ended.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be made.
    Connect(std::io::Error),
    /// The connection broke.
    Transport(h2::Error),
    /// The other side ended the stream.
    StreamClosed,
    /// The other side sent something else than messages.
    Message(feed::Error),
    /// The other side was silent for too long.
    Timeout,
    /// The reader knows nothing new.
    Stale,
    /// This entry reads the store now, or follows another reader.
    ReaderChanged,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(cause) => write!(formatter, "connect: {cause}"),
            Error::Transport(cause) => write!(formatter, "read: {cause}"),
            Error::StreamClosed => formatter.write_str("the other side ended the stream"),
            Error::Message(cause) => write!(formatter, "read: {cause}"),
            Error::Timeout => formatter.write_str("no message in time"),
            Error::Stale => formatter.write_str("what it knows is too old"),
            Error::ReaderChanged => formatter.write_str("another source is preferred"),
        }
    }
}

impl std::error::Error for Error {}

/// The next message of a stream. May be cancelled without loss.
async fn read_message<T>(stream: &mut RecvStream, input: &mut BytesMut) -> Result<T, Error>
where
    T: Decode<()>,
{
    loop {
        if let Some(message) = feed::decode(input).map_err(Error::Message)? {
            return Ok(message);
        }
        let bytes = stream.data().await.ok_or(Error::StreamClosed)?.map_err(Error::Transport)?;
        stream.flow_control().release_capacity(bytes.len()).map_err(Error::Transport)?;
        input.extend_from_slice(&bytes);
    }
}
