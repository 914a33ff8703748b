//! HTTP servers on the daemon's one thread.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time for the head of a request, and for which an unused connection is kept.
const IDLE: Duration = Duration::from_secs(30);

/// Pause after a failed accept, as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is larger than the limit.
    Oversize,
    /// It did not arrive in full.
    Incomplete,
}

/// Serves HTTP/1.1 and HTTP/2 without TLS until `stop` becomes true. Connections that are open
/// then are finished by the runtime.
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
        .keep_alive(KeepAlive::Timeout(IDLE))
        .client_request_timeout(IDLE)
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
                actix_rt::spawn(async move { connection(&*service, stream).await });
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<S>(service: &S, stream: TcpStream)
where
    S: Service<TcpStream>,
{
    // Tokens are small; waiting for more of them would delay each.
    let _ = stream.set_nodelay(true);
    let ready = futures_util::future::poll_fn(|context| service.poll_ready(context)).await;
    if ready.is_ok() {
        // The error of a broken connection concerns nobody but its caller, who sees it too.
        let _ = service.call(stream).await;
    }
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let mut whole = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Error::Incomplete)?;
        if whole.len() + chunk.len() > limit {
            return Err(Error::Oversize);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// The value of a header as text; empty if it is absent or not text.
pub fn header<'a>(request: &'a Request, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// The bearer key of a request; empty if there is none.
pub fn bearer_key(request: &Request) -> &str {
    header(request, "authorization").strip_prefix("Bearer ").unwrap_or_default().trim()
}

/// The query parameter `name`.
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A JSON answer.
pub fn json_response<T>(status: u16, content: &T) -> Response<BoxBody>
where
    T: serde::Serialize,
{
    let body = serde_json::to_vec(content).unwrap_or_default();
    response(status, "application/json", body.into())
}

/// An answer with a whole body.
pub fn response(status: u16, content_type: &str, body: Bytes) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    if let Ok(value) = actix_http::header::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(actix_http::header::CONTENT_TYPE, value);
    }
    response
}

/// Sets a header of an answer; a value that is no header value is left out.
pub fn set_header(response: &mut Response<BoxBody>, name: &'static str, value: &str) {
    if let Ok(value) = actix_http::header::HeaderValue::from_str(value) {
        let name = actix_http::header::HeaderName::from_static(name);
        response.headers_mut().insert(name, value);
    }
}
