//! HTTP requests to the operators interface of entries.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::settings::Options;

/// Largest answer in bytes; the events of one entry take at most 16 MB.
const MAX_BODY: usize = 32 * 1024 * 1024;

/// An answer with any status.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The entry that answered.
    pub entry: SocketAddr,
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// The body has another form.
    pub fn json<T>(&self) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|error| Error {
            entry: self.entry,
            operation: "reading the answer",
            kind: Kind::Malformed,
            cause: error.to_string(),
        })
    }

    /// An error for a status that the command does not expect.
    pub fn unexpected(&self) -> Error {
        let text = String::from_utf8_lossy(&self.body);
        let shown: String = text.chars().filter(|c| !c.is_control()).take(200).collect();
        let (status, entry) = (self.status, self.entry);
        let cause = format!("status {status}: {shown}");
        Error { entry, operation: "reading the answer", kind: Kind::Status(status), cause }
    }
}

/// What is known about a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No connection, so the request was not sent.
    Unsent,
    /// The request may have arrived, but no complete answer came.
    NoReply,
    /// The answer has an unexpected status.
    Status(u16),
    /// The answer has an unexpected form.
    Malformed,
}

/// A failed request.
#[derive(Clone, Debug)]
pub struct Error {
    /// The entry that was asked.
    pub entry: SocketAddr,
    /// What was being done.
    pub operation: &'static str,
    /// What is known.
    pub kind: Kind,
    /// What went wrong.
    pub cause: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry {}: {}: {}", self.entry, self.operation, self.cause)
    }
}

impl std::error::Error for Error {}

/// A client of several entries. Must be used within an `actix_rt` system.
pub struct Client {
    http: awc::Client,
    entries: Vec<SocketAddr>,
    key: SmolStr,
    timeout: Duration,
}

impl Client {
    /// A client with the entries and the key of the settings.
    pub fn new(options: &Options) -> Self {
        let connector = awc::Connector::new().timeout(options.request_timeout);
        let http = awc::Client::builder()
            .timeout(options.request_timeout)
            .disable_redirects()
            .connector(connector)
            .finish();
        Self {
            http,
            entries: options.entries.clone(),
            key: options.operator_key.clone().unwrap_or_default(),
            timeout: options.request_timeout,
        }
    }

    /// The entries in the order of the settings.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Asks the entries one after the other until one answers with status 200.
    ///
    /// # Errors
    ///
    /// An answer with a status below 500, which another entry would give as well; else the errors
    /// of all entries.
    pub async fn get(&self, path: &str) -> Result<Reply, Vec<Error>> {
        let mut errors = Vec::new();
        for entry in &self.entries {
            match self.get_from(*entry, path).await {
                Ok(reply) => return Ok(reply),
                Err(error) if matches!(error.kind, Kind::Status(..500)) => return Err(vec![error]),
                Err(error) => errors.push(error),
            }
        }
        Err(errors)
    }

    /// Asks one entry; any status but 200 is an error.
    ///
    /// # Errors
    ///
    /// The request failed.
    pub async fn get_from(&self, entry: SocketAddr, path: &str) -> Result<Reply, Error> {
        let reply = self.send(entry, Method::GET, path, None).await?;
        match reply.status {
            200 => Ok(reply),
            _ => Err(reply.unexpected()),
        }
    }

    /// Sends a request that changes something to the first entry that can be connected to.
    ///
    /// A request that may have arrived is not sent again, neither to this entry nor to another.
    ///
    /// # Errors
    ///
    /// One error of kind [`Kind::NoReply`], or errors of kind [`Kind::Unsent`] of all entries.
    pub async fn post<T>(&self, path: &str, body: &T) -> Result<Reply, Vec<Error>>
    where
        T: Serialize,
    {
        // Bodies are structures of text and numbers, which always have a JSON form.
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut errors = Vec::new();
        for entry in &self.entries {
            match self.send(*entry, Method::POST, path, Some(body.clone())).await {
                Ok(reply) => return Ok(reply),
                Err(error) if error.kind == Kind::Unsent => errors.push(error),
                Err(error) => return Err(vec![error]),
            }
        }
        Err(errors)
    }

    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Reply, Error> {
        let fail = |operation, kind, cause| Error { entry, operation, kind, cause };
        // One connection per request: a kept connection that the entry has closed in the meantime
        // would make a request look lost.
        let request = self
            .http
            .request(method, format!("http://{entry}{path}"))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .force_close();
        let exchange = async {
            let sent = match body {
                Some(body) => {
                    request.insert_header(("content-type", "application/json")).send_body(body)
                }
                None => request.send(),
            };
            let mut response = sent.await.map_err(|error| match is_unsent(&error) {
                true => fail("connecting", Kind::Unsent, error.to_string()),
                false => fail("sending the request", Kind::NoReply, error.to_string()),
            })?;
            let status = response.status().as_u16();
            let body = response.body().limit(MAX_BODY).await;
            let body =
                body.map_err(|error| fail("reading the answer", Kind::NoReply, error.to_string()))?;
            Ok(Reply { entry, status, body: body.to_vec() })
        };
        // Connecting and waiting for the answer have their own bounds; this one covers a body that
        // arrives without end.
        let bound = self.timeout * 3;
        match actix_rt::time::timeout(bound, exchange).await {
            Ok(result) => result,
            Err(_) => Err(fail("reading the answer", Kind::NoReply, "no end in time".to_owned())),
        }
    }
}

/// Whether the request certainly was not sent.
///
/// `awc` reports a connection that closes after the request, without an answer, as
/// `Connect(Disconnected)`, so only the variants that arise before the connection exists count.
fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(error) => matches!(
            error,
            ConnectError::Io(_)
                | ConnectError::Timeout
                | ConnectError::NoRecords
                | ConnectError::Unresolved
        ),
        _ => false,
    }
}
