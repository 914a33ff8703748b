//! The HTTP server that all stand-ins share, including `/fault` and the common faults.

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

/// Maximum size of a request body. The limit allows for KV imports, which have the largest bodies.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Time for which the `silent` fault holds a request without responding.
const SILENT_HOLD_TIME: Duration = Duration::from_secs(600);

/// Delay between the response to a `crash` fault and the crash, so that the response is sent first.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// A received HTTP request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// Request method.
    pub method: Method,
    /// Path without the query string, still percent-encoded.
    pub path: String,
    /// Query string without the question mark, empty if absent.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body, at most 64 MiB.
    pub body: Bytes,
}

impl Call {
    /// Returns the query parameter `name` if it is present and an unsigned integer.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// Returns the header `name` if it is present and visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Decodes the `%XX` sequences of a path segment; invalid sequences are kept as they are.
pub(crate) fn percent_decode(segment: &str) -> String {
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

/// A response body whose chunks are sent as the stream yields them; an error closes the connection.
pub type BodyChunks = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// Outcome of a request.
pub enum Reply {
    /// Send a complete response.
    Full {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: Vec<(&'static str, String)>,
        /// Response body.
        body: Bytes,
    },
    /// Send a response with status 200 and a streamed body.
    Stream {
        /// Response headers.
        headers: Vec<(&'static str, String)>,
        /// Response body.
        body: BodyChunks,
    },
    /// Close the connection without a response.
    Disconnect,
    /// Crash the stand-in without a response.
    Crash,
}

impl Reply {
    /// Creates a response with `content` as its JSON body.
    pub fn json<T>(status: u16, content: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(content).unwrap_or_default().into();
        Self::Full { status, headers: vec![("content-type", "application/json".into())], body }
    }

    /// Creates a response with the JSON body `{"error":{"message":MESSAGE}}`.
    pub fn error(status: u16, message: &str) -> Self {
        Self::json(status, &json!({ "error": { "message": message } }))
    }
}

/// Future returned by a stand-in's request handler.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Reply>>>;

/// Listen address and crash behaviour of a stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Bind {
    /// Loopback address to listen on; port 0 picks a free port.
    pub address: SocketAddr,
    /// Whether a crash exits the process (with code 3) or stops only the stand-in.
    pub exit_on_crash: bool,
}

impl Default for Bind {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), exit_on_crash: false }
    }
}

/// Handle of a running stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    injector: Arc<Injector>,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Enables or disables a fault as `POST /fault` does, except that `crash` takes effect on the
    /// next request.
    ///
    /// # Errors
    ///
    /// Fails under the same conditions as [`Injector::set`].
    pub fn set_fault(&self, body: &Value) -> Result<(), crate::fault::Error> {
        self.injector.set(body)
    }

    /// Blocks until the stand-in has crashed.
    pub fn wait(mut self) {
        self.join_thread();
    }

    /// Stops the stand-in: closes all connections and releases the address.
    pub fn stop(self) {
        drop(self);
    }

    fn join_thread(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        drop(self.server.stop(false));
        self.join_thread();
    }
}

/// Duplicate of a connection's socket, which lets a request handler shut the connection down.
struct ConnectionSocket(TcpStream);

/// Crashes the stand-in: exits the process or stops the server, depending on `exit_on_crash`.
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

