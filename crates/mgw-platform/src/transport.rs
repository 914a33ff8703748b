//! HTTP transport shared by all adapters: timeouts, size limits, connection pool and errors.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, Uri};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_rt::time::timeout;
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::SendRequestError;
use awc::{ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};

/// Maximum number of simultaneous connections of one client over all peers.
const MAX_CONNECTIONS: usize = 8_192;

/// Maximum number of bytes of an error response's body that [`Cause::Status`] keeps.
const MAX_EXCERPT_BYTES: usize = 200;

/// Timeouts and size limits that apply to every exchange of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time limit for the complete response, or for the head of a streamed one, unless the request
    /// sets its own. It is added to `connect_timeout`: an exchange may take the sum of both.
    pub response_timeout: Duration,
    /// Maximum time between two chunks of a response body, and the time for which the pool keeps an
    /// unused connection.
    pub idle_timeout: Duration,
    /// Maximum size in bytes of a buffered response body, or of one event of a stream.
    pub max_body_bytes: usize,
    /// Maximum total size in bytes of a streamed response body.
    pub max_stream_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            response_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(2),
            max_body_bytes: 16 << 20,
            max_stream_bytes: 64 << 20,
        }
    }
}

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request cannot be expressed in HTTP; nothing was sent.
    InvalidRequest(SmolStr),
    /// The connection could not be established; nothing was sent.
    Connect(SmolStr),
    /// The peer reported another boot than the expected one, which means that it was restarted or
    /// replaced; nothing was sent after that check.
    BootMismatch {
        /// Boot id that the request is meant for.
        expected: SmolStr,
        /// Boot id that the peer reported.
        actual: SmolStr,
    },
    /// The response, or the head of a streamed one, did not arrive within the time limit.
    Timeout,
    /// The response body paused for longer than [`Options::idle_timeout`].
    IdleTimeout,
    /// The connection ended before the complete head of the response was received.
    Closed(SmolStr),
    /// The connection ended within the response body, or a stream ended without its final marker.
    Truncated,
    /// The response body exceeds a size limit.
    TooLarge {
        /// The exceeded limit in bytes.
        limit: usize,
    },
    /// The response has an unexpected status.
    Status {
        /// HTTP status code.
        status: u16,
        /// Text of the first 200 bytes of the response body; invalid UTF-8 is replaced.
        excerpt: SmolStr,
    },
    /// The response cannot be parsed.
    Malformed(SmolStr),
    /// The peer sent an error event within a stream.
    PeerError(SmolStr),
}

impl Cause {
    /// Reports whether this cause alone proves that no byte of the request was written.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::InvalidRequest(_) | Self::Connect(_) | Self::BootMismatch { .. })
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidRequest(reason) => write!(formatter, "invalid request: {reason}"),
            Self::Connect(reason) => write!(formatter, "connection failed: {reason}"),
            Self::BootMismatch { expected, actual } => {
                write!(formatter, "expected boot {expected}, but the peer reports boot {actual}")
            }
            Self::Timeout => write!(formatter, "response timed out"),
            Self::IdleTimeout => write!(formatter, "response body stalled"),
            Self::Closed(reason) => write!(formatter, "connection closed: {reason}"),
            Self::Truncated => write!(formatter, "response is truncated"),
            Self::TooLarge { limit } => write!(formatter, "response exceeds {limit} bytes"),
            Self::Status { status, excerpt } => write!(formatter, "status {status}: {excerpt}"),
            Self::Malformed(reason) => write!(formatter, "malformed response: {reason}"),
            Self::PeerError(reason) => write!(formatter, "peer reported an error: {reason}"),
        }
    }
}

impl std::error::Error for Cause {}

/// A failed exchange: the step that failed, the peer's address and the cause.
pub type Error = mgw_base::error::Error<Cause>;

/// A request to `peer`, an IP address with a port.
pub(crate) struct Request<'a> {
    /// Short phrase for error messages, such as "read the log".
    pub(crate) step: &'static str,
    pub(crate) peer: &'a str,
    pub(crate) method: Method,
    /// Path and query; must start with a slash.
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(&'a str, &'a [u8])],
    pub(crate) body: Bytes,
    /// Time limit for the response, in addition to [`Options::connect_timeout`].
    pub(crate) response_timeout: Duration,
}

impl Request<'_> {
    /// Wraps `cause` with the step and the peer of this request.
    pub(crate) fn error(&self, cause: Cause) -> Error {
        Error::new(self.step, self.peer, cause)
    }
}

/// A complete, buffered response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Response {
    /// Parses `header` as a decimal number; `None` if it is missing or not a number.
    pub(crate) fn numeric_header(&self, header: &str) -> Option<u64> {
        self.headers.get(header)?.to_str().ok()?.parse().ok()
    }

    /// Parses the JSON body of a response with status 200; any other status is an error.
    pub(crate) fn json<T>(&self) -> Result<T, Cause>
    where
        T: DeserializeOwned,
    {
        match self.status {
            200 => serde_json::from_slice(&self.body)
                .map_err(|error| Cause::Malformed(format_smolstr!("{error}"))),
            _ => Err(self.status_error()),
        }
    }

    /// Builds the error for a response with an unexpected status.
    pub(crate) fn status_error(&self) -> Cause {
        let excerpt = String::from_utf8_lossy(&self.body[..self.body.len().min(MAX_EXCERPT_BYTES)]);
        Cause::Status { status: self.status, excerpt: excerpt.into() }
    }
}

