//! The accepting side of the links.

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

use crate::peer::client::write;
use crate::peer::{Cause, EXCHANGE, FRAMES, Options, PEER, SECRET, WINDOW, closed};

/// What arrives from other entries.
#[derive(Debug)]
pub enum Incoming {
    /// A frame that wants no answer.
    Frame {
        /// The sender's address on the peers port.
        peer: SmolStr,
        /// The frame.
        frame: Frame,
    },
    /// A question.
    Exchange {
        /// The sender's address on the peers port.
        peer: SmolStr,
        /// The question.
        frame: Frame,
        /// Takes the answer.
        reply: Reply,
    },
}

/// Takes the answer of an exchange; when dropped without one, the sender learns that none comes.
#[derive(Debug)]
pub struct Reply(oneshot::Sender<Vec<Frame>>);

impl Reply {
    /// Sends the answer; it is lost if the sender no longer waits.
    pub fn send(self, frames: Vec<Frame>) {
        let _ = self.0.send(frames);
    }

    /// Whether the sender no longer waits.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// What all connections share.
struct Shared<F> {
    options: Options,
    deliver: F,
    /// Exchanges in progress.
    exchanges: Cell<usize>,
}

/// Accepts connections until the future is dropped, and hands what arrives to `deliver`.
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
                    log::warn!("accept peer connection with {remote}: {limit} are open");
                }
                Ok((socket, remote)) => {
                    let shared = Rc::clone(&shared);
                    connections.spawn_local(async move {
                        if let Err(cause) = connection(shared, socket, remote).await {
                            let error = error::Error::new("serve peer", remote.to_smolstr(), cause);
                            log::debug!("{error}");
                        }
                    });
                }
                Err(error) => {
                    // Out of file descriptors, as a rule: trying at once would spin.
                    log::warn!("accept peer connection: {error}");
                    sleep(Duration::from_millis(100)).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// How an accepted connection is used.
#[derive(Clone)]
struct Use {
    /// Whether a stream has named the shared secret.
    admitted: Rc<Cell<bool>>,
    /// When bytes last arrived on a stream.
    last: Rc<Cell<Instant>>,
    /// Exchanges in progress on the connection.
    exchanges: Rc<Cell<usize>>,
}

async fn connection<F>(
    shared: Rc<Shared<F>>,
    socket: TcpStream,
    remote: SocketAddr,
) -> Result<(), Cause>
where
    F: Fn(Incoming) + 'static,
{
    let _ = socket.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_header_list_size(4 << 10)
        .max_concurrent_streams(shared.options.max_exchanges as u32 + 1);
    let handshake =
        timeout(shared.options.connect_timeout, builder.handshake::<_, Bytes>(socket)).await;
    let mut connection = handshake.map_err(|_| Cause::Timeout)?.map_err(|error| closed(&error))?;
    let usage = Use {
        admitted: Rc::default(),
        last: Rc::new(Cell::new(Instant::now())),
        exchanges: Rc::default(),
    };
    let mut streams = JoinSet::new();
    loop {
        // Strangers must not use up the limit of connections.
        let idle = match usage.admitted.get() {
            true => shared.options.idle_timeout * 2,
            false => shared.options.connect_timeout,
        };
        let due = usage.last.get() + idle;
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    let (shared, usage) = (Rc::clone(&shared), usage.clone());
                    streams.spawn_local(stream(shared, usage, remote, request, respond));
                }
                Some(Err(error)) => return Err(closed(&error)),
                None => return Ok(()),
            },
            Some(_) = streams.join_next() => {}
            () = tokio::time::sleep_until(due) => match usage.exchanges.get() {
                0 if usage.last.get().elapsed() >= idle => return Ok(()),
                0 => {}
                _ => usage.last.set(Instant::now()),
            },
        }
    }
}

