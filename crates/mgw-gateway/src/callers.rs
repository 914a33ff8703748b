//! The listener for callers: accepts connections and reads requests from them.

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
use crate::forward::{self, Persistence};
use crate::gateway::Gateway;
use crate::memory::Reservation;
use crate::reply::Cause;

/// Fraction of the file descriptors that connections of callers may use. The rest is for servers
/// and the store.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.6;

/// Time that an idle connection is kept open beyond the configured idle timeout, which callers
/// know.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Time that a caller gets to read the last response while it is still sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers for as long as the process runs. Connections beyond the limit are closed at
/// once.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if gateway.caller_connections.get() < max_connections(&gateway) => {
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Maximum number of open connections of callers.
fn max_connections(gateway: &Gateway) -> usize {
    let descriptors = f64::from(gateway.settings().max_file_descriptors);
    (descriptors * CALLER_DESCRIPTOR_FRACTION) as usize
}

/// Why no request could be read from a connection, which then ends.
enum ReadError {
    /// The connection failed, the caller closed it, or it was idle for too long.
    Closed,
    /// The request is refused, and the caller gets a response with this cause.
    Reply(Cause),
}

/// Serves the requests of one connection, one after the other.
async fn serve(gateway: &Rc<Gateway>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        let request = match read_head(gateway, &mut connection).await {
            Ok(request) => request,
            Err(ReadError::Closed) => return,
            Err(ReadError::Reply(cause)) => {
                forward::reject(gateway, &mut connection, cause, None, true).await;
                return connection.linger(LINGER_TIMEOUT).await;
            }
        };
        let arrived = clock::now();
        let limits = limits(gateway);
        let (body, _reservation) = match read_body(gateway, &mut connection, &request, limits).await
        {
            Ok(body) => body,
            Err(ReadError::Closed) => return,
            Err(ReadError::Reply(cause)) => {
                forward::reject(gateway, &mut connection, cause, Some(&request), true).await;
                return connection.linger(LINGER_TIMEOUT).await;
            }
        };
        let is_draining = gateway.with(|state| state.phase == Phase::Draining);
        let is_last = !request.keeps_alive() || is_draining;
        let persistence =
            forward::run(gateway, &mut connection, &request, body, arrived, is_last).await;
        if persistence == Persistence::Close {
            return;
        }
    }
}

/// The limits of the configuration in force; defaults before the first configuration.
fn limits(gateway: &Gateway) -> Limits {
    gateway.config().map(|config| config.limits).unwrap_or_default()
}

/// Waits for the next request and reads its head. The idle timeout applies until its first byte,
/// the header timeout from then on.
async fn read_head(gateway: &Gateway, connection: &mut Connection) -> Result<Request, ReadError> {
    let idle_since = clock::now();
    while connection.input.is_empty() {
        let idle = limits(gateway).idle_timeout + IDLE_TIMEOUT_SLACK;
        let left = idle.saturating_sub(clock::now().since(idle_since));
        // A new configuration may have raised the limit, so it is read again after each timeout.
        match tokio::time::timeout(left, connection.read()).await {
            Err(_) if left.is_zero() => return Err(ReadError::Closed),
            Err(_) => {}
            Ok(Ok(0) | Err(_)) => return Err(ReadError::Closed),
            Ok(Ok(_)) => {}
        }
    }
    let limits = limits(gateway);
    let parse = |connection: &mut Connection| {
        let parsed = head::parse_request(&mut connection.input, limits.max_header_bytes);
        parsed.map_err(|error| ReadError::Reply(error.into()))
    };
    if let Some(request) = parse(connection)? {
        return Ok(request);
    }
    let rest = async {
        loop {
            match connection.read().await {
                Ok(0) | Err(_) => return Err(ReadError::Closed),
                Ok(_) => {}
            }
            if let Some(request) = parse(connection)? {
                return Ok(request);
            }
        }
    };
    match tokio::time::timeout(limits.header_timeout, rest).await {
        Ok(request) => request,
        Err(_) => Err(ReadError::Reply(Cause::SlowRequest)),
    }
}

/// Reads the whole body into memory, so that it can be sent to another server if the first one
/// fails. Returns it with the reservation of its memory.
async fn read_body(
    gateway: &Gateway,
    connection: &mut Connection,
    request: &Request,
    limits: Limits,
) -> Result<(Bytes, Reservation), ReadError> {
    let mut reservation = gateway.request_bodies.reserve();
    match request.framing {
        Framing::Length(0) => return Ok((Bytes::new(), reservation)),
        Framing::Length(size) if size > limits.max_body_bytes as u64 => {
            return Err(ReadError::Reply(Cause::BodySize));
        }
        Framing::Length(size) if !gateway.request_bodies.fits(size as usize) => {
            return Err(ReadError::Reply(Cause::Overloaded));
        }
        _ => {}
    }
    if request.fields.has_token("expect", "100-continue") {
        let written = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| ReadError::Closed)?;
    }
    let mut decoder = Decoder::new(request.framing);
    let mut body = BytesMut::new();
    let mut decode_input = |connection: &mut Connection| {
        let decoded = decoder.decode(&mut connection.input, &mut body);
        decoded.map_err(|error| ReadError::Reply(error.into()))?;
        if body.len() > limits.max_body_bytes {
            return Err(ReadError::Reply(Cause::BodySize));
        }
        let reserved = reservation.grow_to(body.len());
        reserved.map_err(|_| ReadError::Reply(Cause::Overloaded))?;
        Ok(decoder.is_done())
    };
    if !decode_input(connection)? {
        let rest = async {
            loop {
                match connection.read().await {
                    Ok(0) | Err(_) => return Err(ReadError::Closed),
                    Ok(_) if decode_input(connection)? => return Ok(()),
                    Ok(_) => {}
                }
            }
        };
        match tokio::time::timeout(limits.idle_timeout, rest).await {
            Ok(done) => done?,
            Err(_) => return Err(ReadError::Reply(Cause::SlowRequest)),
        }
    }
    Ok((body.freeze(), reservation))
}
