//! Server side of the peer links: accepts connections, checks the shared secret and delivers frames
//! and requests.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{HeaderMap, Request, Response, StatusCode};
use mgw_base::error;
use mgw_wire::codec::{self, Decoder};
use mgw_wire::frame::Frame;
use smol_str::{SmolStr, ToSmolStr};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::peer::client::write_all;
use crate::peer::{
    Cause, EXCHANGE_PATH, FRAMES_PATH, Options, PEER_HEADER, SECRET_HEADER, WINDOW_BYTES,
    closed_cause,
};

/// Delay after a failed accept, as retrying at once would spin while the cause persists.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A message from another entry.
#[derive(Debug)]
pub enum Incoming {
    /// A one-way frame.
    Frame {
        /// The sender's address on the peers port.
        peer: SmolStr,
        /// The decoded frame.
        frame: Frame,
    },
    /// A request that needs an answer.
    Exchange {
        /// The sender's address on the peers port.
        peer: SmolStr,
        /// The decoded request.
        frame: Frame,
        /// Sends the answer.
        reply: Reply,
    },
}

/// Sends the answer of an exchange. When it is dropped without one, the peer learns at once that no
/// answer comes.
#[derive(Debug)]
pub struct Reply(oneshot::Sender<Vec<Frame>>);

impl Reply {
    /// Sends the answer. It is discarded if the peer no longer waits.
    pub fn send(self, frames: Vec<Frame>) {
        let _ = self.0.send(frames);
    }

    /// Whether the peer no longer waits for the answer.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// State that all accepted connections share.
struct Shared<F> {
    options: Options,
    /// Called with each message.
    deliver: F,
    /// Number of exchanges in progress on all connections.
    exchanges: Cell<usize>,
}

/// Accepts connections and passes each message to `deliver`. Dropping the future closes the
/// connections.
///
/// Must run in an `actix-rt` system or another local task set.
pub async fn serve<F>(listener: TcpListener, options: Options, deliver: F)
where
    F: Fn(Incoming) + 'static,
{
    let limit = options.max_accepted;
    let shared = Rc::new(Shared { options, deliver, exchanges: Cell::new(0) });
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((_, remote)) if connections.len() >= limit => {
                    log::warn!(
                        "reject connection from {remote}: the limit of {limit} connections is reached"
                    );
                }
                Ok((socket, remote)) => {
                    let shared = Rc::clone(&shared);
                    connections.spawn_local(async move {
                        if let Err(cause) = serve_connection(shared, socket, remote).await {
                            let error = error::Error::new("serve connection", remote.to_smolstr(), cause);
                            log::debug!("{error}");
                        }
                    });
                }
                Err(error) => {
                    // Usually out of file descriptors, in which case retrying at once would spin.
                    log::warn!(
                        "cannot accept a connection: {error}; retrying in {ACCEPT_RETRY_DELAY:?}"
                    );
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// State of an accepted connection that its streams share.
#[derive(Clone)]
struct ConnectionState {
    /// Whether a stream has carried the shared secret.
    authenticated: Rc<Cell<bool>>,
    /// When a stream was last opened or received bytes, or an expired idle timer last found an
    /// exchange in progress.
    last_active: Rc<Cell<Instant>>,
    /// Number of exchanges in progress on the connection.
    exchanges: Rc<Cell<usize>>,
}

/// Serves the streams of a connection until it is closed, fails or is idle.
async fn serve_connection<F>(
    shared: Rc<Shared<F>>,
    socket: TcpStream,
    remote: SocketAddr,
) -> Result<(), Cause>
where
    F: Fn(Incoming) + 'static,
{
    let _ = socket.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    // One more stream than exchanges is allowed, for the long-lived stream of one-way frames.
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(4 << 10)
        .max_concurrent_streams(shared.options.max_exchanges as u32 + 1);
    let handshake =
        timeout(shared.options.connect_timeout, builder.handshake::<_, Bytes>(socket)).await;
    let mut connection =
        handshake.map_err(|_| Cause::Timeout)?.map_err(|error| closed_cause(&error))?;
    let state = ConnectionState {
        authenticated: Rc::default(),
        last_active: Rc::new(Cell::new(Instant::now())),
        exchanges: Rc::default(),
    };
    let mut streams = JoinSet::new();
    loop {
        // A connection that has not shown the secret is closed after the connect timeout, so that
        // clients without the secret cannot exhaust the limit of connections.
        let idle = match state.authenticated.get() {
            true => shared.options.idle_timeout * 2,
            false => shared.options.connect_timeout,
        };
        let idle_at = state.last_active.get() + idle;
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    let (shared, state) = (Rc::clone(&shared), state.clone());
                    streams.spawn_local(serve_stream(shared, state, remote, request, respond));
                }
                Some(Err(error)) => return Err(closed_cause(&error)),
                None => return Ok(()),
            },
            Some(_) = streams.join_next() => {}
            () = tokio::time::sleep_until(idle_at) => match state.exchanges.get() {
                0 if state.last_active.get().elapsed() >= idle => return Ok(()),
                0 => {}
                _ => state.last_active.set(Instant::now()),
            },
        }
    }
}

