//! The HTTP server that all stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use bytes::{Bytes, BytesMut};
use futures_util::stream::{Stream, StreamExt};
use serde::Serialize;
use serde_json::{Value, json};

use crate::fault::Injector;

/// Largest request body that a stand-in reads; KV imports are the largest bodies.
const BODY_LIMIT: usize = 64 << 20;

/// How long a request to a silent stand-in is kept open.
const SILENCE: Duration = Duration::from_secs(600);

/// Time between the answer to a `crash` fault and the crash, so that the answer gets out.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// A request.
#[derive(Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path without the query.
    pub path: String,
    /// Its query without the question mark.
    pub query: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Call {
    /// The numeric query parameter `name`.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// The header `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Decodes the `%XX` sequences of a path's segment.
pub(crate) fn decode(segment: &str) -> String {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let [byte, tail @ ..] = rest {
        let pair = tail.get(..2).and_then(|pair| std::str::from_utf8(pair).ok());
        match (byte, pair.and_then(|pair| u8::from_str_radix(pair, 16).ok())) {
            (b'%', Some(decoded)) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A body whose chunks are sent as they arise; an error cuts the connection.
pub type BodyChunks = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// What to do with a request.
pub enum Reply {
    /// Send a whole answer.
    Full {
        /// The status code.
        status: u16,
        /// Further headers.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: Bytes,
    },
    /// Send an answer with status 200 in chunks.
    Stream {
        /// Further headers.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: BodyChunks,
    },
    /// Close the connection without an answer.
    Disconnect,
    /// End the stand-in without an answer.
    Crash,
}

impl Reply {
    /// A JSON answer.
    pub fn json<T>(status: u16, content: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(content).unwrap_or_default().into();
        Self::Full { status, headers: vec![("content-type", "application/json".into())], body }
    }

    /// An error in the form of [`json`](Self::json).
    pub fn error(status: u16, message: &str) -> Self {
        Self::json(status, &json!({ "error": { "message": message } }))
    }
}

/// The future of a reply.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Reply>>>;

/// Where a stand-in listens and how it crashes.
#[derive(Clone, Copy, Debug)]
pub struct Bind {
    /// The loopback address; port 0 draws a free port.
    pub address: SocketAddr,
    /// Whether a crash ends the process; if not, it ends the stand-in alone.
    pub exit_on_crash: bool,
}

impl Default for Bind {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), exit_on_crash: false }
    }
}

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// The address it listens on.
    pub address: SocketAddr,
    switch: Arc<Injector>,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Switches a fault as `POST /fault` does, except that `crash` applies to the next request.
    ///
    /// # Errors
    ///
    /// As [`Injector::set`].
    pub fn set_fault(&self, body: &Value) -> Result<(), crate::fault::Error> {
        self.switch.set(body)
    }

    /// Waits until the stand-in has crashed.
    pub fn wait(mut self) {
        self.join();
    }

    /// Cuts all connections and frees the address.
    pub fn stop(self) {
        drop(self);
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        drop(self.server.stop(false));
        self.join();
    }
}

/// A second handle of a connection's socket, with which a handler can cut the connection.
struct Socket(TcpStream);

/// Ends the stand-in.
#[derive(Debug)]
struct Stopper {
    exit_on_crash: bool,
    server: OnceLock<ServerHandle>,
}

impl Stopper {
    fn crash(&self) {
        match self.server.get() {
            _ if self.exit_on_crash => std::process::exit(3),
            Some(server) => drop(server.stop(false)),
            None => {}
        }
    }
}

/// Serves `route` at `bind` from a new thread.
///
/// # Errors
///
/// The address cannot be bound, or the server does not start.
pub fn start<F>(
    name: &'static str,
    bind: Bind,
    switch: Arc<Injector>,
    route: F,
) -> io::Result<Handle>
where
    F: Fn(Call) -> ReplyFuture + Clone + Send + 'static,
{
    let listener = TcpListener::bind(bind.address)?;
    let address = listener.local_addr()?;
    let stopper = Arc::new(Stopper { exit_on_crash: bind.exit_on_crash, server: OnceLock::new() });
    let (sender, receiver) = mpsc::channel();
    let faults = switch.clone();
    let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
        actix_rt::System::new().block_on(async move {
            let own = stopper.clone();
            let built =
                Server::build().workers(1).disable_signals().listen(name, listener, move || {
                    let (stopper, faults, route) = (own.clone(), faults.clone(), route.clone());
                    HttpService::build()
                        .keep_alive(KeepAlive::Timeout(Duration::from_secs(60)))
                        .h1_allow_half_closed(false)
                        .on_connect_ext(|io: &actix_rt::net::TcpStream, data| {
                            // Otherwise a token waits for the acknowledgement of the one before
                            // it. `tcp_nodelay` of the builder has no effect on this service.
                            let _ = io.set_nodelay(true);
                            if let Ok(socket) = io.as_fd().try_clone_to_owned() {
                                data.insert(Socket(TcpStream::from(socket)));
                            }
                        })
                        .h1(move |request: Request| {
                            let (stopper, faults) = (stopper.clone(), faults.clone());
                            answer(request, stopper, faults, route.clone())
                        })
                        .tcp()
                });
            match built {
                Ok(builder) => {
                    let server = builder.run();
                    let _ = stopper.server.set(server.handle());
                    let _ = sender.send(Ok(server.handle()));
                    if let Err(error) = server.await {
                        ::log::warn!("{name} stand-in ended: {error}");
                    }
                }
                Err(error) => {
                    let _ = sender.send(Err(error));
                }
            }
        });
    })?;
    let server = receiver.recv().map_err(io::Error::other)??;
    Ok(Handle { address, switch, server, thread: Some(thread) })
}

