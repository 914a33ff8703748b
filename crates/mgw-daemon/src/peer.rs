//! Transport between entries over HTTP/2 without TLS.
//!
//! The entry that opened a connection sends one-way frames, such as gossip, on one long-lived stream
//! and makes one exchange, a request frame and its answer, on each further stream. The accepting entry
//! opens no streams. Every stream carries the shared secret in a header. [`server::serve`] accepts
//! connections; [`client::Pool`] opens one per peer on demand.

use std::fmt;
use std::io;
use std::time::Duration;

use http::HeaderValue;
use mgw_base::error;
use mgw_wire::codec;
use smol_str::SmolStr;

pub mod client;
pub mod server;

/// Path of the long-lived stream of one-way frames.
const FRAMES_PATH: &str = "/frames";

/// Path of a stream with one exchange.
const EXCHANGE_PATH: &str = "/exchange";

/// Header with the shared secret.
const SECRET_HEADER: &str = "x-mgw-secret";

/// Header with the sender's own address on the peers port.
const PEER_HEADER: &str = "x-mgw-peer";

/// Flow-control window of a stream and of a connection in bytes. A request of the largest size fits.
const WINDOW_BYTES: u32 = codec::MAX_FRAME_SIZE as u32;

/// The secret that all entries share. Its text never appears in logs or debug output.
#[derive(Clone)]
pub struct Secret(HeaderValue);

impl Secret {
    /// The secret with this text; `None` if it is empty or not valid as a header value.
    pub fn new(text: &str) -> Option<Self> {
        let mut value = HeaderValue::from_str(text).ok().filter(|value| !value.is_empty())?;
        // Also keeps it out of the HPACK compression tables.
        value.set_sensitive(true);
        Some(Self(value))
    }

    /// Whether a header holds this secret. The comparison time does not depend on where the
    /// texts differ, so that timing does not reveal a matching prefix.
    fn matches(&self, other: Option<&HeaderValue>) -> bool {
        let (own, other) = (self.0.as_bytes(), other.map_or(&[][..], HeaderValue::as_bytes));
        let differing = own.iter().zip(other).fold(0, |bits, (left, right)| bits | (left ^ right));
        own.len() == other.len() && differing == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

/// Options of the links.
#[derive(Clone, Debug)]
pub struct Options {
    /// Shared secrets, at least one. The first is sent and all are accepted, so that a secret can be
    /// replaced while entries run.
    pub secrets: Vec<Secret>,
    /// This entry's address on the peers port, at which other entries reach it.
    pub own_address: SmolStr,
    /// Timeout for each step of opening a connection; the accepting side also closes a connection that
    /// has not shown the shared secret within it.
    pub connect_timeout: Duration,
    /// A connection in use is replaced if a ping on it is not answered within this time.
    pub ping_timeout: Duration,
    /// Time between pings on a connection in use. Idle connections are not pinged, as with 420 entries
    /// these pings alone would exceed the traffic budget.
    pub ping_interval: Duration,
    /// Delay before the first attempt to reconnect; doubles with each further failure.
    pub initial_backoff: Duration,
    /// Upper bound of the delay before an attempt to reconnect.
    pub max_backoff: Duration,
    /// An idle connection is closed after this time; the accepting side waits twice as long. Also the
    /// time for which the accepting side waits for the next part of a request and for the peer to
    /// read an answer.
    pub idle_timeout: Duration,
    /// Maximum number of one-way frames that wait for a peer; beyond it the oldest is dropped.
    pub max_queued_frames: usize,
    /// Maximum number of exchanges in progress with a peer; further ones are refused.
    pub max_exchanges: usize,
    /// Maximum size of one answer in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of accepted connections, and of accepted exchanges in progress on all of them.
    pub max_accepted: usize,
}

impl Options {
    /// Options with the default timeouts and limits.
    pub fn new(secrets: Vec<Secret>, own_address: SmolStr) -> Self {
        Self {
            secrets,
            own_address,
            connect_timeout: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(2),
            ping_interval: Duration::from_millis(500),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            max_queued_frames: 8,
            max_exchanges: 64,
            max_answer_bytes: 64 << 20,
            max_accepted: 1_024,
        }
    }
}

/// Why a link or an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A frame could not be encoded or decoded.
    Codec(codec::Error),
    /// The TCP connection could not be opened.
    Connect(io::ErrorKind),
    /// A step did not finish in the time allowed.
    Timeout,
    /// A ping was not answered within [`Options::ping_timeout`].
    PingTimeout,
    /// The connection or the stream ended early, with the reason.
    Closed(SmolStr),
    /// The peer rejected the shared secret.
    SecretRejected,
    /// The peer refused the exchange because it has too many in progress.
    PeerBusy,
    /// This entry has too many exchanges in progress.
    TooManyExchanges,
    /// The peer ended the exchange without an answer.
    PeerFailed,
    /// The link is shut down.
    Shutdown,
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Codec(error) => write!(formatter, "{error}"),
            Cause::Connect(kind) => write!(formatter, "cannot connect: {kind}"),
            Cause::Timeout => write!(formatter, "timed out"),
            Cause::PingTimeout => write!(formatter, "a ping was not answered in time"),
            Cause::Closed(reason) => write!(formatter, "connection or stream closed: {reason}"),
            Cause::SecretRejected => write!(formatter, "peer rejected the shared secret"),
            Cause::PeerBusy => write!(formatter, "peer has too many exchanges in progress"),
            Cause::TooManyExchanges => write!(formatter, "too many exchanges are in progress"),
            Cause::PeerFailed => write!(formatter, "peer ended the exchange without an answer"),
            Cause::Shutdown => write!(formatter, "link is shut down"),
        }
    }
}

impl std::error::Error for Cause {}

/// Whether the peer may have acted on the request of a failed exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The peer did not receive the whole request, or refused it before acting on it, so it will
    /// never act on it.
    Unsent(Cause),
    /// The peer may have received the request, and no answer arrived.
    Unanswered(Cause),
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unsent(cause) => write!(formatter, "not sent: {cause}"),
            Failure::Unanswered(cause) => write!(formatter, "sent, but not answered: {cause}"),
        }
    }
}

impl std::error::Error for Failure {}

/// A failed exchange or send, with the step that failed and the peer's address.
pub type Error = error::Error<Failure>;

/// Converts an `h2` error to [`Cause::Closed`] with its text.
fn closed_cause(error: &h2::Error) -> Cause {
    Cause::Closed(smol_str::format_smolstr!("{error}"))
}
