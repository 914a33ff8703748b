//! A connection with a buffer of what has arrived.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Room for one read in bytes.
const READ_BYTES: usize = 8 << 10;

/// Bytes that a caller may send ahead while its request is answered.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Time for sent bytes to be acknowledged, after which a peer that has lost power is given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets the options of a connection. Without them it still works, only later.
pub fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// A TCP connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that arrived and were not taken yet.
    pub input: BytesMut,
}

impl Connection {
    /// A connection on an open stream.
    pub fn new(stream: TcpStream) -> Self {
        set_options(&stream);
        Self { stream, input: BytesMut::new() }
    }

    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// The peer refuses, or [`io::ErrorKind::TimedOut`].
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        match tokio::time::timeout(limit, TcpStream::connect(address)).await {
            Ok(stream) => Ok(Self::new(stream?)),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Reads what has arrived into `input` and returns the number of bytes, 0 at the end. May be
    /// cancelled without loss.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.input).await
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Whether the connection is open and nothing has arrived.
    pub fn is_idle(&mut self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        self.input.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer has closed the connection; what arrives meanwhile is kept. May be
    /// cancelled without loss.
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

    /// Ends the sending side and reads on for a while, so that the peer sees the last answer
    /// although it still sends.
    pub async fn linger(mut self, limit: Duration) {
        let discard = async {
            if self.stream.shutdown().await.is_err() {
                return;
            }
            while matches!(self.read().await, Ok(size) if size > 0) {
                self.input.clear();
            }
        };
        // The limit is the normal end for a peer that does not close.
        let _ = tokio::time::timeout(limit, discard).await;
    }

    /// Sends `bytes` while reading; stops early once the peer has answered or closed. Returns
    /// whether all was sent.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn send(&mut self, mut bytes: &[u8]) -> io::Result<bool> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(size) => bytes = &bytes[size..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    tokio::select! {
                        ready = self.stream.writable() => ready?,
                        ready = self.stream.readable() => {
                            ready?;
                            self.input.reserve(READ_BYTES);
                            match self.stream.try_read_buf(&mut self.input) {
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
