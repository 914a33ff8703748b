//! HTTP client for the operators interface of the entries.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::settings::Options;

/// Maximum size of a reply body in bytes. The events that an entry keeps take at most 16 MB.
const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;

/// A complete reply with any HTTP status.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Address of the entry that replied.
    pub entry: SocketAddr,
    /// HTTP status code.
    pub status: u16,
    /// Body of the reply, at most 32 MiB long.
    pub body: Vec<u8>,
}

impl Reply {
    /// Deserializes the body from JSON.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON for `T`.
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

    /// Returns an error for a status that the command does not expect. It quotes at most 200
    /// characters of the body, without control characters.
    pub fn unexpected_status(&self) -> Error {
        let text = String::from_utf8_lossy(&self.body);
        let shown: String = text.chars().filter(|c| !c.is_control()).take(200).collect();
        let (status, entry) = (self.status, self.entry);
        let cause = format!("status {status}: {shown}");
        Error { entry, operation: "reading the answer", kind: Kind::Status(status), cause }
    }
}

/// The way in which a request failed, which tells whether it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No connection was established, so the request was not sent.
    Unsent,
    /// The request may have reached the entry, but no complete reply arrived.
    NoReply,
    /// The reply has an unexpected HTTP status.
    Status(u16),
    /// The body of the reply could not be deserialized.
    Malformed,
}

/// A failed request.
#[derive(Clone, Debug)]
pub struct Error {
    /// Address of the entry that the request was meant for.
    pub entry: SocketAddr,
    /// Operation that failed, for the error message.
    pub operation: &'static str,
    /// The way in which the request failed.
    pub kind: Kind,
    /// Description of the cause, for the error message.
    pub cause: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry {}: {}: {}", self.entry, self.operation, self.cause)
    }
}

impl std::error::Error for Error {}

/// An HTTP client for several entries. It must be used within an `actix_rt` system.
pub struct Client {
    http: awc::Client,
    entries: Vec<SocketAddr>,
    operator_key: SmolStr,
    request_timeout: Duration,
}

impl Client {
    /// Creates a client for the entries in `options`, which authenticates with their operator key.
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
            operator_key: options.operator_key.clone().unwrap_or_default(),
            request_timeout: options.request_timeout,
        }
    }

    /// Returns the addresses of the entries in the order of the settings.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Sends a GET request to the entries in turn until one replies with status 200.
    ///
    /// # Errors
    ///
    /// Returns a single error if an entry replies with a status below 500, since the other entries
    /// would reply with the same status. Otherwise returns the errors of all entries.
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

    /// Sends a GET request to one entry. Any status other than 200 is an error.
    ///
    /// # Errors
    ///
    /// The request failed, or the status is not 200.
    pub async fn get_from(&self, entry: SocketAddr, path: &str) -> Result<Reply, Error> {
        let reply = self.send(entry, Method::GET, path, None).await?;
        match reply.status {
            200 => Ok(reply),
            _ => Err(reply.unexpected_status()),
        }
    }

    /// Sends a POST request, which may change state, to the first entry that accepts a connection.
    ///
    /// A request that may have reached an entry is not repeated, neither there nor at another
    /// entry.
    ///
    /// # Errors
    ///
    /// Returns a single error of kind [`Kind::NoReply`], or an error of kind [`Kind::Unsent`] for
    /// each entry.
    pub async fn post<T>(&self, path: &str, body: &T) -> Result<Reply, Vec<Error>>
    where
        T: Serialize,
    {
        // Bodies consist of strings and numbers, whose serialization to JSON cannot fail.
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

    /// Sends a request to one entry and reads the reply within three times the request timeout.
    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Reply, Error> {
        let fail = |operation, kind, cause| Error { entry, operation, kind, cause };
        // Each request has its own connection. With a pooled connection that the entry has closed
        // in the meantime, the request would fail with an unknown outcome.
        let request = self
            .http
            .request(method, format!("http://{entry}{path}"))
            .insert_header(("authorization", format!("Bearer {}", self.operator_key)))
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
            let body = response.body().limit(MAX_REPLY_BYTES).await;
            let body =
                body.map_err(|error| fail("reading the answer", Kind::NoReply, error.to_string()))?;
            Ok(Reply { entry, status, body: body.to_vec() })
        };
        // `awc` limits the time for connecting and for the response head. This timeout also limits
        // the time for the body, which an entry could send forever.
        let total_timeout = self.request_timeout * 3;
        match actix_rt::time::timeout(total_timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(fail("reading the answer", Kind::NoReply, "no end in time".to_owned())),
        }
    }
}

/// Returns whether the request was certainly not sent.
///
/// `awc` reports a connection that is closed after the request, but before the response, as
/// `Connect(Disconnected)`. Therefore only the variants that occur before a connection is
/// established count as unsent.
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
