//! Idle connections to servers.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_fleet::roster::ServerKey;
use mgw_http::head::Response;

use crate::connection::Connection;

/// The most idle connections to one server.
const PER_SERVER: usize = 24;

/// Part of a server's idle timeout for which a connection is used again.
const USED_PART: f64 = 0.7;

/// The longest time for which a connection is kept idle. Connections may go silent without a
/// reset; a short time bounds how many old ones there are.
const LONGEST: Duration = Duration::from_secs(10);

/// Idle time that is assumed of a server that states none.
const UNSTATED: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by server, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Map<ServerKey, Vec<Idle>>,
}

impl Pool {
    /// Takes an idle connection to `server` that is still sound.
    pub fn take(&mut self, server: ServerKey, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(&server)?;
        while let Some(mut last) = idle.pop() {
            if last.until > now && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for later; `timeout` is what the server stated.
    pub fn put(
        &mut self,
        server: ServerKey,
        connection: Connection,
        timeout: Option<Duration>,
        now: Instant,
    ) {
        let span = timeout.map_or(UNSTATED, |timeout| timeout.mul_f64(USED_PART)).min(LONGEST);
        let idle = self.idle.entry(server, Vec::new);
        if idle.len() < PER_SERVER {
            idle.push(Idle { connection, until: now + span });
        }
    }

    /// Closes the idle connections to a server, as one of them proved to be dead.
    pub fn close_idle(&mut self, server: ServerKey) {
        self.idle.remove(&server);
    }

    /// Closes what has been idle for too long.
    pub fn evict_expired(&mut self, now: Instant) {
        self.idle.retain(|_, idle| {
            idle.retain(|it| it.until > now);
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
