//! A TCP connection with a read buffer.

use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use mgw_http::body::Decoder;
use mgw_http::error::Error;
use mgw_http::head::{self, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// Maximum bytes buffered of what a caller sends while its request is being served. Reading stops
/// beyond that.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Time that sent bytes may stay unacknowledged until the connection fails (`TCP_USER_TIMEOUT`). It
/// detects peers that have lost power.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets `TCP_NODELAY` and `TCP_USER_TIMEOUT`. Errors are ignored: without these options the
/// connection works, but it is slower and detects failed peers later.
pub fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// A TCP connection with the input that has not been consumed yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    pub input: BytesMut,
    /// Whether it has carried an exchange before the present one, whose response the server may
    /// send once more.
    pub is_reused: bool,
}

impl Connection {
    /// Sets the options of an open stream and wraps it.
    pub fn new(stream: TcpStream) -> Self {
        set_options(&stream);
        Self { stream, input: BytesMut::new(), is_reused: false }
    }

    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// The connection fails, or [`io::ErrorKind::TimedOut`] after `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        match tokio::time::timeout(limit, TcpStream::connect(address)).await {
            Ok(stream) => Ok(Self::new(stream?)),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Waits for input, appends it to `input` and returns the number of bytes; 0 at the end of the
    /// stream.
    ///
    /// Cancel safe: a cancelled call loses no bytes.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.input).await
    }

    /// Polls for input, the end of the stream or an error, without reading it.
    pub fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()> {
        self.stream.poll_read_ready(context).map(|_| ())
    }

    /// Appends input that has arrived to `input`, without waiting, and returns the number of bytes;
    /// 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// The connection failed, or [`io::ErrorKind::WouldBlock`] if no input has arrived.
    pub fn try_read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        self.stream.try_read_buf(&mut self.input)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Whether the connection is open and has no unread input, as is needed for its reuse. If input
    /// has arrived, one byte of it is lost.
    pub fn is_idle(&mut self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        self.input.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads a whole response with a head of at most `max_head` bytes and a body of at most
    /// `max_body` bytes.
    ///
    /// # Errors
    ///
    /// The connection failed or ended early, or [`io::ErrorKind::InvalidData`] if the response is
    /// malformed or too large.
    pub async fn read_response(
        &mut self,
        max_head: usize,
        max_body: usize,
    ) -> io::Result<(Response, BytesMut)> {
        let invalid = |error: Error| io::Error::new(io::ErrorKind::InvalidData, error);
        let head = loop {
            match head::parse_response(&mut self.input, max_head).map_err(invalid)? {
                Some(head) => break head,
                None if self.read().await? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {}
            }
        };
        let (mut decoder, mut body) = (Decoder::new(head.framing), BytesMut::new());
        loop {
            decoder.decode(&mut self.input, &mut body).map_err(invalid)?;
            if body.len() > max_body {
                return Err(invalid(Error::BodySize));
            }
            if decoder.is_done() {
                return Ok((head, body));
            }
            if self.read().await? == 0 {
                decoder.finish().map_err(invalid)?;
            }
        }
    }

    /// Waits until the peer has closed the connection. Bytes that arrive meanwhile are kept in
    /// `input`; once it is full, this waits without end.
    ///
    /// Cancel safe: a cancelled call loses no bytes.
    pub async fn closed(&mut self) {
        loop {
            if self.input.len() >= MAX_READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            match self.read().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Makes the connection end with a reset when it is dropped, so that the peer does not take a
    /// body without framing for complete. Errors are ignored, as a closed connection has no peer.
    pub fn reset_on_drop(&self) {
        let _ = self.stream.set_zero_linger();
    }

    /// Shuts down the sending side, then reads and discards input until the peer closes or `limit`
    /// ends. Closing at once could reset the connection while the peer is still sending, and the
    /// peer would lose the last response.
    pub async fn linger(mut self, limit: Duration) {
        let discard = async {
            if self.stream.shutdown().await.is_err() {
                return;
            }
            while matches!(self.read().await, Ok(size) if size > 0) {
                self.input.clear();
            }
        };
        // A peer that does not close in time is no error.
        let _ = tokio::time::timeout(limit, discard).await;
    }

    /// Writes `bytes`, but stops early if the peer responds or closes before all are written.
    /// Returns whether all were written. What the peer sent is in `input`.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn send(&mut self, mut bytes: &[u8]) -> io::Result<bool> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(size) => bytes = &bytes[size..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    tokio::select! {
                        ready = self.stream.writable() => ready?,
                        ready = self.stream.readable() => {
                            ready?;
                            match self.try_read() {
                                Ok(_) => return Ok(false),
                                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                                Err(error) => return Err(error),
                            }
                        }
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}
