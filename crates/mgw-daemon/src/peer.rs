//! The `h2` links between entries.
//!
//! A connection carries frames one way: the entry that opened it sends gossip on one long-lived
//! stream and makes one exchange (a question and its answer) per further stream. Every stream names
//! the shared secret in a header. [`server::serve`] accepts connections; [`client::Pool`] opens one
//! per peer on demand.

use std::fmt;
use std::io;
use std::time::Duration;

use http::HeaderValue;
use mgw_base::error;
use mgw_wire::codec;
use smol_str::SmolStr;

pub mod client;
pub mod server;

/// Path of the long-lived stream of frames.
const FRAMES: &str = "/frames";

/// Path of an exchange.
const EXCHANGE: &str = "/exchange";

/// Header with the shared secret.
const SECRET: &str = "x-mgw-secret";

/// Header with the sender's own address on the peers port.
const PEER: &str = "x-mgw-peer";

/// Bytes that a peer may send on one stream before they are read; an exchange fits.
const WINDOW: u32 = codec::MAX_FRAME_SIZE as u32;

/// The secret that all entries share; its text appears in no log and no debug output.
#[derive(Clone)]
pub struct Secret(HeaderValue);

impl Secret {
    /// The secret with this text; `None` if it is empty or no header value.
    pub fn new(text: &str) -> Option<Self> {
        let mut value = HeaderValue::from_str(text).ok().filter(|value| !value.is_empty())?;
        // Keeps it out of header compression tables too.
        value.set_sensitive(true);
        Some(Self(value))
    }

    /// Compares in a time that doesn't depend on where the texts differ.
    fn admits(&self, other: Option<&HeaderValue>) -> bool {
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

/// Settings of the links.
#[derive(Clone, Debug)]
pub struct Options {
    /// The shared secrets, at least one: the first is sent, all are accepted, so that a secret can
    /// be changed while entries run.
    pub secrets: Vec<Secret>,
    /// The own address on the peers port, as others reach it.
    pub own_address: SmolStr,
    /// Bound on opening a connection.
    pub connect_timeout: Duration,
    /// A connection in use on which a ping is unanswered for this long is replaced.
    pub ping_timeout: Duration,
    /// Time between pings on a connection in use. Unused connections aren't pinged: at 420 entries
    /// that alone would exceed the traffic budget.
    pub ping_interval: Duration,
    /// First delay before a connection is opened again; doubles with each failure.
    pub initial_backoff: Duration,
    /// Longest such delay.
    pub max_backoff: Duration,
    /// An unused connection is closed after this time; the accepting side waits twice as long.
    pub idle_timeout: Duration,
    /// The most gossip frames that wait for a peer; the oldest is dropped.
    pub max_queued_frames: usize,
    /// The most exchanges in progress with a peer; further ones are refused.
    pub max_exchanges: usize,
    /// The most bytes of one answer.
    pub max_answer_bytes: usize,
    /// The most accepted connections, and the most accepted exchanges in progress.
    pub max_accepted: usize,
}

impl Options {
    /// The usual bounds.
    pub fn new(secrets: Vec<Secret>, address: SmolStr) -> Self {
        Self {
            secrets,
            own_address: address,
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
    /// A frame couldn't be written or read.
    Codec(codec::Error),
    /// No connection.
    Connect(io::ErrorKind),
    /// The time allowed is over.
    Timeout,
    /// A ping was not answered in time.
    PingTimeout,
    /// The connection or the stream ended.
    Closed(SmolStr),
    /// The peer rejected the shared secret.
    SecretRejected,
    /// The peer has too many exchanges in progress.
    PeerBusy,
    /// Too many exchanges with the peer are in progress here.
    TooManyExchanges,
    /// The peer gave up on the question.
    PeerFailed,
    /// The link is being shut down.
    Shutdown,
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Codec(error) => write!(formatter, "{error}"),
            Cause::Connect(kind) => write!(formatter, "no connection: {kind}"),
            Cause::Timeout => write!(formatter, "timed out"),
            Cause::PingTimeout => write!(formatter, "ping was not answered"),
            Cause::Closed(reason) => write!(formatter, "closed: {reason}"),
            Cause::SecretRejected => write!(formatter, "shared secret was rejected"),
            Cause::PeerBusy => write!(formatter, "peer has too many exchanges in progress"),
            Cause::TooManyExchanges => write!(formatter, "too many exchanges are in progress"),
            Cause::PeerFailed => write!(formatter, "peer gave up on the question"),
            Cause::Shutdown => write!(formatter, "link is shut down"),
        }
    }
}

impl std::error::Error for Cause {}

/// How an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The peer has not received the question and never will.
    Unsent(Cause),
    /// The question may have been received; no answer arrived.
    Unanswered(Cause),
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unsent(cause) => write!(formatter, "not sent: {cause}"),
            Failure::Unanswered(cause) => write!(formatter, "sent, no answer: {cause}"),
        }
    }
}

impl std::error::Error for Failure {}

/// A failed exchange, with step and peer.
pub type Error = error::Error<Failure>;

fn closed(error: &h2::Error) -> Cause {
    Cause::Closed(smol_str::format_smolstr!("{error}"))
}
