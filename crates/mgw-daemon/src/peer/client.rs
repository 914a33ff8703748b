//! Client side of the peer links: opens connections, sends one-way frames and makes exchanges.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Ping, PingPong, Reason, RecvStream, SendStream};
use http::{HeaderValue, Method, Request, StatusCode};
use mgw_base::error;
use mgw_base::sorted::Map;
use mgw_wire::codec::{self, Decoder};
use mgw_wire::frame::Frame;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::peer::{
    Cause, EXCHANGE_PATH, Error, FRAMES_PATH, Failure, Options, PEER_HEADER, SECRET_HEADER,
    WINDOW_BYTES, closed_cause,
};

/// Links to peers, one each, which are opened on demand and closed when idle.
///
/// Must be used in an `actix-rt` system or another local task set. Dropping the last clone of the
/// pool closes its links.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

struct Inner {
    options: Options,
    /// Links with their tasks, by the address of the peer.
    links: RefCell<Map<SmolStr, (Rc<Link>, AbortOnDrop)>>,
    /// Number of frames that were dropped because a queue was full or a link failed.
    dropped: Cell<u64>,
}

/// A task that is aborted when this is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection on which streams can be opened, or the reason why there is none.
type Session = Result<SendRequest<Bytes>, Cause>;

/// State that a link's task shares with the pool.
struct Link {
    address: SmolStr,
    /// Encoded frames that wait to be sent, oldest first; at most `Options::max_queued_frames`.
    frames: RefCell<VecDeque<Bytes>>,
    /// Exchanges that wait for a connection.
    waiting: RefCell<Vec<oneshot::Sender<Session>>>,
    /// Number of exchanges in progress, including waiting ones; at most `Options::max_exchanges`.
    exchanges: Cell<usize>,
    /// Wakes the task when a frame or an exchange waits.
    wake: Notify,
}

impl Pool {
    /// Creates a pool without links.
    pub fn new(options: Options) -> Self {
        Self(Rc::new(Inner { options, links: RefCell::default(), dropped: Cell::new(0) }))
    }

    /// Queues a frame for a peer. Frames are sent in order; a full queue drops its oldest frame.
    pub fn send(&self, peer: &str, frame: &Frame) -> Result<(), Error> {
        let bytes = codec::encode(frame).map_err(|error| {
            error::Error::new("send frame", peer, Failure::Unsent(Cause::Codec(error)))
        })?;
        let link = self.link(peer);
        let mut frames = link.frames.borrow_mut();
        if frames.len() >= self.0.options.max_queued_frames.max(1) {
            frames.pop_front();
            self.0.dropped.set(self.0.dropped.get() + 1);
        }
        frames.push_back(Bytes::from(bytes));
        drop(frames);
        link.wake.notify_one();
        Ok(())
    }

    /// Number of one-way frames that were dropped because a queue was full or a link failed.
    pub fn dropped_frames(&self) -> u64 {
        self.0.dropped.get()
    }

    /// Number of links.
    pub fn len(&self) -> usize {
        self.0.links.borrow().len()
    }

    /// Whether there are no links.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sends a request on its own stream and returns the answer.
    ///
    /// The error tells whether the peer may have received the request. Dropping the future cancels the
    /// exchange; in that case the peer may have received the request.
    pub async fn exchange(
        &self,
        peer: &str,
        request: &Frame,
        allowed: Duration,
    ) -> Result<Vec<Frame>, Error> {
        let deadline = Instant::now() + allowed;
        let unsent =
            |step| move |cause| error::Error::new(step, SmolStr::new(peer), Failure::Unsent(cause));
        let unanswered = |step| {
            move |cause| error::Error::new(step, SmolStr::new(peer), Failure::Unanswered(cause))
        };
        let bytes = codec::encode(request)
            .map_err(|error| unsent("encode request")(Cause::Codec(error)))?;
        let link = self.link(peer);
        if link.exchanges.get() >= self.0.options.max_exchanges {
            return Err(unsent("queue request")(Cause::TooManyExchanges));
        }
        let _exchange_guard = ExchangeGuard::new(&link);
        let session = with_deadline(deadline, link.session()).await;
        let session = session.map_err(unsent("connect"))?;
        let sent =
            with_deadline(deadline, send_request(session, &self.0.options, Bytes::from(bytes)))
                .await;
        let response = sent.map_err(unsent("send request"))?;
        let answer =
            with_deadline(deadline, receive_answer(response, self.0.options.max_answer_bytes))
                .await;
        match answer {
            Ok(frames) => Ok(frames),
            // The peer refuses an exchange before it acts on the request.
            Err(cause @ (Cause::SecretRejected | Cause::PeerBusy)) => {
                Err(unsent("admit request")(cause))
            }
            Err(cause) => Err(unanswered("await answer")(cause)),
        }
    }

