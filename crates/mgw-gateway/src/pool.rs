//! Idle connections to servers.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_fleet::roster::Id;
use mgw_http::head::Response;

use crate::connection::Connection;

/// The most idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 24;

/// Part of a server's idle timeout for which a connection is used again.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// The longest time for which a connection is kept idle. Connections may go silent without a
/// reset; a short time bounds how many old ones there are.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Idle time that is assumed of a server that states none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by server, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Map<Id, Vec<Idle>>,
}

impl Pool {
    /// Takes an idle connection to `server` that is still sound.
    pub fn take(&mut self, server: Id, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(&server)?;
        while let Some(mut last) = idle.pop() {
            if last.expires_at > now && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for later; `timeout` is what the server stated.
    pub fn put(
        &mut self,
        server: Id,
        connection: Connection,
        timeout: Option<Duration>,
        now: Instant,
    ) {
        let idle_time = timeout
            .map_or(DEFAULT_IDLE_TIME, |timeout| timeout.mul_f64(KEEP_ALIVE_FRACTION))
            .min(MAX_IDLE_TIME);
        let idle = self.idle.entry(server, Vec::new);
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(Idle { connection, expires_at: now + idle_time });
        }
    }

    /// Closes the idle connections to a server, as one of them proved to be dead.
    pub fn close_idle(&mut self, server: Id) {
        self.idle.remove(&server);
    }

    /// Closes what has been idle for too long.
    pub fn evict_expired(&mut self, now: Instant) {
        self.idle.retain(|_, idle| {
            idle.retain(|it| it.expires_at > now);
            !idle.is_empty()
        });
    }
}

/// The idle timeout that a server states.
pub fn keep_alive_timeout(response: &Response) -> Option<Duration> {
    let value = response.fields.text("keep-alive")?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
