//! Calls to the platform's store over one connection.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_http::body::Decoder;
use mgw_http::{head, write};
use platform::store::Call;
use smol_str::{SmolStr, format_smolstr};

use crate::connection::Connection;

/// Time for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for an answer beyond what the call lets the store wait. A slow store takes some 60 times
/// its usual 4 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Largest head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Why a call has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The step failed; whether the store carried out the call is open.
    Failed {
        /// What was done.
        step: &'static str,
        /// What happened.
        cause: SmolStr,
    },
    /// The store answered with this status.
    Status(u16),
}

impl Error {
    fn failed<C>(step: &'static str, cause: C) -> Self
    where
        C: fmt::Display,
    {
        Error::Failed { step, cause: format_smolstr!("{cause}") }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Failed { step, cause } => write!(formatter, "{step}: {cause}"),
            Error::Status(status) => write!(formatter, "the store answered {status}"),
        }
    }
}

impl std::error::Error for Error {}

/// A client with one connection, so that its calls follow each other.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Makes a call and returns the body of a success; the store may wait up to `wait`.
    ///
    /// # Errors
    ///
    /// As [`Error`] says. The connection is given up unless the store answered.
    pub async fn call(&mut self, call: &Call, wait: Duration) -> Result<Bytes, Error> {
        let kept = self.connection.take().and_then(|mut kept| kept.is_idle().then_some(kept));
        let mut connection = match kept {
            Some(kept) => kept,
            None => Connection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|cause| Error::failed("connect to the store", cause))?,
        };
        let exchange = exchange(&mut connection, call, self.address);
        let answer = tokio::time::timeout(wait + RESPONSE_TIMEOUT, exchange)
            .await
            .map_err(|_| Error::failed("await the store's answer", "timed out"))?;
        let (status, body, is_reusable) = answer?;
        if is_reusable {
            self.connection = Some(connection);
        }
        match status {
            200..=299 => Ok(body),
            _ => Err(Error::Status(status)),
        }
    }
}

async fn exchange(
    connection: &mut Connection,
    call: &Call,
    address: SocketAddr,
) -> Result<(u16, Bytes, bool), Error> {
    let mut output = BytesMut::with_capacity(256 + call.body.len());
    output.extend_from_slice(format!("{} {} HTTP/1.1\r\n", call.method, call.target).as_bytes());
    write::field(&mut output, b"Host", address.to_string().as_bytes());
    if call.method == "POST" {
        write::number_field(&mut output, "Content-Length", call.body.len() as u64);
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(&call.body);
    connection.write(&output).await.map_err(|cause| Error::failed("send to the store", cause))?;
    let head = loop {
        let parsed = head::response(&mut connection.input, MAX_HEAD_BYTES);
        match parsed.map_err(|cause| Error::failed("read the store's answer", cause))? {
            Some(head) => break head,
            None => read_more(connection).await?,
        }
    };
    let mut decoder = Decoder::new(head.framing);
    let mut body = BytesMut::new();
    loop {
        decoder
            .decode(&mut connection.input, &mut body)
            .map_err(|cause| Error::failed("read the store's answer", cause))?;
        if decoder.is_done() {
            break;
        }
        read_more(connection).await?;
    }
    Ok((head.status, body.freeze(), head.keeps_alive() && connection.input.is_empty()))
}

async fn read_more(connection: &mut Connection) -> Result<(), Error> {
    match connection.read().await {
        Ok(0) => Err(Error::failed("read the store's answer", "connection closed")),
        Ok(_) => Ok(()),
        Err(cause) => Err(Error::failed("read the store's answer", cause)),
    }
}