    /// The link to a peer, which is created with its task if there is none.
    fn link(&self, peer: &str) -> Rc<Link> {
        let mut links = self.0.links.borrow_mut();
        let (link, _) = links.get_or_insert_with(SmolStr::new(peer), || {
            let link = Rc::new(Link {
                address: SmolStr::new(peer),
                frames: RefCell::default(),
                waiting: RefCell::default(),
                exchanges: Cell::new(0),
                wake: Notify::new(),
            });
            let task = run_link(Rc::downgrade(&self.0), self.0.options.clone(), Rc::clone(&link));
            (link, AbortOnDrop(actix_rt::spawn(task)))
        });
        Rc::clone(link)
    }
}

impl Link {
    /// Waits until the peer has accepted a connection or the attempt has failed.
    async fn session(&self) -> Session {
        let (sender, receiver) = oneshot::channel();
        // Removes exchanges that no longer wait, because their deadline passed or they were dropped.
        self.waiting.borrow_mut().retain(|sender| !sender.is_closed());
        self.waiting.borrow_mut().push(sender);
        self.wake.notify_one();
        receiver.await.unwrap_or(Err(Cause::Shutdown))
    }

    /// Whether a frame or an exchange waits for a connection.
    fn is_needed(&self) -> bool {
        !self.frames.borrow().is_empty() || !self.waiting.borrow().is_empty()
    }

    /// Gives all waiting exchanges the connection or the reason why there is none.
    fn resolve_waiting(&self, session: &Session) {
        for waiting in self.waiting.take() {
            let _ = waiting.send(session.clone());
        }
    }
}

/// Counts an exchange as in progress until it is dropped.
struct ExchangeGuard<'link>(&'link Link);

impl<'link> ExchangeGuard<'link> {
    fn new(link: &'link Link) -> Self {
        link.exchanges.set(link.exchanges.get() + 1);
        Self(link)
    }
}

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get() - 1);
    }
}

/// The task of a link: connects whenever a frame or an exchange waits, with backoff after failures,
/// and removes the link from the pool once it is idle.
async fn run_link(pool: Weak<Inner>, options: Options, link: Rc<Link>) {
    let mut backoff = options.initial_backoff;
    loop {
        while !link.is_needed() {
            if timeout(options.idle_timeout, link.wake.notified()).await.is_err()
                && !link.is_needed()
            {
                // Removing the link also aborts this task, which takes effect when it next suspends.
                if let Some(pool) = pool.upgrade() {
                    pool.links.borrow_mut().remove(&link.address);
                }
                return;
            }
        }
        let mut authenticated = false;
        let Err(cause) = run_connection(&options, &link, &mut authenticated).await else {
            continue;
        };
        link.resolve_waiting(&Err(cause.clone()));
        // Gossip that has waited for a failed connection is outdated.
        let dropped_frames = link.frames.take().len() as u64;
        if let Some(pool) = pool.upgrade() {
            pool.dropped.set(pool.dropped.get() + dropped_frames);
        }
        if authenticated {
            backoff = options.initial_backoff;
        }
        let error = error::Error::new("maintain link", link.address.clone(), cause);
        log::debug!("{error}; next attempt in {backoff:?}");
        sleep(backoff).await;
        backoff = (backoff * 2).min(options.max_backoff);
    }
}

/// A ping in progress; returns the handle, or `None` if the ping failed or timed out.
type PendingPing = Pin<Box<dyn Future<Output = Option<PingPong>>>>;

