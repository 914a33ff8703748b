//! A client, as PROTOCOL.md describes it.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd as _;
use std::time::Duration;

use crate::http::{Connection, Message};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    pub body: &'a str,
}

impl Request<'_> {
    fn bytes(&self) -> Vec<u8> {
        let Self { method, path, attempt, key, deadline_ms, body } = self;
        let key = key.map(|key| format!("Credential: {key}\r\n")).unwrap_or_default();
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

pub struct Client {
    connection: Connection,
}

impl Client {
    /// Connects within the second that clients allow for that.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self { connection: Connection::new(stream) })
    }

    /// Connects with the smallest receive buffer, so that the windows are small.
    pub fn connect_with_small_window(address: SocketAddrV4) -> io::Result<Self> {
        Ok(Self { connection: Connection::new(connect_with_small_window(address)?) })
    }

    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        self.connection.write(&request.bytes())
    }

    /// Reads the answer, within `limit` for each read.
    pub fn answer(&mut self, limit: Duration) -> io::Result<Message> {
        self.connection.stream.set_read_timeout(Some(limit))?;
        self.connection.read_message()
    }

    /// Sends a request and reads the answer.
    pub fn call(&mut self, request: &Request<'_>) -> io::Result<Message> {
        self.send(request)?;
        self.answer(Duration::from_millis(request.deadline_ms))
    }
}

/// An IPv4 address as the system calls of Linux take it.
#[repr(C)]
struct SystemAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn connect(socket: i32, address: *const SystemAddress, size: u32) -> i32;
}

/// Connects with a receive buffer that was set before, as the first window depends on it.
fn connect_with_small_window(address: SocketAddrV4) -> io::Result<TcpStream> {
    // AF_INET, SOCK_STREAM, SOL_SOCKET and SO_RCVBUF of Linux; the kernel raises the value to its
    // minimum.
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const SOCKET_LEVEL: i32 = 1;
    const RECEIVE_BUFFER: i32 = 8;
    let size: i32 = 1_024;
    let target = SystemAddress {
        family: INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the values that the calls point to are valid for them, and the descriptor is owned by the
    // stream as soon as it is known.
    unsafe {
        let descriptor = socket(INET, STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let set = setsockopt(descriptor, SOCKET_LEVEL, RECEIVE_BUFFER, &raw const size, 4);
        if set != 0 || connect(descriptor, &raw const target, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