/// HTTP client with a connection pool.
///
/// A connection returns to the pool only after a complete response. If an exchange fails or times
/// out, its future or response still owns the connection and closes it when dropped.
#[derive(Clone)]
pub(crate) struct Client {
    pub(crate) options: Options,
    client: awc::Client,
}

impl Client {
    pub(crate) fn new(options: Options) -> Self {
        Self::with_counters(options, Rc::default(), false)
    }

    /// Creates a client that opens at most one connection, with the counters of that connection.
    pub(crate) fn single_connection(options: Options) -> (Self, Rc<ConnectionCounters>) {
        let counters = Rc::new(ConnectionCounters::default());
        (Self::with_counters(options, counters.clone(), true), counters)
    }

    fn with_counters(
        options: Options,
        counters: Rc<ConnectionCounters>,
        single_connection: bool,
    ) -> Self {
        let connector = Connector::new()
            .connector(Dialer { counters, single_connection })
            .timeout(options.connect_timeout)
            .conn_keep_alive(options.idle_timeout)
            .limit(MAX_CONNECTIONS);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            // Following a redirect would send the request a second time.
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { options, client }
    }

    /// Sends `request` and returns the response as soon as its head has been received.
    pub(crate) async fn send_streaming(
        &self,
        request: &Request<'_>,
    ) -> Result<ClientResponse, Error> {
        let limit = self.options.connect_timeout + request.response_timeout;
        match timeout(limit, self.send(request)).await {
            Ok(result) => result.map_err(|cause| request.error(cause)),
            Err(_) => Err(request.error(Cause::Timeout)),
        }
    }

    /// Sends `request` and returns the complete response, whatever its status.
    pub(crate) async fn send_buffered(&self, request: &Request<'_>) -> Result<Response, Error> {
        let exchange = async {
            let response = self.send(request).await?;
            buffer_response(response, &self.options).await
        };
        match timeout(self.options.connect_timeout + request.response_timeout, exchange).await {
            Ok(result) => result.map_err(|cause| request.error(cause)),
            Err(_) => Err(request.error(Cause::Timeout)),
        }
    }

    /// Sends a GET request for `path` to `peer` and parses the JSON body of the response.
    pub(crate) async fn get_json<T>(
        &self,
        step: &'static str,
        peer: &str,
        path: &str,
    ) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let request = Request {
            step,
            peer,
            method: Method::GET,
            path,
            headers: &[],
            body: Bytes::new(),
            response_timeout: self.options.response_timeout,
        };
        let response = self.send_buffered(&request).await?;
        response.json().map_err(|cause| request.error(cause))
    }

    /// Sends `request` without a time limit of its own and returns the response head.
    async fn send(&self, request: &Request<'_>) -> Result<ClientResponse, Cause> {
        // Without the leading slash, the path would be parsed as part of the authority.
        if !request.path.starts_with('/') {
            return Err(Cause::InvalidRequest("path lacks its leading slash".into()));
        }
        let uri = format!("http://{}{}", request.peer, request.path);
        let uri: Uri = uri
            .parse()
            .map_err(|error| Cause::InvalidRequest(format_smolstr!("{error}: {uri}")))?;
        let mut message = self.client.request(request.method.clone(), uri);
        for (name, value) in request.headers {
            message = message.append_header((*name, *value));
        }
        let sent = match request.body.is_empty() {
            true => message.send(),
            false => message.send_body(request.body.clone()),
        };
        let response = sent.await.map_err(classify_send_error)?;
        match request.method == Method::HEAD || has_self_defined_length(&response) {
            true => Ok(response),
            false => Err(Cause::Malformed(
                "response has neither content-length nor transfer-encoding".into(),
            )),
        }
    }
}

/// A [`Client`] bound to the address of one peer.
#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) client: Client,
    /// An IP address with a port.
    pub(crate) address: SmolStr,
}

impl Endpoint {
    pub(crate) fn new<A>(address: A, options: Options) -> Self
    where
        A: Into<SmolStr>,
    {
        Self { client: Client::new(options), address: address.into() }
    }

    /// Sends a GET request for `path` and parses the JSON body of the response.
    pub(crate) async fn get_json<T>(&self, step: &'static str, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.client.get_json(step, &self.address, path).await
    }
}

/// Reports whether the end of the body follows from the response head or the transfer coding.
///
/// Without a length, the body ends where the connection ends, so a truncated response cannot be
/// told from a complete one; `awc` even treats such a response as one without a body.
fn has_self_defined_length(response: &ClientResponse) -> bool {
    matches!(response.status().as_u16(), 204 | 304)
        || response.headers().contains_key(CONTENT_LENGTH)
        || response.headers().contains_key(TRANSFER_ENCODING)
}