/// Opens a connection and serves the link with it until it fails or is idle. Sets `authenticated` once
/// the peer has accepted the shared secret.
async fn run_connection(
    options: &Options,
    link: &Link,
    authenticated: &mut bool,
) -> Result<(), Cause> {
    let socket =
        match timeout(options.connect_timeout, TcpStream::connect(link.address.as_str())).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(Cause::Connect(error.kind())),
            Err(_) => return Err(Cause::Timeout),
        };
    let _ = socket.set_nodelay(true);
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .enable_push(false);
    let (requests, mut connection) =
        match timeout(options.connect_timeout, builder.handshake::<_, Bytes>(socket)).await {
            Ok(Ok(pair)) => pair,
            Ok(Err(error)) => return Err(closed_cause(&error)),
            Err(_) => return Err(Cause::Timeout),
        };
    let mut ping_handle = connection.ping_pong();
    let (end_sender, mut connection_end) = oneshot::channel();
    let _driver = AbortOnDrop(actix_rt::spawn(async move {
        let cause = connection.await.err().map(|error| closed_cause(&error));
        let _ = end_sender.send(cause.unwrap_or(Cause::Closed(SmolStr::new_static("by the peer"))));
    }));
    let opened = match timeout(options.connect_timeout, requests.clone().ready()).await {
        Ok(Ok(mut ready)) => ready.send_request(request_head(options, FRAMES_PATH), false),
        Ok(Err(error)) => Err(error),
        Err(_) => return Err(Cause::Timeout),
    };
    let (mut response, mut stream) = match opened {
        Ok(opened) => opened,
        Err(error) => return Err(closed_cause(&error)),
    };
    let session = Ok(requests);
    let mut pending_ping: Option<PendingPing> = None;
    // The first ping is due at once, so that a silent peer is detected within the ping timeout.
    let mut next_ping = Instant::now();
    // Whether frames were sent since the last ping began, so that no pong covers them.
    let mut unconfirmed = false;
    let mut last_use = Instant::now();
    loop {
        // Exchanges get the connection only after the peer has accepted the secret: a failure before
        // that proves that the peer has received none of them.
        if *authenticated {
            link.resolve_waiting(&session);
        }
        let blocked = match flush(link, &mut stream) {
            Ok((sent, blocked)) => {
                unconfirmed |= sent;
                blocked
            }
            Err(cause) => return Err(cause),
        };
        let in_use = unconfirmed || blocked || link.exchanges.get() > 0;
        if in_use {
            last_use = Instant::now();
        }
        if let Some(mut pings) = ping_handle.take_if(|_| in_use && Instant::now() >= next_ping) {
            unconfirmed = false;
            next_ping = Instant::now() + options.ping_interval;
            let ping_timeout = options.ping_timeout;
            pending_ping = Some(Box::pin(async move {
                let pong = timeout(ping_timeout, pings.ping(Ping::opaque())).await;
                pong.ok()?.ok().map(|_| pings)
            }));
        }
        tokio::select! {
            biased;
            cause = &mut connection_end => return Err(cause.unwrap_or(Cause::Shutdown)),
            answer = &mut response, if !*authenticated => match answer.map(|answer| answer.status()) {
                Ok(StatusCode::OK) => *authenticated = true,
                Ok(StatusCode::UNAUTHORIZED) => {
                    log::warn!("cannot open link with {}: {}", link.address, Cause::SecretRejected);
                    return Err(Cause::SecretRejected);
                }
                Ok(status) => return Err(Cause::Closed(
                    smol_str::format_smolstr!("unexpected status {status}")
                )),
                Err(error) => return Err(closed_cause(&error)),
            },
            pings = async { match &mut pending_ping {
                Some(pending_ping) => pending_ping.await,
                None => std::future::pending().await,
            } } => match pings {
                Some(pings) => (ping_handle, pending_ping) = (Some(pings), None),
                None => return Err(Cause::PingTimeout),
            },
            capacity = poll_fn(|context| stream.poll_capacity(context)), if blocked => match capacity {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(closed_cause(&error)),
                None => return Err(Cause::Closed(SmolStr::new_static("stream ended"))),
            },
            () = link.wake.notified() => {}
            () = sleep_until(next_ping), if in_use && ping_handle.is_some() => {}
            () = sleep_until(last_use + options.idle_timeout), if !in_use => return Ok(()),
        }
    }
}

/// Sends the waiting frames as far as the peer's flow-control window allows. Returns whether any was
/// sent, and whether one still waits for the window.
fn flush(link: &Link, stream: &mut SendStream<Bytes>) -> Result<(bool, bool), Cause> {
    let mut frames = link.frames.borrow_mut();
    let mut sent = false;
    while let Some(frame) = frames.front() {
        stream.reserve_capacity(frame.len());
        if stream.capacity() < frame.len() {
            return Ok((sent, true));
        }
        if let Some(frame) = frames.pop_front() {
            stream.send_data(frame, false).map_err(|error| closed_cause(&error))?;
            sent = true;
        }
    }
    Ok((sent, false))
}

