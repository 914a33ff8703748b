//! HTTP client of the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_http::write;
use platform::store::{self, Call};
use smol_str::{SmolStr, format_smolstr};

use crate::connection::Connection;

/// Timeout of a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a response, beyond the time that the call allows the store to wait. A slow store
/// takes about 60 times its usual 4 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum size of a response body in bytes; larger than a page of records.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A step failed, and it is unknown whether the store carried out the call.
    Failed {
        /// The step, as a verb phrase for the message.
        step: &'static str,
        /// The underlying error.
        cause: SmolStr,
    },
    /// The store responded with this status, which is not a success.
    Status(u16),
    /// The response has not come in time, and the call is to be made again on another connection.
    Overdue,
    /// The store has come back from an older copy, so the offset in the call may name another record
    /// than before.
    Restored,
    /// The response was made before the store came back from an older copy.
    Outdated {
        /// Era of the response.
        era: u64,
        /// The newest known era.
        known: u64,
    },
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
            Error::Status(status) => write!(formatter, "the store responded with status {status}"),
            Error::Overdue => formatter.write_str("the response is overdue"),
            Error::Restored => formatter.write_str("the store was restored from an older copy"),
            Error::Outdated { era, known } => {
                write!(formatter, "the response is of era {era}, but era {known} is known")
            }
        }
    }
}

impl std::error::Error for Error {}

/// A successful response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The era in which the store made the response; see [`store::parse_era`].
    pub era: u64,
    /// The body.
    pub body: Bytes,
}

/// A client with one keep-alive connection, so that it makes one call at a time.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client of the store at `address` that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Makes a call and returns a successful response. `wait` is the time for which the
    /// call allows the store to wait.
    ///
    /// # Errors
    ///
    /// The call fails or its response is not a success; see [`Error`]. The connection is kept only
    /// after a complete response.
    pub async fn call(&mut self, call: &Call, wait: Duration) -> Result<Response, Error> {
        let kept = self.connection.take().and_then(|mut kept| kept.is_idle().then_some(kept));
        let mut connection = match kept {
            Some(kept) => kept,
            None => Connection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|cause| Error::failed("connect to the store", cause))?,
        };
        let exchange = exchange(&mut connection, call, self.address);
        let response = tokio::time::timeout(wait + RESPONSE_TIMEOUT, exchange)
            .await
            .map_err(|_| Error::failed("wait for the store's response", "timed out"))?;
        let (status, response, is_reusable) = response?;
        if is_reusable {
            self.connection = Some(connection);
        }
        match status {
            200..=299 => Ok(response),
            _ => Err(Error::Status(status)),
        }
    }
}

/// Sends a call and reads the response. Returns its status, the response, and whether the
/// connection can be reused.
async fn exchange(
    connection: &mut Connection,
    call: &Call,
    address: SocketAddr,
) -> Result<(u16, Response, bool), Error> {
    let mut output = BytesMut::with_capacity(256 + call.body.len());
    output.extend_from_slice(format!("{} {} HTTP/1.1\r\n", call.method, call.target).as_bytes());
    write::field(&mut output, b"Host", address.to_string().as_bytes());
    if call.method == "POST" {
        write::number_field(&mut output, "Content-Length", call.body.len() as u64);
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(&call.body);
    connection.write(&output).await.map_err(|cause| Error::failed("send to the store", cause))?;
    let (head, body) = connection
        .read_response(MAX_HEAD_BYTES, MAX_BODY_BYTES)
        .await
        .map_err(|cause| Error::failed("read the store's response", cause))?;
    let response = Response { era: store::parse_era(&head.fields), body: body.freeze() };
    Ok((head.status, response, head.keeps_alive() && connection.input.is_empty()))
}
