//! The opening side of the links.

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

use crate::peer::{Cause, EXCHANGE, Error, FRAMES, Failure, Options, PEER, SECRET, WINDOW, closed};

/// One link per peer, opened on demand and closed when unused.
///
/// Must be used in an `actix-rt` system or another local task set. Its links end with it.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

struct Inner {
    options: Options,
    links: RefCell<Map<SmolStr, (Rc<Link>, Task)>>,
    /// Gossip frames that were dropped.
    dropped: Cell<u64>,
}

/// A task that ends when this is dropped.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection on which streams can be opened, or why there is none.
type Session = Result<SendRequest<Bytes>, Cause>;

/// What the link's task and its users share.
struct Link {
    address: SmolStr,
    /// Encoded frames that wait, oldest first; at most `Options::max_queued_frames`.
    frames: RefCell<VecDeque<Bytes>>,
    /// Exchanges that wait for a connection.
    waiting: RefCell<Vec<oneshot::Sender<Session>>>,
    /// Exchanges in progress, waiting ones included; at most `Options::max_exchanges`.
    exchanges: Cell<usize>,
    wake: Notify,
}

impl Pool {
    /// A pool without links.
    pub fn new(options: Options) -> Self {
        Self(Rc::new(Inner { options, links: RefCell::default(), dropped: Cell::new(0) }))
    }

    /// Queues a frame for a peer, in order; a full queue loses its oldest frame.
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

    /// The number of gossip frames that were dropped from full queues or failed links.
    pub fn dropped_frames(&self) -> u64 {
        self.0.dropped.get()
    }

    /// The number of links.
    pub fn len(&self) -> usize {
        self.0.links.borrow().len()
    }

    /// Whether there are no links.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sends a question on its own stream and returns the answer.
    ///
    /// The error tells whether the peer may have received the question. Dropping the future cancels
    /// the exchange; the peer may have received the question then.
    pub async fn exchange(
        &self,
        peer: &str,
        question: &Frame,
        allowed: Duration,
    ) -> Result<Vec<Frame>, Error> {
        let deadline = Instant::now() + allowed;
        let unsent =
            |step| move |cause| error::Error::new(step, SmolStr::new(peer), Failure::Unsent(cause));
        let unanswered = |step| {
            move |cause| error::Error::new(step, SmolStr::new(peer), Failure::Unanswered(cause))
        };
        let bytes = codec::encode(question)
            .map_err(|error| unsent("encode question")(Cause::Codec(error)))?;
        let link = self.link(peer);
        if link.exchanges.get() >= self.0.options.max_exchanges {
            return Err(unsent("queue question")(Cause::TooManyExchanges));
        }
        let _open = Open::new(&link);
        let session = within(deadline, link.session()).await;
        let request = session.map_err(unsent("connect"))?;
        let sent = within(deadline, send(request, &self.0.options, Bytes::from(bytes))).await;
        let response = sent.map_err(unsent("send question"))?;
        let answer = within(deadline, receive(response, self.0.options.max_answer_bytes)).await;
        match answer {
            Ok(frames) => Ok(frames),
            // The peer says so before it acts on a question.
            Err(cause @ (Cause::SecretRejected | Cause::PeerBusy)) => {
                Err(unsent("admit question")(cause))
            }
            Err(cause) => Err(unanswered("await answer")(cause)),
        }
    }

    /// The link to a peer, created if there is none.
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
            let task = run(Rc::downgrade(&self.0), self.0.options.clone(), Rc::clone(&link));
            (link, Task(actix_rt::spawn(task)))
        });
        Rc::clone(link)
    }
}

impl Link {
    /// A connection to the peer, as soon as there is one.
    async fn session(&self) -> Session {
        let (sender, receiver) = oneshot::channel();
        // Exchanges whose deadline passed no longer wait.
        self.waiting.borrow_mut().retain(|other| !other.is_closed());
        self.waiting.borrow_mut().push(sender);
        self.wake.notify_one();
        receiver.await.unwrap_or(Err(Cause::Shutdown))
    }

    fn is_wanted(&self) -> bool {
        !self.frames.borrow().is_empty() || !self.waiting.borrow().is_empty()
    }

    /// Answers all exchanges that wait for a connection.
    fn answer(&self, session: &Session) {
        for waiting in self.waiting.take() {
            let _ = waiting.send(session.clone());
        }
    }
}

/// An exchange in progress.
struct Open<'link>(&'link Link);

impl<'link> Open<'link> {
    fn new(link: &'link Link) -> Self {
        link.exchanges.set(link.exchanges.get() + 1);
        Self(link)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get() - 1);
    }
}

