//! Connections of callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_fleet::config::Limits;
use mgw_fleet::entry::Phase;
use mgw_http::body::{Decoder, Framing};
use mgw_http::head::{self, Request};
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::connection::Connection;
use crate::forward::{self, MAX_HELD_BODY_BYTES, Persistence};
use crate::gateway::Gateway;
use crate::reply::Cause;

/// Part of the descriptors that callers may use; the rest is for servers and the store.
const CALLERS_PART: f64 = 0.6;

/// Time that an idle connection is kept beyond the limit that callers know.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// Time that a caller gets to read a last answer while it still sends.
const LINGER: Duration = Duration::from_secs(1);

/// Pause after a failed accept, such as for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    let most = (f64::from(gateway.settings.max_file_descriptors) * CALLERS_PART) as usize;
    loop {
        match listener.accept().await {
            Ok((stream, _)) if gateway.caller_connections.get() < most => {
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(async move {
                    gateway.caller_connections.set(gateway.caller_connections.get() + 1);
                    serve(&gateway, stream).await;
                    gateway.caller_connections.set(gateway.caller_connections.get() - 1);
                });
            }
            Ok((stream, _)) => {
                gateway.count("refused", "connection_limit");
                drop(stream);
            }
            Err(_) => {
                gateway.count("refused", "accept_error");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// How a connection goes on without a request.
enum Silence {
    /// The caller closed it, or it was idle for too long.
    Over,
    /// The caller has to be peer_requests why it ends.
    Answer(Cause),
}

async fn serve(gateway: &Rc<Gateway>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        let request = match next(gateway, &mut connection).await {
            Ok(request) => request,
            Err(Silence::Over) => return,
            Err(Silence::Answer(cause)) => {
                forward::reject(gateway, &mut connection, cause, "", true).await;
                return connection.linger(LINGER).await;
            }
        };
        let arrived = clock::now();
        let limits = limits(gateway);
        let body = match body(gateway, &mut connection, &request, limits).await {
            Ok(body) => body,
            Err(Silence::Over) => return,
            Err(Silence::Answer(cause)) => {
                let attempt = platform::header::parse_request_metadata(&request.fields).attempt_id;
                forward::reject(gateway, &mut connection, cause, &attempt, true).await;
                return connection.linger(LINGER).await;
            }
        };
        let is_draining = gateway.with(|state| state.phase == Phase::Draining);
        let is_last = !request.keeps_alive() || is_draining;
        let size = body.len();
        gateway.held_body_bytes.set(gateway.held_body_bytes.get() + size);
        let ending = forward::run(gateway, &mut connection, &request, body, arrived, is_last).await;
        gateway.held_body_bytes.set(gateway.held_body_bytes.get() - size);
        if ending == Persistence::Close {
            return;
        }
    }
}

fn limits(gateway: &Gateway) -> Limits {
    gateway.config().map(|config| config.limits).unwrap_or_default()
}

/// Reads the next head.
async fn next(gateway: &Gateway, connection: &mut Connection) -> Result<Request, Silence> {
    let idle_since = clock::now();
    while connection.input.is_empty() {
        let idle = limits(gateway).idle_timeout + IDLE_SLACK;
        let left = idle.saturating_sub(clock::now().since(idle_since));
        // The limit may have grown meanwhile, so it is read again.
        match tokio::time::timeout(left, connection.read()).await {
            Err(_) if left.is_zero() => return Err(Silence::Over),
            Err(_) => {}
            Ok(Ok(0) | Err(_)) => return Err(Silence::Over),
            Ok(Ok(_)) => {}
        }
    }
    let limits = limits(gateway);
    let parse = |connection: &mut Connection| {
        let parsed = head::request(&mut connection.input, limits.max_header_bytes);
        parsed.map_err(|error| Silence::Answer(error.into()))
    };
    if let Some(request) = parse(connection)? {
        return Ok(request);
    }
    let rest = async {
        loop {
            match connection.read().await {
                Ok(0) | Err(_) => return Err(Silence::Over),
                Ok(_) => {}
            }
            if let Some(request) = parse(connection)? {
                return Ok(request);
            }
        }
    };
    match tokio::time::timeout(limits.header_timeout, rest).await {
        Ok(request) => request,
        Err(_) => Err(Silence::Answer(Cause::SlowRequest)),
    }
}

/// Reads the whole body, so that it can be sent to another server if the first one fails.
async fn body(
    gateway: &Gateway,
    connection: &mut Connection,
    request: &Request,
    limits: Limits,
) -> Result<Bytes, Silence> {
    match request.framing {
        Framing::Length(0) => return Ok(Bytes::new()),
        Framing::Length(size) if size > limits.max_body_bytes as u64 => {
            return Err(Silence::Answer(Cause::BodySize));
        }
        Framing::Length(size)
            if gateway.held_body_bytes.get() + size as usize > MAX_HELD_BODY_BYTES =>
        {
            return Err(Silence::Answer(Cause::Overloaded));
        }
        _ => {}
    }
    if request.fields.has_token("expect", "100-continue") {
        let go_on = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|_| Silence::Over)?;
    }
    let mut decoder = Decoder::new(request.framing);
    let mut body = BytesMut::new();
    let mut step = |connection: &mut Connection| {
        let decoded = decoder.decode(&mut connection.input, &mut body);
        decoded.map_err(|error| Silence::Answer(error.into()))?;
        match body.len() {
            size if size > limits.max_body_bytes => Err(Silence::Answer(Cause::BodySize)),
            size if gateway.held_body_bytes.get() + size > MAX_HELD_BODY_BYTES => {
                Err(Silence::Answer(Cause::Overloaded))
            }
            _ => Ok(decoder.is_done()),
        }
    };
    if !step(connection)? {
        let rest = async {
            loop {
                match connection.read().await {
                    Ok(0) | Err(_) => return Err(Silence::Over),
                    Ok(_) if step(connection)? => return Ok(()),
                    Ok(_) => {}
                }
            }
        };
        match tokio::time::timeout(limits.idle_timeout, rest).await {
            Ok(done) => done?,
            Err(_) => return Err(Silence::Answer(Cause::SlowRequest)),
        }
    }
    Ok(body.freeze())
}