/// Starts an HTTP server at `bind` that passes requests to `route`, on a new thread called `name`.
///
/// # Errors
///
/// Fails if the address cannot be bound or the server does not start.
pub fn start<F>(
    name: &'static str,
    bind: Bind,
    injector: Arc<Injector>,
    route: F,
) -> io::Result<Handle>
where
    F: Fn(Call) -> ReplyFuture + Clone + Send + 'static,
{
    let listener = TcpListener::bind(bind.address)?;
    let address = listener.local_addr()?;
    let stopper = Arc::new(Stopper { exit_on_crash: bind.exit_on_crash, server: OnceLock::new() });
    let (sender, receiver) = mpsc::channel();
    let faults = injector.clone();
    let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
        actix_rt::System::new().block_on(async move {
            let worker_stopper = stopper.clone();
            let result =
                Server::build().workers(1).disable_signals().listen(name, listener, move || {
                    let (stopper, faults, route) =
                        (worker_stopper.clone(), faults.clone(), route.clone());
                    HttpService::build()
                        .keep_alive(KeepAlive::Timeout(Duration::from_secs(60)))
                        .h1_allow_half_closed(false)
                        .on_connect_ext(|io: &actix_rt::net::TcpStream, data| {
                            // Without TCP_NODELAY, a token is not sent before the previous one is
                            // acknowledged. The builder's `tcp_nodelay` has no effect on this
                            // service.
                            let _ = io.set_nodelay(true);
                            if let Ok(socket) = io.as_fd().try_clone_to_owned() {
                                data.insert(ConnectionSocket(TcpStream::from(socket)));
                            }
                        })
                        .h1(move |request: Request| {
                            let (stopper, faults) = (stopper.clone(), faults.clone());
                            handle_request(request, stopper, faults, route.clone())
                        })
                        .tcp()
                });
            match result {
                Ok(builder) => {
                    let server = builder.run();
                    let _ = stopper.server.set(server.handle());
                    let _ = sender.send(Ok(server.handle()));
                    if let Err(error) = server.await {
                        ::log::warn!("{name} stand-in: server stopped with an error: {error}");
                    }
                }
                Err(error) => {
                    let _ = sender.send(Err(error));
                }
            }
        });
    })?;
    let server = receiver.recv().map_err(io::Error::other)??;
    Ok(Handle { address, injector, server, thread: Some(thread) })
}

/// Applies the common faults to a request, passes it to `route` and converts the reply to a
/// response.
///
/// Requests to `/fault` are handled here and are not subject to faults.
async fn handle_request<F>(
    mut request: Request,
    stopper: Arc<Stopper>,
    faults: Arc<Injector>,
    route: F,
) -> Result<Response<BoxBody>, Infallible>
where
    F: Fn(Call) -> ReplyFuture,
{
    let body = match read_body(&mut request).await {
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
        "/fault" => handle_fault(&call, &faults, &stopper),
        _ => {
            if faults.take("silent").is_some() {
                actix_rt::time::sleep(SILENT_HOLD_TIME).await;
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
        Reply::Disconnect => shut_down_connection(&request),
        Reply::Crash => {
            stopper.crash();
            shut_down_connection(&request)
        }
    })
}

/// Waits until no `pause` fault is enabled. A pause lasts `ms` from its start, by default 1 s; the
/// fault is disabled afterwards.
pub async fn wait_while_paused(faults: &Injector) {
    while let Some(fault) = faults.get("pause") {
        let duration = fault.millis("ms").unwrap_or(Duration::from_secs(1));
        match duration.checked_sub(fault.enabled_at().elapsed()) {
            Some(remaining) if !remaining.is_zero() => {
                // Sleeps in short steps, so that disabling the fault ends the pause early.
                actix_rt::time::sleep(remaining.min(Duration::from_millis(10))).await;
            }
            _ => {
                let _ = faults.set(&json!({ "fault": "pause", "off": true }));
            }
        }
    }
}

/// Handles `GET /fault` and `POST /fault`.
fn handle_fault(call: &Call, faults: &Injector, stopper: &Arc<Stopper>) -> Reply {
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

/// Reads the request's body, up to [`MAX_BODY_BYTES`].
async fn read_body(request: &mut Request) -> Result<Bytes, StatusCode> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Shuts the connection's socket down. Writing the returned response then fails, which ends the
/// connection.
fn shut_down_connection(request: &Request) -> Response<BoxBody> {
    if let Some(ConnectionSocket(socket)) = request.conn_data::<ConnectionSocket>() {
        let _ = socket.shutdown(Shutdown::Both);
    }
    Response::new(StatusCode::INTERNAL_SERVER_ERROR).map_into_boxed_body()
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Locks `mutex`, also if it is poisoned because a thread panicked while holding the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Increments a gauge when created and decrements it when dropped.
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

/// Returns the current time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Generates a boot id for a stand-in that was configured without one.
///
/// It consists of the time, the process id and a counter, so that it differs between restarts and
/// between the stand-ins of a process.
pub fn generate_boot_id() -> smol_str::SmolStr {
    static GENERATED: AtomicU64 = AtomicU64::new(0);
    let count = GENERATED.fetch_add(1, Ordering::Relaxed);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    smol_str::format_smolstr!("{:x}-{:x}-{count:x}", since.as_nanos() as u64, std::process::id())
}
