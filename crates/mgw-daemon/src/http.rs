//! HTTP servers on the daemon's single thread, and helpers for requests and responses.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, KeepAlive, Payload, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Maximum time to receive the head of a request, and to keep an idle connection open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept. A cause such as exhausted file descriptors persists, so retrying at
/// once would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which the rest of a body that is too large is read before the request is refused. If the
/// connection were closed while the caller still sends, the caller would miss the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are read in this time.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body exceeds the limit.
    Oversize,
    /// The connection ended or failed before the whole body arrived.
    Incomplete,
}

/// Serves HTTP/1.1 and HTTP/2 without TLS until `stop` changes or its sender is dropped.
///
/// Stopping only ends accepting: each open connection has its own task, which may run on until
/// the runtime ends.
pub async fn serve<H, F>(listener: TcpListener, handler: H, mut stop: watch::Receiver<bool>)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let answer = move |request: Request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    };
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIMEOUT))
        .client_request_timeout(IDLE_TIMEOUT)
        .finish(answer)
        .tcp_auto_h2c()
        .into_factory();
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let service = service.clone();
                actix_rt::spawn(async move { serve_connection(&*service, stream).await });
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves the requests of one connection until it is closed.
async fn serve_connection<S>(service: &S, stream: TcpStream)
where
    S: Service<TcpStream>,
{
    // A streamed token is a small write, which Nagle's algorithm would delay.
    let _ = stream.set_nodelay(true);
    let ready = futures_util::future::poll_fn(|context| service.poll_ready(context)).await;
    if ready.is_ok() {
        // A broken connection only affects its caller, who sees the failure too.
        let _ = service.call(stream).await;
    }
}

/// Reads the whole body of a request, of at most `limit` bytes. The rest of a larger one is read and
/// discarded, for at most 1 s and 16 MiB.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let mut collected = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Error::Incomplete)?;
        if collected.len() + chunk.len() > limit {
            drop(collected);
            // A caller that sends for too long may miss the response.
            let _ = actix_rt::time::timeout(DISCARD_TIMEOUT, discard(&mut payload)).await;
            return Err(Error::Oversize);
        }
        collected.extend_from_slice(&chunk);
    }
    Ok(collected.freeze())
}

/// Reads a body to its end, or up to [`MAX_DISCARDED_BYTES`].
async fn discard(payload: &mut Payload) {
    let mut discarded = 0;
    while let Some(Ok(chunk)) = payload.next().await
        && discarded <= MAX_DISCARDED_BYTES
    {
        discarded += chunk.len();
    }
}

/// The value of a header; empty if it is absent or not visible ASCII.
pub fn header<'a>(request: &'a Request, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// The key of the `authorization: Bearer` header; empty if there is none.
pub fn bearer_key(request: &Request) -> &str {
    header(request, "authorization").strip_prefix("Bearer ").unwrap_or_default().trim()
}

/// The raw value of the first query parameter `name`, not percent-decoded.
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A response with `content` as JSON.
pub fn json_response<T>(status: u16, content: &T) -> Response<BoxBody>
where
    T: serde::Serialize,
{
    let body = serde_json::to_vec(content).unwrap_or_default();
    response(status, "application/json", body.into())
}

/// A response whose body is complete. A status that is not valid in HTTP becomes 502, and an invalid
/// content type is omitted.
pub fn response(status: u16, content_type: &str, body: Bytes) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    if let Ok(value) = actix_http::header::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(actix_http::header::CONTENT_TYPE, value);
    }
    response
}

/// Sets a header of a response. A value that is not valid in a header is ignored.
pub fn set_header(response: &mut Response<BoxBody>, name: &'static str, value: &str) {
    if let Ok(value) = actix_http::header::HeaderValue::from_str(value) {
        let name = actix_http::header::HeaderName::from_static(name);
        response.headers_mut().insert(name, value);
    }
}