async fn stream<F>(
    shared: Rc<Shared<F>>,
    usage: Use,
    remote: SocketAddr,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) where
    F: Fn(Incoming),
{
    let (head, body) = request.into_parts();
    let given = head.headers.get(SECRET);
    if !shared.options.secrets.iter().any(|secret| secret.admits(given)) {
        log::warn!("admit peer with {remote}: shared secret is wrong");
        status(&mut respond, StatusCode::UNAUTHORIZED);
        return;
    }
    usage.admitted.set(true);
    usage.last.set(Instant::now());
    let peer = sender(&head.headers, remote);
    let result = match head.uri.path() {
        FRAMES => {
            status(&mut respond, StatusCode::OK);
            frames(&shared, &usage, &peer, body).await
        }
        EXCHANGE if shared.exchanges.get() >= shared.options.max_accepted => {
            log::warn!(
                "{}",
                error::Error::new("admit question", peer.clone(), Cause::TooManyExchanges)
            );
            status(&mut respond, StatusCode::SERVICE_UNAVAILABLE);
            Ok(())
        }
        EXCHANGE => {
            let _total = Count::new(&shared.exchanges);
            let _own = Count::new(&usage.exchanges);
            exchange(&shared, &usage, &peer, body, &mut respond).await
        }
        _ => {
            status(&mut respond, StatusCode::NOT_FOUND);
            Ok(())
        }
    };
    if let Err(cause) = result {
        respond.send_reset(Reason::CANCEL);
        log::warn!("{}", error::Error::new("read from peer", peer, cause));
    }
}

async fn frames<F>(
    shared: &Shared<F>,
    usage: &Use,
    peer: &SmolStr,
    mut body: RecvStream,
) -> Result<(), Cause>
where
    F: Fn(Incoming),
{
    let mut buffer = Decoder::default();
    while let Some(bytes) = read(&mut body, usage).await? {
        buffer.push(&bytes);
        while let Some(frame) = buffer.pop().map_err(Cause::Codec)? {
            (shared.deliver)(Incoming::Frame { peer: peer.clone(), frame });
        }
    }
    buffer.finish().map_err(Cause::Codec)
}

async fn exchange<F>(
    shared: &Shared<F>,
    usage: &Use,
    peer: &SmolStr,
    mut body: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), Cause>
where
    F: Fn(Incoming),
{
    let mut bytes = Vec::new();
    while let Some(part) = timeout(shared.options.idle_timeout, read(&mut body, usage))
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
    // Decoded only as a whole: a question that was cut off must not be acted on.
    let frame = codec::decode(&bytes).map_err(Cause::Codec)?;
    drop(bytes);
    let (sender, receiver) = oneshot::channel();
    let reply = Reply(sender);
    (shared.deliver)(Incoming::Exchange { peer: peer.clone(), frame, reply });
    let answer = tokio::select! {
        answer = receiver => answer,
        // The sender gave up.
        _ = std::future::poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
    };
    let Ok(answer) = answer else {
        status(respond, StatusCode::INTERNAL_SERVER_ERROR);
        return Ok(());
    };
    let parts: Result<Vec<Vec<u8>>, codec::Error> = answer.iter().map(codec::encode).collect();
    let parts = match parts {
        Ok(parts) => parts,
        Err(error) => {
            status(respond, StatusCode::INTERNAL_SERVER_ERROR);
            return Err(Cause::Codec(error));
        }
    };
    drop(answer);
    let mut stream =
        respond.send_response(Response::new(()), false).map_err(|error| closed(&error))?;
    let written = async {
        for part in parts {
            write(&mut stream, Bytes::from(part), false).await?;
        }
        Ok(())
    };
    // A peer that stops reading would otherwise hold the answer for as long as TCP retries.
    timeout(shared.options.idle_timeout, written).await.map_err(|_| Cause::Timeout)??;
    stream.send_data(Bytes::new(), true).map_err(|error| closed(&error))
}

/// The next bytes of a stream.
async fn read(body: &mut RecvStream, usage: &Use) -> Result<Option<Bytes>, Cause> {
    match body.data().await {
        Some(Ok(bytes)) => {
            usage.last.set(Instant::now());
            let _ = body.flow_control().release_capacity(bytes.len());
            Ok(Some(bytes))
        }
        Some(Err(error)) => Err(closed(&error)),
        None => Ok(None),
    }
}

/// The address that the sender states, else the one that it connects from.
fn sender(headers: &HeaderMap, remote: SocketAddr) -> SmolStr {
    let stated = headers.get(PEER).and_then(|value| value.to_str().ok());
    match stated.filter(|address| (1..=255).contains(&address.len())) {
        Some(address) => SmolStr::new(address),
        None => remote.to_smolstr(),
    }
}

fn status(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let _ = respond.send_response(response, true);
}

/// Counts something while it lives.
struct Count<'count>(&'count Cell<usize>);

impl<'count> Count<'count> {
    fn new(count: &'count Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