async fn answer<F>(
    mut request: Request,
    stopper: Arc<Stopper>,
    faults: Arc<Injector>,
    route: F,
) -> Result<Response<BoxBody>, Infallible>
where
    F: Fn(Call) -> ReplyFuture,
{
    let body = match read(&mut request).await {
        Ok(body) => body,
        Err(status) => return Ok(Response::new(status).map_into_boxed_body()),
    };
    let call = Call {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    let reply = match call.path.as_str() {
        "/fault" => control(&call, &faults, &stopper),
        _ => {
            if faults.take("silent").is_some() {
                actix_rt::time::sleep(SILENCE).await;
            }
            wait_while_paused(&faults).await;
            match () {
                () if faults.take("crash").is_some() => Reply::Crash,
                () if faults.take("down").is_some() => Reply::error(503, "down"),
                () => route(call).await,
            }
        }
    };
    Ok(match reply {
        Reply::Full { status, headers, body } => {
            let mut response = Response::build(status_code(status));
            for header in headers {
                response.insert_header(header);
            }
            response.body(body).map_into_boxed_body()
        }
        Reply::Stream { headers, body } => {
            let mut response = Response::build(StatusCode::OK);
            for header in headers {
                response.insert_header(header);
            }
            response.body(BodyStream::new(body)).map_into_boxed_body()
        }
        Reply::Disconnect => cut(&request),
        Reply::Crash => {
            stopper.crash();
            cut(&request)
        }
    })
}

/// Waits until no `pause` fault is on; a pause lasts `ms`, 1 s if not given.
pub async fn wait_while_paused(faults: &Injector) {
    while let Some(fault) = faults.get("pause") {
        let span = fault.millis("ms").unwrap_or(Duration::from_secs(1));
        match span.checked_sub(fault.enabled_at().elapsed()) {
            Some(rest) if !rest.is_zero() => {
                // Short steps let a pause be switched off before its time.
                actix_rt::time::sleep(rest.min(Duration::from_millis(10))).await;
            }
            _ => {
                let _ = faults.set(&json!({ "fault": "pause", "off": true }));
            }
        }
    }
}

fn control(call: &Call, faults: &Injector, stopper: &Arc<Stopper>) -> Reply {
    match serde_json::from_slice::<Value>(&call.body) {
        _ if call.method == Method::GET => Reply::json(200, &faults.list()),
        Ok(body) if body["fault"] == "crash" => {
            let stopper = stopper.clone();
            actix_rt::spawn(async move {
                actix_rt::time::sleep(CRASH_DELAY).await;
                stopper.crash();
            });
            Reply::json(200, &json!({}))
        }
        Ok(body) => match faults.set(&body) {
            Ok(()) => Reply::json(200, &faults.list()),
            Err(error) => Reply::error(400, &error.to_string()),
        },
        Err(_) => Reply::error(400, &crate::fault::Error::Malformed.to_string()),
    }
}

async fn read(request: &mut Request) -> Result<Bytes, StatusCode> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > BODY_LIMIT {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Shuts the socket down; the returned answer cannot be written any more and ends the connection.
fn cut(request: &Request) -> Response<BoxBody> {
    if let Some(Socket(socket)) = request.conn_data::<Socket>() {
        let _ = socket.shutdown(Shutdown::Both);
    }
    Response::new(StatusCode::INTERNAL_SERVER_ERROR).map_into_boxed_body()
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Locks `mutex`, even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts one in a gauge for as long as it exists.
pub(crate) struct GaugeGuard<'a>(&'a AtomicU32);

impl<'a> GaugeGuard<'a> {
    pub(crate) fn new(gauge: &'a AtomicU32) -> Self {
        gauge.fetch_add(1, Ordering::Relaxed);
        Self(gauge)
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// A boot id for a stand-in that was given none.
///
/// Time, process and a counter make it differ between restarts and between stand-ins.
pub fn generate_boot_id() -> smol_str::SmolStr {
    static STARTED: AtomicU64 = AtomicU64::new(0);
    let count = STARTED.fetch_add(1, Ordering::Relaxed);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    smol_str::format_smolstr!("{:x}-{:x}-{count:x}", since.as_nanos() as u64, std::process::id())
}