/// Sends a whole request. An error means that the peer cannot have received all of it.
async fn send_request(
    session: SendRequest<Bytes>,
    options: &Options,
    bytes: Bytes,
) -> Result<ResponseFuture, Cause> {
    let mut ready = session.ready().await.map_err(|error| closed_cause(&error))?;
    let (response, mut stream) = ready
        .send_request(request_head(options, EXCHANGE_PATH), false)
        .map_err(|error| closed_cause(&error))?;
    write_all(&mut stream, bytes, true).await?;
    Ok(response)
}

/// Reads the answer to a request: at least one frame, and at most `limit` bytes.
async fn receive_answer(response: ResponseFuture, limit: usize) -> Result<Vec<Frame>, Cause> {
    let (head, mut body) = response.await.map_err(|error| classify_reset(&error))?.into_parts();
    match head.status {
        StatusCode::OK => {}
        StatusCode::UNAUTHORIZED => return Err(Cause::SecretRejected),
        StatusCode::SERVICE_UNAVAILABLE => return Err(Cause::PeerBusy),
        _ => return Err(Cause::PeerFailed),
    }
    let (mut buffer, mut frames, mut size) = (Decoder::default(), Vec::new(), 0);
    while let Some(bytes) = read_data(&mut body).await? {
        size += bytes.len();
        if size > limit {
            return Err(Cause::Codec(codec::Error::Oversized { size, limit }));
        }
        buffer.push(&bytes);
        while let Some(frame) = buffer.pop().map_err(Cause::Codec)? {
            frames.push(frame);
        }
    }
    buffer.finish().map_err(Cause::Codec)?;
    if frames.is_empty() { Err(Cause::PeerFailed) } else { Ok(frames) }
}

/// Reads the next bytes of a stream and reopens the flow-control window for them; `None` at its end.
async fn read_data(body: &mut RecvStream) -> Result<Option<Bytes>, Cause> {
    match body.data().await {
        Some(Ok(bytes)) => {
            let _ = body.flow_control().release_capacity(bytes.len());
            Ok(Some(bytes))
        }
        Some(Err(error)) => Err(closed_cause(&error)),
        None => Ok(None),
    }
}

/// Writes bytes as far as the peer's flow-control window allows, and ends the stream if `end` is set.
///
/// The last part is passed to `h2` only after all others, so an error means that the peer cannot have
/// received everything.
pub(crate) async fn write_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end: bool,
) -> Result<(), Cause> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = match stream.capacity() {
            0 => match poll_fn(|context| stream.poll_capacity(context)).await {
                Some(Ok(capacity)) => capacity,
                Some(Err(error)) => return Err(closed_cause(&error)),
                None => return Err(Cause::Closed(SmolStr::new_static("stream ended"))),
            },
            capacity => capacity,
        };
        let part = bytes.split_to(capacity.min(bytes.len()));
        let last = end && bytes.is_empty();
        stream.send_data(part, last).map_err(|error| closed_cause(&error))?;
    }
    Ok(())
}

/// The head of a request on `path` with the shared secret and the own address.
fn request_head(options: &Options, path: &'static str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    // HTTP/2 needs a well-formed authority. Peers do not read it.
    *request.uri_mut() = match path {
        FRAMES_PATH => http::Uri::from_static("http://peer/frames"),
        _ => http::Uri::from_static("http://peer/exchange"),
    };
    if let Some(secret) = options.secrets.first() {
        request.headers_mut().insert(SECRET_HEADER, secret.0.clone());
    }
    if let Ok(address) = HeaderValue::from_str(&options.own_address) {
        request.headers_mut().insert(PEER_HEADER, address);
    }
    request
}

/// Waits for `future` until the deadline; then fails with [`Cause::Timeout`].
async fn with_deadline<T, F>(deadline: Instant, future: F) -> Result<T, Cause>
where
    F: Future<Output = Result<T, Cause>>,
{
    timeout_at(deadline, future).await.unwrap_or(Err(Cause::Timeout))
}

/// Classifies the failure of a stream. With `REFUSED_STREAM` the peer has not processed the stream.
fn classify_reset(error: &h2::Error) -> Cause {
    match error.reason() {
        Some(Reason::REFUSED_STREAM) if error.is_remote() => Cause::PeerBusy,
        _ => closed_cause(error),
    }
}