/// Reads the whole body of `response`, subject to the idle timeout and the size limit.
pub(crate) async fn buffer_response(
    mut response: ClientResponse,
    options: &Options,
) -> Result<Response, Cause> {
    let limit = options.max_body_bytes;
    let declared = response.headers().get(CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(Cause::TooLarge { limit });
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut response, options.idle_timeout).await? {
        if body.len() + chunk.len() > limit {
            return Err(Cause::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    let headers = response.headers().clone();
    Ok(Response { status: response.status().as_u16(), headers, body: body.freeze() })
}

/// Reads the next chunk of a body; returns `None` at its regular end and [`Cause::IdleTimeout`] if
/// no chunk arrives within `chunk_timeout`.
pub(crate) async fn next_chunk(
    response: &mut ClientResponse,
    chunk_timeout: Duration,
) -> Result<Option<Bytes>, Cause> {
    match timeout(chunk_timeout, response.next()).await {
        Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
        Ok(Some(Err(PayloadError::Incomplete(_) | PayloadError::Io(_)))) => Err(Cause::Truncated),
        Ok(Some(Err(error))) => Err(Cause::Malformed(format_smolstr!("{error}"))),
        Ok(None) => Ok(None),
        Err(_) => Err(Cause::IdleTimeout),
    }
}

/// Percent-encodes `text` as one path segment.
pub(crate) fn encode_path_segment(text: &str) -> String {
    let mut segment = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'~' => {
                segment.push(char::from(byte));
            }
            // `.` is encoded as well, because the segments `.` and `..` are resolved in paths.
            _ => segment.push_str(&format!("%{byte:02X}")),
        }
    }
    segment
}

/// Maps an error of `awc` to a [`Cause`] by how far the request got.
fn classify_send_error(error: SendRequestError) -> Cause {
    match error {
        SendRequestError::Url(error) => Cause::InvalidRequest(format_smolstr!("{error}")),
        SendRequestError::Http(error) => Cause::InvalidRequest(format_smolstr!("{error}")),
        SendRequestError::Timeout => Cause::Timeout,
        // `awc` reports this error if the connection ends before the response head.
        SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
            Cause::Closed("before the response".into())
        }
        SendRequestError::Connect(error) => Cause::Connect(format_smolstr!("{error}")),
        SendRequestError::Response(actix_http::error::ParseError::Io(error)) => {
            Cause::Closed(format_smolstr!("{error}"))
        }
        SendRequestError::Response(error) => Cause::Malformed(format_smolstr!("{error}")),
        error => Cause::Closed(format_smolstr!("{error}")),
    }
}

/// Counters of the connections of a [`Client`]; read only for a
/// [single-connection](Client::single_connection) one.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCounters {
    /// Number of attempts to open a connection.
    attempts: Cell<u32>,
    /// Number of bytes that the operating system accepted for sending.
    bytes_written: Cell<u64>,
}

impl ConnectionCounters {
    pub(crate) fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }
}

/// Opens connections to IP addresses; host names are not resolved.
#[derive(Clone)]
struct Dialer {
    counters: Rc<ConnectionCounters>,
    /// Whether every connection attempt after the first one fails.
    single_connection: bool,
}

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = Connection<Uri, CountingStream>;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let Self { counters, single_connection } = self.clone();
        Box::pin(async move {
            let uri = info.request().clone();
            let address = uri.authority().and_then(|text| text.as_str().parse::<SocketAddr>().ok());
            let address = address.ok_or_else(|| {
                io_error(io::ErrorKind::InvalidInput, "expected an IP address with a port")
            })?;
            let earlier_attempts = counters.attempts.replace(counters.attempts.get() + 1);
            if single_connection && earlier_attempts > 0 {
                return Err(io_error(
                    io::ErrorKind::NotConnected,
                    "a single-connection client does not reconnect",
                ));
            }
            let stream = TcpStream::connect(address).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(uri, CountingStream { stream, counters }))
        })
    }
}

fn io_error(kind: io::ErrorKind, message: &str) -> ConnectError {
    ConnectError::Io(io::Error::new(kind, message))
}

/// A TCP stream that counts written bytes and reports end of file as an error.
///
/// `awc` accepts the end of the connection as the end of a body, even if the content length is not
/// reached or the last chunk is missing. It only reads while it needs more of a response, so end of
/// file always means a truncated response.
#[derive(Debug)]
struct CountingStream {
    stream: TcpStream,
    counters: Rc<ConnectionCounters>,
}

impl CountingStream {
    /// Adds `written` to the counter and returns it.
    fn count(&self, written: usize) -> usize {
        self.counters.bytes_written.set(self.counters.bytes_written.get() + written as u64);
        written
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        match buffer.filled().len() == before && buffer.remaining() > 0 {
            true => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        Poll::Ready(Ok(self.count(written)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers))?;
        Poll::Ready(Ok(self.count(written)))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for CountingStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
