//! A pool of idle keep-alive connections to servers.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_fleet::roster::ServerKey;
use mgw_http::head::Response;

use crate::connection::Connection;

/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 24;

/// Fraction of a server's keep-alive timeout for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Maximum time that a connection stays idle in the pool. A connection may die without a reset
/// being received; a short limit bounds the number of such connections.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Idle time of connections to a server that states no keep-alive timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by server. Those of one server are in the order in which they were returned,
/// and the most recent one is reused first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Map<ServerKey, Vec<Idle>>,
}

impl Pool {
    /// Takes an idle connection to `server` that has not expired, is open, and has no unread input.
    /// Connections that fail this check are closed.
    pub fn take(&mut self, server: ServerKey, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(&server)?;
        while let Some(mut last) = idle.pop() {
            if last.expires_at > now && last.connection.is_idle() {
                last.connection.is_reused = true;
                return Some(last.connection);
            }
        }
        None
    }

    /// Whether there is an idle connection to `server` that has not expired.
    pub fn has_idle(&self, server: ServerKey, now: Instant) -> bool {
        self.idle.get(&server).is_some_and(|idle| idle.iter().any(|it| it.expires_at > now))
    }

    /// Returns a connection to the pool, or closes it if the pool of its server is full. `timeout`
    /// is the keep-alive timeout that the server stated.
    ///
    /// A refusal without an attempt id must not have been received on the connection: if the server
    /// sends it once more, nothing tells it apart from the refusal of the next request.
    pub fn put(
        &mut self,
        server: ServerKey,
        connection: Connection,
        timeout: Option<Duration>,
        now: Instant,
    ) {
        let idle_time = timeout
            .map_or(DEFAULT_IDLE_TIME, |timeout| timeout.mul_f64(KEEP_ALIVE_FRACTION))
            .min(MAX_IDLE_TIME);
        let idle = self.idle.get_or_insert_with(server, Vec::new);
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(Idle { connection, expires_at: now + idle_time });
        }
    }

    /// Closes all idle connections to a server, because one of them failed, or the server drains or
    /// has restarted.
    pub fn close_idle(&mut self, server: ServerKey) {
        self.idle.remove(&server);
    }

    /// Closes connections that have been idle for too long.
    pub fn evict_expired(&mut self, now: Instant) {
        self.idle.retain(|_, idle| {
            idle.retain(|it| it.expires_at > now);
            !idle.is_empty()
        });
    }
}

/// The timeout in the `Keep-Alive` header of a response.
pub fn keep_alive_timeout(response: &Response) -> Option<Duration> {
    let value = response.fields.get_str("keep-alive")?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