/// Checks the shared secret of a stream and serves its frames or its exchange.
async fn serve_stream<F>(
    shared: Rc<Shared<F>>,
    state: ConnectionState,
    remote: SocketAddr,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) where
    F: Fn(Incoming),
{
    let (head, body) = request.into_parts();
    let offered_secret = head.headers.get(SECRET_HEADER);
    if !shared.options.secrets.iter().any(|secret| secret.matches(offered_secret)) {
        log::warn!("reject stream from {remote}: the shared secret is missing or wrong");
        send_status(&mut respond, StatusCode::UNAUTHORIZED);
        return;
    }
    state.authenticated.set(true);
    state.last_active.set(Instant::now());
    let peer = peer_address(&head.headers, remote);
    let result = match head.uri.path() {
        FRAMES_PATH => {
            send_status(&mut respond, StatusCode::OK);
            receive_frames(&shared, &state, &peer, body).await
        }
        EXCHANGE_PATH if shared.exchanges.get() >= shared.options.max_accepted => {
            log::warn!(
                "{}",
                error::Error::new("admit request", peer.clone(), Cause::TooManyExchanges)
            );
            send_status(&mut respond, StatusCode::SERVICE_UNAVAILABLE);
            Ok(())
        }
        EXCHANGE_PATH => {
            let _total = CountGuard::new(&shared.exchanges);
            let _own = CountGuard::new(&state.exchanges);
            serve_exchange(&shared, &state, &peer, body, &mut respond).await
        }
        _ => {
            send_status(&mut respond, StatusCode::NOT_FOUND);
            Ok(())
        }
    };
    if let Err(cause) = result {
        respond.send_reset(Reason::CANCEL);
        log::warn!("{}", error::Error::new("serve stream", peer, cause));
    }
}

/// Delivers the frames of the long-lived stream in order until it ends.
async fn receive_frames<F>(
    shared: &Shared<F>,
    state: &ConnectionState,
    peer: &SmolStr,
    mut body: RecvStream,
) -> Result<(), Cause>
where
    F: Fn(Incoming),
{
    let mut buffer = Decoder::default();
    while let Some(bytes) = read_data(&mut body, state).await? {
        buffer.push(&bytes);
        while let Some(frame) = buffer.pop().map_err(Cause::Codec)? {
            (shared.deliver)(Incoming::Frame { peer: peer.clone(), frame });
        }
    }
    buffer.finish().map_err(Cause::Codec)
}

/// Reads a request, delivers it, waits for the answer and writes it.
async fn serve_exchange<F>(
    shared: &Shared<F>,
    state: &ConnectionState,
    peer: &SmolStr,
    mut body: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), Cause>
where
    F: Fn(Incoming),
{
    let mut bytes = Vec::new();
    while let Some(part) = timeout(shared.options.idle_timeout, read_data(&mut body, state))
        .await
        .map_err(|_| Cause::Timeout)??
    {
        let size = bytes.len() + part.len();
        if size > codec::MAX_FRAME_SIZE {
            let error = codec::Error::Oversized { size, limit: codec::MAX_FRAME_SIZE };
            return Err(Cause::Codec(error));
        }
        bytes.extend_from_slice(&part);
    }
    // A request is decoded only after the stream has ended, as a truncated one must not be acted on.
    let frame = codec::decode(&bytes).map_err(Cause::Codec)?;
    drop(bytes);
    let (sender, receiver) = oneshot::channel();
    let reply = Reply(sender);
    (shared.deliver)(Incoming::Exchange { peer: peer.clone(), frame, reply });
    let answer = tokio::select! {
        answer = receiver => answer,
        // The peer has cancelled the exchange.
        _ = std::future::poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
    };
    let Ok(answer) = answer else {
        send_status(respond, StatusCode::INTERNAL_SERVER_ERROR);
        return Ok(());
    };
    let parts: Result<Vec<Vec<u8>>, codec::Error> = answer.iter().map(codec::encode).collect();
    let parts = match parts {
        Ok(parts) => parts,
        Err(error) => {
            send_status(respond, StatusCode::INTERNAL_SERVER_ERROR);
            return Err(Cause::Codec(error));
        }
    };
    drop(answer);
    let mut stream =
        respond.send_response(Response::new(()), false).map_err(|error| closed_cause(&error))?;
    let written = async {
        for part in parts {
            write_all(&mut stream, Bytes::from(part), false).await?;
        }
        Ok(())
    };
    // Without the timeout, a peer that stops reading would keep the answer in memory for as long as
    // TCP retries.
    timeout(shared.options.idle_timeout, written).await.map_err(|_| Cause::Timeout)??;
    stream.send_data(Bytes::new(), true).map_err(|error| closed_cause(&error))
}

/// Reads the next bytes of a stream and reopens the flow-control window for them; `None` at its end.
async fn read_data(body: &mut RecvStream, state: &ConnectionState) -> Result<Option<Bytes>, Cause> {
    match body.data().await {
        Some(Ok(bytes)) => {
            state.last_active.set(Instant::now());
            let _ = body.flow_control().release_capacity(bytes.len());
            Ok(Some(bytes))
        }
        Some(Err(error)) => Err(closed_cause(&error)),
        None => Ok(None),
    }
}

/// The address that the peer states in its header, or the one that it connects from if the header is
/// missing or not 1 to 255 bytes long.
fn peer_address(headers: &HeaderMap, remote: SocketAddr) -> SmolStr {
    let stated = headers.get(PEER_HEADER).and_then(|value| value.to_str().ok());
    match stated.filter(|address| (1..=255).contains(&address.len())) {
        Some(address) => SmolStr::new(address),
        None => remote.to_smolstr(),
    }
}

/// Answers a stream with a status and no body. A failure to send is ignored.
fn send_status(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let _ = respond.send_response(response, true);
}

/// Keeps a count incremented by one until it is dropped.
struct CountGuard<'count>(&'count Cell<usize>);

impl<'count> CountGuard<'count> {
    fn new(count: &'count Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