/// The link's task: opens a connection whenever something waits.
async fn run(pool: Weak<Inner>, options: Options, link: Rc<Link>) {
    let mut backoff = options.initial_backoff;
    loop {
        while !link.is_wanted() {
            if timeout(options.idle_timeout, link.wake.notified()).await.is_err()
                && !link.is_wanted()
            {
                // Dropping the map's entry aborts this task, at its next suspension at the latest.
                if let Some(pool) = pool.upgrade() {
                    pool.links.borrow_mut().remove(&link.address);
                }
                return;
            }
        }
        let mut admitted = false;
        let Err(cause) = converse(&options, &link, &mut admitted).await else {
            continue;
        };
        link.answer(&Err(cause.clone()));
        // Gossip that waited for a failed connection is out of date.
        let lost = link.frames.take().len() as u64;
        if let Some(pool) = pool.upgrade() {
            pool.dropped.set(pool.dropped.get() + lost);
        }
        if admitted {
            backoff = options.initial_backoff;
        }
        let error = error::Error::new("keep link", link.address.clone(), cause);
        log::debug!("{error}; next attempt after {backoff:?}");
        sleep(backoff).await;
        backoff = (backoff * 2).min(options.max_backoff);
    }
}

type Probe = Pin<Box<dyn Future<Output = Option<PingPong>>>>;

/// Opens a connection and uses it until it fails or is unused; `admitted` is set once the peer has
/// accepted the shared secret.
async fn converse(options: &Options, link: &Link, admitted: &mut bool) -> Result<(), Cause> {
    let socket =
        match timeout(options.connect_timeout, TcpStream::connect(link.address.as_str())).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(Cause::Connect(error.kind())),
            Err(_) => return Err(Cause::Timeout),
        };
    let _ = socket.set_nodelay(true);
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW).enable_push(false);
    let (requests, mut connection) =
        match timeout(options.connect_timeout, builder.handshake::<_, Bytes>(socket)).await {
            Ok(Ok(pair)) => pair,
            Ok(Err(error)) => return Err(closed(&error)),
            Err(_) => return Err(Cause::Timeout),
        };
    let mut rest = connection.ping_pong();
    let (ended, mut end) = oneshot::channel();
    let _driver = Task(actix_rt::spawn(async move {
        let cause = connection.await.err().map(|error| closed(&error));
        let _ = ended.send(cause.unwrap_or(Cause::Closed(SmolStr::new_static("by the peer"))));
    }));
    let opened = match timeout(options.connect_timeout, requests.clone().ready()).await {
        Ok(Ok(mut ready)) => ready.send_request(head(options, FRAMES), false),
        Ok(Err(error)) => Err(error),
        Err(_) => return Err(Cause::Timeout),
    };
    let (mut response, mut stream) = match opened {
        Ok(opened) => opened,
        Err(error) => return Err(closed(&error)),
    };
    let session = Ok(requests);
    let mut probe: Option<Probe> = None;
    // The first ping is due at once, so a silent peer is found within the bound.
    let mut next_probe = Instant::now();
    let mut unproven = false;
    let mut last_use = Instant::now();
    loop {
        // Before the peer has admitted the connection, its failure says that nothing was received.
        if *admitted {
            link.answer(&session);
        }
        let blocked = match flush(link, &mut stream) {
            Ok((sent, blocked)) => {
                unproven |= sent;
                blocked
            }
            Err(cause) => return Err(cause),
        };
        let in_use = unproven || blocked || link.exchanges.get() > 0;
        if in_use {
            last_use = Instant::now();
        }
        if let Some(mut pings) = rest.take_if(|_| in_use && Instant::now() >= next_probe) {
            unproven = false;
            next_probe = Instant::now() + options.ping_interval;
            let silence = options.ping_timeout;
            probe = Some(Box::pin(async move {
                let pong = timeout(silence, pings.ping(Ping::opaque())).await;
                pong.ok()?.ok().map(|_| pings)
            }));
        }
        tokio::select! {
            biased;
            cause = &mut end => return Err(cause.unwrap_or(Cause::Shutdown)),
            answer = &mut response, if !*admitted => match answer.map(|answer| answer.status()) {
                Ok(StatusCode::OK) => *admitted = true,
                Ok(StatusCode::UNAUTHORIZED) => {
                    log::warn!("open link with {}: {}", link.address, Cause::SecretRejected);
                    return Err(Cause::SecretRejected);
                }
                Ok(status) => return Err(Cause::Closed(smol_str::format_smolstr!("status {status}"))),
                Err(error) => return Err(closed(&error)),
            },
            pings = async { match &mut probe {
                Some(probe) => probe.await,
                None => std::future::pending().await,
            } } => match pings {
                Some(pings) => (rest, probe) = (Some(pings), None),
                None => return Err(Cause::PingTimeout),
            },
            capacity = poll_fn(|context| stream.poll_capacity(context)), if blocked => match capacity {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(closed(&error)),
                None => return Err(Cause::Closed(SmolStr::new_static("stream ended"))),
            },
            () = link.wake.notified() => {}
            () = sleep_until(next_probe), if in_use && rest.is_some() => {}
            () = sleep_until(last_use + options.idle_timeout), if !in_use => return Ok(()),
        }
    }
}

/// Hands the waiting frames to the stream as far as the peer's window allows; tells whether any was
/// sent and whether one still waits.
fn flush(link: &Link, stream: &mut SendStream<Bytes>) -> Result<(bool, bool), Cause> {
    let mut frames = link.frames.borrow_mut();
    let mut sent = false;
    while let Some(frame) = frames.front() {
        stream.reserve_capacity(frame.len());
        if stream.capacity() < frame.len() {
            return Ok((sent, true));
        }
        if let Some(frame) = frames.pop_front() {
            stream.send_data(frame, false).map_err(|error| closed(&error))?;
            sent = true;
        }
    }
    Ok((sent, false))
}

/// Sends a whole question; an error means that the peer cannot have received all of it.
async fn send(
    request: SendRequest<Bytes>,
    options: &Options,
    bytes: Bytes,
) -> Result<ResponseFuture, Cause> {
    let mut ready = request.ready().await.map_err(|error| closed(&error))?;
    let (response, mut stream) =
        ready.send_request(head(options, EXCHANGE), false).map_err(|error| closed(&error))?;
    write(&mut stream, bytes, true).await?;
    Ok(response)
}

/// Reads the answer to a question.
async fn receive(response: ResponseFuture, limit: usize) -> Result<Vec<Frame>, Cause> {
    let (head, mut body) = response.await.map_err(|error| refused(&error))?.into_parts();
    match head.status {
        StatusCode::OK => {}
        StatusCode::UNAUTHORIZED => return Err(Cause::SecretRejected),
        StatusCode::SERVICE_UNAVAILABLE => return Err(Cause::PeerBusy),
        _ => return Err(Cause::PeerFailed),
    }
    let (mut buffer, mut frames, mut size) = (Decoder::default(), Vec::new(), 0);
    while let Some(bytes) = read(&mut body).await? {
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

async fn read(body: &mut RecvStream) -> Result<Option<Bytes>, Cause> {
    match body.data().await {
        Some(Ok(bytes)) => {
            let _ = body.flow_control().release_capacity(bytes.len());
            Ok(Some(bytes))
        }
        Some(Err(error)) => Err(closed(&error)),
        None => Ok(None),
    }
}

/// Writes bytes as the peer's window allows. The last part is handed over only when all others
/// were, so an error means that the peer cannot have received everything.
pub(crate) async fn write(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end: bool,
) -> Result<(), Cause> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = match stream.capacity() {
            0 => match poll_fn(|context| stream.poll_capacity(context)).await {
                Some(Ok(capacity)) => capacity,
                Some(Err(error)) => return Err(closed(&error)),
                None => return Err(Cause::Closed(SmolStr::new_static("stream ended"))),
            },
            capacity => capacity,
        };
        let part = bytes.split_to(capacity.min(bytes.len()));
        let last = end && bytes.is_empty();
        stream.send_data(part, last).map_err(|error| closed(&error))?;
    }
    Ok(())
}

fn head(options: &Options, path: &'static str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    // The authority only has to be well-formed; peers don't read it.
    *request.uri_mut() = match path {
        FRAMES => http::Uri::from_static("http://peer/frames"),
        _ => http::Uri::from_static("http://peer/exchange"),
    };
    if let Some(secret) = options.secrets.first() {
        request.headers_mut().insert(SECRET, secret.0.clone());
    }
    if let Ok(address) = HeaderValue::from_str(&options.own_address) {
        request.headers_mut().insert(PEER, address);
    }
    request
}

async fn within<T, F>(deadline: Instant, future: F) -> Result<T, Cause>
where
    F: Future<Output = Result<T, Cause>>,
{
    timeout_at(deadline, future).await.unwrap_or(Err(Cause::Timeout))
}

/// A stream that is refused has not been looked at by the peer.
fn refused(error: &h2::Error) -> Cause {
    match error.reason() {
        Some(Reason::REFUSED_STREAM) if error.is_remote() => Cause::PeerBusy,
        _ => closed(error),
    }
}
